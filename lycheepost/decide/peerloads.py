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
        held_tokens: Tokens that all of them occupy in the target's memory at most.
    """

    queued_tokens: int
    n_running: int
    n_streams: int = 0
    held_tokens: int = 0

    def plus(self, other: "DaemonLoad") -> "DaemonLoad":
        """Return the sum of two loads at the same target."""
        return DaemonLoad(
            self.queued_tokens + other.queued_tokens,
            self.n_running + other.n_running,
            self.n_streams + other.n_streams,
            self.held_tokens + other.held_tokens,
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
    loads: Mapping[TargetId, DaemonLoad]
    waiting_groups: frozenset[TargetGroupId] = frozenset()


@dataclass(slots=True)
class PeerLoads:
    """The last load report of each daemon."""

    _reports: dict[DaemonId, _Report] = field(default_factory=dict)

    def observe(
        self, daemon: DaemonId, loads: Mapping[TargetId, DaemonLoad], now_seconds: float
    ) -> None:
        """Store a daemon's full load report in place of the previous one."""
        self._reports[daemon] = _Report(now_seconds, loads)

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
            self._reports[daemon] = _Report(now_seconds, {**report.loads, **loads})

    def is_known(self, now_seconds: float) -> bool:
        """Return whether any peer has reported its load recently."""
        self._drop_expired(now_seconds)
        return bool(self._reports)

    def at(self, target: TargetId, now_seconds: float) -> DaemonLoad:
        """Return the total load of all peers at a target."""
        self._drop_expired(now_seconds)
        found = [
            report.loads[target]
            for report in self._reports.values()
            if target in report.loads
        ]
        return DaemonLoad(
            sum(load.queued_tokens for load in found),
            sum(load.n_running for load in found),
            sum(load.n_streams for load in found),
            sum(load.held_tokens for load in found),
        )

    def totals(self, now_seconds: float) -> dict[TargetId, DaemonLoad]:
        """Return the total load of all peers, for each target that has any."""
        self._drop_expired(now_seconds)
        sums: dict[TargetId, list[int]] = {}
        for report in self._reports.values():
            for target, load in report.loads.items():
                total = sums.setdefault(target, [0, 0, 0, 0])
                total[0] += load.queued_tokens
                total[1] += load.n_running
                total[2] += load.n_streams
                total[3] += load.held_tokens
        return {target: DaemonLoad(*total) for target, total in sums.items()}

    def _drop_expired(self, now_seconds: float) -> None:
        for daemon, report in list(self._reports.items()):
            if now_seconds - report.received_seconds > MAX_AGE_SECONDS:
                del self._reports[daemon]
