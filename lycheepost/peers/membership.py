"""Pass what is known of daemons and targets between peers."""

from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, TargetId
from lycheepost.decide.records import TargetState
from lycheepost.generated.messages import MemberNews, PeerHello, TargetNews
from lycheepost.peers.exchange import PeerExchange
from lycheepost.peers.records import from_peer_member, to_peer_member
from lycheepost.state.addresses import Member
from lycheepost.state.members import MemberKeeper
from lycheepost.state.signs import SignSource, TargetSign


class MemberExchange:
    """Connects a daemon's members with the peers; it has no task of its own."""

    def __init__(
        self, exchange: PeerExchange, members: MemberKeeper, clock: Clock
    ) -> None:
        self._exchange = exchange
        self._members = members
        self._clock = clock
        exchange.subscribe(PeerHello, self._take_hello)
        exchange.subscribe(MemberNews, self._take_members)
        exchange.subscribe(TargetNews, self._take_target)
        members.on_member(self._tell_member)
        members.on_target_sign(self._tell_target)

    def _take_hello(self, hello: PeerHello, sender: DaemonId) -> None:
        member = from_peer_member(hello.member)
        if member is None:
            return
        known = self._members.get(member.daemon)
        if self._members.hear(member):
            self._tell_member(member)
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
            if member is not None:
                self._members.hear(member)

    def _take_target(self, news: TargetNews, sender: DaemonId) -> None:
        try:
            state = TargetState(news.state)
        except ValueError:
            return
        sign = TargetSign(SignSource.PEER, state, news.valid_seconds)
        self._members.observe_target(
            TargetId(news.target), sign, self._clock.now_seconds()
        )

    def _tell_member(self, member: Member) -> None:
        self._exchange.broadcast(MemberNews(members=[to_peer_member(member)]))

    def _tell_target(self, target: TargetId, sign: TargetSign) -> None:
        self._exchange.broadcast(
            TargetNews(
                target=target,
                state=sign.state.value,
                valid_seconds=sign.valid_seconds,
            )
        )
