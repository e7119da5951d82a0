"""The daemon on the users' platform: joins the adapter with the product's parts.

``make_platform_daemon`` joins the parts; ``PlatformDaemon`` runs their life cycle.
Nothing is decided here.
"""

import asyncio
import functools
import itertools
import pathlib
import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import structlog

from lycheepost.app.cachefollow import CacheFollower
from lycheepost.app.earlysockets import EarlySockets, open_socket
from lycheepost.app.fleet import Fleet, Identity
from lycheepost.app.loads import LoadExchange
from lycheepost.app.losses import LossExchange
from lycheepost.app.metricspage import MetricsPage
from lycheepost.app.parts import Part, start_parts, stop_parts
from lycheepost.app.rawlistener import RawListener
from lycheepost.app.settingswatch import SettingsWatch
from lycheepost.callers.dispatch import Dispatcher
from lycheepost.callers.forwarddeps import ForwardDeps
from lycheepost.core.clock import Clock, SystemClock
from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import (
    Incarnation,
    ModelId,
    RequestId,
    TargetGroupId,
    TargetId,
)
from lycheepost.core.routing import RouteTable
from lycheepost.decide.freshness import KeyRule, may_trust_key
from lycheepost.decide.records import LoadReport, TargetView
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import SchedulerSettings
from lycheepost.generated.messages import TargetChanging
from lycheepost.generated.settings import StreamSettings
from lycheepost.operators.weightsrollout import WeightsRollout
from lycheepost.peers.exchange import make_peer_exchange
from lycheepost.peers.membership import MemberExchange
from lycheepost.peers.sockets import make_socket_transport
from lycheepost.platform.cacheevents import CacheEventsClient
from lycheepost.platform.dialect import ServerDialect
from lycheepost.platform.following import (
    OperatorFollower,
    ServerFollower,
    make_watches,
)
from lycheepost.platform.ingress import ClientFront, Directory, Readiness
from lycheepost.platform.orders import ServerOrders
from lycheepost.platform.settings import Bounds, Endpoint, NodeSettings
from lycheepost.platform.store import StoreClient
from lycheepost.state.addresses import Member, MemberState
from lycheepost.state.duties import DutyRunner, is_candidate
from lycheepost.state.leases import LeaseKeeper
from lycheepost.state.memberrows import MemberRows
from lycheepost.state.members import make_member_keeper
from lycheepost.state.routing import RoutingKeeper
from lycheepost.state.targetlist import TargetList
from lycheepost.state.view import ConfigurationView, make_view
from lycheepost.state.watch import Watch
from lycheepost.targets.forward import ForwardClient
from lycheepost.targets.forwardcall import AnswerHead
from lycheepost.utils.metrics import ServedMetrics

METRICS_PORT = 9109
"""Named in deploy/system.toml as well; outside of the range that peers use."""

WEIGHTS_DUTY = "weights"
LEASE_SECONDS = 3.6
LEASE_MARGIN_SECONDS = 1.65
"""A holder orders until 1.95 s after its last renewal, the next one from 5.25 s on.
Between them lie 3.3 s, more than the platform asks between two holders' orders to
one server; and weights that were named as their holder died are in place within the
ten seconds that it allows, with four seconds for the change itself."""
DUTY_PERIOD_SECONDS = 0.8
"""Two renewals within the time that a holder may order."""
DUTY_WATCH_SECONDS = 0.7
"""How often the daemons that stand ready look at the lease: a tenth of the time
allowed, at four reads a second of the store's two thousand."""

CONNECT_SECONDS = 0.25
"""Longest wait for a connection to a target, which takes a few milliseconds. A
target that went dark takes none; a request that goes elsewhere after this time is
still on time."""

EXCHANGE_SECONDS = 0.4
PEER_LINKS = 6
"""In a fleet of seven each daemon is linked with all others, so that word of a
target's change takes one hop."""

MEMBER_LOOK_SECONDS = 12.0
"""Peers tell of each other; the table is looked at only to find peers at all."""

RETRY_SHARE = 0.85
"""Part of the allowed repeats that is used; the rest covers what is not counted
here, such as requests that the daemons see differently than the clients."""

FEWEST_DAEMONS = 4
"""Repeats are divided among at least so many: a daemon that has not yet heard of its
peers must not take all of them."""

REFRESH_SECONDS = 0.1
"""How soon a target that was left alone is seen to be due again."""

ADDRESS_SECONDS = 0.9
"""How long clients may keep an addresses answer. Some keep it three times as long:
as long as a daemon that leaves goes on taking requests."""

_log = structlog.get_logger(part="app")


def _key_rule(bounds: Bounds) -> KeyRule:
    return KeyRule(bounds.revoke_seconds, bounds.is_revoke_strict)


def retry_burst(node: NodeSettings, n_daemons: int) -> float:
    """Return this daemon's part of the repeats that the fleet may save up."""
    n_sharing = max(FEWEST_DAEMONS, n_daemons)
    return max(1.0, RETRY_SHARE * node.bounds.retry_burst / n_sharing)


class Ticker:
    """A task that lets time pass for parts that have no task of their own."""

    def __init__(self, on_tick: Callable[[], None]) -> None:
        self._on_tick = on_tick
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin."""
        self._task = asyncio.create_task(self._run(), name="ticker")

    async def drain(self) -> None:
        """Go on: requests in flight still need targets."""

    async def stop(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REFRESH_SECONDS)
            self._on_tick()


@dataclass(frozen=True, slots=True)
class LeavePlan:
    """How a daemon that was told to stop spends its time.

    Attributes:
        take_seconds: It goes on taking requests of clients that still have its
            address. What it takes later might not be finished in time.
        finish_seconds: Then it finishes what it took, at most this long.
    """

    take_seconds: float
    finish_seconds: float


TAKE_SHARE = 0.36
FINISH_SHARE = 0.55
"""Shares of the time until the platform kills a process. The first is 2.9 of eight
seconds: clients have learned of other addresses by then, and a request that is taken
has more than four seconds to end. The rest is for closing."""


def make_leave_plan(grace_seconds: float) -> LeavePlan:
    """Return the plan for a platform that kills after ``grace_seconds``."""
    return LeavePlan(TAKE_SHARE * grace_seconds, FINISH_SHARE * grace_seconds)


class PlatformDaemon:
    """One running daemon on the platform.

    Attributes:
        store: The client of the platform's store.
        routing: The configuration in force.
        watches: How fresh the operators' and the targets' tables are known.
        is_leaving: It was told to stop.
    """

    def __init__(
        self,
        front: ClientFront,
        fleet: Fleet,
        rollout: Part,
        parts: list[Part],
        routing: RoutingKeeper,
        watches: tuple[Watch, Watch],
        plan: LeavePlan,
        store: StoreClient,
        settings: SettingsWatch,
    ) -> None:
        self.store = store
        self._settings = settings
        self._plan = plan
        self.routing = routing
        self.watches = watches
        self._front = front
        self._fleet = fleet
        self._rollout = rollout
        self._parts = parts
        self.is_leaving = False

    async def start(self) -> None:
        """Start all parts.

        Raises:
            OSError: A port is taken.
        """
        await start_parts(self._parts)
        _log.info("app: serving")

    async def drain(self) -> None:
        """Leave the addresses first, then finish every request in flight."""
        self.is_leaving = True
        self._front.is_leaving = True
        _log.info("app: draining", n_open=self._front.n_open)
        await self._rollout.stop()
        leave = asyncio.create_task(self._fleet.drain())
        await asyncio.sleep(self._plan.take_seconds)
        leave.cancel()
        self._front.is_closed = True
        _log.info("app: takes nothing new", n_open=self._front.n_open)
        try:
            async with asyncio.timeout(self._plan.finish_seconds):
                await self._front.drain()
        except TimeoutError:
            _log.warning("app: requests outlived the drain", n_open=self._front.n_open)

    async def reload(self) -> None:
        """Read the platform's settings again."""
        self._settings.look()

    async def stop(self) -> None:
        """Stop all parts."""
        await stop_parts(self._parts)
        _log.info("app: stopped")


def make_platform_daemon(
    node: NodeSettings,
    sockets: EarlySockets,
    clock: Clock | None = None,
    metrics_port: int = METRICS_PORT,
    leave_plan: LeavePlan | None = None,
    settings_file: pathlib.Path | None = None,
) -> PlatformDaemon:
    """Join the parts of one daemon; nothing is started yet.

    Args:
        node: What the platform tells this process.
        sockets: Ports that listen already.
        clock: Tells the time; this machine's when None.
        metrics_port: Where metrics are served; 0 takes a free port.
        leave_plan: How it ends; by the platform's time for it when None.
        settings_file: Where ``node`` was read from; looked at for changes.
    """
    clock = clock or SystemClock()
    metrics = ServedMetrics()
    boot = secrets.token_hex(6)
    seed = hash_bytes(f"{node.daemon}/{boot}".encode())
    rng = random.Random(seed)
    store = StoreClient(node.store, clock)
    dialect = ServerDialect()
    client = ForwardClient(StreamSettings(connect_seconds=CONNECT_SECONDS), dialect)
    orders = ServerOrders()
    dispatcher = Dispatcher(Scheduler(_scheduler_settings(node), seed), clock)

    def on_views(views: tuple[TargetView, ...]) -> None:
        dispatcher.replace_targets(views)
        caches.refresh()
        loads.set_targets(tuple(view.target for view in views))

    targets = TargetList(clock, on_views, node.bounds.weights_seconds)
    cache_events = CacheEventsClient()
    caches = CacheFollower(cache_events, dispatcher, targets)
    routing = RoutingKeeper()
    routing.subscribe(targets.set_table)
    routing.subscribe(caches.set_table)

    me = Member(
        daemon=node.daemon,
        boot=boot,
        state=MemberState.LIVE,
        availability_zone=node.availability_zone,
        callers_url="" if node.clients is None else str(node.clients),
        peer_endpoint="",
        started_wall_seconds=clock.wall_seconds(),
    )
    view = _no_view()
    members = make_member_keeper(
        MemberRows(store),
        clock,
        me,
        lambda: view,
        MEMBER_LOOK_SECONDS,
        ADDRESS_SECONDS,
        seed,
    )
    transport = make_socket_transport(node.daemon, node.host, node.peer_ports[0])
    exchange = make_peer_exchange(
        transport, members, clock, lambda: 0, PEER_LINKS, EXCHANGE_SECONDS
    )
    MemberExchange(exchange, members, clock)
    LossExchange(dispatcher, exchange, clock)
    loads = LoadExchange(dispatcher, exchange, clock)
    identity = Identity(node.daemon, boot, node.availability_zone, node.host)
    fleet = Fleet(identity, store, transport, exchange, members)

    rollout = WeightsRollout(
        orders,
        targets,
        clock,
        node.daemon,
        lambda model: _groups_of(routing.table, model),
        exchange.broadcast,
    )
    exchange.subscribe(
        TargetChanging, lambda message, _sender: _take_changing(targets, message)
    )
    leases = LeaseKeeper(
        store,
        clock,
        node.daemon,
        LEASE_SECONDS,
        LEASE_MARGIN_SECONDS,
        node.bounds.lease_seconds + 0.3,
    )
    duty = DutyRunner(
        leases,
        WEIGHTS_DUTY,
        lambda: is_candidate(WEIGHTS_DUTY, node.daemon, members.members()),
        rollout.work,
        DUTY_PERIOD_SECONDS,
        clock,
        seed,
        DUTY_WATCH_SECONDS,
    )

    def on_weights(model: ModelId, version: int, named_seconds: float | None) -> None:
        targets.want(model, version, named_seconds)
        rollout.want(model, version)

    operators = OperatorFollower(routing, clock, on_weights)
    settings = SettingsWatch(node, settings_file)
    servers = ServerFollower(targets)
    watches = make_watches(
        store, clock, operators, servers, _key_rule(node.bounds), seed
    )

    async def is_same_target(target: TargetId) -> bool:
        listed = targets.get(target)
        if listed is None or routing.table is None:
            return False
        group = routing.table.groups.get(listed.target_group)
        path = "/health" if group is None else group.health_path
        return await orders.is_same(target, listed.address, path)

    def is_fit() -> bool:
        """Tell whether keyed requests can be served now."""
        now_seconds = clock.now_seconds()
        return routing.table is not None and may_trust_key(
            _key_rule(settings.bounds), routing.confirmed_seconds, now_seconds
        )

    def on_tick() -> None:
        targets.refresh()
        dispatcher.set_retry_burst(retry_burst(node, members.n_live()))
        if daemon.is_leaving:
            return
        # Callers that are sent here while keys cannot be confirmed are refused, and
        # have lost one of the few tries that they make.
        if is_fit():
            members.announce_live()
        else:
            members.announce_leaving()

    deps = ForwardDeps(
        routing=routing,
        dispatcher=dispatcher,
        client=client,
        targets=targets,
        clock=clock,
        metrics=metrics,
        key_rule=lambda: _key_rule(settings.bounds),
        is_same_target=is_same_target,
        make_request_id=_request_ids(boot),
        pick_point=rng.random,
        on_head=functools.partial(_take_load, loads, clock),
    )
    front = ClientFront(deps)
    parts: list[Part] = [
        store,
        client,
        orders,
        cache_events,
        dispatcher,
        caches,
        *watches,
        Ticker(on_tick),
        settings,
        fleet,
        loads,
        rollout,
        duty,
    ]
    both = _Both(duty, rollout)
    leave_plan = leave_plan or make_leave_plan(node.bounds.grace_seconds)
    daemon = PlatformDaemon(
        front, fleet, both, parts, routing, watches, leave_plan, store, settings
    )

    def is_ready() -> bool:
        return is_fit() and not daemon.is_leaving

    def addresses() -> list[str]:
        answer = members.addresses(None, clock.now_seconds())
        return [item.url for item in answer.addresses]

    def status() -> dict[str, Any]:
        now_seconds = clock.now_seconds()
        return {
            "daemon_id": node.daemon,
            "boot": boot,
            "is_leaving": daemon.is_leaving,
            "n_open": front.n_open,
            "configuration": routing.status(now_seconds),
            "watches": [watch.status() for watch in watches],
            "members": members.status()["members"],
            "peers": exchange.status(),
            "targets": targets.status(),
            "weights": rollout.status(),
            "duties": [duty.status()],
            "queues": dispatcher.status(),
            "sends": client.status(),
            "store": store.status(),
        }

    valid_seconds = min(ADDRESS_SECONDS, node.bounds.address_seconds)
    parts += _listeners(
        (
            ("clients", sockets.clients, front.handle),
            ("readiness", sockets.readiness, Readiness(is_ready).handle),
            (
                "directory",
                sockets.directory,
                Directory(addresses, valid_seconds).handle,
            ),
            (
                "metrics",
                open_socket(Endpoint(node.host, metrics_port)),
                MetricsPage(metrics, status).handle,
            ),
        )
    )
    return daemon


class _Both:
    """Two parts that end together, in order."""

    def __init__(self, first: Part, second: Part) -> None:
        self._parts = (first, second)

    async def start(self) -> None:
        """Do nothing: each is started as a part of its own."""

    async def drain(self) -> None:
        """Drain both."""
        for part in self._parts:
            await part.drain()

    async def stop(self) -> None:
        """Stop both."""
        for part in self._parts:
            await part.stop()


def _listeners(described: tuple) -> list[Part]:
    return [
        RawListener(name, handler, listening)
        for name, listening, handler in described
        if listening is not None
    ]


def _scheduler_settings(node: NodeSettings) -> SchedulerSettings:
    return SchedulerSettings(
        retry_share=RETRY_SHARE * node.bounds.retry_share,
        retry_burst=retry_burst(node, FEWEST_DAEMONS),
        max_tries=6,
        admit_patience_share=0.9,
        prefill_seconds_per_token=25e-6,
        quarantine_losses=2,
    )


def _no_view() -> ConfigurationView:
    from lycheepost.generated.configuration import Configuration

    return make_view(Configuration(revision=0))


def _groups_of(table: RouteTable | None, model: ModelId) -> tuple[TargetGroupId, ...]:
    if table is None:
        return ()
    return tuple(
        name
        for name, group in table.groups.items()
        if group.engine is not None and model in group.engine.models
    )


def _take_changing(targets: TargetList, message: TargetChanging) -> None:
    """Follow what the holder of the weights duty does to a target."""
    target = TargetId(message.target)
    seconds = 0.0 if message.is_done else message.for_seconds
    if message.is_done and message.weights_version:
        from lycheepost.core.ids import WeightsVersion

        targets.note_weights(
            target, ModelId(message.model), WeightsVersion(message.weights_version)
        )
    targets.note_changing(target, seconds)


def _take_load(
    loads: LoadExchange, clock: Clock, target: TargetId, head: AnswerHead
) -> None:
    """Pass the load that a target states on to the decisions."""
    if head.load is None:
        return
    loads.observe_report(
        LoadReport(
            target=target,
            incarnation=Incarnation(target),
            measured_seconds=clock.now_seconds(),
            n_running=head.load.n_running,
            n_queued=head.load.n_waiting,
            queued_prompt_tokens=0,
            cached_tokens=0,
        )
    )


def _request_ids(boot: str) -> Callable[[], RequestId]:
    numbers = itertools.count(1)
    return lambda: RequestId(f"{boot}-{next(numbers)}")
