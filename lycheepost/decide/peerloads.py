"""Requests in flight from the other daemons, per target.

Daemons that don't know each other's requests all choose the target that was idle
recently, so that some targets reject a third of their requests while others are idle.
In a small fleet each daemon sends its load per target to the others several times a
second, and all of them place requests by the sum.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lycheepost.core.ids import DaemonId, TargetGroupId, TargetId

MAX_AGE_SECONDS = 1.0
"""A daemon that sent nothing for longer has most likely died, and its requests with it;
what its targets still run is in their own load reports."""


@dataclass(frozen=True, slots=True)
class DaemonLoad:
    """The load that one daemon has at one target.

    Attributes:
        queued_tokens: Prompt tokens of requests that have no first token yet.
        n_running: Requests sent that have not ended.
        n_streams: Those of them with a gap objective that have their first token.
        held_tokens: Tokens that all of them are expected to occupy in the target's
            memory, with room kept there for a request that waits.
    """

    queued_tokens: int
    n_running: int
    n_streams: int = 0
    held_tokens: int = 0

    def with_changed(self, before: "DaemonLoad", after: "DaemonLoad") -> "DaemonLoad":
        """Return this sum with one of its terms changed."""
        return DaemonLoad(
            self.queued_tokens + after.queued_tokens - before.queued_tokens,
            self.n_running + after.n_running - before.n_running,
            self.n_streams + after.n_streams - before.n_streams,
            self.held_tokens + after.held_tokens - before.held_tokens,
        )


NO_LOAD = DaemonLoad(0, 0)


def find_changes(
    before: Mapping[TargetId, DaemonLoad], now: Mapping[TargetId, DaemonLoad]
) -> dict[TargetId, DaemonLoad]:
    """Return the loads that changed; ``NO_LOAD`` where all requests have ended.

    Load is sent to each peer within milliseconds of every request. Most of a full
    report would repeat what the peers know, and it crosses availability zones.
    """
    names = before.keys() | now.keys()
    changed = {name for name in names if before.get(name) != now.get(name)}
    return {name: now.get(name, NO_LOAD) for name in sorted(changed)}


@dataclass(slots=True)
class _Report:
    received_seconds: float
    loads: dict[TargetId, DaemonLoad] = field(default_factory=dict)
    waiting_groups: frozenset[TargetGroupId] = frozenset()


@dataclass(slots=True)
class PeerLoads:
    """The last load report of each daemon, and their totals per target.

    The totals are updated with each change: summing all reports thirty times per second
    would cost the number of daemons times that of targets each time.
    """

    _reports: dict[DaemonId, _Report] = field(default_factory=dict)
    _totals: dict[TargetId, DaemonLoad] = field(default_factory=dict)
    _changed: set[TargetId] = field(default_factory=set)
    _first_expiry_seconds: float = float("inf")

    def observe(
        self, daemon: DaemonId, loads: Mapping[TargetId, DaemonLoad], now_seconds: float
    ) -> None:
        """Store a daemon's full load report in place of the previous one."""
        report = self._reports.setdefault(daemon, _Report(now_seconds))
        ended = dict.fromkeys(report.loads.keys() - loads.keys(), NO_LOAD)
        self._update(report, ended | dict(loads), now_seconds)

    def note_waiting(self, daemon: DaemonId, groups: Iterable[TargetGroupId]) -> None:
        """Store the groups for which a daemon has requests waiting."""
        report = self._reports.get(daemon)
        if report is not None:
            report.waiting_groups = frozenset(groups)

    def n_waiting(self, group: TargetGroupId, now_seconds: float) -> int:
        """Return how many daemons have requests waiting for a group."""
        self._drop_expired(now_seconds)
        return sum(group in report.waiting_groups for report in self._reports.values())

    def n_daemons(self, now_seconds: float) -> int:
        """Return how many daemons have reported recently."""
        self._drop_expired(now_seconds)
        return len(self._reports)

    def observe_changes(
        self, daemon: DaemonId, loads: Mapping[TargetId, DaemonLoad], now_seconds: float
    ) -> None:
        """Apply changes to a daemon's last report; ignored if there is none."""
        self._drop_expired(now_seconds)
        report = self._reports.get(daemon)
        if report is not None:
            self._update(report, loads, now_seconds)

    def is_known(self, now_seconds: float) -> bool:
        """Return whether any peer has reported its load recently."""
        self._drop_expired(now_seconds)
        return bool(self._reports)

    def at(self, target: TargetId, now_seconds: float) -> DaemonLoad:
        """Return the total load of all peers at a target."""
        self._drop_expired(now_seconds)
        return self._totals.get(target, NO_LOAD)

    def totals(self, now_seconds: float) -> dict[TargetId, DaemonLoad]:
        """Return the total load of all peers at each target that has any."""
        self._drop_expired(now_seconds)
        return dict(self._totals)

    def take_changed(self, now_seconds: float) -> frozenset[TargetId]:
        """Return the targets whose total has changed since the last call."""
        self._drop_expired(now_seconds)
        changed = frozenset(self._changed)
        self._changed.clear()
        return changed

    def _update(
        self, report: _Report, loads: Mapping[TargetId, DaemonLoad], now_seconds: float
    ) -> None:
        report.received_seconds = now_seconds
        expiry_seconds = now_seconds + MAX_AGE_SECONDS
        self._first_expiry_seconds = min(self._first_expiry_seconds, expiry_seconds)
        for target, load in loads.items():
            before = report.loads.get(target, NO_LOAD)
            if load == before:
                continue
            self._count(target, before, load)
            if load == NO_LOAD:
                del report.loads[target]
            else:
                report.loads[target] = load

    def _count(self, target: TargetId, before: DaemonLoad, after: DaemonLoad) -> None:
        total = self._totals.get(target, NO_LOAD).with_changed(before, after)
        self._changed.add(target)
        if total == NO_LOAD:
            self._totals.pop(target, None)
        else:
            self._totals[target] = total

    def _drop_expired(self, now_seconds: float) -> None:
        if now_seconds <= self._first_expiry_seconds:
            return
        for daemon, report in list(self._reports.items()):
            if now_seconds - report.received_seconds > MAX_AGE_SECONDS:
                del self._reports[daemon]
                for target, load in report.loads.items():
                    self._count(target, load, NO_LOAD)
        received = (report.received_seconds for report in self._reports.values())
        self._first_expiry_seconds = min(received, default=float("inf"))
        self._first_expiry_seconds += MAX_AGE_SECONDS
