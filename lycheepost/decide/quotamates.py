"""Which daemons let requests through beside this one, and which of them are heard.

A mate that isn't heard of may be dead, frozen, or serving callers behind a cut. Until
it is certain to serve nobody it is taken to spend its part of each quota.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from lycheepost.core.ids import DaemonId

SILENT_SECONDS = 0.6
"""A mate that was silent for so long has missed two heartbeats and a resend."""

LINGER_SECONDS = 4.0
"""A daemon that is no mate any more may go on serving for so long: those who leave take
requests for some seconds, and those who are cut off from the store until they can no
longer confirm their callers' keys."""

CUT_OFF_SECONDS = 20.0
"""The same where most mates went missing at once. Then it is more likely this daemon
that is cut off, and the others may serve for as long as the cut lasts."""

SETTLE_SECONDS = 1.2
"""How long after its start a daemon may not know which others are its mates, where
they are few."""

UNNAMED_SECONDS = 0.5
"""How long a daemon that never spoke counts as a mate after it was last one. When all
daemons start at once, each takes others for its mates for a moment."""

SETTLED_DAEMONS = 10
"""A daemon that has so many mates, with itself, knows them also before that."""

UNKNOWN_DAEMONS = 20
"""Daemons that callers may come to, until it is known how many there are. When all
start at once each names itself to callers first, so that they come to all."""


@dataclass(slots=True)
class _Mate:
    """Another daemon that lets requests through.

    Attributes:
        named_seconds: When it last was one of the mates.
        start: Differs between two starts of it; None before it spoke.
        heard_seconds: When it last said something.
    """

    named_seconds: float
    start: int | None = None
    heard_seconds: float = float("-inf")

    def is_heard(self, now_seconds: float) -> bool:
        return now_seconds - self.heard_seconds <= SILENT_SECONDS

    def note_heard(self, start: int, now_seconds: float) -> bool:
        """Note that it spoke; return whether its counts go on from before."""
        goes_on = self.start == start
        self.start = start
        self.heard_seconds = now_seconds
        return goes_on


@dataclass(slots=True)
class QuotaMates:
    """The other daemons, as one of them sees them.

    Attributes:
        started_seconds: When this daemon started.
        is_entry: Callers are sent to this daemon.
        is_standing_by: They are not; neither is known at first.
        is_synced: All mates were heard since this daemon is one of them, or one that
            had heard all told it what is left.
        relay: Whom this daemon tells what it lets through while it stands by.
    """

    started_seconds: float
    is_entry: bool = False
    is_standing_by: bool = False
    is_synced: bool = False
    relay: DaemonId | None = None
    _mates: dict[DaemonId, _Mate] = field(default_factory=dict)
    _relayed: dict[DaemonId, _Mate] = field(default_factory=dict)
    _relay_heard_seconds: float = float("-inf")
    _n_daemons: int = UNKNOWN_DAEMONS
    _n_expected: int = UNKNOWN_DAEMONS

    def set_fleet(self, n_daemons: int) -> None:
        """Follow how many daemons there may be, also those that were not heard yet.

        Until they are known a daemon that starts takes itself for one of many.
        """
        self._n_expected = n_daemons

    def set_entry(self, mates: Iterable[DaemonId], now_seconds: float) -> None:
        """Follow the other daemons that callers are sent to, as one of them."""
        self.is_entry = True
        self.is_standing_by = False
        self.relay = None
        for daemon in mates:
            mate = self._mates.setdefault(daemon, _Mate(now_seconds))
            mate.named_seconds = now_seconds
        self._n_daemons = 1 + len(self._mates)

    def set_standing_by(self, relay: DaemonId | None, n_entry: int) -> None:
        """Follow whom to tell as a daemon that callers are not sent to.

        Args:
            relay: The daemon that tells the others what is let through here.
            n_entry: Daemons that callers are sent to.
        """
        self.is_entry = False
        self.is_standing_by = True
        self.is_synced = False
        if relay != self.relay:
            self._relay_heard_seconds = float("-inf")
        self.relay = relay
        self._n_daemons = 1 + max(n_entry, len(self._mates))

    @property
    def is_alone(self) -> bool:
        """Tell whether nobody counts on hearing from this daemon: it stands by."""
        return not (self.is_entry or self._mates)

    def listeners(self) -> tuple[DaemonId, ...]:
        """Return the mates, who lately was a mate, and who stands by and has asked."""
        return tuple(sorted({*self._mates, *self._relayed}))

    def is_mate(self, daemon: DaemonId) -> bool:
        """Tell whether a daemon is one of the mates."""
        return daemon in self._mates

    def note_mate(
        self, daemon: DaemonId, start: int, is_entry: bool, now_seconds: float
    ) -> bool:
        """Note that a mate spoke; return whether its counts go on from before."""
        mate = self._mates.setdefault(daemon, _Mate(now_seconds))
        if is_entry:
            mate.named_seconds = now_seconds
        return mate.note_heard(start, now_seconds)

    def note_relayed(self, daemon: DaemonId, start: int, now_seconds: float) -> bool:
        """The same of a daemon that stands by, and is told about by this one."""
        mate = self._relayed.setdefault(daemon, _Mate(now_seconds))
        return mate.note_heard(start, now_seconds)

    def note_relay(self, now_seconds: float) -> None:
        """Note that the relay spoke."""
        self._relay_heard_seconds = now_seconds

    def find_share(self, now_seconds: float) -> float:
        """Return the part of a quota that those who hear each other may spend."""
        n_heard = self._count_heard(now_seconds)
        n_daemons = max(self._n_daemons, 1 + len(self._mates))
        if self.is_alone:
            silent_seconds = now_seconds - self._relay_heard_seconds
            if silent_seconds <= SILENT_SECONDS:
                return 1.0
            return 1.0 / min(n_daemons, self._n_expected)
        is_young = now_seconds - self.started_seconds < SETTLE_SECONDS
        if is_young and n_heard < SETTLED_DAEMONS:
            n_daemons = max(n_daemons, self._n_expected)
        elif n_heard == n_daemons and self.is_entry:
            self.is_synced = True
        return n_heard / n_daemons

    def forget(self, now_seconds: float) -> list[DaemonId]:
        """Forget who can no longer serve anybody; return who that is."""
        n_heard = self._count_heard(now_seconds)
        is_cut_off = 2 * n_heard <= 1 + len(self._mates)
        most_seconds = CUT_OFF_SECONDS if is_cut_off else LINGER_SECONDS
        gone = [
            daemon
            for daemon, mate in self._mates.items()
            if now_seconds - mate.named_seconds
            > (UNNAMED_SECONDS if mate.start is None else most_seconds)
        ]
        for daemon in gone:
            del self._mates[daemon]
        silent = [
            daemon
            for daemon, mate in self._relayed.items()
            if now_seconds - mate.heard_seconds > LINGER_SECONDS
        ]
        for daemon in silent:
            del self._relayed[daemon]
        if self.is_entry:
            self._n_daemons = 1 + len(self._mates)
        return gone + silent

    def _count_heard(self, now_seconds: float) -> int:
        """Return how many mates are heard, and this daemon."""
        return 1 + sum(mate.is_heard(now_seconds) for mate in self._mates.values())
