"""Which targets are given new weights next.

Each operator's version is to be in place everywhere within a bound, and answers
begun on older weights are worth less to callers the longer that takes. A target
that changes its weights serves nothing meanwhile and forgets its cache. So
targets change a few at a time, the least busy first, each straight to the newest
version: a version that was named and then overtaken is never loaded. A target is
left alone before its order until its runs have ended, or for a short time: what a run
makes under weights that it did not begin with is worth nothing to its caller, and the
pause of a change makes each stream late.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from lycheepost.core.ids import ModelId, TargetId, WeightsVersion

MAX_CHANGING_SHARE = 0.34
"""Part of a group that changes at once. The rest carries the traffic meanwhile; at
half of a group, callers would wait longer than the change takes."""


MIN_DRAIN_SECONDS = 0.1
"""Time for the word that a target changes to reach all daemons, and for what they had
sent by then to show in the load that they tell."""

MAX_DRAIN_SECONDS = 0.6
"""Longest time that a target waits without new work for its runs to end, when no other
serves old weights any more. Most streams are shorter; a longer wait keeps the others
busier."""


def is_due(
    drained_seconds: float,
    n_running: int,
    old_share: float,
    max_seconds: float = MAX_DRAIN_SECONDS,
) -> bool:
    """Tell whether a target that gets no new work is ordered now.

    Each moment that it waits puts off all changes that come after its own, in which
    requests begin on old weights. So the first targets wait hardly at all, and the last
    ones as long as it is worth to their runs.

    Args:
        drained_seconds: For how long it has got none.
        n_running: Requests that it still runs, as far as known.
        old_share: Part of all targets that serve on old weights meanwhile.
        max_seconds: Longest time to wait for their end.
    """
    if drained_seconds < MIN_DRAIN_SECONDS:
        return False
    return n_running == 0 or drained_seconds >= max_seconds * (1.0 - old_share)


def old_share(wanted: int, targets: Sequence["TargetWeights"]) -> float:
    """Return the part of the targets that serve on weights older than wanted."""
    n_old = sum(item.version < wanted and not item.is_changing for item in targets)
    return n_old / max(1, len(targets))


@dataclass(frozen=True, slots=True)
class TargetWeights:
    """One target as the holder of the duty sees it.

    Attributes:
        version: Place of its weights among the versions of its model.
        n_running: Requests that it runs, as it last said.
        is_changing: An order to it is under way, also one to a version that was
            overtaken meanwhile: it takes no other until that is done.
    """

    target: TargetId
    version: int
    n_running: int
    is_changing: bool


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """Bring one target to a version."""

    target: TargetId
    model: ModelId
    version: WeightsVersion


def max_changing(n_targets: int) -> int:
    """Return how many targets of a group may change at the same time."""
    return max(1, int(n_targets * MAX_CHANGING_SHARE))


def next_orders(
    model: ModelId, wanted: int, targets: Sequence[TargetWeights]
) -> tuple[WeightsOrder, ...]:
    """Return the orders to prepare now.

    Args:
        model: The model whose weights change.
        wanted: Place of the newest version.
        targets: All targets of the model.
    """
    n_free = max_changing(len(targets)) - sum(item.is_changing for item in targets)
    ready = [item for item in targets if item.version < wanted and not item.is_changing]
    ready.sort(key=lambda item: (item.n_running, item.target))
    version = WeightsVersion(str(wanted))
    return tuple(
        WeightsOrder(item.target, model, version) for item in ready[: max(0, n_free)]
    )
