"""The parts of a daemon on the platform that carry requests."""

import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass

import structlog
from returns.result import Failure, Success

from lycheepost.app.cachefollow import CacheFollower
from lycheepost.app.fleetplace import FleetPlace
from lycheepost.app.loads import LoadExchange
from lycheepost.app.losses import LossExchange
from lycheepost.app.notices import NoticeExchange
from lycheepost.app.parts import Part
from lycheepost.app.platformbase import PlatformBase
from lycheepost.app.quotas import QuotaExchange
from lycheepost.callers.dispatch import Dispatcher
from lycheepost.callers.forwarddeps import ForwardDeps
from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, RequestId
from lycheepost.core.routing import ListedTarget
from lycheepost.core.starts import TargetStart
from lycheepost.decide.entry import follows_engines, follows_stores
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.decide.freshness import KeyTrustRule
from lycheepost.decide.kvstorecontents import KvStoreContents
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.notices import TargetNotices
from lycheepost.decide.records import LoadReport, TargetView
from lycheepost.decide.retry import RetryTerms
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import SchedulerSettings
from lycheepost.generated.settings import StreamSettings
from lycheepost.peers.exchange import PeerExchange
from lycheepost.platform.cacheevents import CacheEventsClient
from lycheepost.platform.dialect import ServerDialect
from lycheepost.platform.ingress import ClientFront
from lycheepost.platform.orders import ServerOrders
from lycheepost.platform.settings import Bounds
from lycheepost.state.firstreads import FirstReads
from lycheepost.state.routing import RoutingKeeper
from lycheepost.state.targetlist import TargetList
from lycheepost.targets.forward import ForwardClient
from lycheepost.targets.forwardcall import AnswerHead
from lycheepost.utils.metrics import Metrics

CONNECT_SECONDS = 0.25
"""Longest wait for a connection to a target, which takes a few milliseconds. A
target that went dark takes none; a request that goes elsewhere after this time is
still on time."""

RETRY_SHARE = 0.85
"""Part of the allowed repeats that is used; the rest covers what is not counted
here, such as requests that the daemons see differently than the clients."""

ENTRY_RETRY_SHARE = 0.7
"""Part of the repeats that the entry daemons of a large fleet divide among them."""

FEWEST_DAEMONS = 4
"""Repeats are divided among at least so many: a daemon that has not yet heard of its
peers must not take all of them."""

MOST_TARGETS_A_REQUEST = 6
"""Targets that one request may be sent to before it is given up; how many of them may
run it is its route's business."""

ADMIT_SHARE = 0.9
"""Part of a caller's patience that a predicted wait may take. Late answers are still
worth a third here, and what waits inside the engines is bounded."""

PREFILL_SECONDS_PER_TOKEN = 25e-6
"""Until the targets' own speed is known."""

_log = structlog.get_logger(part="targets")


@dataclass(frozen=True, slots=True)
class PlatformTraffic:
    """What carries requests."""

    dispatcher: Dispatcher
    client: ForwardClient
    orders: ServerOrders
    targets: TargetList
    routing: RoutingKeeper
    front: ClientFront
    cache_events: CacheEventsClient
    caches: CacheFollower
    loads: LoadExchange
    notices: NoticeExchange
    quotas: QuotaExchange

    def parts(self) -> list[Part]:
        """Return the parts in the order of their start."""
        return [
            self.client,
            self.orders,
            self.cache_events,
            self.dispatcher,
            self.caches,
            self.loads,
            self.notices,
            self.quotas,
        ]

    def follow_place(self, me: DaemonId, place: FleetPlace) -> None:
        """Follow the place of this daemon in the fleet."""
        self.loads.set_mates(place.mates)
        self.notices.set_mates(place.mates)
        self.quotas.follow_place(me, place)
        self.caches.follow_stores(follows_stores(me, place.entry))
        self.caches.follow_engines(follows_engines(me, place.entry))


def make_platform_traffic(
    base: PlatformBase,
    exchange: PeerExchange,
    metrics: Metrics,
    get_bounds: Callable[[], Bounds],
    first_reads: FirstReads,
    fleet_quotas: FleetQuotas,
) -> PlatformTraffic:
    """Join the parts that carry requests; nothing is started yet.

    Args:
        base: What the parts have in common.
        exchange: Links to the peers, for losses and loads.
        metrics: Where metrics go.
        get_bounds: The bounds in force.
        first_reads: Requests wait for these.
        fleet_quotas: What customers may ask of the fleet.
    """
    clock = base.clock
    switched_off = base.switched_off
    settings = _scheduler_settings(switched_off)
    dispatcher = Dispatcher(Scheduler(settings, base.seed), clock)
    dispatcher.set_retry_terms(retry_terms(get_bounds(), FEWEST_DAEMONS))
    LossExchange(dispatcher, exchange, clock)
    loads = LoadExchange(dispatcher, exchange, clock)
    fleet_quotas.set_tolerance(get_bounds().quota_tolerance)
    quotas = QuotaExchange(fleet_quotas, exchange, clock, metrics)

    def on_views(views: tuple[TargetView, ...]) -> None:
        dispatcher.replace_targets(views)
        caches.set_targets(views)
        loads.set_targets(views)
        notices.set_targets(views)

    known_notices = TargetNotices()
    targets = TargetList(
        clock,
        on_views,
        lambda: get_bounds().weights_seconds,
        prefers_new_weights=Mechanism.NEW_WEIGHTS not in switched_off,
        availability_zone=base.node.availability_zone,
        leaving=known_notices.leaving,
    )
    notices = NoticeExchange(
        known_notices, dispatcher, targets, exchange, clock, metrics
    )
    cache_events = CacheEventsClient()
    kv_copies = KvStoreContents(switched_off)
    caches = CacheFollower(
        cache_events,
        dispatcher,
        targets,
        kv_copies,
        may_follow_engines=Mechanism.CACHE_EVENTS not in switched_off,
    )
    routing = RoutingKeeper()
    routing.subscribe(targets.set_table)
    routing.subscribe(caches.set_table)
    routing.subscribe(quotas.set_table)
    streams = StreamSettings(connect_seconds=CONNECT_SECONDS)
    client = ForwardClient(streams, ServerDialect())
    orders = ServerOrders(notices.note_call)

    def on_head(sent_to: ListedTarget, head: AnswerHead, sent_seconds: float) -> None:
        _take_load(loads, clock, sent_to, head)
        notices.note_head(sent_to, head, sent_seconds)

    async def is_same_start(sent_to: ListedTarget) -> bool:
        if notices.is_backed_off(sent_to.target):
            # It has asked for no request, and has answered a moment ago.
            return targets.is_start(sent_to.start)
        return await _is_same_start(targets, routing, orders, sent_to)

    deps = ForwardDeps(
        routing=routing,
        dispatcher=dispatcher,
        client=client,
        targets=targets,
        clock=clock,
        metrics=metrics,
        quotas=fleet_quotas,
        kv_copies=kv_copies,
        key_rule=lambda: make_key_rule(get_bounds()),
        is_same_start=is_same_start,
        make_request_id=_request_ids(base.boot),
        pick_point=base.rng.random,
        on_head=on_head,
        is_backed_off=notices.is_backed_off,
    )
    return PlatformTraffic(
        dispatcher=dispatcher,
        client=client,
        orders=orders,
        targets=targets,
        routing=routing,
        front=ClientFront(deps, first_reads),
        cache_events=cache_events,
        caches=caches,
        loads=loads,
        notices=notices,
        quotas=quotas,
    )


def make_key_rule(bounds: Bounds) -> KeyTrustRule:
    """Return how long keys may be trusted."""
    return KeyTrustRule(bounds.revoke_seconds, bounds.is_revoke_strict)


def count_sharing(me: DaemonId, entry: frozenset[DaemonId], n_live: int) -> int:
    """Return by how much the fleet's repeats are divided for one daemon.

    Entry daemons share most of them. The others get few requests, but each must be
    able to repeat some as soon as callers come to it.

    Args:
        me: The daemon.
        entry: The entry daemons.
        n_live: All daemons that serve, these too.
    """
    n_entry = len(entry)
    if n_entry >= n_live:
        return n_live
    if me in entry:
        return math.ceil(n_entry / ENTRY_RETRY_SHARE)
    return math.ceil((n_live - n_entry) / (1.0 - ENTRY_RETRY_SHARE))


def retry_terms(bounds: Bounds, n_daemons: int) -> RetryTerms:
    """Return this daemon's part of the repeats that the fleet may send."""
    n_sharing = max(FEWEST_DAEMONS, n_daemons)
    return RetryTerms(
        share=RETRY_SHARE * bounds.retry_share,
        burst=max(1.0, RETRY_SHARE * bounds.retry_burst / n_sharing),
        window_seconds=bounds.retry_window_seconds,
    )


def _scheduler_settings(switched_off: frozenset[Mechanism]) -> SchedulerSettings:
    return SchedulerSettings(
        switched_off=switched_off,
        max_tries=MOST_TARGETS_A_REQUEST,
        admit_patience_share=ADMIT_SHARE,
        prefill_seconds_per_token=PREFILL_SECONDS_PER_TOKEN,
    )


async def _is_same_start(
    targets: TargetList,
    routing: RoutingKeeper,
    orders: ServerOrders,
    sent_to: ListedTarget,
) -> bool:
    """Ask a target that lost a request whether it still is the start that it was.

    A target may be back under its name at once. Engines state when they started; a
    plain service only answers to its name, and its entry tells of the new start.
    """
    table = routing.table
    group = None if table is None else table.groups.get(sent_to.target_group)
    if group is None or targets.get(sent_to.target) is None:
        return False
    if group.engine is None or sent_to.started_ms is None:
        is_answering = await orders.is_answering(sent_to, group.health_path)
        return is_answering and targets.is_start(sent_to.start)
    match await orders.read_report(sent_to):
        case Success(report):
            targets.note_start(TargetStart(sent_to.target, report.started_ms))
            return targets.is_start(sent_to.start)
        case Failure(error):
            _log.info("targets: no report", target=sent_to.target, reason=error.reason)
    return False


def _take_load(
    loads: LoadExchange, clock: Clock, sent_to: ListedTarget, head: AnswerHead
) -> None:
    """Pass the load that a target states on to the decisions."""
    if head.load is None:
        return
    loads.observe_report(
        LoadReport(
            target=sent_to.target,
            incarnation=sent_to.start.incarnation,
            measured_seconds=clock.now_seconds(),
            n_running=head.load.n_running,
            n_queued=head.load.n_waiting,
            queued_prompt_tokens=0,
            cached_tokens=0,
        )
    )


def _request_ids(boot: str) -> Callable[[], RequestId]:
    """Return a maker of ids that no other daemon and no earlier start can make."""
    numbers = itertools.count(1)
    return lambda: RequestId(f"{boot}-{next(numbers)}")
