"""The other daemons that admit requests, and which of them are reachable.

An unreachable peer may be dead, frozen, or still serving callers behind a network
partition. Until it certainly serves nobody, it is assumed to spend its share of each
quota.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from lycheepost.core.ids import DaemonId

PEER_TIMEOUT_SECONDS = 0.6
"""A peer that sent no message for this time is unreachable: two heartbeats and a
resend."""

LINGER_SECONDS = 4.0
"""How long a daemon that is no longer listed may go on serving: a leaving daemon takes
requests for some seconds, and one without a connection to the store serves until it can
no longer confirm its callers' keys."""

PARTITION_LINGER_SECONDS = 20.0
"""The same when most peers become unreachable at once. Then this daemon is more likely
partitioned, and the others may serve for as long as the partition lasts."""

SETTLE_SECONDS = 1.2
"""Time after its start in which a daemon with few peers may not know all of them."""

NO_CONTACT_LINGER_SECONDS = 0.5
"""How long a daemon that never sent a message stays a peer once it is no longer listed.
When all daemons start at once, each briefly lists others as peers."""

SETTLED_DAEMONS = 10
"""With this many reachable daemons, itself included, a daemon knows its peers before
``SETTLE_SECONDS`` have passed."""

ASSUMED_DAEMONS = 20
"""Daemons that callers may use, until the number is known. When all daemons start at
once, each first gives callers its own address, so that callers use all of them."""


@dataclass(slots=True)
class _Peer:
    """Another daemon that admits requests.

    Attributes:
        last_listed_seconds: When it was last listed as a peer.
        start: Changes whenever its counts restart from 0, also at each of its starts;
            None before its first message.
        last_contact_seconds: When it last sent a message.
    """

    last_listed_seconds: float
    start: int | None = None
    last_contact_seconds: float = float("-inf")

    def is_reachable(self, now_seconds: float) -> bool:
        return now_seconds - self.last_contact_seconds <= PEER_TIMEOUT_SECONDS

    def note_contact(self, start: int, now_seconds: float) -> bool:
        """Record a message; return whether its counts continue the earlier ones."""
        is_same_start = self.start == start
        self.start = start
        self.last_contact_seconds = now_seconds
        return is_same_start


@dataclass(slots=True)
class QuotaPeers:
    """The other daemons, as seen by one of them.

    Attributes:
        started_seconds: When this daemon started.
        is_entry: Whether this is an entry daemon.
        is_standby: Whether this is a standby daemon. Both are False at first, when
            its role is unknown.
        is_synced: Whether its levels include what the whole fleet spent. They do once
            all peers were reachable at the same time since this became an entry daemon,
            or once a synced peer has reported its levels.
        relay: The daemon through which a standby daemon reports what it admits.
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
    """Daemons that share a quota now."""
    _n_expected: int = ASSUMED_DAEMONS
    """Daemons that there may be, including those not yet reachable."""

    def set_fleet(self, n_daemons: int) -> None:
        """Set how many daemons there may be, including those not yet reachable.

        A starting daemon assumes that there are many until it knows them.
        """
        self._n_expected = n_daemons

    def set_entry(self, peers: Iterable[DaemonId], now_seconds: float) -> None:
        """Make this daemon an entry daemon, with the other entry daemons as peers."""
        self.is_entry = True
        self.is_standby = False
        self.relay = None
        for daemon in peers:
            peer = self._peers.setdefault(daemon, _Peer(now_seconds))
            peer.last_listed_seconds = now_seconds
        self._n_daemons = 1 + len(self._peers)

    def set_standby(self, relay: DaemonId | None, n_entry: int) -> None:
        """Make this daemon a standby daemon, which reports through a relay.

        Args:
            relay: The daemon that reports to the others what is admitted here.
            n_entry: Number of entry daemons.
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
        """Return whether this daemon reports only through a relay.

        It is no entry daemon, and no peer expects its updates any more.
        """
        return not (self.is_entry or self._peers)

    def listeners(self) -> tuple[DaemonId, ...]:
        """Return current and recent peers, and daemons that use this one as relay."""
        return tuple(sorted({*self._peers, *self._relayed}))

    def is_peer(self, daemon: DaemonId) -> bool:
        """Return whether a daemon is a peer."""
        return daemon in self._peers

    def note_peer(
        self, daemon: DaemonId, start: int, is_entry: bool, now_seconds: float
    ) -> bool:
        """Record a peer's message; return whether its counts continue."""
        peer = self._peers.setdefault(daemon, _Peer(now_seconds))
        if is_entry:
            peer.last_listed_seconds = now_seconds
        return peer.note_contact(start, now_seconds)

    def note_relayed(self, daemon: DaemonId, start: int, now_seconds: float) -> bool:
        """Record a message of a standby daemon; return whether its counts continue."""
        peer = self._relayed.setdefault(daemon, _Peer(now_seconds))
        return peer.note_contact(start, now_seconds)

    def note_relay(self, now_seconds: float) -> None:
        """Record a message of the relay."""
        self._relay_contact_seconds = now_seconds

    def find_share(self, now_seconds: float) -> float:
        """Return the fraction of a quota that the reachable daemons may spend."""
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
        """Drop the daemons that can no longer serve anybody, and return them."""
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
        """Return the number of reachable daemons, this one included."""
        return 1 + sum(peer.is_reachable(now_seconds) for peer in self._peers.values())
