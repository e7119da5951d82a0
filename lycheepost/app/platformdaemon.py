"""The daemon on the users' platform: wires its adapter to the other components.

``make_platform_daemon`` builds the components and ``PlatformDaemon`` runs their life
cycle. This module makes no routing decisions.
"""

import asyncio
import pathlib
from dataclasses import dataclass
from typing import Any

import structlog

from lycheepost.app.components import Component, start_components, stop_components
from lycheepost.app.earlysockets import EarlySockets, open_socket
from lycheepost.app.erarecorder import EraRecorder
from lycheepost.app.leaveplan import LeavePlan, make_leave_plan
from lycheepost.app.metricspage import MetricsPage
from lycheepost.app.platformbase import PlatformBase, make_base
from lycheepost.app.platformpeers import (
    ADDRESS_SECONDS,
    SHORT_ADDRESS_SECONDS,
    PlatformPeers,
    WeightsDuty,
    make_platform_peers,
    make_weights_duty,
)
from lycheepost.app.platformtraffic import (
    PlatformTraffic,
    make_key_rule,
    make_platform_traffic,
    retry_terms,
)
from lycheepost.app.rawlistener import LINGER_SECONDS, RawListener
from lycheepost.app.settingswatch import SettingsWatch
from lycheepost.app.ticker import Ticker
from lycheepost.core.clock import Clock, SystemClock
from lycheepost.core.ids import ModelId
from lycheepost.decide.brittle import FleetPosition
from lycheepost.decide.entry import lacks_entry_daemons
from lycheepost.decide.feedtimes import FeedTimes, make_feed_times
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.decide.freshness import may_trust_key
from lycheepost.decide.mechanisms import Mechanism, names_of
from lycheepost.decide.quotapeers import ASSUMED_DAEMONS
from lycheepost.decide.retryparts import (
    RetryPart,
    count_retry_shares,
    unknown_fleet_divisor,
)
from lycheepost.platform.directory import Directory, Readiness
from lycheepost.platform.following import (
    REWRITE_SECONDS,
    OperatorFollower,
    ServerFollower,
    make_watches,
)
from lycheepost.platform.settings import Bounds, Endpoint, NodeSettings
from lycheepost.platform.store import StoreClient
from lycheepost.state.addresses import MemberState
from lycheepost.state.fleetposition import fleet_position
from lycheepost.state.initial_reads import InitialReads
from lycheepost.state.routing import RoutingManager
from lycheepost.state.settledera import SettledEraRow
from lycheepost.state.watch import Watch
from lycheepost.targets.network import TargetNetwork
from lycheepost.utils.boundedreads import given_up_counts
from lycheepost.utils.metrics import ServedMetrics
from lycheepost.utils.tasks import start_task

METRICS_PORT = 9109
"""Also given in deploy/system.toml; outside of the port range that peers use."""

N_FIRST_READS = 5
"""The tables of the operators and of the targets, the records of the quotas' use and of
what crashes targets, and the newest settled era of the store."""

_log = structlog.get_logger(part="app")


@dataclass(frozen=True, slots=True)
class DaemonComponents:
    """The components of a daemon on the platform."""

    base: PlatformBase
    peers: PlatformPeers
    traffic: PlatformTraffic
    weights: WeightsDuty
    watches: tuple[Watch, Watch]
    eras: EraRecorder
    settings: SettingsWatch
    quotas: FleetQuotas


class PlatformDaemon:
    """One running daemon on the platform.

    Args:
        components: The components.
        metrics: The metrics to serve.
        plan: The phases of the shutdown; None to derive them from the platform's grace
            period that is in force then.
        sockets: Sockets that are already listening.
        metrics_port: Port that serves metrics.

    Attributes:
        is_leaving: Whether the shutdown has begun.
    """

    def __init__(
        self,
        components: DaemonComponents,
        metrics: ServedMetrics,
        plan: LeavePlan | None,
        sockets: EarlySockets,
        metrics_port: int,
    ) -> None:
        self.is_leaving = False
        self._components = components
        self._plan = plan
        self._ingress = components.traffic.ingress
        self._retry_part = RetryPart(
            components.settings.bounds.retry_window_seconds,
            components.base.clock.now_seconds(),
            components.base.node.is_first_start,
        )
        self._lifecycle: list[Component] = [
            components.base.store,
            components.eras,
            *components.traffic.components(),
            components.peers.feed,
            *components.watches,
            Ticker(self._tick),
            Ticker(components.base.clients.refuse_late_heads),
            components.settings,
            components.peers.fleet,
            *components.weights.components(),
            *self._listeners(metrics, sockets, metrics_port),
        ]

    @property
    def store(self) -> StoreClient:
        """Return the client of the platform's store."""
        return self._components.base.store

    @property
    def routing(self) -> RoutingManager:
        """Return the configuration in force."""
        return self._components.traffic.routing

    @property
    def watches(self) -> tuple[Watch, Watch]:
        """Return the watches of the operators' and the targets' tables."""
        return self._components.watches

    def duty_status(self) -> dict[str, object]:
        """Return whether this daemon holds the duty of rolling out weights."""
        return self._components.weights.duty.status()

    async def start(self) -> None:
        """Start all components.

        Raises:
            OSError: A port is in use.
        """
        await start_components(self._lifecycle)
        node = self._components.base.node
        _log.info(
            "app: serving",
            boot=self._components.base.boot,
            clients=str(node.clients),
            readiness=str(node.readiness),
            directory=str(node.directory),
            switched_off=names_of(self._components.base.switched_off),
        )

    async def drain(self) -> None:
        """Leave the published addresses, then finish all requests in flight."""
        grace_seconds = self._components.settings.bounds.grace_seconds
        plan = self._plan or make_leave_plan(grace_seconds)
        self.is_leaving = True
        self._ingress.is_leaving = True
        _log.info("app: draining", n_open=self._ingress.n_open)
        # The platform's time is short, and the store may be slow.
        release = start_task(self._components.weights.release(), "release-weights")
        leave = start_task(self._components.peers.fleet.drain(), "leave")
        await asyncio.sleep(plan.accept_seconds)
        leave.cancel()
        self._ingress.is_closed = True
        _log.info("app: refusing new requests", n_open=self._ingress.n_open)
        try:
            async with asyncio.timeout(plan.finish_seconds):
                await self._ingress.drain()
        except TimeoutError:
            _log.warning(
                "app: drain timed out with requests in flight",
                n_open=self._ingress.n_open,
            )
        release.cancel()

    async def reload(self) -> None:
        """Reload the platform's settings."""
        self._components.settings.reload()

    async def stop(self) -> None:
        """Answer the requests that have no response yet, and stop all components."""
        await self._ingress.end_unanswered()
        await stop_components(self._lifecycle)
        _log.info("app: stopped")

    def _listeners(
        self, metrics: ServedMetrics, sockets: EarlySockets, metrics_port: int
    ) -> list[RawListener]:
        node = self._components.base.node
        directory = Directory(self._addresses, self._address_seconds)
        account = self._components.base.clients
        page = MetricsPage(metrics, self.status, account.refused_counts)
        metrics_socket = open_socket(Endpoint(node.host, metrics_port))
        readiness = Readiness(self._is_ready)
        described = (
            ("clients", self._ingress.handle, sockets.clients, LINGER_SECONDS),
            ("readiness", readiness.handle, sockets.readiness, 0.0),
            ("directory", directory.handle, sockets.directory, 0.0),
            ("metrics", page.handle, metrics_socket, 0.0),
        )
        return [
            RawListener(name, handler, listening, account, linger_seconds)
            for name, handler, listening, linger_seconds in described
            if listening is not None
        ]

    def _can_check_keys(self) -> bool:
        """Return whether requests with an API key can be authorized now."""
        routing = self.routing
        return routing.table is not None and may_trust_key(
            make_key_rule(self._components.settings.bounds),
            routing.confirmed_seconds,
            self._components.base.clock.now_seconds(),
        )

    def _is_ready(self) -> bool:
        return self._can_check_keys() and not self.is_leaving

    def _tick(self) -> None:
        """Update targets, budgets and the announced state of this daemon."""
        members = self._components.peers.members
        terms = retry_terms(self._components.settings.bounds, self._retry_divisor())
        self._update_topology()
        self._components.base.store.calls.log_if_due(
            self._components.base.clock.now_seconds()
        )
        self._components.traffic.targets.refresh_if_due()
        self._components.traffic.dispatcher.set_retry_terms(terms)
        n_sharing = self._count_limit_shares()
        self._components.traffic.dispatcher.set_sharing_limits(n_sharing)
        self._components.traffic.notices.set_sharing(n_sharing)
        self._components.traffic.dispatcher.set_position(self._fleet_position())
        self._components.quotas.set_tolerance(
            self._components.settings.bounds.quota_tolerance
        )
        if self.is_leaving:
            return
        # While keys cannot be confirmed, this daemon refuses requests. A caller that is
        # sent here would use up one of its few attempts.
        if self._can_check_keys():
            members.announce_live()
        else:
            members.announce_leaving()

    def _update_topology(self) -> None:
        """Apply the current topology of the fleet."""
        peers, traffic = self._components.peers, self._components.traffic
        peers.topology_tracker.set_targets(traffic.targets.n_listed)
        if peers.members.n_lists:
            traffic.quotas.set_fleet(len(peers.members.members()))
        traffic.set_topology(
            peers.members.me().daemon, peers.topology_tracker.topology()
        )

    def _retry_divisor(self) -> float:
        """Return the divisor of the fleet's retry budget for this daemon.

        Daemons that are not live count too: they may still send requests.
        """
        members = self._components.peers.members
        if not members.n_lists:
            return unknown_fleet_divisor(self._components.base.node.is_first_start)
        entry = members.entry()
        return self._retry_part.divisor(
            members.me().daemon in entry,
            len(entry),
            self._n_daemons(),
            self._components.base.clock.now_seconds(),
        )

    def _count_limit_shares(self) -> int:
        """Return the divisor of the targets' rate limits for this daemon.

        All daemons that aren't gone count: those that cannot reach the store are not
        live but still send requests that need no key.
        """
        members = self._components.peers.members
        n_daemons = self._n_sending_daemons()
        if not members.n_lists:
            n_daemons = max(ASSUMED_DAEMONS, n_daemons)
        entry = members.entry()
        return count_retry_shares(members.me().daemon in entry, len(entry), n_daemons)

    def _n_sending_daemons(self) -> int:
        """Return the number of daemons that may send requests to targets.

        One that reaches no group sends none, and its callers' requests are sent by the
        others, which then share the limits among fewer.
        """
        groups = self._components.traffic.targets.groups()
        n_cut = sum(
            bool(groups) and groups <= member.unreached_groups
            for member in self._components.peers.members.members()
            if member.state is not MemberState.GONE
        )
        return max(1, self._n_daemons() - n_cut)

    def _fleet_position(self) -> FleetPosition:
        """Return this daemon's place among those that send requests to targets."""
        members = self._components.peers.members
        return fleet_position(
            members.me().daemon,
            members.members(),
            members.entry(),
            self._components.traffic.targets.groups(),
            1 if members.n_lists else ASSUMED_DAEMONS,
        )

    def _n_daemons(self) -> int:
        """Return the size of the fleet, including daemons that are not live."""
        states = [member.state for member in self._components.peers.members.members()]
        return max(1, len(states) - states.count(MemberState.GONE))

    def _address_seconds(self) -> float:
        members = self._components.peers.members
        seconds = ADDRESS_SECONDS
        if lacks_entry_daemons(len(members.entry()), self._n_daemons()):
            seconds = SHORT_ADDRESS_SECONDS
        return min(seconds, self._components.settings.bounds.address_seconds)

    def _addresses(self) -> list[str]:
        now_seconds = self._components.base.clock.now_seconds()
        answer = self._components.peers.members.addresses(None, now_seconds)
        return [item.url for item in answer.addresses]

    def status(self) -> dict[str, Any]:
        """Return the status of this daemon, with the ages of its data."""
        components = self._components
        return {
            "daemon_id": components.base.node.daemon,
            "boot": components.base.boot,
            "is_leaving": self.is_leaving,
            "switched_off": names_of(components.base.switched_off),
            "n_open": self._ingress.n_open,
            "buffers": self._ingress.buffers(),
            "clients": components.base.clients.status(),
            "configuration": self.routing.status(components.base.clock.now_seconds()),
            "watches": [watch.status() for watch in components.watches],
            "members": components.peers.members.status()["members"],
            "entry": sorted(components.peers.topology_tracker.topology().entry),
            "peers": components.peers.exchange.status(),
            "feed": components.peers.feed.status(),
            "targets": components.traffic.targets.status(),
            "weights": components.weights.rollout.status(),
            "duties": [components.weights.duty.status()],
            "queues": components.traffic.dispatcher.status(),
            "sends": components.traffic.client.status(),
            "notices": components.traffic.notices.status(),
            "limit_shares": self._count_limit_shares(),
            "retry_divisor": self._retry_divisor(),
            "own_paths": components.traffic.paths.status(),
            "stream_versions": components.traffic.stream_versions.status(),
            "stream_record": components.traffic.stream_recorder.status(),
            "quotas": components.quotas.status(components.base.clock.now_seconds()),
            "quota_record": components.traffic.quota_recorder.status(),
            "store": components.base.store.status(),
            "answers_given_up": given_up_counts(),
        }


def make_platform_daemon(
    node: NodeSettings,
    sockets: EarlySockets,
    clock: Clock | None = None,
    metrics_port: int = METRICS_PORT,
    leave_plan: LeavePlan | None = None,
    settings_file: pathlib.Path | None = None,
    switched_off: frozenset[Mechanism] = frozenset(),
    network: TargetNetwork | None = None,
) -> PlatformDaemon:
    """Build the components of one daemon without starting them.

    Args:
        node: The platform's settings for this process.
        sockets: Sockets that are already listening.
        clock: The clock; None for the system clock.
        metrics_port: Port that serves metrics; 0 for a free port.
        leave_plan: The phases of the shutdown; None to derive them from the platform's
            grace period that is in force then.
        settings_file: The file that ``node`` was read from; watched for changes.
        switched_off: Disabled mechanisms of the decisions.
        network: Opens the connections to targets; None for the usual one.
    """
    base = make_base(node, clock or SystemClock(), switched_off)
    metrics = ServedMetrics()
    settings = SettingsWatch(node, settings_file)
    fleet_quotas = FleetQuotas(base.seed, base.clock.now_seconds())
    peers = make_platform_peers(
        base, fleet_quotas, lambda: feed_times_of(settings.bounds)
    )
    first_reads = InitialReads(n_tables=N_FIRST_READS)
    traffic = make_platform_traffic(
        base,
        peers.exchange,
        peers.members,
        metrics,
        lambda: settings.bounds,
        first_reads,
        fleet_quotas,
        network or TargetNetwork(),
        lambda: watches[1].confirmed_seconds,
    )
    traffic.paths.on_change(
        lambda _group, _are_lost: peers.members.set_unreached_groups(
            traffic.paths.lost_groups()
        )
    )
    weights = make_weights_duty(
        base,
        peers,
        traffic.targets,
        traffic.orders,
        lambda: traffic.routing.table,
        traffic.loads,
        lambda: settings.bounds,
        metrics,
    )
    operators = _make_operator_follower(base, traffic, weights)
    watches = make_watches(
        peers.feed,
        base.clock,
        operators,
        ServerFollower(traffic.targets),
        lambda: make_key_rule(settings.bounds),
        base.seed,
    )
    for watch in watches:
        watch.on_first_response(first_reads.note)
    eras = _make_era_recorder(base, operators, first_reads)
    components = DaemonComponents(
        base, peers, traffic, weights, watches, eras, settings, fleet_quotas
    )
    return PlatformDaemon(components, metrics, leave_plan, sockets, metrics_port)


def feed_times_of(bounds: Bounds) -> FeedTimes:
    """Return the waits that keep the bounds for configurations and for targets."""
    bound_seconds = min(bounds.apply_seconds, bounds.drain_seconds)
    return make_feed_times(bound_seconds, bounds.contact_seconds)


def _make_operator_follower(
    base: PlatformBase, traffic: PlatformTraffic, weights: WeightsDuty
) -> OperatorFollower:
    def on_weights(model: ModelId, version: int, named_seconds: float | None) -> None:
        traffic.targets.want(model, version, named_seconds)
        weights.rollout.want(model, version)

    return OperatorFollower(traffic.routing, base.clock, on_weights)


def _make_era_recorder(
    base: PlatformBase, operators: OperatorFollower, first_reads: InitialReads
) -> EraRecorder:
    recorder = EraRecorder(
        SettledEraRow(base.store),
        REWRITE_SECONDS,
        base.node.is_first_start,
        operators.note_settled,
        first_reads.note,
    )
    base.store.eras.subscribe_first(recorder.note_first)
    base.store.eras.subscribe(recorder.note_restored)
    return recorder
