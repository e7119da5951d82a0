"""The daemon: builds its parts, starts them in order, drains and stops them.

``make_daemon`` joins the parts; ``Daemon`` only runs their life cycle. Nothing
is decided here.
"""

import asyncio
import itertools
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import structlog
from aiohttp import web
from returns.pipeline import is_successful

from lycheepost.app.feed import TargetFeed
from lycheepost.app.listeners import Listener
from lycheepost.app.parts import Part, drain_parts, start_parts, stop_parts
from lycheepost.app.settings import fallback_configuration
from lycheepost.app.status import fleet_status
from lycheepost.callers.deps import CallerDeps
from lycheepost.callers.dispatch import Dispatcher
from lycheepost.callers.routes import CallerFront
from lycheepost.core.clock import Clock, SystemClock
from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import (
    AvailabilityZone,
    CustomerId,
    DaemonId,
    RequestId,
    TargetId,
)
from lycheepost.decide.records import TargetState
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import make_scheduler_settings
from lycheepost.generated.callers import AddressList
from lycheepost.generated.settings import Settings
from lycheepost.operators.access import identify_operator
from lycheepost.operators.ports import OperatorDeps
from lycheepost.operators.routes import make_operator_routes
from lycheepost.platform.http_objects import make_http_objects
from lycheepost.platform.http_table import make_http_table
from lycheepost.platform.http_vms import make_http_vm_list
from lycheepost.platform.http_weights import make_http_weights
from lycheepost.platform.objects import ObjectPort
from lycheepost.platform.table import TablePort
from lycheepost.platform.vms import VmListPort
from lycheepost.platform.weights import WeightsPort
from lycheepost.report.history import HistoryKeeper
from lycheepost.report.routes import make_report_routes
from lycheepost.report.samples import Recorder
from lycheepost.state.addresses import Member, MemberState
from lycheepost.state.claims import ClaimLimits, make_claim_keeper
from lycheepost.state.members import MemberKeeper, make_member_keeper
from lycheepost.state.revisions import RevisionKeeper, make_revision_keeper
from lycheepost.state.signs import SignSource, TargetSign
from lycheepost.targets.engine import make_engine_client
from lycheepost.targets.service import make_service_client
from lycheepost.utils.metrics import make_metrics

_UNREACHABLE_SECONDS = 2.0
"""A target that refused a connection gets no new work for this long; it is asked
for its health meanwhile."""
_EXPECTED_DAEMONS = 7
"""Daemons that share the table's writes, until members say otherwise."""
_log = structlog.get_logger(part="app")


@dataclass(frozen=True)
class Platform:
    """The platform's services as this daemon reaches them."""

    table: TablePort
    objects: ObjectPort
    weights: WeightsPort
    vm_list: VmListPort
    closers: tuple[Callable[[], Any], ...] = ()


def make_http_platform(settings: Settings) -> Platform:
    """Return clients of the services that the settings name."""
    platform = settings.platform
    timeout_seconds = platform.timeout_seconds
    table = make_http_table(platform.table_url, timeout_seconds)
    objects = make_http_objects(platform.objects_url, timeout_seconds)
    weights = make_http_weights(platform.weights_url, timeout_seconds)
    vm_list = make_http_vm_list(platform.vm_list_url, timeout_seconds)
    closers = tuple(client.close for client in (table, objects, weights, vm_list))
    return Platform(table, objects, weights, vm_list, closers)


class Daemon:
    """One running daemon.

    Attributes:
        front: The callers' handlers.
        callers: The callers' listener; tells the port.
        operators: The operators' listener; tells the port.
        revisions: The configuration in force here.
        feed: Passes targets to the scheduler.
    """

    def __init__(
        self,
        settings: Settings,
        parts: list[Part],
        front: CallerFront,
        callers: Listener,
        operators: Listener,
        revisions: RevisionKeeper,
        members: MemberKeeper,
        feed: TargetFeed,
        platform: Platform,
        drain_state: "DrainState",
    ) -> None:
        self.front = front
        self.revisions = revisions
        self.feed = feed
        self.callers = callers
        self.operators = operators
        self._settings = settings
        self._parts = parts
        self._members = members
        self._platform = platform
        self._drain_state = drain_state

    @property
    def callers_url(self) -> str:
        """Return the base address for callers."""
        host = _advertised_host(self._settings)
        return f"{self.callers.scheme}://{host}:{self.callers.port}"

    async def start(self) -> None:
        """Start all parts; when it returns the daemon serves.

        Raises:
            OSError: A port is taken.
        """
        await start_parts(self._parts)
        # Only now are the ports known where the settings leave them open.
        self._members.announce_callers_url(self.callers_url)
        _log.info("app: serving", url=self.callers_url)

    async def drain(self) -> None:
        """Leave the addresses first, then finish every request in flight.

        Callers keep an addresses answer for a while, so for that time new
        requests are still served; then they are refused as not run, with the
        advice to use another address.
        """
        daemon = self._settings.daemon
        _log.info("app: draining", n_open=self.front.n_open)
        self._members.announce_leaving()
        await asyncio.sleep(daemon.announce_leaving_seconds)
        self._drain_state.is_draining = True
        try:
            async with asyncio.timeout(daemon.drain_seconds):
                await self._finish_requests()
        except TimeoutError:
            _log.warning("app: requests outlived the drain", n_open=self.front.n_open)

    async def _finish_requests(self) -> None:
        await self.front.drain()
        await drain_parts(self._parts, self._settings.daemon.drain_seconds)

    async def stop(self) -> None:
        """Stop all parts."""
        await stop_parts(self._parts)
        for close in self._platform.closers:
            await close()
        _log.info("app: stopped")


@dataclass
class DrainState:
    """Whether the daemon still takes new requests."""

    is_draining: bool = False


def _advertised_host(settings: Settings) -> str:
    return settings.listeners.advertised_host or settings.listeners.host


def make_daemon(
    settings: Settings,
    platform: Platform | None = None,
    clock: Clock | None = None,
) -> Daemon:
    """Join the parts of one daemon; nothing is started yet.

    Args:
        settings: Checked settings.
        platform: The platform's services; HTTP clients of the settings' when
            None.
        clock: Tells the time; this machine's when None.
    """
    clock = clock or SystemClock()
    platform = platform or make_http_platform(settings)
    daemon_id = DaemonId(settings.daemon.daemon_id)
    boot = secrets.token_hex(6)
    seed = hash_bytes(boot.encode())
    metrics = make_metrics(settings.metrics)
    drain_state = DrainState()

    revisions = make_revision_keeper(
        platform.table,
        platform.objects,
        clock,
        poll_seconds=settings.state.poll_seconds,
        fallback=fallback_configuration(settings),
        n_daemons=lambda: members.n_live(),
        seed=seed,
    )
    members = make_member_keeper(
        platform.vm_list,
        clock,
        _make_member(settings, daemon_id, boot, clock),
        lambda: revisions.view,
        poll_seconds=settings.state.vm_list_poll_seconds,
        addresses_valid_seconds=settings.state.addresses_valid_seconds,
        seed=seed,
    )
    claims = make_claim_keeper(
        platform.table,
        platform.objects,
        clock,
        daemon_id,
        limits=_claim_limits(settings),
        owner_is_live=members.owner_is_live,
        boot=boot,
    )
    scheduler = Scheduler(make_scheduler_settings(settings), seed)
    dispatcher = Dispatcher(scheduler, clock)
    engines = make_engine_client(settings.streams, clock)
    services = make_service_client(settings.streams)
    recorder = Recorder(daemon_id, boot, settings.objectives)

    def member_names() -> tuple[str, ...]:
        return tuple(member.daemon for member in members.members())

    history = HistoryKeeper(recorder, platform.objects, clock, member_names)
    feed = TargetFeed(
        dispatcher,
        lambda: revisions.view,
        members.target_states,
        lambda: {},
    )

    def on_unreachable(target: TargetId) -> None:
        sign = TargetSign(SignSource.CONNECTION, TargetState.GONE, _UNREACHABLE_SECONDS)
        members.observe_target(target, sign, clock.now_seconds())
        feed.feed()

    def addresses(customer: CustomerId | None) -> AddressList:
        chosen = members.addresses(customer, clock.now_seconds())
        return AddressList(
            addresses=[item.url for item in chosen.addresses],
            valid_for_seconds=chosen.valid_for_seconds,
        )

    def status() -> dict[str, Any]:
        return {
            "daemon_id": daemon_id,
            "deployment": settings.deployment,
            "availability_zone": settings.daemon.availability_zone,
            "revision": revisions.revision,
            "is_draining": drain_state.is_draining,
            "n_open": front.n_open,
            "configuration": revisions.status(),
            "members": members.status()["members"],
            "targets": members.status()["targets"],
            "queues": dispatcher.status(),
            "claims": claims.status(),
            "engines": engines.status(),
            "report": history.status(),
        }

    front = CallerFront(
        CallerDeps(
            settings=settings,
            configuration=revisions,
            dispatcher=dispatcher,
            engines=engines,
            services=services,
            claims=claims,
            clock=clock,
            metrics=metrics,
            addresses=addresses,
            make_request_id=_request_ids(daemon_id, boot),
            on_unreachable=on_unreachable,
            on_sample=lambda sample: recorder.record(sample, clock.wall_seconds()),
            is_draining=lambda: drain_state.is_draining,
            status=status,
        )
    )
    operator_deps = OperatorDeps(
        revisions=revisions,
        table=platform.table,
        clock=clock,
        settings=settings.operators,
        weights=platform.weights,
        fleet=lambda: fleet_status(settings, revisions, members, clock),
    )
    operator_routes = [
        *make_operator_routes(operator_deps),
        *make_report_routes(
            recorder,
            history,
            clock,
            member_names,
            lambda header: is_successful(identify_operator(operator_deps, header)),
        ),
    ]
    callers, operators = _make_listeners(settings, front.routes(), operator_routes)
    parts: list[Part] = [
        revisions,
        members,
        claims,
        engines,
        services,
        dispatcher,
        feed,
        history,
        callers,
        operators,
    ]
    return Daemon(
        settings,
        parts,
        front,
        callers,
        operators,
        revisions,
        members,
        feed,
        platform,
        drain_state,
    )


def _make_listeners(
    settings: Settings,
    caller_routes: list[web.RouteDef],
    operator_routes: list[web.RouteDef],
) -> tuple[Listener, Listener]:
    listeners = settings.listeners
    shared = operator_routes if listeners.operators_on_callers_port else []
    callers = Listener(
        "callers",
        [*caller_routes, *shared],
        listeners.host,
        listeners.callers_port,
        settings.limits,
    )
    operators = Listener(
        "operators",
        operator_routes,
        listeners.host,
        listeners.operators_port,
        settings.limits,
    )
    return callers, operators


def _make_member(
    settings: Settings, daemon_id: DaemonId, boot: str, clock: Clock
) -> Member:
    scheme = "http" if settings.listeners.callers_tls is None else "https"
    host = _advertised_host(settings)
    return Member(
        daemon=daemon_id,
        boot=boot,
        state=MemberState.LIVE,
        availability_zone=AvailabilityZone(settings.daemon.availability_zone),
        callers_url=f"{scheme}://{host}:{settings.listeners.callers_port}",
        peer_endpoint=f"tcp://{host}:{settings.peers.port}",
        started_wall_seconds=clock.wall_seconds(),
    )


def _claim_limits(settings: Settings) -> ClaimLimits:
    state = settings.state
    writes_per_second = settings.platform.table_writes_per_second
    return ClaimLimits(
        wait_seconds=settings.platform.timeout_seconds * 2,
        answer_bytes=settings.streams.stored_answer_bytes,
        batch_seconds=state.claim_batch_seconds,
        batch_rows=state.claim_batch,
        even_writes_per_second=writes_per_second / _EXPECTED_DAEMONS,
        most_writes_per_second=writes_per_second,
    )


def _request_ids(daemon_id: DaemonId, boot: str) -> Callable[[], RequestId]:
    """Return a maker of ids that no other daemon and no earlier start can make."""
    numbers = itertools.count(1)
    return lambda: RequestId(f"{daemon_id}-{boot}-{next(numbers)}")
