"""Schedules polls of targets' reports, without input, output or a clock.

Small fleets are polled for all reports at the intervals of the settings. For 12,000
servers that is too much: three reports of about 500 bytes a second from each are
18 MB/s, while a daemon may use 2 KB/s for control traffic. So the plan keeps to a
budget of calls a second. If the budget does not cover all reports, only targets that
this daemon sends requests to are polled for all of them; the others are polled only
for their health, a tenth as often. If that is still too much, the periods of all kinds
are lengthened by the same factor.
"""

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from lycheepost.core.ids import TargetId

_IDLE_PERIOD_FACTOR = 10.0
"""Factor for targets not in use, for which a late health report does no harm."""
_JITTER_SHARE = 0.2
"""Random part of each period, so that daemons that start together do not keep polling
a target at the same moments."""


class ReportKind(Enum):
    """Kind of report that a target is polled for."""

    HEALTH = "health"
    LOAD = "load"
    EVENTS = "events"


@dataclass(frozen=True, slots=True)
class PollSettings:
    """Wanted frequency of each report.

    Attributes:
        period_seconds: Time between two reports of one kind from one target.
        calls_per_second: Budget for all targets together.
    """

    period_seconds: dict[ReportKind, float]
    calls_per_second: float


_RECHECK_SECONDS = 0.1
"""Delay before an unreachable target is polled again, while the budget allows."""


@dataclass(frozen=True, slots=True)
class Poll:
    """One report to request from one target."""

    target: TargetId
    kind: ReportKind


class PollPlan:
    """The schedule of polls."""

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
        """Return the factor by which the budget lengthens every period, at least 1."""
        return self._period_factor

    def replace_targets(self, targets: Iterable[TargetId], now_seconds: float) -> None:
        """Replace the targets; new ones become due within their first period."""
        wanted = set(targets)
        for target in sorted(wanted - self._targets):
            for kind in ReportKind:
                period_seconds = self._settings.period_seconds[kind]
                delay_seconds = period_seconds * self._random.random()
                self._push(Poll(target, kind), now_seconds + delay_seconds)
        self._targets = wanted
        self._update_period_factor()

    def take_due(self, now_seconds: float) -> list[Poll]:
        """Return the polls that are due, and schedule the next of each."""
        taken = []
        while self._due and self._due[0][0] <= now_seconds:
            poll = heapq.heappop(self._due)[2]
            if poll.target not in self._targets:
                continue
            is_in_use = self._fits_budget or self._is_in_use(poll.target)
            if is_in_use or poll.kind is ReportKind.HEALTH:
                taken.append(poll)
            self._push(poll, now_seconds + self._next_delay_seconds(poll, is_in_use))
        return taken + self._take_rechecks(now_seconds)

    def recheck(self, target: TargetId, now_seconds: float) -> None:
        """Schedule an early health poll of an unreachable target.

        A restarting target is back within about a second. If all targets of a group
        restart together, every request is refused until their return is noticed.
        The budget lengthens this delay like all others.
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
        """Return when the next poll is due; None without any target."""
        return self._due[0][0] if self._due else None

    def refresh(self) -> None:
        """Update the schedule for the targets that are now in use."""
        self._update_period_factor()

    def _push(self, poll: Poll, due_seconds: float) -> None:
        self._n_pushed += 1
        heapq.heappush(self._due, (due_seconds, self._n_pushed, poll))

    def _next_delay_seconds(self, poll: Poll, is_in_use: bool) -> float:
        period_seconds = self._settings.period_seconds[poll.kind] * self._period_factor
        if poll.kind is ReportKind.HEALTH and not is_in_use:
            period_seconds *= _IDLE_PERIOD_FACTOR
        return period_seconds * (1 + _JITTER_SHARE * (self._random.random() - 0.5))

    def _update_period_factor(self) -> None:
        """Set the factor so that the wanted rate of polls fits the budget."""
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
        wanted_rate = n_in_use * full_rate + n_idle * idle_rate
        self._period_factor = max(1.0, wanted_rate / self._settings.calls_per_second)
