"""The daemon: wires its components together and runs their life cycle.

``make_daemon`` builds the components; ``Daemon`` starts, drains and stops them. This
module makes no routing decisions. On the users' platform ``app.platformdaemon`` takes
its place.
"""

import asyncio
import secrets
from collections.abc import Callable
from typing import Any

import structlog
from aiohttp import web
from returns.pipeline import is_successful

from lycheepost.app.capacity import make_capacity
from lycheepost.app.components import (
    Component,
    drain_components,
    start_components,
    stop_components,
)
from lycheepost.app.gauges import GaugeReporter
from lycheepost.app.listeners import Listener, make_caller_account, make_listener
from lycheepost.app.platform import Platform, make_http_platform
from lycheepost.app.settings import fallback_configuration
from lycheepost.app.status import fleet_status
from lycheepost.app.ticker import Ticker
from lycheepost.app.traffic import Traffic, make_traffic
from lycheepost.callers.clientaccount import ClientAccount
from lycheepost.core.clock import Clock, SystemClock
from lycheepost.core.ids import DaemonId
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.generated.settings import PeerSettings, Settings
from lycheepost.operators.access import identify_operator
from lycheepost.operators.ports import OperatorDeps
from lycheepost.operators.routes import make_operator_routes
from lycheepost.peers.shared import Ports, SharedState, make_shared_state
from lycheepost.peers.sockets import PeerKeys, SocketTransport, make_socket_transport
from lycheepost.report.history import HistoryManager
from lycheepost.report.routes import make_report_routes
from lycheepost.report.samples import Recorder
from lycheepost.state.addresses import Member
from lycheepost.utils.boundedreads import given_up_counts
from lycheepost.utils.metrics import make_metrics

_START_ID_BITS = 48
"""Large enough that two starts of a daemon practically never share a number."""

_log = structlog.get_logger(part="app")


class Daemon:
    """One running daemon.

    Attributes:
        state: The shared state: configuration, members, claims, leases.
        traffic: The components that carry requests.
        callers: The listener for callers; knows its port.
        operators: The listener for operators; knows its port.
        status: Returns the response body of ``/admin/status``.
    """

    def __init__(
        self,
        settings: Settings,
        state: SharedState,
        traffic: Traffic,
        callers: Listener,
        operators: Listener,
        components: list[Component],
        status: Callable[[], dict[str, Any]],
    ) -> None:
        self.state = state
        self.status = status
        self.traffic = traffic
        self.callers = callers
        self.operators = operators
        self._settings = settings
        self._components = components

    @property
    def callers_url(self) -> str:
        """Return the base URL for callers."""
        listeners = self._settings.listeners
        host = listeners.advertised_host or listeners.host
        return f"{self.callers.scheme}://{host}:{self.callers.port}"

    async def start(self) -> None:
        """Start all components; the daemon serves once this returns.

        Raises:
            OSError: A port is in use.
        """
        await start_components(self._components)
        # Ports that the settings leave open are known only after the start.
        self.state.members.set_callers_url(self.callers_url)
        _log.info(
            "app: serving",
            url=self.callers_url,
            peer_endpoint=self.state.members.me().peer_endpoint,
        )

    async def drain(self) -> None:
        """Leave the published addresses, then finish all requests in flight.

        Callers cache the addresses response, so new requests are still served for
        ``announce_leaving_seconds``. After that they are refused as not run, with the
        advice to use another address.
        """
        daemon = self._settings.daemon
        caller_api = self.traffic.caller_api
        _log.info("app: draining", n_open=caller_api.n_open)
        self.state.members.announce_leaving()
        await asyncio.sleep(daemon.announce_leaving_seconds)
        self.traffic.drain_state.is_draining = True
        try:
            async with asyncio.timeout(daemon.drain_seconds):
                await caller_api.drain()
        except TimeoutError:
            _log.warning(
                "app: drain timed out with requests in flight", n_open=caller_api.n_open
            )
        await drain_components(self._components, daemon.drain_seconds)

    async def stop(self) -> None:
        """Stop all components."""
        await stop_components(self._components)
        _log.info("app: stopped")


def make_daemon(
    settings: Settings,
    platform: Platform | None = None,
    clock: Clock | None = None,
) -> Daemon:
    """Build the components of one daemon without starting them.

    Args:
        settings: Validated settings.
        platform: Clients of the platform's services; None for HTTP clients as
            described by the settings.
        clock: The clock; None for the system clock.
    """
    clock = clock or SystemClock()
    platform = platform or make_http_platform(settings)
    fleet_quotas = make_fleet_quotas(clock)
    state = make_shared_state(
        Ports(platform.table, platform.objects, platform.vm_list),
        make_transport(settings),
        clock,
        settings,
        fallback_configuration(settings),
        choose_peers=lambda members: _quota_peers(fleet_quotas, members, clock),
    )
    me = state.members.me()
    recorder = Recorder(me.daemon, me.boot, settings.objectives)
    history = HistoryManager(
        recorder, platform.objects, clock, lambda: _member_names(state)
    )

    def status() -> dict[str, Any]:
        described = make_status(settings, state, traffic, history)
        return described | {"capacity": capacity.status()}

    metrics = make_metrics(settings.metrics)
    traffic = make_traffic(
        settings, state, recorder, metrics, clock, status, fleet_quotas
    )
    operator_routes = _make_operator_routes(
        settings, platform, state, recorder, history, clock, fleet_quotas
    )
    account = make_caller_account(settings.limits)
    callers, operators = _make_listeners(settings, traffic, operator_routes, account)
    capacity = make_capacity(
        settings, platform, state, traffic.control, traffic.hot, clock
    )
    components: list[Component] = [
        platform,
        state,
        *traffic.components(),
        history,
        capacity,
        Ticker(account.refuse_late_heads),
        callers,
        operators,
    ]
    if settings.metrics.statsd_host:
        components.append(GaugeReporter(status, metrics))
    return Daemon(settings, state, traffic, callers, operators, components, status)


def make_fleet_quotas(clock: Clock) -> FleetQuotas:
    """Return the quotas of a newly started daemon."""
    return FleetQuotas(secrets.randbits(_START_ID_BITS), clock.now_seconds())


def _quota_peers(
    quotas: FleetQuotas, members: tuple[Member, ...], clock: Clock
) -> tuple[Member, ...]:
    """Return the members to exchange quota counts with; none without quotas."""
    if not quotas.has_quotas:
        return ()
    names = set(quotas.listeners(clock.now_seconds()))
    return tuple(member for member in members if member.daemon in names)


def _member_names(state: SharedState) -> tuple[str, ...]:
    return tuple(member.daemon for member in state.members.members())


def make_transport(settings: Settings) -> SocketTransport:
    """Return the peer transport described by the settings."""
    listeners = settings.listeners
    return make_socket_transport(
        DaemonId(settings.daemon.daemon_id),
        listeners.advertised_host or listeners.host,
        settings.peers.port,
        _peer_keys(settings.peers),
        settings.peers.queue_messages,
    )


def _peer_keys(peers: PeerSettings) -> PeerKeys | None:
    if not peers.secret_key:
        return None
    trusted = tuple(peers.trusted_public_keys)
    return PeerKeys(peers.public_key, peers.secret_key, trusted)


def make_status(
    settings: Settings, state: SharedState, traffic: Traffic, history: HistoryManager
) -> dict[str, Any]:
    """Return the response of ``/admin/status``, which holds no customer data."""
    members = state.members.status()
    return {
        "daemon_id": settings.daemon.daemon_id,
        "deployment": settings.deployment,
        "availability_zone": settings.daemon.availability_zone,
        "revision": state.revisions.revision,
        "is_draining": traffic.drain_state.is_draining,
        "n_open": traffic.caller_api.n_open,
        "configuration": state.revisions.status(),
        "members": members["members"],
        "targets": members["targets"],
        "queues": traffic.dispatcher.status(),
        "peers": state.exchange.status(),
        "answers_given_up": given_up_counts(),
        "claims": state.claims.status(),
        "duties": [duty.status() for duty in state.duties],
        "engines": traffic.engines.status(),
        "reports": traffic.observer.status(),
        "report": history.status(),
    }


def _make_operator_routes(
    settings: Settings,
    platform: Platform,
    state: SharedState,
    recorder: Recorder,
    history: HistoryManager,
    clock: Clock,
    fleet_quotas: FleetQuotas,
) -> list[web.RouteDef]:
    deps = OperatorDeps(
        revisions=state.revisions,
        table=platform.table,
        clock=clock,
        settings=settings.operators,
        weights=platform.weights,
        fleet=lambda: fleet_status(settings, state.revisions, state.members),
        quotas=lambda: fleet_quotas.status(clock.now_seconds()),
    )
    report_routes = make_report_routes(
        recorder,
        history,
        clock,
        lambda: _member_names(state),
        lambda header: is_successful(identify_operator(deps, header)),
    )
    return [*make_operator_routes(deps), *report_routes]


def _make_listeners(
    settings: Settings,
    traffic: Traffic,
    operator_routes: list[web.RouteDef],
    account: ClientAccount,
) -> tuple[Listener, Listener]:
    listeners = settings.listeners
    caller_routes = traffic.caller_api.routes()
    if listeners.operators_on_callers_port:
        caller_routes = [*caller_routes, *operator_routes]
    callers = make_listener(
        "callers",
        caller_routes,
        listeners.host,
        listeners.callers_port,
        settings.limits,
        account,
        listeners.callers_tls,
    )
    operators = make_listener(
        "operators",
        operator_routes,
        listeners.host,
        listeners.operators_port,
        settings.limits,
        account,
        listeners.operators_tls,
    )
    return callers, operators
