"""The components of a daemon on the platform that carry requests."""

import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from lycheepost.app.cachefollow import CacheFollower
from lycheepost.app.components import Component
from lycheepost.app.fleettopology import FleetTopology
from lycheepost.app.loads import LoadExchange
from lycheepost.app.losses import LossExchange
from lycheepost.app.notices import NoticeExchange
from lycheepost.app.pathquestions import PathQuestions
from lycheepost.app.paths import PROBE_TIMEOUT_SECONDS, PathWatch, ProbeTarget
from lycheepost.app.platformbase import PlatformBase
from lycheepost.app.quotarecorder import QuotaRecorder
from lycheepost.app.quotas import QuotaExchange
from lycheepost.app.rowrecorder import RowRecorder
from lycheepost.app.startjudge import StartJudge
from lycheepost.app.streamrecorder import StreamRecorder
from lycheepost.app.streamversions import StreamVersionExchange
from lycheepost.callers.dispatch import Dispatcher
from lycheepost.callers.forwarddeps import (
    MAX_ANSWERS_BYTES,
    MAX_REQUEST_BYTES,
    ForwardDeps,
    RelayPeer,
    Relays,
)
from lycheepost.callers.lossverdicts import LossVerdicts
from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, RequestId, TargetGroupId
from lycheepost.core.routing import ListedTarget
from lycheepost.decide.entry import follows_engines, follows_stores
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.decide.freshness import KeyTrustRule
from lycheepost.decide.kvstorecontents import KvStoreContents
from lycheepost.decide.lossrecord import LossRecord
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.notices import TargetNotices
from lycheepost.decide.records import LoadReport, TargetView
from lycheepost.decide.retry import RetryTerms
from lycheepost.decide.retryparts import fleet_retry_terms, unknown_fleet_divisor
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import SchedulerSettings
from lycheepost.decide.softwareversions import SoftwareVersions
from lycheepost.generated.settings import StreamSettings
from lycheepost.peers.exchange import PeerExchange
from lycheepost.platform.cacheevents import CacheEventsClient
from lycheepost.platform.dialect import ServerDialect
from lycheepost.platform.ingress import ClientIngress
from lycheepost.platform.orders import ServerOrders
from lycheepost.platform.pathprobe import PathProber
from lycheepost.platform.peerdialect import PeerDialect
from lycheepost.platform.settings import Bounds
from lycheepost.state.initial_reads import InitialReads
from lycheepost.state.lossrow import LossRow
from lycheepost.state.members import MemberManager
from lycheepost.state.quotarows import QuotaRows
from lycheepost.state.relays import choose_asked, choose_relays
from lycheepost.state.routing import RoutingManager
from lycheepost.state.softwarerow import GroupVersions, SoftwareRow
from lycheepost.state.streamrows import StreamRows
from lycheepost.state.targetlist import TargetList
from lycheepost.targets.forward import ForwardClient
from lycheepost.targets.forwardcall import ResponseHead
from lycheepost.targets.network import TargetNetwork
from lycheepost.utils.bytebudget import ByteBudget
from lycheepost.utils.metrics import Metrics

CONNECT_TIMEOUT_SECONDS = 0.25
"""Time-out for connecting to a target, which normally takes a few milliseconds. An
unreachable target never accepts; after this time-out a request can still be served in
time by another target."""

MAX_TARGETS_PER_REQUEST = 6
"""Number of targets that a request may be sent to before it fails. The route limits how
many of them may run it."""

ADMIT_WAIT_SHARE = 0.9
"""Share of a caller's time-out that a predicted wait may take before the request is
refused. It is high, as a late response still has a third of its value here and the
queues inside the engines are bounded."""

PREFILL_SECONDS_PER_TOKEN = 25e-6
"""Prefill time assumed until a target's throughput is known."""

_log = structlog.get_logger(part="targets")


@dataclass(frozen=True, slots=True)
class PlatformTraffic:
    """The components that carry requests."""

    dispatcher: Dispatcher
    client: ForwardClient
    orders: ServerOrders
    targets: TargetList
    routing: RoutingManager
    ingress: ClientIngress
    cache_events: CacheEventsClient
    caches: CacheFollower
    loads: LoadExchange
    losses: LossExchange
    verdicts: LossVerdicts
    notices: NoticeExchange
    quotas: QuotaExchange
    quota_recorder: QuotaRecorder
    path_prober: PathProber
    paths: PathWatch
    peer_client: ForwardClient
    stream_versions: StreamVersionExchange
    stream_recorder: StreamRecorder
    software_recorder: RowRecorder[GroupVersions]
    loss_recorder: RowRecorder[LossRecord]

    def components(self) -> list[Component]:
        """Return the components in start order."""
        return [
            self.client,
            self.peer_client,
            self.orders,
            self.path_prober,
            self.paths,
            self.cache_events,
            self.dispatcher,
            self.caches,
            self.loads,
            self.losses,
            self.verdicts,
            self.notices,
            self.stream_versions,
            self.stream_recorder,
            self.software_recorder,
            self.loss_recorder,
            self.quotas,
            self.quota_recorder,
        ]

    def set_topology(self, me: DaemonId, topology: FleetTopology) -> None:
        """Set the topology of the fleet as seen by this daemon."""
        self.loads.set_peers(topology.peers)
        self.notices.set_peers(topology.peers)
        self.stream_versions.set_peers(topology.peers, topology.is_peer(me))
        self.quotas.set_topology(me, topology)
        self.caches.follow_stores(follows_stores(me, topology.entry))
        self.caches.follow_engines(follows_engines(me, topology.entry))


def make_platform_traffic(
    base: PlatformBase,
    exchange: PeerExchange,
    members: MemberManager,
    metrics: Metrics,
    get_bounds: Callable[[], Bounds],
    first_reads: InitialReads,
    fleet_quotas: FleetQuotas,
    network: TargetNetwork,
    get_listed_seconds: Callable[[], float | None],
) -> PlatformTraffic:
    """Build the components that carry requests without starting them.

    Args:
        base: The state shared by the components.
        exchange: Links to the peers, for losses and loads.
        members: The daemons that may serve requests for this one.
        metrics: Receives the metrics.
        get_bounds: Returns the current bounds.
        first_reads: The first reads of the store, which requests wait for.
        fleet_quotas: The customers' quotas for the whole fleet.
        network: Opens the connections to targets.
        get_listed_seconds: Returns when the list of targets was last current; None
            before it was read.
    """
    clock = base.clock
    switched_off = base.switched_off
    settings = _scheduler_settings(switched_off)
    dispatcher = Dispatcher(Scheduler(settings, base.seed), clock)
    divisor = unknown_fleet_divisor(base.node.is_first_start)
    dispatcher.set_retry_terms(retry_terms(get_bounds(), divisor))
    loss_recorder = RowRecorder[LossRecord](
        "losses",
        LossRow(base.store, clock),
        LossRecord(),
        base.node.is_first_start,
        first_reads.note,
    )
    losses = LossExchange(dispatcher, exchange, clock, metrics, recorder=loss_recorder)
    loads = LoadExchange(dispatcher, exchange, clock)
    fleet_quotas.set_tolerance(get_bounds().quota_tolerance)
    quotas = QuotaExchange(fleet_quotas, exchange, clock, metrics)
    quota_recorder = QuotaRecorder(
        fleet_quotas,
        QuotaRows(base.store),
        clock,
        base.rng.random,
        first_reads.note,
        Mechanism.QUOTA_RECORD in switched_off,
    )

    def on_views(views: tuple[TargetView, ...]) -> None:
        dispatcher.replace_targets(views)
        caches.set_targets(views)
        loads.set_targets(views)
        notices.set_targets(views)

    known_notices = TargetNotices()
    software = SoftwareVersions(
        -math.inf if base.node.is_first_start else clock.now_seconds()
    )
    targets = TargetList(
        clock,
        on_views,
        lambda: get_bounds().weights_seconds,
        prefers_new_weights=Mechanism.NEW_WEIGHTS not in switched_off,
        availability_zone=base.node.availability_zone,
        leaving=known_notices.leaving,
        software=software,
        on_versions=lambda: stream_versions.note_versions(),
        is_list_current=lambda: stream_versions.is_list_current(),
        on_denied=lambda listed: starts.ask_denied(listed),
    )
    stream_recorder = StreamRecorder(
        StreamRows(base.store, base.node.daemon), clock, base.node.is_first_start
    )
    software_recorder = RowRecorder[GroupVersions](
        "software-versions", SoftwareRow(base.store), {}, base.node.is_first_start
    )
    stream_versions = StreamVersionExchange(
        software,
        exchange,
        clock,
        metrics,
        get_listed_seconds,
        targets.refresh,
        recorder=stream_recorder,
        software_recorder=software_recorder,
    )
    notices = NoticeExchange(
        known_notices, dispatcher, targets, exchange, clock, metrics
    )
    cache_events = CacheEventsClient(network)
    kv_store_contents = KvStoreContents(switched_off)
    caches = CacheFollower(
        cache_events,
        dispatcher,
        targets,
        kv_store_contents,
        may_follow_engines=Mechanism.CACHE_EVENTS not in switched_off,
    )
    routing = RoutingManager()
    routing.subscribe(targets.set_table)
    routing.subscribe(caches.set_table)
    routing.subscribe(quotas.set_table)
    streams = StreamSettings(connect_seconds=CONNECT_TIMEOUT_SECONDS)
    client = ForwardClient(streams, ServerDialect(), network)
    peer_client = ForwardClient(streams, PeerDialect(), client="relays")
    path_prober = PathProber(network, PROBE_TIMEOUT_SECONDS)
    paths = PathWatch(
        path_prober,
        clock,
        metrics,
        base.rng,
        lambda group: _probe_targets(targets, routing, notices, group),
        client.quiet_seconds,
        PathQuestions(
            exchange,
            metrics,
            lambda group: _asked_peers(base, members, exchange, group),
        ),
    )
    paths.on_change(
        lambda group, are_lost: _apply_paths(group, are_lost, targets, dispatcher)
    )
    orders = ServerOrders(notices.note_call, network)

    def on_answer_headers(
        sent_to: ListedTarget, head: ResponseHead, sent_seconds: float
    ) -> None:
        _report_load(loads, clock, sent_to, head)
        _report_state(dispatcher, sent_to, head)
        notices.note_headers(sent_to, head, sent_seconds)

    starts = StartJudge(targets, routing, orders, notices, paths)
    deps = ForwardDeps(
        routing=routing,
        dispatcher=dispatcher,
        client=client,
        targets=targets,
        clock=clock,
        metrics=metrics,
        quotas=fleet_quotas,
        kv_store_contents=kv_store_contents,
        key_rule=lambda: make_key_rule(get_bounds()),
        judge_start=starts.judge,
        make_request_id=_request_ids(base.boot),
        draw_split_point=base.rng.random,
        on_answer_headers=on_answer_headers,
        is_backed_off=notices.is_backed_off,
        paths=paths,
        relays=Relays(
            peer_client,
            lambda group: _relay_peers(base, members, group),
            is_off=Mechanism.PATH_RELAY in switched_off,
        ),
        stream_versions=stream_versions,
        request_bytes=ByteBudget(MAX_REQUEST_BYTES, base.clients.all_bytes),
        answer_bytes=ByteBudget(MAX_ANSWERS_BYTES, base.clients.all_bytes),
    )
    return PlatformTraffic(
        dispatcher=dispatcher,
        client=client,
        orders=orders,
        targets=targets,
        routing=routing,
        ingress=ClientIngress(
            deps,
            first_reads,
            lambda host: _is_peer_host(members, host),
            base.clients,
        ),
        cache_events=cache_events,
        caches=caches,
        loads=loads,
        losses=losses,
        verdicts=deps.verdicts,
        notices=notices,
        quotas=quotas,
        quota_recorder=quota_recorder,
        stream_recorder=stream_recorder,
        software_recorder=software_recorder,
        loss_recorder=loss_recorder,
        path_prober=path_prober,
        paths=paths,
        peer_client=peer_client,
        stream_versions=stream_versions,
    )


def _apply_paths(
    target_group: TargetGroupId,
    are_lost: bool,
    targets: TargetList,
    dispatcher: Dispatcher,
) -> None:
    """Apply the loss or the return of this daemon's own paths to a group.

    The failures that led to the verdict say nothing of the targets, and the waiting
    requests are served through peers.
    """
    targets.set_unreached(target_group, are_lost)
    if are_lost:
        dispatcher.withdraw_waiting(target_group)


def _relay_peers(
    base: PlatformBase, members: MemberManager, target_group: TargetGroupId
) -> tuple[RelayPeer, ...]:
    found = choose_relays(
        base.node.daemon,
        target_group,
        base.node.availability_zone,
        members.members(),
        members.entry(),
        base.rng,
    )
    return tuple(RelayPeer(item.daemon, item.callers_url) for item in found)


def _asked_peers(
    base: PlatformBase,
    members: MemberManager,
    exchange: PeerExchange,
    target_group: TargetGroupId,
) -> tuple[DaemonId, ...]:
    linked = set(exchange.linked_daemons())
    return choose_asked(
        base.node.daemon,
        target_group,
        base.node.availability_zone,
        [item for item in members.members() if item.daemon in linked],
        members.entry(),
        base.rng,
    )


def _is_peer_host(members: MemberManager, host: str) -> bool:
    """Return whether a member of the fleet, itself included, has an address."""
    return any(
        item.callers_url.rpartition(":")[0] == host for item in members.members()
    )


def _probe_targets(
    targets: TargetList,
    routing: RoutingManager,
    notices: NoticeExchange,
    target_group: TargetGroupId,
) -> list[ProbeTarget]:
    table = routing.table
    group = None if table is None else table.groups.get(target_group)
    if group is None:
        return []
    return [
        ProbeTarget(item.target, item.address, group.health_path)
        for item in targets.listed(target_group)
        if not item.is_leaving and notices.may_probe(item.target)
    ]


def make_key_rule(bounds: Bounds) -> KeyTrustRule:
    """Return the rule for how long confirmed keys are trusted."""
    return KeyTrustRule(
        bounds.revoke_seconds, bounds.is_revoke_strict, bounds.apply_seconds
    )


def retry_terms(bounds: Bounds, divisor: float) -> RetryTerms:
    """Return this daemon's share of the fleet's retry budget.

    Args:
        bounds: The fleet's limits.
        divisor: Among how many equal parts the burst is divided; infinite for no part.
    """
    return fleet_retry_terms(
        bounds.retry_share, bounds.retry_burst, bounds.retry_window_seconds, divisor
    )


def _scheduler_settings(switched_off: frozenset[Mechanism]) -> SchedulerSettings:
    return SchedulerSettings(
        switched_off=switched_off,
        max_tries=MAX_TARGETS_PER_REQUEST,
        admit_wait_share=ADMIT_WAIT_SHARE,
        prefill_seconds_per_token=PREFILL_SECONDS_PER_TOKEN,
    )


def _report_load(
    loads: LoadExchange, clock: Clock, sent_to: ListedTarget, head: ResponseHead
) -> None:
    """Pass the load in a response's headers to the scheduler."""
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


def _report_state(
    dispatcher: Dispatcher, sent_to: ListedTarget, head: ResponseHead
) -> None:
    """Pass the momentary speed in a response's headers to the scheduler."""
    if head.load is not None and head.load.duration_percent is not None:
        dispatcher.observe_machine_state(
            sent_to.target, sent_to.start.incarnation, head.load.duration_percent
        )


def _request_ids(boot: str) -> Callable[[], RequestId]:
    """Return a generator of ids that are unique across daemons and starts."""
    numbers = itertools.count(1)
    return lambda: RequestId(f"{boot}-{next(numbers)}")
