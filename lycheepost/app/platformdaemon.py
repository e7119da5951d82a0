"""The daemon on the users' platform: joins the adapter with the product's parts.

``make_platform_daemon`` joins the parts; ``PlatformDaemon`` runs their life cycle.
Nothing is decided here.
"""

import asyncio
import pathlib
from dataclasses import dataclass
from typing import Any

import structlog

from lycheepost.app.earlysockets import EarlySockets, open_socket
from lycheepost.app.leaveplan import LeavePlan, make_leave_plan
from lycheepost.app.metricspage import MetricsPage
from lycheepost.app.parts import Part, start_parts, stop_parts
from lycheepost.app.platformbase import PlatformBase, make_base
from lycheepost.app.platformpeers import (
    ADDRESS_SECONDS,
    BRIEF_ADDRESS_SECONDS,
    PlatformPeers,
    WeightsDuty,
    make_platform_peers,
    make_weights_duty,
)
from lycheepost.app.platformtraffic import (
    PlatformTraffic,
    count_sharing,
    make_key_rule,
    make_platform_traffic,
    retry_terms,
)
from lycheepost.app.rawlistener import RawListener
from lycheepost.app.settingswatch import SettingsWatch
from lycheepost.app.ticker import Ticker
from lycheepost.core.clock import Clock, SystemClock
from lycheepost.core.ids import ModelId
from lycheepost.decide.entry import lacks_entry_daemons
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.decide.freshness import may_trust_key
from lycheepost.decide.mechanisms import Mechanism, names_of
from lycheepost.decide.quotapeers import ASSUMED_DAEMONS
from lycheepost.platform.following import (
    OperatorFollower,
    ServerFollower,
    make_watches,
)
from lycheepost.platform.ingress import Directory, Readiness
from lycheepost.platform.settings import Endpoint, NodeSettings
from lycheepost.platform.store import StoreClient
from lycheepost.ports.feed import FeedPort
from lycheepost.state.addresses import MemberState
from lycheepost.state.firstreads import FirstReads
from lycheepost.state.routing import RoutingKeeper
from lycheepost.state.watch import Watch
from lycheepost.utils.metrics import ServedMetrics
from lycheepost.utils.tasks import start_task

METRICS_PORT = 9109
"""Named in deploy/system.toml as well; outside of the range that peers use."""

N_TABLES = 2
"""The operators' and the targets'."""

_log = structlog.get_logger(part="app")


@dataclass(frozen=True, slots=True)
class DaemonParts:
    """What a daemon on the platform is made of."""

    base: PlatformBase
    peers: PlatformPeers
    traffic: PlatformTraffic
    weights: WeightsDuty
    watches: tuple[Watch, Watch]
    settings: SettingsWatch
    quotas: FleetQuotas


class PlatformDaemon:
    """One running daemon on the platform.

    Args:
        made: Its parts.
        metrics: What is counted.
        plan: How it ends; None for the platform's time in force by then.
        sockets: Ports that listen already.
        metrics_port: Where metrics are served.

    Attributes:
        is_leaving: It was told to stop.
    """

    def __init__(
        self,
        made: DaemonParts,
        metrics: ServedMetrics,
        plan: LeavePlan | None,
        sockets: EarlySockets,
        metrics_port: int,
    ) -> None:
        self.is_leaving = False
        self._made = made
        self._plan = plan
        self._front = made.traffic.front
        self._parts: list[Part] = [
            made.base.store,
            *made.traffic.parts(),
            made.peers.feed,
            *made.watches,
            Ticker(self._tick),
            made.settings,
            made.peers.fleet,
            *made.weights.parts(),
            *self._listeners(metrics, sockets, metrics_port),
        ]

    @property
    def store(self) -> StoreClient:
        """Return the client of the platform's store."""
        return self._made.base.store

    @property
    def routing(self) -> RoutingKeeper:
        """Return the configuration in force."""
        return self._made.traffic.routing

    @property
    def watches(self) -> tuple[Watch, Watch]:
        """Return the watches of the operators' and of the targets' table."""
        return self._made.watches

    async def start(self) -> None:
        """Start all parts.

        Raises:
            OSError: A port is taken.
        """
        await start_parts(self._parts)
        node = self._made.base.node
        _log.info(
            "app: serving",
            boot=self._made.base.boot,
            clients=str(node.clients),
            readiness=str(node.readiness),
            directory=str(node.directory),
            switched_off=names_of(self._made.base.switched_off),
        )

    async def drain(self) -> None:
        """Leave the addresses first, then finish every request in flight."""
        grace_seconds = self._made.settings.bounds.grace_seconds
        plan = self._plan or make_leave_plan(grace_seconds)
        self.is_leaving = True
        self._front.is_leaving = True
        _log.info("app: draining", n_open=self._front.n_open)
        await self._made.weights.give_up()
        leave = start_task(self._made.peers.fleet.drain(), "leave")
        await asyncio.sleep(plan.take_seconds)
        leave.cancel()
        self._front.is_closed = True
        _log.info("app: takes nothing new", n_open=self._front.n_open)
        try:
            async with asyncio.timeout(plan.finish_seconds):
                await self._front.drain()
        except TimeoutError:
            _log.warning("app: requests outlived the drain", n_open=self._front.n_open)

    async def reload(self) -> None:
        """Read the platform's settings again."""
        self._made.settings.look()

    async def stop(self) -> None:
        """Stop all parts."""
        await stop_parts(self._parts)
        _log.info("app: stopped")

    def _listeners(
        self, metrics: ServedMetrics, sockets: EarlySockets, metrics_port: int
    ) -> list[RawListener]:
        node = self._made.base.node
        directory = Directory(self._addresses, self._address_seconds)
        page = MetricsPage(metrics, self.status)
        metrics_socket = open_socket(Endpoint(node.host, metrics_port))
        described = (
            ("clients", self._front.handle, sockets.clients),
            ("readiness", Readiness(self._is_ready).handle, sockets.readiness),
            ("directory", directory.handle, sockets.directory),
            ("metrics", page.handle, metrics_socket),
        )
        return [
            RawListener(name, handler, listening)
            for name, handler, listening in described
            if listening is not None
        ]

    def _is_fit(self) -> bool:
        """Tell whether keyed requests can be served now."""
        routing = self.routing
        return routing.table is not None and may_trust_key(
            make_key_rule(self._made.settings.bounds),
            routing.confirmed_seconds,
            self._made.base.clock.now_seconds(),
        )

    def _is_ready(self) -> bool:
        return self._is_fit() and not self.is_leaving

    def _tick(self) -> None:
        """Let time pass for targets, budgets and this daemon's own standing."""
        members = self._made.peers.members
        terms = retry_terms(self._made.settings.bounds, self._count_sharing())
        self._follow_place()
        self._made.base.store.calls.tell(self._made.base.clock.now_seconds())
        self._made.traffic.targets.refresh()
        self._made.traffic.dispatcher.set_retry_terms(terms)
        self._made.traffic.dispatcher.set_sharing_limits(self._count_senders())
        self._made.quotas.set_tolerance(self._made.settings.bounds.quota_tolerance)
        if self.is_leaving:
            return
        # Callers that are sent here while keys cannot be confirmed are refused, and
        # have lost one of the few tries that they make.
        if self._is_fit():
            members.announce_live()
        else:
            members.announce_leaving()

    def _follow_place(self) -> None:
        """Do what the place of this daemon in the fleet asks for."""
        peers, traffic = self._made.peers, self._made.traffic
        peers.places.set_targets(traffic.targets.n_listed)
        if peers.members.n_lists:
            traffic.quotas.set_fleet(len(peers.members.members()))
        traffic.follow_place(peers.members.me().daemon, peers.places.place())

    def _count_sharing(self) -> int:
        """Return among how many daemons the fleet's repeats are divided."""
        members, entry = self._made.peers.members, self._made.peers.members.entry()
        return count_sharing(members.me().daemon, entry, members.n_live())

    def _count_senders(self) -> int:
        """Return among how many daemons the limits of targets are divided.

        All that aren't gone count. Daemons that cannot reach the store are not live,
        and go on sending requests that need no key.
        """
        members = self._made.peers.members
        n_daemons = self._n_daemons()
        if not members.n_lists:
            n_daemons = max(ASSUMED_DAEMONS, n_daemons)
        return count_sharing(members.me().daemon, members.entry(), n_daemons)

    def _n_daemons(self) -> int:
        """Return how many daemons the fleet has, also those that are not live."""
        states = [member.state for member in self._made.peers.members.members()]
        return max(1, len(states) - states.count(MemberState.GONE))

    def _address_seconds(self) -> float:
        members = self._made.peers.members
        seconds = ADDRESS_SECONDS
        if lacks_entry_daemons(len(members.entry()), self._n_daemons()):
            seconds = BRIEF_ADDRESS_SECONDS
        return min(seconds, self._made.settings.bounds.address_seconds)

    def _addresses(self) -> list[str]:
        now_seconds = self._made.base.clock.now_seconds()
        answer = self._made.peers.members.addresses(None, now_seconds)
        return [item.url for item in answer.addresses]

    def status(self) -> dict[str, Any]:
        """Return what this daemon believes, with ages."""
        made = self._made
        return {
            "daemon_id": made.base.node.daemon,
            "boot": made.base.boot,
            "is_leaving": self.is_leaving,
            "switched_off": names_of(made.base.switched_off),
            "n_open": self._front.n_open,
            "configuration": self.routing.status(made.base.clock.now_seconds()),
            "watches": [watch.status() for watch in made.watches],
            "members": made.peers.members.status()["members"],
            "entry": sorted(made.peers.places.place().entry),
            "peers": made.peers.exchange.status(),
            "feed": made.peers.feed.status(),
            "targets": made.traffic.targets.status(),
            "weights": made.weights.rollout.status(),
            "duties": [made.weights.duty.status()],
            "queues": made.traffic.dispatcher.status(),
            "sends": made.traffic.client.status(),
            "notices": made.traffic.notices.status(),
            "quotas": made.quotas.status(made.base.clock.now_seconds()),
            "store": made.base.store.status(),
        }


def make_platform_daemon(
    node: NodeSettings,
    sockets: EarlySockets,
    clock: Clock | None = None,
    metrics_port: int = METRICS_PORT,
    leave_plan: LeavePlan | None = None,
    settings_file: pathlib.Path | None = None,
    switched_off: frozenset[Mechanism] = frozenset(),
) -> PlatformDaemon:
    """Join the parts of one daemon; nothing is started yet.

    Args:
        node: What the platform tells this process.
        sockets: Ports that listen already.
        clock: Tells the time; this machine's when None.
        metrics_port: Where metrics are served; 0 takes a free port.
        leave_plan: How it ends; None for the platform's time in force by then.
        settings_file: Where ``node`` was read from; looked at for changes.
        switched_off: Mechanisms of the decisions that are not used.
    """
    base = make_base(node, clock or SystemClock(), switched_off)
    metrics = ServedMetrics()
    settings = SettingsWatch(node, settings_file)
    fleet_quotas = FleetQuotas(base.seed, base.clock.now_seconds())
    peers = make_platform_peers(base, fleet_quotas)
    first_reads = FirstReads(n_wanted=N_TABLES)
    traffic = make_platform_traffic(
        base,
        peers.exchange,
        metrics,
        lambda: settings.bounds,
        first_reads,
        fleet_quotas,
    )
    weights = make_weights_duty(
        base,
        peers,
        traffic.targets,
        traffic.orders,
        lambda: traffic.routing.table,
        traffic.loads.count_running,
    )
    watches = _make_watches(base, peers.feed, traffic, weights, settings)
    for watch in watches:
        watch.on_first(first_reads.note)
    made = DaemonParts(base, peers, traffic, weights, watches, settings, fleet_quotas)
    return PlatformDaemon(made, metrics, leave_plan, sockets, metrics_port)


def _make_watches(
    base: PlatformBase,
    feed: FeedPort,
    traffic: PlatformTraffic,
    weights: WeightsDuty,
    settings: SettingsWatch,
) -> tuple[Watch, Watch]:
    def on_weights(model: ModelId, version: int, named_seconds: float | None) -> None:
        traffic.targets.want(model, version, named_seconds)
        weights.rollout.want(model, version)

    return make_watches(
        feed,
        base.clock,
        OperatorFollower(traffic.routing, base.clock, on_weights),
        ServerFollower(traffic.targets),
        lambda: make_key_rule(settings.bounds),
        base.seed,
    )
