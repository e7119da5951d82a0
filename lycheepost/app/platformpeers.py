"""The other daemons on the platform: members, links, and the weights duty."""

from collections.abc import Callable
from dataclasses import dataclass

from lycheepost.app.fleet import Fleet, Identity
from lycheepost.app.fleetplace import EntryChooser, PlaceFinder
from lycheepost.app.parts import Part
from lycheepost.app.platformbase import PlatformBase
from lycheepost.app.weightsdue import WeightsDueExchange
from lycheepost.core.ids import (
    DaemonId,
    ModelId,
    TargetGroupId,
    TargetId,
)
from lycheepost.core.routing import RouteTable
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.rollout import MAX_DRAIN_SECONDS, MIN_DRAIN_SECONDS
from lycheepost.generated.configuration import Configuration
from lycheepost.generated.messages import LeaseNews, TargetsChanging
from lycheepost.operators.weightsnews import to_changes
from lycheepost.operators.weightsrollout import WeightsRollout
from lycheepost.peers.exchange import PeerExchange, make_peer_exchange
from lycheepost.peers.feedshare import SharedFeed
from lycheepost.peers.membership import MemberExchange
from lycheepost.peers.sockets import make_socket_transport
from lycheepost.platform.orders import ServerOrders
from lycheepost.state.addresses import Member, MemberState
from lycheepost.state.duties import DutyRunner, is_candidate
from lycheepost.state.leases import Lease, LeaseKeeper
from lycheepost.state.memberrows import MemberRows
from lycheepost.state.members import MemberKeeper, make_member_keeper
from lycheepost.state.targetlist import TargetList
from lycheepost.state.view import make_view

EXCHANGE_SECONDS = 0.4
PEER_LINKS = 3
"""Links of the rings, beside those for load and for questions: enough that word of a
target's change reaches all daemons in few steps, also when some of them are dead."""

MEMBER_LOOK_SECONDS = 12.0
"""Peers tell of each other; the table is looked at only to find peers at all."""

FLEET_LOOK_SECONDS = 2.0
"""So often one daemon of the fleet looks at the table, however many there are: one that
nobody has told of is found, and then told of, within some seconds."""

ADDRESS_SECONDS = 0.9
"""How long clients may keep an addresses answer. Some keep it three times as long:
as long as a daemon that leaves goes on taking requests."""

BRIEF_ADDRESS_SECONDS = 0.25
"""The same while few daemons can be named. Callers that ask four times a second cost
each daemon little, as all of them answer."""

WEIGHTS_DUTY = "weights"
LEASE_SECONDS = 3.6
LEASE_MARGIN_SECONDS = 1.65
"""A holder orders until 1.95 s after its last renewal, the next one from 5.25 s on.
Between them lie 3.3 s, more than the platform asks between two holders' orders to
one server; and weights that were named as their holder died are in place within the
ten seconds that it allows, with four seconds for the change itself."""

REST_MARGIN_SECONDS = 0.3
"""Beyond the time between two holders' orders that the platform asks for, for an
order that is still on its way when its holder gives the lease up."""

DUTY_PERIOD_SECONDS = 0.8
"""Two renewals within the time that a holder may order."""

DUTY_SETTLE_SECONDS = 1.2
"""How long after its start a daemon knows the others. A lease of an earlier start runs
out only after five seconds."""

DUTY_WATCH_SECONDS = 0.7
"""How often the daemons that stand ready look at the lease: a tenth of the time
allowed, at four reads a second of the store's two thousand."""


@dataclass(frozen=True, slots=True)
class PlatformPeers:
    """This daemon among its peers.

    Attributes:
        places: Where this daemon stands.
    """

    members: MemberKeeper
    exchange: PeerExchange
    fleet: Fleet
    feed: SharedFeed
    places: PlaceFinder


@dataclass(frozen=True, slots=True)
class WeightsDuty:
    """The duty of bringing new weights to the targets."""

    rollout: WeightsRollout
    duty: DutyRunner

    def parts(self) -> list[Part]:
        """Return the parts in the order of their start."""
        return [self.rollout, self.duty]

    async def give_up(self) -> None:
        """Give the lease up, and begin no further change."""
        await self.duty.stop()
        await self.rollout.stop()


def make_platform_peers(base: PlatformBase, quotas: FleetQuotas) -> PlatformPeers:
    """Return members and links; nothing is opened yet.

    Args:
        base: What the parts have in common.
        quotas: Says with whom the customers' quotas are shared.
    """
    node = base.node
    me = Member(
        daemon=node.daemon,
        boot=base.boot,
        state=MemberState.LIVE,
        availability_zone=node.availability_zone,
        callers_url="" if node.clients is None else str(node.clients),
        peer_endpoint="",
        started_wall_seconds=base.clock.wall_seconds(),
        capacity=node.capacity,
    )
    # Members alone are kept here; the targets come from the platform's own list.
    view = make_view(Configuration(revision=0))
    chooser = EntryChooser()
    members = make_member_keeper(
        MemberRows(base.store),
        base.clock,
        me,
        lambda: view,
        MEMBER_LOOK_SECONDS,
        ADDRESS_SECONDS,
        base.seed,
        names_unheard=False,
        choose_entry=chooser.choose,
        fleet_poll_seconds=FLEET_LOOK_SECONDS,
    )
    places = PlaceFinder(members, chooser)
    transport = make_socket_transport(node.daemon, node.host, node.peer_ports[0])
    exchange = make_peer_exchange(
        transport,
        members,
        base.clock,
        lambda: 0,
        PEER_LINKS,
        EXCHANGE_SECONDS,
        lambda known: _linked(
            places, quotas.listeners(base.clock.now_seconds()), known
        ),
    )
    MemberExchange(exchange, members, base.clock)
    feed = SharedFeed(
        base.store,
        exchange,
        base.clock,
        lambda: places.place().sources,
    )
    identity = Identity(node.daemon, base.boot, node.availability_zone, node.host)
    fleet = Fleet(identity, base.store, transport, exchange, members)
    return PlatformPeers(members, exchange, fleet, feed, places)


def _linked(
    places: PlaceFinder,
    quota_listeners: tuple[DaemonId, ...],
    members: tuple[Member, ...],
) -> tuple[Member, ...]:
    """Return the members to hold links with, beside the rings.

    With those who share quotas longer than they are mates: a daemon that leaves goes
    on taking requests for some seconds, which must be counted.
    """
    place = places.place()
    names = {*place.mates, *place.sources, *quota_listeners}
    return tuple(
        member for member in members if member.daemon in names and member.peer_endpoint
    )


def make_weights_duty(
    base: PlatformBase,
    peers: PlatformPeers,
    targets: TargetList,
    orders: ServerOrders,
    get_table: Callable[[], RouteTable | None],
    count_running: Callable[[TargetId], int],
) -> WeightsDuty:
    """Return the weights duty of this daemon.

    Args:
        base: What the parts have in common.
        peers: Who else stands ready, and who is told of changes.
        targets: The targets to change.
        orders: Orders to them and their reports.
        get_table: The route table in force; it says which groups serve a model.
        count_running: Returns how many requests run at a target.
    """
    daemon = base.node.daemon
    rollout = WeightsRollout(
        orders,
        targets,
        base.clock,
        daemon,
        lambda model: _groups_of(get_table(), model),
        peers.exchange.broadcast,
        count_running,
        most_alone_seconds=(
            MIN_DRAIN_SECONDS
            if Mechanism.RUNS_END in base.switched_off
            else MAX_DRAIN_SECONDS
        ),
    )
    peers.exchange.subscribe(
        TargetsChanging,
        lambda message, _sender: targets.note_changes(to_changes(message)),
    )
    WeightsDueExchange(peers.exchange, targets, base.clock)
    leases = LeaseKeeper(
        base.store,
        base.clock,
        daemon,
        LEASE_SECONDS,
        LEASE_MARGIN_SECONDS,
        base.node.bounds.lease_seconds + REST_MARGIN_SECONDS,
    )
    peers.exchange.subscribe(LeaseNews, lambda news, _: _take_lease(leases, news))
    duty = DutyRunner(
        leases,
        WEIGHTS_DUTY,
        lambda: is_candidate(WEIGHTS_DUTY, daemon, _entry_members(peers.members)),
        rollout.work,
        DUTY_PERIOD_SECONDS,
        base.clock,
        base.seed,
        DUTY_WATCH_SECONDS,
        rollout.last_order_seconds,
        DUTY_SETTLE_SECONDS,
        lambda lease: _tell_lease(peers, lease, is_released=False),
        lambda lease: _tell_lease(peers, lease, is_released=True),
    )
    return WeightsDuty(rollout, duty)


def _entry_members(members: MemberKeeper) -> tuple[Member, ...]:
    """Return the members that stand ready: only these know what runs at a target."""
    entry = members.entry()
    return tuple(item for item in members.members() if item.daemon in entry)


def _tell_lease(peers: PlatformPeers, lease: Lease, is_released: bool) -> None:
    """Tell those who stand ready, so that they need not read the row."""
    news = LeaseNews(duty=lease.duty, version=lease.version, is_released=is_released)
    for mate in peers.places.place().mates:
        peers.exchange.send(mate, news)


def _take_lease(leases: LeaseKeeper, news: LeaseNews) -> None:
    if news.is_released:
        leases.note_released(news.duty)
    else:
        leases.note_told(news.duty, news.version)


def _groups_of(table: RouteTable | None, model: ModelId) -> tuple[TargetGroupId, ...]:
    if table is None:
        return ()
    return tuple(
        name
        for name, group in table.groups.items()
        if group.engine is not None and model in group.engine.models
    )
