"""Which daemons let requests through beside this one, and which of them are heard.

A mate that isn't heard of may be dead, frozen, or serving callers behind a cut. Until
it is certain to serve nobody it is taken to spend its part of each quota.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from lycheepost.core.ids import DaemonId

PEER_TIMEOUT_SECONDS = 0.6
"""A mate that was silent for so long has missed two heartbeats and a resend."""

LINGER_SECONDS = 4.0
"""A daemon that is no mate any more may go on serving for so long: those who leave take
requests for some seconds, and those who are cut off from the store until they can no
longer confirm their callers' keys."""

PARTITION_LINGER_SECONDS = 20.0
"""The same where most mates went missing at once. Then it is more likely this daemon
that is cut off, and the others may serve for as long as the cut lasts."""

SETTLE_SECONDS = 1.2
"""How long after its start a daemon may not know which others are its mates, where
they are few."""

NO_CONTACT_LINGER_SECONDS = 0.5
"""How long a daemon that never spoke counts as a mate after it was last one. When all
daemons start at once, each takes others for its mates for a moment."""

SETTLED_DAEMONS = 10
"""A daemon that has so many mates, with itself, knows them also before that."""

ASSUMED_DAEMONS = 20
"""Daemons that callers may come to, until it is known how many there are. When all
start at once each names itself to callers first, so that they come to all."""


@dataclass(slots=True)
class _Peer:
    """Another daemon that lets requests through.

    Attributes:
        last_listed_seconds: When it last was one of the mates.
        start: Differs between two starts of it; None before it spoke.
        last_contact_seconds: When it last said something.
    """

    last_listed_seconds: float
    start: int | None = None
    last_contact_seconds: float = float("-inf")

    def is_reachable(self, now_seconds: float) -> bool:
        return now_seconds - self.last_contact_seconds <= PEER_TIMEOUT_SECONDS

    def note_contact(self, start: int, now_seconds: float) -> bool:
        """Note that it spoke; return whether its counts go on from before."""
        is_same_start = self.start == start
        self.start = start
        self.last_contact_seconds = now_seconds
        return is_same_start


@dataclass(slots=True)
class QuotaPeers:
    """The other daemons, as one of them sees them.

    Attributes:
        started_seconds: When this daemon started.
        is_entry: Callers are sent to this daemon.
        is_standby: They are not; neither is known at first.
        is_synced: All mates were heard since this daemon is one of them, or one that
            had heard all told it what is left.
        relay: Whom this daemon tells what it lets through while it stands by.
    """

    started_seconds: float
    is_entry: bool = False
    is_standby: bool = False
    is_synced: bool = False
    relay: DaemonId | None = None
    _peers: dict[DaemonId, _Peer] = field(default_factory=dict)
    _relayed: dict[DaemonId, _Peer] = field(default_factory=dict)
    _relay_contact_seconds: float = float("-inf")
    _n_daemons: int = ASSUMED_DAEMONS
    _n_expected: int = ASSUMED_DAEMONS

    def set_fleet(self, n_daemons: int) -> None:
        """Follow how many daemons there may be, also those that were not heard yet.

        Until they are known a daemon that starts takes itself for one of many.
        """
        self._n_expected = n_daemons

    def set_entry(self, peers: Iterable[DaemonId], now_seconds: float) -> None:
        """Follow the other daemons that callers are sent to, as one of them."""
        self.is_entry = True
        self.is_standby = False
        self.relay = None
        for daemon in peers:
            peer = self._peers.setdefault(daemon, _Peer(now_seconds))
            peer.last_listed_seconds = now_seconds
        self._n_daemons = 1 + len(self._peers)

    def set_standby(self, relay: DaemonId | None, n_entry: int) -> None:
        """Follow whom to tell as a daemon that callers are not sent to.

        Args:
            relay: The daemon that tells the others what is let through here.
            n_entry: Daemons that callers are sent to.
        """
        self.is_entry = False
        self.is_standby = True
        self.is_synced = False
        if relay != self.relay:
            self._relay_contact_seconds = float("-inf")
        self.relay = relay
        self._n_daemons = 1 + max(n_entry, len(self._peers))

    @property
    def needs_relay(self) -> bool:
        """Tell whether nobody counts on hearing from this daemon: it stands by."""
        return not (self.is_entry or self._peers)

    def listeners(self) -> tuple[DaemonId, ...]:
        """Return the mates, who lately was a mate, and who stands by and has asked."""
        return tuple(sorted({*self._peers, *self._relayed}))

    def is_peer(self, daemon: DaemonId) -> bool:
        """Tell whether a daemon is one of the mates."""
        return daemon in self._peers

    def note_peer(
        self, daemon: DaemonId, start: int, is_entry: bool, now_seconds: float
    ) -> bool:
        """Note that a mate spoke; return whether its counts go on from before."""
        peer = self._peers.setdefault(daemon, _Peer(now_seconds))
        if is_entry:
            peer.last_listed_seconds = now_seconds
        return peer.note_contact(start, now_seconds)

    def note_relayed(self, daemon: DaemonId, start: int, now_seconds: float) -> bool:
        """The same of a daemon that stands by, and is told about by this one."""
        peer = self._relayed.setdefault(daemon, _Peer(now_seconds))
        return peer.note_contact(start, now_seconds)

    def note_relay(self, now_seconds: float) -> None:
        """Note that the relay spoke."""
        self._relay_contact_seconds = now_seconds

    def find_share(self, now_seconds: float) -> float:
        """Return the part of a quota that those who hear each other may spend."""
        n_reachable = self._count_reachable(now_seconds)
        n_daemons = max(self._n_daemons, 1 + len(self._peers))
        if self.needs_relay:
            silent_seconds = now_seconds - self._relay_contact_seconds
            if silent_seconds <= PEER_TIMEOUT_SECONDS:
                return 1.0
            return 1.0 / min(n_daemons, self._n_expected)
        is_young = now_seconds - self.started_seconds < SETTLE_SECONDS
        if is_young and n_reachable < SETTLED_DAEMONS:
            n_daemons = max(n_daemons, self._n_expected)
        elif n_reachable == n_daemons and self.is_entry:
            self.is_synced = True
        return n_reachable / n_daemons

    def forget(self, now_seconds: float) -> list[DaemonId]:
        """Forget who can no longer serve anybody; return who that is."""
        n_reachable = self._count_reachable(now_seconds)
        is_partitioned = 2 * n_reachable <= 1 + len(self._peers)
        max_silent_seconds = (
            PARTITION_LINGER_SECONDS if is_partitioned else LINGER_SECONDS
        )
        gone = [
            daemon
            for daemon, peer in self._peers.items()
            if now_seconds - peer.last_listed_seconds
            > (NO_CONTACT_LINGER_SECONDS if peer.start is None else max_silent_seconds)
        ]
        for daemon in gone:
            del self._peers[daemon]
        silent = [
            daemon
            for daemon, peer in self._relayed.items()
            if now_seconds - peer.last_contact_seconds > LINGER_SECONDS
        ]
        for daemon in silent:
            del self._relayed[daemon]
        if self.is_entry:
            self._n_daemons = 1 + len(self._peers)
        return gone + silent

    def _count_reachable(self, now_seconds: float) -> int:
        """Return how many mates are heard, and this daemon."""
        return 1 + sum(peer.is_reachable(now_seconds) for peer in self._peers.values())
