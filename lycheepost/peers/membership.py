"""Pass what is known of daemons and targets between peers.

News of daemons travels from link to link: whoever learns something passes it on
to its other links, a short while later, together with what else it has learned.
When a whole fleet starts, that is a few messages per link instead of one for
each pair of daemons.
"""

import asyncio

from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, TargetId
from lycheepost.decide.records import TargetState
from lycheepost.generated.messages import MemberNews, PeerHello, TargetNews
from lycheepost.peers.exchange import PeerExchange
from lycheepost.peers.records import from_peer_member, to_peer_member
from lycheepost.state.addresses import Member
from lycheepost.state.members import MemberManager
from lycheepost.state.signals import SignalSource, TargetSignal

_GATHER_SECONDS = 0.1
"""News of daemons waits this long for more; five steps take half a second, well
inside the few seconds after which a leaving daemon must be avoided."""


class MemberExchange:
    """Connects a daemon's members with the peers; it has no task of its own."""

    def __init__(
        self, exchange: PeerExchange, members: MemberManager, clock: Clock
    ) -> None:
        self._exchange = exchange
        self._members = members
        self._clock = clock
        self._news: dict[DaemonId, DaemonId | None] = {}
        exchange.subscribe(PeerHello, self._take_hello)
        exchange.subscribe(MemberNews, self._take_members)
        exchange.subscribe(TargetNews, self._take_target)
        members.on_member(self._tell_member)
        members.on_target_signal(self._tell_target)

    def _take_hello(self, hello: PeerHello, sender: DaemonId) -> None:
        member = from_peer_member(hello.member)
        if member is None:
            return
        known = self._members.get(member.daemon)
        if self._members.merge(member):
            self._pass_on(member.daemon, sender)
        elif known is not None and known.state is not member.state:
            # It does not know that others gave it up: it must say again, with a
            # higher sequence, that it lives.
            self._exchange.send(sender, MemberNews(members=[to_peer_member(known)]))
        if hello.wants_members:
            everybody = [to_peer_member(item) for item in self._members.members()]
            self._exchange.send(sender, MemberNews(members=everybody))

    def _take_members(self, news: MemberNews, sender: DaemonId) -> None:
        for message in news.members:
            member = from_peer_member(message)
            if member is not None and self._members.merge(member):
                self._pass_on(member.daemon, sender)

    def _take_target(self, news: TargetNews, sender: DaemonId) -> None:
        try:
            state = TargetState(news.state)
        except ValueError:
            return
        sign = TargetSignal(SignalSource.PEER, state, news.valid_seconds)
        self._members.observe_target(
            TargetId(news.target), sign, self._clock.now_seconds()
        )

    def _tell_member(self, member: Member) -> None:
        self._pass_on(member.daemon, None)

    def _pass_on(self, daemon: DaemonId, source: DaemonId | None) -> None:
        """Tell every link but the one over which the news came."""
        if not self._news:
            loop = asyncio.get_running_loop()
            loop.call_later(_GATHER_SECONDS, self._send_news)
        self._news[daemon] = source

    def _send_news(self) -> None:
        news, self._news = self._news, {}
        known = {daemon: self._members.get(daemon) for daemon in news}
        flooded = set(self._exchange.flooded())
        for link in self._exchange.linked():
            # Over other links goes only what nobody else has told before.
            members = [
                to_peer_member(member)
                for daemon, source in news.items()
                if source != link
                and (source is None or link in flooded)
                and (member := known[daemon]) is not None
            ]
            if members:
                self._exchange.send(link, MemberNews(members=members))

    def _tell_target(self, target: TargetId, sign: TargetSignal) -> None:
        self._exchange.broadcast(
            TargetNews(
                target=target,
                state=sign.state.value,
                valid_seconds=sign.valid_seconds,
            )
        )
