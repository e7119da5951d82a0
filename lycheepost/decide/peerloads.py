"""What the other daemons have under way at each target.

The failure: daemons that do not see each other's work all choose the target that
looked idle a moment ago. It shows as targets that reject a third of their arrivals
while others stand empty. In a small fleet each daemon tells the others what it has
at each target several times a second, and everybody places by the sum.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lycheepost.core.ids import DaemonId, TargetGroupId, TargetId

FRESH_SECONDS = 1.0
"""A daemon that was silent for longer has most likely died, and its requests with
it; what its targets still run shows in their own reports."""


@dataclass(frozen=True, slots=True)
class UnderWay:
    """What one daemon has at one target.

    Attributes:
        queued_tokens: Prompt tokens to be read before their first token.
        n_running: Requests sent and not ended.
    """

    queued_tokens: int
    n_running: int


NOTHING = UnderWay(0, 0)


def find_changes(
    before: Mapping[TargetId, UnderWay], now: Mapping[TargetId, UnderWay]
) -> dict[TargetId, UnderWay]:
    """Return what differs from what was told before; ``NOTHING`` where all has ended.

    The load: word of every request goes to each peer within milliseconds. Most of it
    would repeat what the peers know, and it crosses availability zones.
    """
    names = before.keys() | now.keys()
    changed = {name for name in names if before.get(name) != now.get(name)}
    return {name: now.get(name, NOTHING) for name in sorted(changed)}


@dataclass(slots=True)
class _Told:
    at_seconds: float
    loads: Mapping[TargetId, UnderWay]
    waiting_groups: frozenset[TargetGroupId] = frozenset()


@dataclass(slots=True)
class PeerLoads:
    """The last word of each daemon."""

    _told: dict[DaemonId, _Told] = field(default_factory=dict)

    def observe(
        self, daemon: DaemonId, loads: Mapping[TargetId, UnderWay], now_seconds: float
    ) -> None:
        """Take what a daemon has under way; it replaces what it told before."""
        self._told[daemon] = _Told(now_seconds, loads)

    def note_waiting(self, daemon: DaemonId, groups: Iterable[TargetGroupId]) -> None:
        """Take which groups a daemon has requests waiting for."""
        told = self._told.get(daemon)
        if told is not None:
            told.waiting_groups = frozenset(groups)

    def n_waiting(self, group: TargetGroupId, now_seconds: float) -> int:
        """Return how many daemons have requests waiting for a group."""
        self._forget_silent(now_seconds)
        return sum(group in told.waiting_groups for told in self._told.values())

    def observe_changes(
        self, daemon: DaemonId, loads: Mapping[TargetId, UnderWay], now_seconds: float
    ) -> None:
        """Take what changed since a daemon last told; unknown without that."""
        self._forget_silent(now_seconds)
        told = self._told.get(daemon)
        if told is not None:
            self._told[daemon] = _Told(now_seconds, {**told.loads, **loads})

    def is_known(self, now_seconds: float) -> bool:
        """Tell whether any peer has told its load of late."""
        self._forget_silent(now_seconds)
        return bool(self._told)

    def at(self, target: TargetId, now_seconds: float) -> UnderWay:
        """Return what all peers together have at a target."""
        self._forget_silent(now_seconds)
        found = [
            told.loads[target] for told in self._told.values() if target in told.loads
        ]
        return UnderWay(
            sum(load.queued_tokens for load in found),
            sum(load.n_running for load in found),
        )

    def totals(self, now_seconds: float) -> dict[TargetId, UnderWay]:
        """Return the same of all targets at which any peer has something."""
        self._forget_silent(now_seconds)
        tokens: dict[TargetId, int] = {}
        running: dict[TargetId, int] = {}
        for told in self._told.values():
            for target, load in told.loads.items():
                tokens[target] = tokens.get(target, 0) + load.queued_tokens
                running[target] = running.get(target, 0) + load.n_running
        return {
            target: UnderWay(n_tokens, running[target])
            for target, n_tokens in tokens.items()
        }

    def _forget_silent(self, now_seconds: float) -> None:
        for daemon, told in list(self._told.items()):
            if now_seconds - told.at_seconds > FRESH_SECONDS:
                del self._told[daemon]
