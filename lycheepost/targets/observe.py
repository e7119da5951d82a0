"""Polls engines for health, load and cache events, and passes the reports on.

One task executes the polls that ``targets.pollplan`` schedules. Responses are
converted to ``LoadReport`` records and signals of a target's state, and passed to
callbacks. Cache events carry sequence numbers: events missing between two responses
are counted and logged, and the cache estimate drops what may be lost.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import Incarnation, TargetId
from lycheepost.decide.records import LoadReport, TargetState
from lycheepost.generated.configuration import Target
from lycheepost.generated.engine import (
    CacheEvent,
    CacheEvents,
    EngineHealth,
    EngineHealthState,
    EngineLoad,
)
from lycheepost.generated.settings import TargetSettings
from lycheepost.state.signals import (
    TargetSignal,
    connected_signal,
    health_signal,
    refused_signal,
)
from lycheepost.targets.control import ControlClient
from lycheepost.targets.errors import TargetError, TargetLost, TargetUnreachable
from lycheepost.targets.pollplan import (
    Poll,
    PollPlan,
    PollSettings,
    ReportKind,
)
from lycheepost.utils.tasks import start_task

_log = structlog.get_logger(part="targets")
_MAX_CALLS = 64
"""Limit of calls in flight, so that calls to targets that do not answer for two
seconds neither delay the reports of all others nor pile up."""
_TICK_SECONDS = 0.05
"""Interval of checks for due polls; a tenth of the shortest default period."""
_PLAN_REFRESH_SECONDS = 5.0
"""Interval at which the plan is updated for the targets that are now in use."""


@dataclass(frozen=True)
class ObserverCallbacks:
    """Callbacks for reports.

    Attributes:
        on_signal: Called with what a response, or its absence, shows about a
            target's state.
        on_load: Called with load reports.
        on_events: Called with a target's boot id and its cache events in order.
        on_unanswered: Called when a health call was sent and got no response.
    """

    on_signal: Callable[[TargetId, TargetSignal], None]
    on_load: Callable[[LoadReport], None]
    on_events: Callable[[TargetId, Incarnation, tuple[CacheEvent, ...]], None]
    on_unanswered: Callable[[TargetId], None]


@dataclass
class EventCursor:
    """Position up to which one target's cache events have been read.

    Attributes:
        n_lost: Number of events that were never received, over all incarnations.
    """

    boot_id: str = ""
    sequence: int = 0
    n_lost: int = 0

    def advance(self, answer: CacheEvents) -> tuple[CacheEvent, ...] | None:
        """Return the new events of a response and move the position past them.

        A new boot id means that the engine restarted empty and numbers its events
        from 1 again; a read from the old position would skip its first events.

        Returns:
            The new events; None when they must be read again from the start.
        """
        if answer.boot_id != self.boot_id:
            is_partial = self.sequence > 0
            self.boot_id = answer.boot_id
            self.sequence = 0
            if is_partial:
                return None
        fresh = [item for item in answer.events if item.sequence > self.sequence]
        fresh.sort(key=lambda item: item.sequence)
        if fresh:
            n_published = fresh[-1].sequence - self.sequence
            self.n_lost += n_published - len(fresh)
            self.sequence = fresh[-1].sequence
        return tuple(fresh)


class TargetObserver:
    """The component that polls engines."""

    def __init__(
        self,
        settings: TargetSettings,
        control: ControlClient,
        clock: Clock,
        callbacks: ObserverCallbacks,
        is_in_use: Callable[[TargetId], bool],
        seed: int,
    ) -> None:
        periods = {
            ReportKind.HEALTH: settings.health_poll_seconds,
            ReportKind.LOAD: settings.load_poll_seconds,
            ReportKind.EVENTS: settings.events_poll_seconds,
        }
        self._plan = PollPlan(
            PollSettings(periods, settings.poll_calls_per_second), is_in_use, seed
        )
        self._control = control
        self._clock = clock
        self._callbacks = callbacks
        self._urls: dict[TargetId, str] = {}
        self._incarnations: dict[TargetId, Incarnation] = {}
        self._cursors: dict[TargetId, EventCursor] = {}
        self._calls: dict[Poll, asyncio.Task[None]] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start polling."""
        self._task = start_task(self._run(), "target-observer")

    async def drain(self) -> None:
        """Keep polling, since requests in flight still have to be placed."""

    async def stop(self) -> None:
        """Stop polling."""
        for task in (self._task, *self._calls.values()):
            if task is not None:
                task.cancel()

    def status(self) -> dict[str, Any]:
        """Return counts for the status page."""
        return {
            "n_targets": len(self._urls),
            "poll_slowness": self._plan.period_factor,
            "n_events_lost": sum(item.n_lost for item in self._cursors.values()),
            **self._control.status(),
        }

    def recheck(self, target: TargetId) -> None:
        """Poll the health of an unreachable target again ahead of schedule."""
        self._plan.recheck(target, self._clock.now_seconds())

    def incarnation(self, target: TargetId) -> Incarnation:
        """Return the boot id that a target last reported; empty for none."""
        return self._incarnations.get(target, Incarnation(""))

    def incarnations(self) -> dict[TargetId, Incarnation]:
        """Return the boot id that each target last reported."""
        return dict(self._incarnations)

    def replace_targets(self, targets: Iterable[Target]) -> None:
        """Replace the polled targets; all must be engines."""
        self._urls = {TargetId(item.target): item.url for item in targets}
        for known in (self._incarnations, self._cursors):
            for target in set(known) - set(self._urls):
                del known[target]
        self._plan.replace_targets(self._urls, self._clock.now_seconds())

    async def _run(self) -> None:
        refreshed_seconds = self._clock.now_seconds()
        while True:
            now_seconds = self._clock.now_seconds()
            if now_seconds - refreshed_seconds > _PLAN_REFRESH_SECONDS:
                refreshed_seconds = now_seconds
                self._plan.refresh()
            for poll in self._plan.take_due(now_seconds):
                self._start_poll(poll)
            await asyncio.sleep(_TICK_SECONDS)

    def _start_poll(self, poll: Poll) -> None:
        # A poll whose last call is still in flight is skipped.
        if poll in self._calls or len(self._calls) >= _MAX_CALLS:
            return
        task = asyncio.create_task(self._poll(poll))
        self._calls[poll] = task
        task.add_done_callback(lambda done: self._calls.pop(poll, None))

    async def _poll(self, poll: Poll) -> None:
        url = self._urls.get(poll.target)
        if url is None:
            return
        match poll.kind:
            case ReportKind.HEALTH:
                health = await self._control.read(f"{url}/health", EngineHealth)
                self._handle_health(poll.target, health)
            case ReportKind.LOAD:
                load = await self._control.read(f"{url}/load", EngineLoad)
                self._handle_load(poll.target, load)
            case ReportKind.EVENTS:
                await self._read_events(poll.target, url)

    def _handle_health(
        self, target: TargetId, answer: Result[EngineHealth, TargetError]
    ) -> None:
        match answer:
            case Success(health):
                self._note_incarnation(target, health.boot_id)
                self._callbacks.on_signal(target, connected_signal())
                state = _STATES[health.state]
                self._callbacks.on_signal(target, health_signal(state))
            case Failure(TargetUnreachable()):
                self._callbacks.on_signal(target, refused_signal())
                self.recheck(target)
            case Failure(TargetLost()):
                self._callbacks.on_unanswered(target)

    def _handle_load(
        self, target: TargetId, answer: Result[EngineLoad, TargetError]
    ) -> None:
        match answer:
            case Success(load):
                self._note_incarnation(target, load.boot_id)
                now_seconds = self._clock.now_seconds()
                self._callbacks.on_load(
                    LoadReport(
                        target=target,
                        incarnation=Incarnation(load.boot_id),
                        measured_seconds=now_seconds - load.age_seconds,
                        n_running=load.n_running,
                        n_queued=load.n_queued,
                        queued_prompt_tokens=load.queued_prompt_tokens,
                        cached_tokens=load.cached_tokens,
                    )
                )

    async def _read_events(self, target: TargetId, url: str) -> None:
        cursor = self._cursors.setdefault(target, EventCursor())
        address = f"{url}/events?after={cursor.sequence}"
        match await self._control.read(address, CacheEvents):
            case Success(answer):
                self._handle_events(target, cursor, answer)

    def _handle_events(
        self, target: TargetId, cursor: EventCursor, answer: CacheEvents
    ) -> None:
        n_lost = cursor.n_lost
        events = cursor.advance(answer)
        self._note_incarnation(target, answer.boot_id)
        if events is None:
            return  # The next poll starts at the new incarnation's first event.
        if cursor.n_lost > n_lost:
            _log.info(
                "targets: cache events lost",
                target=target,
                n_lost=cursor.n_lost - n_lost,
            )
        self._callbacks.on_events(target, Incarnation(answer.boot_id), events)

    def _note_incarnation(self, target: TargetId, boot_id: str) -> None:
        known = self._incarnations.get(target)
        if known is not None and known != boot_id:
            _log.info("targets: target has restarted", target=target)
        self._incarnations[target] = Incarnation(boot_id)


_STATES = {
    EngineHealthState.SERVING: TargetState.SERVING,
    # It rejects requests until it has loaded, but may be ready before the next
    # poll. A failed attempt costs one rejection, whereas without any target
    # during a rollout callers would get no answer.
    EngineHealthState.LOADING: TargetState.WARMING,
    EngineHealthState.STANDBY: TargetState.LEAVING,
    EngineHealthState.LEAVING: TargetState.LEAVING,
}


def make_target_observer(
    settings: TargetSettings,
    control: ControlClient,
    clock: Clock,
    callbacks: ObserverCallbacks,
    is_in_use: Callable[[TargetId], bool] = lambda target: True,
    seed: int = 0,
) -> TargetObserver:
    """Return an observer that is not yet started and has no targets."""
    return TargetObserver(settings, control, clock, callbacks, is_in_use, seed)
