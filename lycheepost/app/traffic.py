"""The components that carry requests: scheduler, target clients, callers' API."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lycheepost.app.components import Component
from lycheepost.app.feed import TargetFeed
from lycheepost.app.losses import LossExchange
from lycheepost.app.quotas import QuotaExchange
from lycheepost.callers.deps import CallerDeps
from lycheepost.callers.dispatch import Dispatcher
from lycheepost.callers.lossverdicts import LossVerdicts
from lycheepost.callers.routes import CallerApi
from lycheepost.callers.versions import RequestVersions
from lycheepost.core.clock import Clock
from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import (
    CustomerId,
    DaemonId,
    Incarnation,
    RequestId,
    TargetId,
)
from lycheepost.core.starts import StartVerdict
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.decide.hotprefixes import HotPrefixes
from lycheepost.decide.records import TargetState, TargetView
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import make_scheduler_settings
from lycheepost.generated.callers import AddressList
from lycheepost.generated.configuration import (
    Target,
    TargetDesiredState,
    TargetGroupKind,
)
from lycheepost.generated.engine import EngineHealth
from lycheepost.generated.settings import Settings
from lycheepost.peers.shared import SharedState
from lycheepost.report.samples import Recorder
from lycheepost.state.addresses import MemberState
from lycheepost.state.customerquotas import list_quotas
from lycheepost.state.members import MemberManager
from lycheepost.state.signals import SignalSource, TargetSignal
from lycheepost.state.view import ConfigurationView
from lycheepost.targets.control import ControlClient, make_control_client
from lycheepost.targets.engine import EngineClient, make_engine_client
from lycheepost.targets.observe import (
    ObserverCallbacks,
    TargetObserver,
    make_target_observer,
)
from lycheepost.targets.service import ServiceClient, make_service_client
from lycheepost.utils.metrics import Metrics

CONNECT_FAILURE_SECONDS = 2.0
"""A target that refused a connection gets no new requests for this long. Meanwhile its
health checks show whether it is back."""

INCARNATION_TIMEOUT_SECONDS = 0.5
"""Time-out of the health check; a healthy engine responds within milliseconds."""

MAX_LATE_QUESTIONS = 2
"""A stall is mostly over when a late question is asked again."""

MAX_LAG_SECONDS = 0.15
"""A health check that lasts longer than its time-out by this says nothing of the
target: the daemon was suspended or short of processor time."""


@dataclass
class DrainState:
    """Whether the daemon still takes new requests."""

    is_draining: bool = False


@dataclass(frozen=True)
class Traffic:
    """The components that carry requests; built by ``make_traffic``."""

    dispatcher: Dispatcher
    engines: EngineClient
    services: ServiceClient
    control: ControlClient
    observer: TargetObserver
    feed: TargetFeed
    caller_api: CallerApi
    drain_state: DrainState
    hot: HotPrefixes
    quotas: QuotaExchange
    losses: LossExchange
    verdicts: LossVerdicts

    def components(self) -> list[Component]:
        """Return the components in start order."""
        return [
            self.engines,
            self.services,
            self.control,
            self.observer,
            self.dispatcher,
            self.feed,
            self.quotas,
            self.losses,
            self.verdicts,
            self.caller_api,
        ]


def make_traffic(
    settings: Settings,
    state: SharedState,
    recorder: Recorder,
    metrics: Metrics,
    clock: Clock,
    status: Callable[[], dict[str, Any]],
    fleet_quotas: FleetQuotas,
) -> Traffic:
    """Build the components that carry requests.

    Args:
        settings: Validated settings.
        state: The shared state of this daemon.
        recorder: Records every finished request.
        metrics: Receives the metrics.
        clock: The clock.
        status: Returns the response body of ``/admin/status``.
        fleet_quotas: The customers' quotas for the whole fleet.
    """
    me = state.members.me()
    seed = hash_bytes(me.boot.encode())
    scheduler = Scheduler(make_scheduler_settings(settings), seed)
    dispatcher = Dispatcher(scheduler, clock)
    engines = make_engine_client(settings.streams, clock)
    services = make_service_client(settings.streams)
    control = make_control_client(settings.streams)
    observer = make_target_observer(
        settings.targets,
        control,
        clock,
        ObserverCallbacks(
            on_signal=lambda target, signal: on_signal(target, signal),
            on_load=dispatcher.observe_load,
            on_events=dispatcher.observe_cache_events,
            on_unanswered=state.members.note_unanswered,
        ),
        engines.is_in_use,
        seed,
    )
    versions = RequestVersions()

    def on_targets(view: ConfigurationView, targets: tuple[TargetView, ...]) -> None:
        observer.replace_targets(engine_targets(view))
        versions.replace(view, targets)

    feed = TargetFeed(
        dispatcher,
        lambda: state.revisions.view,
        state.members.target_states,
        observer.incarnations,
        on_targets,
    )
    losses = LossExchange(dispatcher, state.exchange, clock, metrics)
    # The first configuration is fed at once. Otherwise requests would be refused with
    # "no target" until the next periodic feed.
    state.revisions.subscribe(lambda _view: feed.feed())
    quotas = QuotaExchange(
        fleet_quotas,
        state.exchange,
        clock,
        metrics,
        lambda: serving_peers(state.members),
    )
    state.revisions.subscribe(
        lambda view: quotas.set_quotas(list_quotas(view.customers))
    )
    drain_state = DrainState()

    def on_signal(target: TargetId, signal: TargetSignal) -> None:
        state.members.observe_target(target, signal, clock.now_seconds())
        feed.note_state(target, state.members.target_state(target))

    def on_unreachable(target: TargetId) -> None:
        signal = TargetSignal(
            SignalSource.CONNECTION, TargetState.GONE, CONNECT_FAILURE_SECONDS
        )
        state.members.observe_target(target, signal, clock.now_seconds())
        feed.feed()
        observer.recheck(target)

    async def judge_start(target: TargetId, boot_id: Incarnation) -> StartVerdict:
        configured = state.revisions.view.targets.get(target)
        if configured is None or not boot_id:
            return StartVerdict.ENDED
        for _ in range(MAX_LATE_QUESTIONS):
            asked_seconds = clock.now_seconds()
            found = await ask_boot_id(f"{configured.url}/health")
            lasted_seconds = clock.now_seconds() - asked_seconds
            if found is not None:
                return StartVerdict.SAME if found == boot_id else StartVerdict.ENDED
            if state.members.are_paths_lost:
                # Without paths of its own, this daemon cannot tell.
                return StartVerdict.UNKNOWN
            if lasted_seconds <= INCARNATION_TIMEOUT_SECONDS + MAX_LAG_SECONDS:
                return StartVerdict.ENDED
        return StartVerdict.UNKNOWN

    async def ask_boot_id(url: str) -> Incarnation | None:
        try:
            async with asyncio.timeout(INCARNATION_TIMEOUT_SECONDS):
                health = await control.read(url, EngineHealth)
        except TimeoutError:
            return None
        return health.map(lambda answer: Incarnation(answer.boot_id)).value_or(None)

    def addresses(customer: CustomerId | None) -> AddressList:
        chosen = state.members.addresses(customer, clock.now_seconds())
        return AddressList(
            addresses=[item.url for item in chosen.addresses],
            valid_for_seconds=chosen.valid_for_seconds,
        )

    hot = HotPrefixes()
    verdicts = LossVerdicts()
    caller_api = CallerApi(
        CallerDeps(
            settings=settings,
            configuration=state.revisions,
            dispatcher=dispatcher,
            engines=engines,
            services=services,
            claims=state.claims,
            clock=clock,
            metrics=metrics,
            addresses=addresses,
            make_request_id=_request_ids(f"{me.daemon}-{me.boot}"),
            on_unreachable=on_unreachable,
            judge_start=judge_start,
            incarnation_of=observer.incarnation,
            on_sample=lambda sample: recorder.record(sample, clock.wall_seconds()),
            is_draining=lambda: drain_state.is_draining,
            status=status,
            versions=versions,
            hot=hot,
            quotas=fleet_quotas,
            verdicts=verdicts,
        )
    )
    return Traffic(
        hot=hot,
        losses=losses,
        verdicts=verdicts,
        quotas=quotas,
        dispatcher=dispatcher,
        engines=engines,
        services=services,
        control=control,
        observer=observer,
        feed=feed,
        caller_api=caller_api,
        drain_state=drain_state,
    )


def serving_peers(members: MemberManager) -> tuple[DaemonId, ...]:
    """Return the other live daemons, whose addresses callers may get."""
    me = members.me().daemon
    return tuple(
        member.daemon
        for member in members.members()
        if member.daemon != me and member.state is MemberState.LIVE
    )


def engine_targets(view: ConfigurationView) -> list[Target]:
    """Return the targets that provide engine reports."""
    engines = {
        name
        for name, group in view.target_groups.items()
        if group.kind is TargetGroupKind.ENGINE
    }
    return [
        target
        for target in view.targets.values()
        if target.target_group in engines
        and target.desired_state is not TargetDesiredState.RETIRED
    ]


def _request_ids(prefix: str) -> Callable[[], RequestId]:
    """Return a generator of ids that are unique across daemons and starts."""
    numbers = itertools.count(1)
    return lambda: RequestId(f"{prefix}-{next(numbers)}")
