"""Momentary speed of targets that share their machines with other work.

A target may state in its responses how long work takes on its machine at that moment,
in percent of the usual. The figure differs between machines of unequal speed, and each
one's figure changes many times a second. What is usual for a target is the median of
its last figures; the distance of the last one from it counts less the older it is. One
daemon sees few responses of each target, so it tells its peers, with the next load
message, the figures that they would not expect.

Pure logic.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from statistics import median_low

from lycheepost.core.ids import TargetId
from lycheepost.decide.partcondition import PartCondition

MIN_PERCENT = 10.0
MAX_PERCENT = 1_000.0
"""Bounds of a figure that is used: a wrong one must neither attract the work of the
whole group nor exclude a target."""

RECENT_FIGURES = 7
"""Figures whose median is a target's usual one. It is right as long as the machine is
at its usual speed most of the time."""

HALF_LIFE_SECONDS = 0.2
"""Age at which half of a figure's distance from the usual counts."""

EXPIRY_SECONDS = 5 * HALF_LIFE_SECONDS
"""Age from which a figure counts as the usual one."""

NOTABLE_LOG = math.log(1.3)
"""Distance from the usual duration from which peers are told. Below it the difference
of a first token is less than the error of its prediction."""

MAX_NEWS = 16
"""Figures in one message to the peers."""


@dataclass(slots=True)
class MachineState:
    """The figures that one target has stated.

    Attributes:
        percent: The last one: duration of work there, 100 being usual for a target.
        usual_percent: Median of the recent ones; 0 while none is known.
        stated_seconds: When the target stated the last one, by this daemon's clock.
    """

    percent: float = 0.0
    usual_percent: float = 0.0
    stated_seconds: float = float("-inf")
    _recent: deque[float] = field(default_factory=lambda: deque(maxlen=RECENT_FIGURES))

    def observe(self, percent: float, stated_seconds: float) -> None:
        """Store a figure that the target stated to this daemon."""
        percent = _bounded(percent)
        self._set_last(percent, stated_seconds)
        self._recent.append(percent)
        self.usual_percent = median_low(self._recent)

    def observe_peer(self, told: "StatedState", now_seconds: float) -> None:
        """Store a figure that the target stated to a peer."""
        if not math.isfinite(told.percent + told.usual_percent + told.age_seconds):
            return
        age_seconds = max(0.0, told.age_seconds)
        self._set_last(_bounded(told.percent), now_seconds - age_seconds)
        # Peers tell mostly unusual figures, so their last ones would shift the median.
        if len(self._recent) < RECENT_FIGURES:
            self._recent.append(_bounded(told.usual_percent))
            self.usual_percent = median_low(self._recent)

    def _set_last(self, percent: float, stated_seconds: float) -> None:
        if stated_seconds > self.stated_seconds:
            self.percent = percent
            self.stated_seconds = stated_seconds

    def momentary_ratio(self, now_seconds: float) -> float:
        """Return the expected duration of work now over that at the usual speed."""
        if self.percent == self.usual_percent:
            return 1.0
        age_seconds = now_seconds - self.stated_seconds
        if age_seconds > EXPIRY_SECONDS:
            return 1.0
        weight = 0.5 ** (max(0.0, age_seconds) / HALF_LIFE_SECONDS)
        return float(1.0 + (self.percent / self.usual_percent - 1.0) * weight)

    def is_first(self) -> bool:
        """Return whether only one figure is known."""
        return len(self._recent) == 1

    def is_known(self) -> bool:
        """Return whether any figure is known."""
        return bool(self._recent)

    def is_notable(self) -> bool:
        """Return whether the last figure is far from the usual."""
        return self.is_known() and distance(self) >= NOTABLE_LOG


@dataclass(frozen=True, slots=True)
class StatedState:
    """What a daemon tells its peers of one target.

    Attributes:
        percent: The last figure of the target.
        usual_percent: Its usual figure.
        age_seconds: Time since the target stated the last one.
    """

    target: TargetId
    percent: float
    usual_percent: float
    age_seconds: float


def distance(state: MachineState | StatedState) -> float:
    """Return how far a figure is from the usual, as a logarithm."""
    return abs(math.log(state.percent / state.usual_percent))


class StateNews:
    """The figures that peers are to be told."""

    def __init__(self) -> None:
        self._news: dict[TargetId, MachineState] = {}
        self._told: set[TargetId] = set()

    def note(self, target: TargetId, state: MachineState) -> None:
        """Note a figure that a target has just stated to this daemon.

        Peers are told a target's first figure, figures far from its usual one, and its
        return to that.
        """
        if state.is_first() or state.is_notable() or target in self._told:
            self._news[target] = state

    def forget(self, target: TargetId) -> None:
        """Forget a target that is gone or has a new incarnation."""
        self._news.pop(target, None)
        self._told.discard(target)

    def take(self, now_seconds: float) -> tuple[StatedState, ...]:
        """Return what peers are to be told, the farthest from the usual first."""
        if not self._news:
            return ()
        found = [
            StatedState(
                target,
                state.percent,
                state.usual_percent,
                max(0.0, now_seconds - state.stated_seconds),
            )
            for target, state in self._news.items()
        ]
        self._news.clear()
        found.sort(key=distance, reverse=True)
        told = tuple(found[:MAX_NEWS])
        for item in told:
            if distance(item) >= NOTABLE_LOG:
                self._told.add(item.target)
            else:
                self._told.discard(item.target)
        return told


def needs_machine_states(states: Iterable[MachineState]) -> PartCondition:
    """Return whether any target states its momentary speed."""
    n_stating = sum(state.is_known() for state in states)
    return PartCondition(
        n_stating > 0, f"{n_stating} targets state their momentary speed"
    )


def usual_logs(states: Collection[MachineState]) -> tuple[float | None, ...]:
    """Return each target's usual duration over that of its group, as a logarithm.

    Returns:
        In the order of ``states``; None for targets that state no figure.
    """
    logs = [
        math.log(state.usual_percent) if state.is_known() else None for state in states
    ]
    known = [item for item in logs if item is not None]
    if not known:
        return tuple(logs)
    mean = sum(known) / len(known)
    return tuple(None if item is None else item - mean for item in logs)


def _bounded(percent: float) -> float:
    return min(MAX_PERCENT, max(MIN_PERCENT, percent))
