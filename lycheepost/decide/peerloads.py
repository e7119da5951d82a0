"""What the other daemons have under way at each target.

The failure: daemons that do not see each other's work all choose the target that
looked idle a moment ago. It shows as targets that reject a third of their arrivals
while others stand empty. In a small fleet each daemon tells the others what it has
at each target several times a second, and everybody places by the sum.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lycheepost.core.ids import DaemonId, TargetGroupId, TargetId

MAX_AGE_SECONDS = 1.0
"""A daemon that was silent for longer has most likely died, and its requests with
it; what its targets still run shows in their own reports."""


@dataclass(frozen=True, slots=True)
class DaemonLoad:
    """What one daemon has at one target.

    Attributes:
        queued_tokens: Prompt tokens to be read before their first token.
        n_running: Requests sent and not ended.
    """

    queued_tokens: int
    n_running: int


NO_LOAD = DaemonLoad(0, 0)


def find_changes(
    before: Mapping[TargetId, DaemonLoad], now: Mapping[TargetId, DaemonLoad]
) -> dict[TargetId, DaemonLoad]:
    """Return what differs from what was told before; ``NO_LOAD`` where all has ended.

    The load: word of every request goes to each peer within milliseconds. Most of it
    would repeat what the peers know, and it crosses availability zones.
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
    """The last word of each daemon."""

    _reports: dict[DaemonId, _Report] = field(default_factory=dict)

    def observe(
        self, daemon: DaemonId, loads: Mapping[TargetId, DaemonLoad], now_seconds: float
    ) -> None:
        """Take what a daemon has under way; it replaces what it told before."""
        self._reports[daemon] = _Report(now_seconds, loads)

    def note_waiting(self, daemon: DaemonId, groups: Iterable[TargetGroupId]) -> None:
        """Take which groups a daemon has requests waiting for."""
        report = self._reports.get(daemon)
        if report is not None:
            report.waiting_groups = frozenset(groups)

    def n_waiting(self, group: TargetGroupId, now_seconds: float) -> int:
        """Return how many daemons have requests waiting for a group."""
        self._drop_expired(now_seconds)
        return sum(group in report.waiting_groups for report in self._reports.values())

    def observe_changes(
        self, daemon: DaemonId, loads: Mapping[TargetId, DaemonLoad], now_seconds: float
    ) -> None:
        """Take what changed since a daemon last told; unknown without that."""
        self._drop_expired(now_seconds)
        report = self._reports.get(daemon)
        if report is not None:
            self._reports[daemon] = _Report(now_seconds, {**report.loads, **loads})

    def is_known(self, now_seconds: float) -> bool:
        """Tell whether any peer has told its load of late."""
        self._drop_expired(now_seconds)
        return bool(self._reports)

    def at(self, target: TargetId, now_seconds: float) -> DaemonLoad:
        """Return what all peers together have at a target."""
        self._drop_expired(now_seconds)
        found = [
            report.loads[target]
            for report in self._reports.values()
            if target in report.loads
        ]
        return DaemonLoad(
            sum(load.queued_tokens for load in found),
            sum(load.n_running for load in found),
        )

    def totals(self, now_seconds: float) -> dict[TargetId, DaemonLoad]:
        """Return the same of all targets at which any peer has something."""
        self._drop_expired(now_seconds)
        tokens: dict[TargetId, int] = {}
        running: dict[TargetId, int] = {}
        for report in self._reports.values():
            for target, load in report.loads.items():
                tokens[target] = tokens.get(target, 0) + load.queued_tokens
                running[target] = running.get(target, 0) + load.n_running
        return {
            target: DaemonLoad(n_tokens, running[target])
            for target, n_tokens in tokens.items()
        }

    def _drop_expired(self, now_seconds: float) -> None:
        for daemon, report in list(self._reports.items()):
            if now_seconds - report.received_seconds > MAX_AGE_SECONDS:
                del self._reports[daemon]
