"""Paces a rollout of weights by the load of its targets.

A target that loads weights serves nothing meanwhile. While demand leaves targets idle,
that costs callers nothing, and an early end of the rollout spares them responses from
old weights. At peak demand the same pace makes nearly every response a little late. The
rollout then changes only the targets that demand leaves free, but at least as many as a
steady schedule needs to end well before old weights may no longer be served.

Pure logic: every method takes ``now_seconds`` or durations.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from lycheepost.decide.peerloads import DaemonLoad

MAX_BUSY_SHARE = 0.75
"""Share of the serving targets that may be busy on average. Above it, requests that
arrive together often find all suitable targets busy."""

RESERVE_SHARE = 0.2
"""Share of the rollout's bound that the schedule leaves for orders that fail, a change
of the holder and targets that load slowly."""

ASSUMED_CHANGE_SECONDS = 1.5
"""Duration of one change until the first one has been measured."""

CHANGE_TIME_GAIN = 0.3
"""Weight of one change in the mean duration, which varies with concurrent changes."""

MEAN_LOAD_SECONDS = 0.3
"""Time constant of the mean load: longer than the reading of one prompt, shorter than
the waves of demand."""

MAX_WAITING_SHARE = 0.5
"""Share of the daemons with waiting requests above which no target counts as free. At
fewer daemons requests wait for the target that caches their prompts, or for a draw."""


class PaceReason(Enum):
    """Why a rollout has its pace."""

    SPARE = "demand leaves enough targets free"
    CROWDED = "demand needs the targets"
    NO_TIME = "the bound leaves no time for a slower rollout"
    LEAST = "targets change one at a time anyway"
    UNKNOWN_LOAD = "the load of the targets is unknown"
    SWITCHED_OFF = "the mechanism is switched off"


@dataclass(frozen=True, slots=True)
class RolloutPace:
    """The pace of a rollout.

    Attributes:
        n_changing: Targets that may change at the same time.
        reason: Why.
    """

    n_changing: int
    reason: PaceReason

    @property
    def is_limited(self) -> bool:
        """Return whether the load lowers the pace."""
        return self.reason is PaceReason.CROWDED


@dataclass(frozen=True, slots=True)
class RolloutSchedule:
    """What is left of a rollout.

    Attributes:
        n_targets: Targets of the model.
        n_changing: Those that are changing.
        old_for_seconds: For each other target with old weights, how long these may
            still be served; zero if unknown.
        bound_seconds: How long old weights may be served after a naming.
        change_seconds: Mean duration of one change.
    """

    n_targets: int
    n_changing: int
    old_for_seconds: tuple[float, ...]
    bound_seconds: float
    change_seconds: float


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """Load of the targets of one model, of all daemons together.

    Attributes:
        n_busy: Targets' worth of work in progress.
        waiting_share: Share of the daemons where requests wait.
    """

    n_busy: float
    waiting_share: float


def choose_pace(
    schedule: RolloutSchedule, load: GroupLoad | None, max_changing: int
) -> RolloutPace:
    """Return how many targets may change at the same time, and why.

    Args:
        schedule: What is left of the rollout.
        load: The load of the targets; None while unknown.
        max_changing: The most targets that may change without regard to the load.
    """
    if max_changing <= 1:
        return RolloutPace(max_changing, PaceReason.LEAST)
    if load is None:
        return RolloutPace(max_changing, PaceReason.UNKNOWN_LOAD)
    n_free = count_free(schedule.n_targets, load)
    if n_free >= max_changing:
        return RolloutPace(max_changing, PaceReason.SPARE)
    n_needed = max(1, math.ceil(count_needed(schedule)))
    if n_needed >= max_changing:
        return RolloutPace(max_changing, PaceReason.NO_TIME)
    return RolloutPace(max(n_free, n_needed), PaceReason.CROWDED)


def count_free(n_targets: int, load: GroupLoad) -> int:
    """Return how many targets demand leaves free."""
    if load.waiting_share > MAX_WAITING_SHARE:
        return 0
    return max(0, n_targets - math.ceil(load.n_busy / MAX_BUSY_SHARE))


def count_needed(schedule: RolloutSchedule) -> float:
    """Return how many targets must change at the same time to end in good time.

    Targets several versions behind have an earlier deadline than others, and each
    deadline needs its own pace: the number of targets due by then, divided by the
    number of changes that a place has time for.
    """
    reserve_seconds = RESERVE_SHARE * schedule.bound_seconds
    n_needed = 0.0
    for n_due, old_for_seconds in enumerate(sorted(schedule.old_for_seconds), start=1):
        left_seconds = old_for_seconds - reserve_seconds
        n_rounds = max(1, math.floor(left_seconds / schedule.change_seconds))
        # Changes in progress are half done on average, but keep their places in the
        # last round.
        n_changing = schedule.n_changing / (1 if n_rounds == 1 else 2)
        n_needed = max(n_needed, (n_changing + n_due) / n_rounds)
    return n_needed


def count_busy(loads: Iterable[tuple[DaemonLoad, int]]) -> float:
    """Return how many targets' worth of work is in progress.

    Args:
        loads: The load of all daemons at each target, and its number of slots.
    """
    return sum(
        1.0 if load.queued_tokens > 0 else min(1.0, load.n_running / max(1, n_slots))
        for load, n_slots in loads
    )


class MeanGroupLoad:
    """Means of the load over a short time."""

    def __init__(self) -> None:
        self._load: GroupLoad | None = None
        self._at_seconds = -math.inf

    def observe(self, sample: GroupLoad, now_seconds: float) -> GroupLoad:
        """Return the means after one more sample."""
        elapsed_seconds = now_seconds - self._at_seconds
        self._at_seconds = now_seconds
        before = self._load or sample
        gain = 1.0 - math.exp(-elapsed_seconds / MEAN_LOAD_SECONDS)
        self._load = GroupLoad(
            before.n_busy + gain * (sample.n_busy - before.n_busy),
            before.waiting_share + gain * (sample.waiting_share - before.waiting_share),
        )
        return self._load


class ChangeTime:
    """Mean duration of a change, from its announcement until the target serves."""

    def __init__(self) -> None:
        self._mean_seconds: float | None = None

    def observe(self, change_seconds: float) -> None:
        """Count a change that has ended well."""
        if self._mean_seconds is None:
            self._mean_seconds = change_seconds
        else:
            self._mean_seconds += CHANGE_TIME_GAIN * (
                change_seconds - self._mean_seconds
            )

    def seconds(self, running_seconds: Sequence[float]) -> float:
        """Return the expected duration of a change.

        Args:
            running_seconds: How long each change in progress has lasted. Until one has
                ended, they are all that is known of slow loads.
        """
        if self._mean_seconds is not None:
            return self._mean_seconds
        return max(ASSUMED_CHANGE_SECONDS, *running_seconds, 0.0)
