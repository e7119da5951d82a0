"""Messages between daemons: links, heartbeats, and floods to the whole fleet.

A link that receives nothing within the timeout is replaced: a device between the two
ends may have dropped the connection while new connections work. If the new link times
out as well, the daemon is marked as suspect and the fleet is notified.
"""

import asyncio
from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

import structlog

from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId
from lycheepost.generated.messages import PeerFlood, PeerHeartbeat, PeerHello
from lycheepost.peers.member_messages import to_peer_member
from lycheepost.peers.neighbours import choose_neighbours, choose_probe
from lycheepost.peers.traffic import PeerTraffic
from lycheepost.peers.transport import Transport
from lycheepost.peers.wire import (
    WireCounts,
    decode_body,
    decode_message,
    encode_body,
    encode_message,
    kind_of,
)
from lycheepost.state.addresses import Member
from lycheepost.state.members import MemberManager
from lycheepost.utils.tasks import start_task

_LINK_TIMEOUT_EXCHANGES = 3.0
"""Exchanges without a message after which a link is replaced; after as many again the
daemon is marked as suspect."""
_INCOMING_TIMEOUT_EXCHANGES = 15.0
"""Exchanges without a message after which nothing is sent on an incoming link."""
_RARE_HEARTBEAT_EXCHANGES = 5.0
"""Exchanges between heartbeats to the end of a link that does not check for silence:
three of them within ``_INCOMING_TIMEOUT_EXCHANGES``."""
_MAX_REMEMBERED_FLOODS = 4096
"""Floods remembered in order to forward each one once. At the design size a few arrive
each second, and one takes well under a second to reach the fleet."""
MAX_MEMBER_REQUESTS = 2
"""Peers that a daemon asks for all members in one exchange, until one has answered.
With 200 members each answer takes 40 kB; when all daemons start at once, each would
otherwise receive it ten times."""

_PROBE_INTERVAL_EXCHANGES = 30
_NO_LINK_INTERVAL_SECONDS = 0.1
_log = structlog.get_logger(part="peers")

T = TypeVar("T")
OnPeerMessage = Callable[[Any, DaemonId], None]
ChoosePeers = Callable[[tuple[Member, ...]], tuple[Member, ...]]


@dataclass(slots=True)
class _Link:
    """State of the link with one daemon.

    Attributes:
        endpoint: Where this end opened it.
        boot: The start of the other daemon that was known then.
    """

    last_contact_seconds: float
    opened_seconds: float
    is_ours: bool
    endpoint: str = ""
    boot: str = ""
    n_silences: int = 0
    n_received: int = 0
    sent_seconds: float = float("-inf")
    revision: int = 0
    """The revision that the other end last reported or was notified of."""
    wants_floods: bool = True
    """Whether the other end wants floods, by its last hello."""
    expects_heartbeats: bool = True
    """Whether the other end replaces the link if it is silent, by its last hello."""
    is_compressed: bool = False
    """Whether messages are compressed: the other end accepts it and is in another
    availability zone."""


class PeerExchange:
    """Links of one daemon with its peers; created by ``make_peer_exchange``."""

    def __init__(
        self,
        transport: Transport,
        members: MemberManager,
        clock: Clock,
        get_revision: Callable[[], int],
        fanout: int,
        exchange_seconds: float,
        choose_peers: ChoosePeers,
    ) -> None:
        self._choose_peers = choose_peers
        self._transport = transport
        self._members = members
        self._clock = clock
        self._get_revision = get_revision
        self._fanout = fanout
        self._exchange_seconds = exchange_seconds
        self._links: dict[DaemonId, _Link] = {}
        self._subscribers: dict[type, list[OnPeerMessage]] = defaultdict(list)
        self._seen_floods: OrderedDict[tuple[str, str, int], None] = OrderedDict()
        self._n_floods = 0
        self._no_flood: frozenset[DaemonId] = frozenset()
        self._neighbours: frozenset[DaemonId] = frozenset()
        self._neighbour_members: tuple[Member, ...] = ()
        self._neighbours_at_change: int | None = None
        self._n_exchanges = 0
        self._has_members = False
        self._n_member_requests = 0
        self._task: asyncio.Task[None] | None = None
        self.counts = WireCounts()
        self._traffic = PeerTraffic()
        self.n_replaced_links = 0

    async def start(self) -> None:
        """Open the socket and the first links."""
        await self._transport.start(self._receive)
        self._members.set_peer_endpoint(self._transport.endpoint)
        self._task = start_task(self._run(), "peer-exchange")

    async def drain(self) -> None:
        """Do nothing: ``MemberManager.drain`` announces that this daemon leaves."""

    async def stop(self) -> None:
        """Close all links."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._transport.stop()

    def status(self) -> dict[str, object]:
        """Return links and counts for ``/admin/status``."""
        return {
            "links": sorted(str(daemon) for daemon in self._links),
            "n_replaced_links": self.n_replaced_links,
            "bytes_out": self._transport.bytes_out,
            "bytes_in": self._transport.bytes_in,
            "bytes_by_kind": self._traffic.status(),
            "n_dropped": self._transport.n_dropped,
            "unknown_kinds": dict(self.counts.unknown_kinds),
            "unknown_fields": dict(self.counts.unknown_fields),
            "n_damaged": self.counts.n_damaged,
            "newest_version": self.counts.newest_version,
        }

    def subscribe(
        self, message_type: type[T], on_message: Callable[[T, DaemonId], None]
    ) -> None:
        """Call ``on_message`` with each message of this type and its sender.

        The sender of a flood is its origin.
        """
        self._subscribers[message_type].append(on_message)

    def broadcast(self, message: Any) -> None:
        """Flood a message to every reachable daemon."""
        self._n_floods += 1
        me = self._members.me()
        flood = PeerFlood(
            origin=me.daemon,
            boot=me.boot,
            sequence=self._n_floods,
            kind=kind_of(message),
            body=encode_body(message),
        )
        self._remember_flood(flood)
        self._send_to_links(flood, None)

    def send(self, daemon: DaemonId, message: Any) -> bool:
        """Send to one linked daemon; return False when the message was dropped."""
        data = encode_message(message, self._is_compressed(daemon))
        return self._send_data(daemon, data, kind_of(message))

    def send_to_each(self, daemons: Iterable[DaemonId], message: Any) -> None:
        """Send one message to several daemons, encoded at most twice."""
        kind = kind_of(message)
        encoded: dict[bool, bytes] = {}
        for daemon in daemons:
            is_compressed = self._is_compressed(daemon)
            if is_compressed not in encoded:
                encoded[is_compressed] = encode_message(message, is_compressed)
            self._send_data(daemon, encoded[is_compressed], kind)

    def _is_compressed(self, daemon: DaemonId) -> bool:
        link = self._links.get(daemon)
        return link is not None and link.is_compressed

    def send_revision(self) -> None:
        """Send the current revision on the links whose other end lacks it.

        Links over which it arrived, or whose other end has reported it, are skipped:
        at 64,000 changes a day this halves the cost of a change.
        """
        revision = self._get_revision()
        for daemon, link in list(self._links.items()):
            if link.revision < revision:
                self._send_heartbeat(daemon, link, revision)

    def linked_daemons(self) -> tuple[DaemonId, ...]:
        """Return the daemons with which there is a link."""
        return tuple(self._links)

    def heard_within(self, seconds: float) -> frozenset[DaemonId]:
        """Return the daemons that have sent something within this time."""
        since_seconds = self._clock.now_seconds() - seconds
        return frozenset(
            daemon
            for daemon, link in self._links.items()
            if link.n_received and link.last_contact_seconds >= since_seconds
        )

    def flooded_daemons(self) -> tuple[DaemonId, ...]:
        """Return the linked daemons to which floods are sent."""
        return tuple(
            daemon
            for daemon, link in self._links.items()
            if self._is_flooded(daemon, link)
        )

    def _is_flooded(self, daemon: DaemonId, link: _Link) -> bool:
        is_wanted = link.wants_floods or daemon in self._neighbours
        return is_wanted and daemon not in self._no_flood

    async def _run(self) -> None:
        while True:
            now_seconds = self._clock.now_seconds()
            self._check_silence(now_seconds)
            self._choose_links(now_seconds)
            self._send_heartbeats(now_seconds)
            self._n_exchanges += 1
            self._n_member_requests = 0
            # Without a link, check more often: members may become known at any time,
            # and a daemon that has just started needs its peers immediately.
            pause_seconds = self._exchange_seconds
            if not self._links:
                pause_seconds = min(_NO_LINK_INTERVAL_SECONDS, pause_seconds)
            await asyncio.sleep(pause_seconds)

    def _send_heartbeats(self, now_seconds: float) -> None:
        """Send one on each link that is idle or whose other end lacks the revision."""
        revision = self._get_revision()
        for daemon, link in list(self._links.items()):
            idle_exchanges = (now_seconds - link.sent_seconds) / self._exchange_seconds
            is_idle = idle_exchanges >= _idle_exchanges(link)
            if is_idle or link.revision < revision:
                self._send_heartbeat(daemon, link, revision)

    def _send_heartbeat(self, daemon: DaemonId, link: _Link, revision: int) -> None:
        if self.send(daemon, PeerHeartbeat(revision=revision)):
            link.revision = max(link.revision, revision)

    def _choose_links(self, now_seconds: float) -> None:
        me = self._members.me().daemon
        members = self._members.members()
        self._traffic.set_members(self._members.me().availability_zone, members)
        neighbours = self._find_neighbours(members)
        peers = self._choose_peers(members)
        before, self._no_flood = (
            self._no_flood,
            _peers_without_floods(members, neighbours, peers),
        )
        for daemon in before ^ self._no_flood:
            if daemon in self._links:
                self._send_hello(daemon)
        self._neighbours = frozenset(member.daemon for member in neighbours)
        wanted = [*neighbours, *peers]
        if self._n_exchanges % _PROBE_INTERVAL_EXCHANGES == 0:
            probe = choose_probe(
                me, members, self._n_exchanges // _PROBE_INTERVAL_EXCHANGES
            )
            wanted += [] if probe is None else [probe]
        for member in wanted:
            link = self._links.get(member.daemon)
            if link is None or _leads_elsewhere(link, member):
                self._open(member, now_seconds)
        kept = {member.daemon for member in wanted}
        if self._n_exchanges % _PROBE_INTERVAL_EXCHANGES:
            kept |= {name for name, link in self._links.items() if not link.is_ours}
            for name in set(self._links) - kept:
                self._close(name)

    def _find_neighbours(self, members: tuple[Member, ...]) -> tuple[Member, ...]:
        """Return the neighbours, computed again only after a member has changed."""
        n_changes = self._members.n_changes
        if self._neighbours_at_change != n_changes:
            me = self._members.me().daemon
            self._neighbour_members = choose_neighbours(me, members, self._fanout)
            self._neighbours_at_change = n_changes
        return self._neighbour_members

    def _open(self, member: Member, now_seconds: float) -> None:
        self._transport.connect(member.daemon, member.peer_endpoint)
        self._links[member.daemon] = _Link(
            now_seconds, now_seconds, True, member.peer_endpoint, member.boot
        )
        self._send_hello(member.daemon)

    def _close(self, daemon: DaemonId) -> None:
        self._transport.disconnect(daemon)
        self._links.pop(daemon, None)

    def _send_hello(self, daemon: DaemonId) -> None:
        member = to_peer_member(self._members.me())
        wants_members = (
            not self._has_members and self._n_member_requests < MAX_MEMBER_REQUESTS
        )
        self._n_member_requests += wants_members
        hello = PeerHello(
            member=member,
            wants_members=wants_members,
            wants_floods=daemon not in self._no_flood,
            expects_heartbeats=self._links[daemon].is_ours,
            accepts_compressed=True,
        )
        self.send(daemon, hello)

    def _check_silence(self, now_seconds: float) -> None:
        """Replace links that time out without having been closed."""
        timeout_seconds = _LINK_TIMEOUT_EXCHANGES * self._exchange_seconds
        incoming_timeout_seconds = _INCOMING_TIMEOUT_EXCHANGES * self._exchange_seconds
        for daemon, link in list(self._links.items()):
            silence_seconds = now_seconds - link.last_contact_seconds
            if not link.is_ours:
                if silence_seconds > incoming_timeout_seconds:
                    del self._links[daemon]
            elif now_seconds - max(link.opened_seconds, link.last_contact_seconds) > (
                timeout_seconds
            ):
                self._replace(daemon, link, now_seconds)

    def _replace(self, daemon: DaemonId, link: _Link, now_seconds: float) -> None:
        self.n_replaced_links += 1
        link.n_silences += 1
        if link.n_silences > 1:
            self._close(daemon)
            self._members.suspect(daemon, now_seconds)
            return
        member = self._members.get(daemon)
        link.endpoint = "" if member is None else member.peer_endpoint
        link.boot = "" if member is None else member.boot
        self._transport.connect(daemon, link.endpoint)
        link.opened_seconds = now_seconds
        self._send_hello(daemon)

    def _receive(self, sender: DaemonId, data: bytes) -> None:
        message = decode_message(data, self.counts)
        if message is None:
            return
        link = self._record_contact(sender)
        if isinstance(message, PeerHello):
            # Before subscribers respond with all members.
            link.is_compressed = self._wants_compression(message)
        match message:
            case PeerHeartbeat(revision=revision):
                # May be lower than before, after a lost message or a restart.
                link.revision = revision
                self._pass_to_subscribers(message, sender)
            case PeerFlood():
                self._receive_flood(message, sender)
            case _:
                self._pass_to_subscribers(message, sender)
        if isinstance(message, PeerHello):
            self._has_members = True
            link.wants_floods = message.wants_floods
            link.expects_heartbeats = message.expects_heartbeats
            link.boot = link.boot or message.member.boot

    def _wants_compression(self, hello: PeerHello) -> bool:
        """Return whether the sender accepts compression and is in another zone."""
        zone = self._members.me().availability_zone
        return hello.accepts_compressed and hello.member.availability_zone != zone

    def _record_contact(self, sender: DaemonId) -> _Link:
        now_seconds = self._clock.now_seconds()
        link = self._links.get(sender)
        if link is None:
            link = _Link(now_seconds, now_seconds, False)
            self._links[sender] = link
            self._send_hello(sender)
            self._send_heartbeat(sender, link, self._get_revision())
        link.last_contact_seconds = now_seconds
        link.n_received += 1
        link.n_silences = 0
        return link

    def _receive_flood(self, flood: PeerFlood, sender: DaemonId) -> None:
        if not self._remember_flood(flood):
            return
        # Forwarded before it is decoded: a daemon of a newer release beyond this one
        # may know the kind.
        self._send_to_links(flood, sender)
        message = decode_body(flood.kind, flood.body, self.counts)
        if message is not None:
            self._pass_to_subscribers(message, DaemonId(flood.origin))

    def _remember_flood(self, flood: PeerFlood) -> bool:
        """Record a flood; return whether it is new."""
        key = (flood.origin, flood.boot, flood.sequence)
        if key in self._seen_floods:
            return False
        self._seen_floods[key] = None
        if len(self._seen_floods) > _MAX_REMEMBERED_FLOODS:
            self._seen_floods.popitem(last=False)
        return True

    def _send_to_links(self, flood: PeerFlood, excluded: DaemonId | None) -> None:
        data = encode_message(flood)
        for daemon, link in list(self._links.items()):
            if daemon != excluded and self._is_flooded(daemon, link):
                self._send_data(daemon, data, flood.kind)

    def _send_data(self, daemon: DaemonId, data: bytes, kind: str) -> bool:
        link = self._links.get(daemon)
        if link is not None:
            link.sent_seconds = self._clock.now_seconds()
        is_sent = self._transport.send(daemon, data)
        if is_sent:
            self._traffic.count(daemon, kind, len(data))
        return is_sent

    def _pass_to_subscribers(self, message: Any, sender: DaemonId) -> None:
        for on_message in self._subscribers[type(message)]:
            on_message(message, sender)


def _leads_elsewhere(link: _Link, member: Member) -> bool:
    """Return whether a link leads to an earlier start, though the new one is heard."""
    is_earlier = link.boot not in ("", member.boot)
    return link.is_ours and is_earlier and link.endpoint != member.peer_endpoint


def _idle_exchanges(link: _Link) -> float:
    """Return after how many exchanges without a message a heartbeat is due.

    Half an exchange is subtracted, so that the heartbeat is sent at the exchange before
    the limit. Only the end that opened a link checks it for silence.
    """
    exchanges = 1.0 if link.expects_heartbeats else _RARE_HEARTBEAT_EXCHANGES
    return exchanges - 0.5


def _peers_without_floods(
    members: tuple[Member, ...],
    neighbours: tuple[Member, ...],
    peers: tuple[Member, ...],
) -> frozenset[DaemonId]:
    """Return the peers to which no floods are sent and which need not send any.

    Floods over the links with neighbours alone reach the whole fleet. If they were sent
    to all ``peers`` as well, each daemon of a large fleet would receive every flood ten
    times, and one that thirty others ask for changes would send it thirty times. When
    ``peers`` are the whole fleet, floods are sent to them directly.
    """
    if len(peers) + 1 >= len(members):
        return frozenset()
    neighbour_names = {member.daemon for member in neighbours}
    return frozenset(member.daemon for member in peers) - neighbour_names


def make_peer_exchange(
    transport: Transport,
    members: MemberManager,
    clock: Clock,
    get_revision: Callable[[], int],
    fanout: int = 4,
    exchange_seconds: float = 1.0,
    choose_peers: ChoosePeers = lambda _members: (),
) -> PeerExchange:
    """Return the links of one daemon with its peers.

    Args:
        transport: Links by socket or in memory.
        members: The daemons that can be linked with.
        clock: Clock of this daemon.
        get_revision: Returns the current revision, which heartbeats carry.
        fanout: Links that this daemon opens.
        exchange_seconds: Time between heartbeats.
        choose_peers: Chooses further members to hold links with.
    """
    return PeerExchange(
        transport,
        members,
        clock,
        get_revision,
        fanout,
        exchange_seconds,
        choose_peers,
    )
