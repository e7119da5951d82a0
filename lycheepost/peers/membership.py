"""Exchange the states of daemons and targets between peers.

Updates of daemons are forwarded from link to link: a daemon collects what it receives
for a short time and then sends it on its other links in one message. When a whole fleet
starts, that is a few messages per link instead of one for each pair of daemons.
"""

import asyncio

from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, TargetId
from lycheepost.decide.records import TargetState
from lycheepost.generated.messages import MemberNews, PeerHello, TargetNews
from lycheepost.peers.exchange import PeerExchange
from lycheepost.peers.member_messages import from_peer_member, to_peer_member
from lycheepost.state.addresses import Member
from lycheepost.state.members import MemberManager
from lycheepost.state.signals import SignalSource, TargetSignal

_BATCH_SECONDS = 0.1
"""How long updates of daemons are collected before they are sent. Five hops take half a
second, well inside the few seconds within which a leaving daemon must be avoided."""


class MemberExchange:
    """Synchronizes a daemon's member list with its peers; runs no task of its own."""

    def __init__(
        self, exchange: PeerExchange, members: MemberManager, clock: Clock
    ) -> None:
        self._exchange = exchange
        self._members = members
        self._clock = clock
        self._updates: dict[DaemonId, DaemonId | None] = {}
        exchange.subscribe(PeerHello, self._handle_hello)
        exchange.subscribe(MemberNews, self._handle_members)
        exchange.subscribe(TargetNews, self._handle_target)
        members.on_member(self._publish_member)
        members.on_target_signal(self._publish_target)

    def _handle_hello(self, hello: PeerHello, sender: DaemonId) -> None:
        member = from_peer_member(hello.member)
        if member is None:
            return
        known = self._members.get(member.daemon)
        if self._members.merge(member):
            self._queue_update(member.daemon, sender)
        elif known is not None and known.state is not member.state:
            # Others have marked the sender as suspect or gone. It must learn of this to
            # announce itself as live with a higher sequence.
            self._exchange.send(sender, MemberNews(members=[to_peer_member(known)]))
        if hello.wants_members:
            members = [to_peer_member(item) for item in self._members.members()]
            self._exchange.send(sender, MemberNews(members=members))

    def _handle_members(self, updates: MemberNews, sender: DaemonId) -> None:
        for message in updates.members:
            member = from_peer_member(message)
            if member is not None and self._members.merge(member):
                self._queue_update(member.daemon, sender)

    def _handle_target(self, update: TargetNews, sender: DaemonId) -> None:
        try:
            state = TargetState(update.state)
        except ValueError:
            return
        signal = TargetSignal(SignalSource.PEER, state, update.valid_seconds)
        self._members.observe_target(
            TargetId(update.target), signal, self._clock.now_seconds()
        )

    def _publish_member(self, member: Member) -> None:
        self._queue_update(member.daemon, None)

    def _queue_update(self, daemon: DaemonId, source: DaemonId | None) -> None:
        """Queue an update for every link except the one over which it arrived."""
        if not self._updates:
            loop = asyncio.get_running_loop()
            loop.call_later(_BATCH_SECONDS, self._send_updates)
        self._updates[daemon] = source

    def _send_updates(self) -> None:
        updates, self._updates = self._updates, {}
        known = {daemon: self._members.get(daemon) for daemon in updates}
        flooded_daemons = set(self._exchange.flooded_daemons())
        for link in self._exchange.linked_daemons():
            # Links without floods get only updates that originate here.
            members = [
                to_peer_member(member)
                for daemon, source in updates.items()
                if source != link
                and (source is None or link in flooded_daemons)
                and (member := known[daemon]) is not None
            ]
            if members:
                self._exchange.send(link, MemberNews(members=members))

    def _publish_target(self, target: TargetId, signal: TargetSignal) -> None:
        self._exchange.broadcast(
            TargetNews(
                target=target,
                state=signal.state.value,
                valid_seconds=signal.valid_seconds,
            )
        )
