"""Which target to ask for which report next, without input, output or a clock.

Small fleets are asked for everything at the settings' pace. 12,000 servers
cannot be: three reports of about 500 bytes a second from each are 18 MB/s, and a
daemon may spend 2 KB/s on control. So the plan keeps to a budget of calls a
second. It slows all kinds alike when the budget is short, asks targets that this
daemon sends work to for everything, and the others only for their health, a
tenth as often.
"""

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from lycheepost.core.ids import TargetId

_IDLE_PERIOD_FACTOR = 10.0
"""A target without work of ours harms nobody by a late health answer."""
_JITTER_SHARE = 0.2
"""Daemons that start together must not ask a target all at once for good."""


class ReportKind(Enum):
    """What a target is asked for."""

    HEALTH = "health"
    LOAD = "load"
    EVENTS = "events"


@dataclass(frozen=True, slots=True)
class PollSettings:
    """How often each report is wanted.

    Attributes:
        period_seconds: Time between two reports of one kind from one target.
        calls_per_second: Budget over all targets.
    """

    period_seconds: dict[ReportKind, float]
    calls_per_second: float


_RECHECK_SECONDS = 0.1
"""Wait before an unreachable target is asked again, while the budget allows."""


@dataclass(frozen=True, slots=True)
class Poll:
    """One report to ask for."""

    target: TargetId
    kind: ReportKind


class PollPlan:
    """The order in which reports are due."""

    def __init__(
        self,
        settings: PollSettings,
        is_in_use: Callable[[TargetId], bool],
        seed: int,
    ) -> None:
        self._settings = settings
        self._is_in_use = is_in_use
        self._random = random.Random(seed)
        self._targets: set[TargetId] = set()
        self._due: list[tuple[float, int, Poll]] = []
        self._rechecks: dict[TargetId, float] = {}
        self._n_pushed = 0
        self._period_factor = 1.0
        self._fits_budget = True

    @property
    def period_factor(self) -> float:
        """Return by how much the budget stretches every period; 1 for not."""
        return self._period_factor

    def replace_targets(self, targets: Iterable[TargetId], now_seconds: float) -> None:
        """Follow the fleet; new targets become due within their first period."""
        wanted = set(targets)
        for target in sorted(wanted - self._targets):
            for kind in ReportKind:
                period = self._settings.period_seconds[kind]
                delay = period * self._random.random()
                self._push(Poll(target, kind), now_seconds + delay)
        self._targets = wanted
        self._update_period_factor()

    def take_due(self, now_seconds: float) -> list[Poll]:
        """Return the reports that are due, and plan the next of each."""
        taken = []
        while self._due and self._due[0][0] <= now_seconds:
            poll = heapq.heappop(self._due)[2]
            if poll.target not in self._targets:
                continue
            is_in_use = self._fits_budget or self._is_in_use(poll.target)
            if is_in_use or poll.kind is ReportKind.HEALTH:
                taken.append(poll)
            self._push(poll, now_seconds + self._next_delay(poll, is_in_use))
        return taken + self._take_rechecks(now_seconds)

    def recheck(self, target: TargetId, now_seconds: float) -> None:
        """Ask an unreachable target for its health again before its turn.

        A target that restarts is back within a second or so; if all of a group
        restart together, each further moment refuses every caller. The budget
        stretches this wait as it does all others.
        """
        due_seconds = now_seconds + _RECHECK_SECONDS * self._period_factor
        self._rechecks.setdefault(target, due_seconds)

    def _take_rechecks(self, now_seconds: float) -> list[Poll]:
        due = [
            target
            for target, due_seconds in self._rechecks.items()
            if due_seconds <= now_seconds
        ]
        for target in due:
            del self._rechecks[target]
        known = [target for target in due if target in self._targets]
        return [Poll(target, ReportKind.HEALTH) for target in known]

    def next_due_seconds(self) -> float | None:
        """Return when to look again; None without any target."""
        return self._due[0][0] if self._due else None

    def refresh(self) -> None:
        """Measure again which targets are in use."""
        self._update_period_factor()

    def _push(self, poll: Poll, due_seconds: float) -> None:
        self._n_pushed += 1
        heapq.heappush(self._due, (due_seconds, self._n_pushed, poll))

    def _next_delay(self, poll: Poll, is_in_use: bool) -> float:
        period = self._settings.period_seconds[poll.kind] * self._period_factor
        if poll.kind is ReportKind.HEALTH and not is_in_use:
            period *= _IDLE_PERIOD_FACTOR
        return period * (1 + _JITTER_SHARE * (self._random.random() - 0.5))

    def _update_period_factor(self) -> None:
        """Stretch all periods by what the budget lacks."""
        periods = self._settings.period_seconds
        full_rate = sum(1 / periods[kind] for kind in ReportKind)
        idle_rate = 1 / (periods[ReportKind.HEALTH] * _IDLE_PERIOD_FACTOR)
        self._fits_budget = (
            len(self._targets) * full_rate <= self._settings.calls_per_second
        )
        n_in_use = sum(
            self._fits_budget or self._is_in_use(target) for target in self._targets
        )
        n_idle = len(self._targets) - n_in_use
        wanted = n_in_use * full_rate + n_idle * idle_rate
        self._period_factor = max(1.0, wanted / self._settings.calls_per_second)
