"""Chooses which targets load new weights next.

An operator's version must be in place everywhere within a bound, and responses begun on
older weights are worth less to callers the longer that takes. A target that changes its
weights serves nothing meanwhile and loses its cache. So a few targets change at a time,
the least busy first, each directly to the newest version: a superseded version is never
loaded. Before a target is ordered to change, it gets no new work until its runs have
ended, or for a short time. The output of a run that continues under other weights than
it began with is worthless to its caller, and the change pauses every stream.
"""

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from lycheepost.core.ids import (
    AvailabilityZone,
    ModelId,
    TargetId,
    WeightsVersion,
)
from lycheepost.decide.rolloutpace import RolloutPace

MAX_CHANGING_SHARE = 0.34
"""Share of a group that changes at the same time, while the others carry the traffic.
With half of a group, callers would wait longer than the change takes."""

MIN_DRAIN_SECONDS = 0.1
"""Time until all daemons are notified that a target changes, and until what they had
sent by then appears in the load that they report."""

MAX_DRAIN_SECONDS = 0.6
"""Longest time that a target is drained when no other one serves old weights any more.
Most streams end sooner; a longer drain loads the other targets more."""


def is_due(
    drained_seconds: float,
    n_running: int,
    old_share: float,
    max_seconds: float = MAX_DRAIN_SECONDS,
) -> bool:
    """Return whether a draining target is ordered to change now.

    Draining delays all later changes, and meanwhile requests begin on old weights. So
    the first targets are drained only briefly, and the last ones for longer.

    Args:
        drained_seconds: How long it has got no new work.
        n_running: Requests that it still runs, as far as known.
        old_share: Share of all targets that still serve old weights.
        max_seconds: Longest time to wait for the runs to end.
    """
    if drained_seconds < MIN_DRAIN_SECONDS:
        return False
    return n_running == 0 or drained_seconds >= max_seconds * (1.0 - old_share)


def old_share(wanted: int, targets: Sequence["TargetWeights"]) -> float:
    """Return the share of the targets that serve weights older than wanted."""
    n_old = sum(item.version < wanted and not item.is_changing for item in targets)
    return n_old / max(1, len(targets))


@dataclass(frozen=True, slots=True)
class TargetWeights:
    """One target as seen by the daemon that runs the rollout.

    Attributes:
        version: Ordinal of its weights among the versions of its model.
        n_running: Requests that it runs, by its last report.
        is_changing: Whether an order to it is in progress, even to a superseded
            version: it accepts no other until that is done.
        availability_zone: Where it runs.
        old_for_seconds: How long its weights may still be served if they are old; zero
            if unknown.
    """

    target: TargetId
    version: int
    n_running: int
    is_changing: bool
    availability_zone: AvailabilityZone = AvailabilityZone("")
    old_for_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """An order to one target to load a version."""

    target: TargetId
    model: ModelId
    version: WeightsVersion


def max_changing(n_targets: int) -> int:
    """Return the most targets of a group that may change at the same time."""
    return max(1, int(n_targets * MAX_CHANGING_SHARE))


def next_orders(
    model: ModelId,
    wanted: int,
    targets: Sequence[TargetWeights],
    pace: RolloutPace | None = None,
) -> tuple[WeightsOrder, ...]:
    """Return the orders to prepare now.

    Args:
        model: The model whose weights change.
        wanted: Number of the newest version.
        targets: All targets of the model.
        pace: How many may change at the same time; None for the most.
    """
    most = max_changing(len(targets)) if pace is None else pace.n_changing
    n_free = max(0, most - sum(item.is_changing for item in targets))
    ready = [item for item in targets if item.version < wanted and not item.is_changing]
    ready.sort(key=lambda item: (item.n_running, item.target))
    if pace is not None and pace.is_limited:
        ready = _spread(ready, targets, most)
    version = WeightsVersion(str(wanted))
    return tuple(WeightsOrder(item.target, model, version) for item in ready[:n_free])


def _spread(
    ready: Sequence[TargetWeights], targets: Sequence[TargetWeights], most: int
) -> list[TargetWeights]:
    """Return targets by deadline, those of zones beyond their part of a pace last.

    Targets whose weights may not be served any more come first: they serve nothing.
    """
    sizes = Counter(item.availability_zone for item in targets)
    n_taken = Counter(item.availability_zone for item in targets if item.is_changing)
    unused = [item for item in ready if item.old_for_seconds <= 0.0]
    within: list[TargetWeights] = []
    beyond: list[TargetWeights] = []
    for item in sorted(ready, key=lambda item: item.old_for_seconds):
        if item.old_for_seconds <= 0.0:
            continue
        zone = item.availability_zone
        n_taken[zone] += 1
        part = math.ceil(most * sizes[zone] / len(targets))
        (within if n_taken[zone] <= part else beyond).append(item)
    return unused + within + beyond
