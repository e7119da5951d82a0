"""Members, peer links and the weights duty of a daemon on the platform."""

from collections.abc import Callable
from dataclasses import dataclass

from lycheepost.app.components import Component
from lycheepost.app.fleet import Fleet, Identity
from lycheepost.app.fleettopology import EntryChooser, TopologyTracker
from lycheepost.app.platformbase import PlatformBase
from lycheepost.app.weightsdue import WeightsDueExchange
from lycheepost.core.ids import (
    DaemonId,
    ModelId,
    TargetGroupId,
)
from lycheepost.core.routing import RouteTable
from lycheepost.decide.feedtimes import FeedTimes
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.rollout import MAX_DRAIN_SECONDS, MIN_DRAIN_SECONDS
from lycheepost.generated.configuration import Configuration
from lycheepost.generated.messages import LeaseNews, TargetsChanging
from lycheepost.operators.rolloutpacer import FleetLoad, RolloutPacer
from lycheepost.operators.weightsrollout import WeightsRollout
from lycheepost.operators.weightsupdates import to_changes
from lycheepost.peers.exchange import PeerExchange, make_peer_exchange
from lycheepost.peers.feedshare import SharedFeed
from lycheepost.peers.membership import MemberExchange
from lycheepost.peers.sockets import make_socket_transport
from lycheepost.platform.orders import ServerOrders
from lycheepost.platform.settings import Bounds
from lycheepost.state.addresses import Member, MemberState
from lycheepost.state.duties import DutyRunner, is_candidate
from lycheepost.state.leases import Lease, LeaseManager
from lycheepost.state.memberrows import MemberRows
from lycheepost.state.members import MemberManager, make_member_manager
from lycheepost.state.targetlist import TargetList
from lycheepost.state.view import make_view
from lycheepost.utils.metrics import Metrics

EXCHANGE_SECONDS = 0.4
PEER_LINKS = 3
"""Number of rings of links (see ``peers.neighbours``), in addition to the links for
load and for store requests. With three rings a change of a target reaches all daemons
in few hops, even if some daemons are dead."""

MEMBER_POLL_SECONDS = 12.0
"""Poll interval of the member table, which is needed only to discover the first peers:
peers then report each other."""

FLEET_POLL_SECONDS = 2.0
"""Poll interval of the member table for the fleet as a whole, whatever its size. A
daemon that no peer has reported is found and announced within some seconds."""

ADDRESS_SECONDS = 0.9
"""How long clients may cache an addresses response. Some keep it three times as long,
which is as long as a leaving daemon accepts requests."""

SHORT_ADDRESS_SECONDS = 0.25
"""``ADDRESS_SECONDS`` while few daemons can be listed. Callers then learn soon of
daemons that are available again. Four lookups per second and caller cost each daemon
little, since all daemons serve them."""

WEIGHTS_DUTY = "weights"
LEASE_SECONDS = 3.6
LEASE_MARGIN_SECONDS = 1.65
"""A holder may send orders until 1.95 s after its last renewal, the next holder from
5.25 s on. The gap of 3.3 s exceeds the time that the platform requires between two
holders' orders to one server. If the holder dies as new weights are published, four of
the ten seconds that the platform allows are left for the change itself."""

ORDER_GAP_MARGIN_SECONDS = 0.3
"""Added to the time that the platform requires between two holders' orders, for an
order that is still in transit when its holder releases the lease."""

DUTY_PERIOD_SECONDS = 0.8
"""Allows two renewals within the time that a holder may send orders."""

DUTY_SETTLE_SECONDS = 1.2
"""Time after its start until a daemon knows its peers. A lease of an earlier start
expires only after five seconds."""

LEASE_POLL_SECONDS = 0.7
"""Poll interval of the lease for candidates. It delays a takeover by at most a tenth of
the time that the platform allows for new weights. All candidates together make some
four reads per second; the store serves two thousand."""


@dataclass(frozen=True, slots=True)
class PlatformPeers:
    """The components that connect this daemon with its peers.

    Attributes:
        topology_tracker: Computes the topology of the fleet.
    """

    members: MemberManager
    exchange: PeerExchange
    fleet: Fleet
    feed: SharedFeed
    topology_tracker: TopologyTracker


@dataclass(frozen=True, slots=True)
class WeightsDuty:
    """The duty of rolling out new weights to the targets."""

    rollout: WeightsRollout
    duty: DutyRunner

    def components(self) -> list[Component]:
        """Return the components in start order."""
        return [self.rollout, self.duty]

    async def release(self) -> None:
        """Release the lease and start no further changes."""
        await self.duty.stop()
        await self.rollout.stop()


def make_platform_peers(
    base: PlatformBase, quotas: FleetQuotas, get_feed_times: Callable[[], FeedTimes]
) -> PlatformPeers:
    """Return members and links without opening any connection.

    Args:
        base: The state shared by the components.
        quotas: Lists the daemons to exchange quota counts with.
        get_feed_times: Returns how long to wait for whom when following the store.
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
    # Only members are kept here; the targets come from the platform's own list.
    view = make_view(Configuration(revision=0))
    chooser = EntryChooser(ignores_paths=Mechanism.PATH_STEERING in base.switched_off)
    members = make_member_manager(
        MemberRows(base.store),
        base.clock,
        me,
        lambda: view,
        MEMBER_POLL_SECONDS,
        ADDRESS_SECONDS,
        base.seed,
        includes_unconfirmed=False,
        choose_entry_daemons=chooser.choose,
        fleet_poll_seconds=FLEET_POLL_SECONDS,
    )
    topology_tracker = TopologyTracker(members, chooser)
    transport = make_socket_transport(node.daemon, node.host, node.peer_ports[0])
    exchange = make_peer_exchange(
        transport,
        members,
        base.clock,
        lambda: 0,
        PEER_LINKS,
        EXCHANGE_SECONDS,
        lambda known: _members_to_link(
            topology_tracker, quotas.listeners(base.clock.now_seconds()), known
        ),
    )
    MemberExchange(exchange, members, base.clock)
    feed = SharedFeed(
        base.store,
        exchange,
        base.clock,
        lambda: topology_tracker.topology().sources,
        get_feed_times,
    )
    identity = Identity(
        node.daemon,
        base.boot,
        node.availability_zone,
        node.host,
        node.is_first_start,
    )
    fleet = Fleet(identity, base.store, transport, exchange, members)
    base.store.eras.subscribe(lambda _era: fleet.note_restored())
    return PlatformPeers(members, exchange, fleet, feed, topology_tracker)


def _members_to_link(
    topology_tracker: TopologyTracker,
    quota_listeners: tuple[DaemonId, ...],
    members: tuple[Member, ...],
) -> tuple[Member, ...]:
    """Return the members to hold links with, in addition to the rings.

    Daemons that share quotas keep their links longer than other peers: a leaving daemon
    accepts requests for some more seconds, and these must be counted.
    """
    topology = topology_tracker.topology()
    names = {*topology.peers, *topology.sources, *quota_listeners}
    return tuple(
        member for member in members if member.daemon in names and member.peer_endpoint
    )


def make_weights_duty(
    base: PlatformBase,
    peers: PlatformPeers,
    targets: TargetList,
    orders: ServerOrders,
    get_table: Callable[[], RouteTable | None],
    load: FleetLoad,
    get_bounds: Callable[[], Bounds],
    metrics: Metrics,
) -> WeightsDuty:
    """Return the weights duty of this daemon.

    Args:
        base: The state shared by the components.
        peers: The other candidates, and the daemons that are notified of changes.
        targets: The targets to change.
        orders: Sends orders to targets and reads their reports.
        get_table: Returns the route table, which says which groups serve a model.
        load: The load of all daemons.
        get_bounds: Returns the current bounds.
        metrics: Receives the pace of the rollout.
    """
    daemon = base.node.daemon
    pacer = RolloutPacer(
        load,
        base.clock,
        lambda: get_bounds().weights_seconds,
        metrics,
        is_off=Mechanism.ROLLOUT_PACE in base.switched_off,
    )
    rollout = WeightsRollout(
        orders,
        targets,
        base.clock,
        daemon,
        lambda model: _groups_of(get_table(), model),
        peers.exchange.broadcast,
        load,
        pacer,
        max_drain_seconds=(
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
    leases = LeaseManager(
        base.store,
        base.clock,
        daemon,
        LEASE_SECONDS,
        LEASE_MARGIN_SECONDS,
        base.node.bounds.lease_seconds + ORDER_GAP_MARGIN_SECONDS,
    )
    peers.exchange.subscribe(
        LeaseNews, lambda update, _: _receive_lease(leases, update)
    )
    duty = DutyRunner(
        leases,
        WEIGHTS_DUTY,
        lambda: is_candidate(WEIGHTS_DUTY, daemon, _entry_members(peers.members)),
        rollout.work,
        DUTY_PERIOD_SECONDS,
        base.clock,
        base.seed,
        LEASE_POLL_SECONDS,
        rollout.last_order_seconds,
        DUTY_SETTLE_SECONDS,
        lambda lease: _publish_lease(peers, lease, is_released=False),
        lambda lease: _publish_lease(peers, lease, is_released=True),
        can_work=lambda: _reaches_engines(
            get_table(), peers.members.me().unreached_groups
        ),
    )
    return WeightsDuty(rollout, duty)


def _entry_members(members: MemberManager) -> tuple[Member, ...]:
    """Return the entry daemons, which alone know what runs at a target."""
    entry = members.entry()
    return tuple(item for item in members.members() if item.daemon in entry)


def _publish_lease(peers: PlatformPeers, lease: Lease, is_released: bool) -> None:
    """Notify the other candidates, so that they need not read the lease row."""
    update = LeaseNews(duty=lease.duty, version=lease.version, is_released=is_released)
    for peer in peers.topology_tracker.topology().peers:
        peers.exchange.send(peer, update)


def _receive_lease(leases: LeaseManager, update: LeaseNews) -> None:
    if update.is_released:
        leases.note_released(update.duty)
    else:
        leases.note_renewed(update.duty, update.version)


def _reaches_engines(
    table: RouteTable | None, unreached: frozenset[TargetGroupId]
) -> bool:
    """Return whether a daemon reaches some group of engines, as far as it knows."""
    if table is None:
        return True
    engines = {name for name, group in table.groups.items() if group.engine is not None}
    return not engines or not engines <= unreached


def _groups_of(table: RouteTable | None, model: ModelId) -> tuple[TargetGroupId, ...]:
    if table is None:
        return ()
    return tuple(
        name
        for name, group in table.groups.items()
        if group.engine is not None and model in group.engine.models
    )
