"""The task that owns the scheduler and turns its outcomes into awaited answers.

The scheduler is pure: it is told the time and answers with outcomes. This part
gives it the clock and a tick, and wakes the request that each outcome names.
"""

import asyncio
import contextlib
from collections.abc import Callable

import structlog

from lycheepost.core.clock import Clock
from lycheepost.core.ids import (
    BodyFingerprint,
    CustomerId,
    Incarnation,
    RequestId,
    TargetGroupId,
    TargetId,
)
from lycheepost.decide.peerloads import DaemonLoad
from lycheepost.decide.quarantine import LossReport
from lycheepost.decide.records import (
    Dispatch,
    FinishKind,
    LoadReport,
    Outcome,
    Placed,
    RefusalReason,
    Refuse,
    TargetView,
    Work,
)
from lycheepost.decide.retry import RetryTerms
from lycheepost.decide.scheduler import Scheduler
from lycheepost.generated.engine import CacheEvent
from lycheepost.utils.tasks import start_task

TICK_SECONDS = 0.02
"""A queued request is looked at this often: well under the 0.3 s objective for a
first token, and 50 wake-ups a second cost an idle daemon under 0.1% of a core."""

IDLE_TICK_SECONDS = 0.4
"""The same while no request is here: a daemon of a large fleet that stands by is idle
nearly all of the time."""

_log = structlog.get_logger(part="dispatch")


class Dispatcher:
    """Awaitable face of one scheduler.

    Args:
        scheduler: The decisions; nobody else may call it.
        clock: Gives the time to every call.
    """

    def __init__(self, scheduler: Scheduler, clock: Clock) -> None:
        self._scheduler = scheduler
        self._clock = clock
        self._waiting: dict[RequestId, asyncio.Future[Outcome]] = {}
        self._on_loss: Callable[[LossReport], None] | None = None
        self._on_suspect: Callable[[TargetId], None] | None = None
        self._ticker: asyncio.Task[None] | None = None
        self._has_work = asyncio.Event()

    async def start(self) -> None:
        """Start the tick."""
        self._ticker = start_task(self._tick(), "dispatch-tick")

    async def drain(self) -> None:
        """Refuse what still waits; what was dispatched goes on."""
        self._deliver(self._scheduler.drain())

    async def stop(self) -> None:
        """Stop the tick and refuse whoever still waits."""
        if self._ticker is not None:
            self._ticker.cancel()
        for request in list(self._waiting):
            self._deliver([Refuse(request, RefusalReason.SHUTTING_DOWN, None)])

    def status(self) -> dict[str, object]:
        """Return the scheduler's own account of itself."""
        return self._scheduler.status()

    async def admit(self, work: Work) -> Outcome:
        """Queue new work and wait for its outcome.

        A caller that leaves while it waits is taken out of the queue; one that
        leaves just as it was dispatched gives its slot back.
        """
        return await self._await_outcome(
            work, self._scheduler.arrive(work, self._clock.now_seconds())
        )

    async def readmit(self, work: Work, is_free: bool = False) -> Outcome:
        """Place work again after a target failed it.

        Args:
            work: The request, with the targets that failed it excluded.
            is_free: No byte of it has reached a target, or its retry was taken.
        """
        now_seconds = self._clock.now_seconds()
        return await self._await_outcome(
            work, self._scheduler.retry(work, now_seconds, is_free)
        )

    def take_retry(self, work: Work) -> bool:
        """Reserve a retry for work whose target may still answer."""
        return self._scheduler.take_retry(work, self._clock.now_seconds())

    def set_retry_terms(self, terms: RetryTerms) -> None:
        """Set what may be tried again here in each target group."""
        self._scheduler.set_retry_terms(terms)

    async def _await_outcome(self, work: Work, outcomes: list[Outcome]) -> Outcome:
        future = asyncio.get_running_loop().create_future()
        self._waiting[work.request] = future
        self._has_work.set()
        self._deliver(outcomes)
        try:
            outcome: Outcome = await future
            return outcome
        except asyncio.CancelledError:
            self._release(work.request, future)
            raise
        finally:
            self._waiting.pop(work.request, None)

    def _release(self, request: RequestId, future: "asyncio.Future[Outcome]") -> None:
        was_dispatched = (
            future.done()
            and not future.cancelled()
            and isinstance(future.result(), Dispatch)
        )
        if was_dispatched:
            self.finish(request, FinishKind.CANCELLED)
        else:
            self._deliver(self._scheduler.cancel(request, self._clock.now_seconds()))

    def first_token(self, request: RequestId) -> None:
        """Tell that the first token came; the engine's usage is not known yet."""
        self._scheduler.first_token(request, self._clock.now_seconds(), None)

    def note_usage(
        self, request: RequestId, prompt_tokens: int, cached_tokens: int
    ) -> None:
        """Pass on the usage that came with the end of an answer."""
        self._scheduler.note_usage(request, prompt_tokens, cached_tokens)

    def finish(self, request: RequestId, kind: FinishKind) -> None:
        """Tell how a dispatched request ended; frees its slot."""
        now_seconds = self._clock.now_seconds()
        outcomes = self._scheduler.finish(request, now_seconds, kind)
        for loss in self._scheduler.take_losses():
            if self._on_loss is not None:
                self._on_loss(loss)
        self._deliver(outcomes)

    def observe_load(self, report: LoadReport) -> None:
        """Pass on a target's load report."""
        self._scheduler.observe_load(report, self._clock.now_seconds())

    def observe_cache_events(
        self, target: TargetId, boot_id: Incarnation, events: tuple[CacheEvent, ...]
    ) -> None:
        """Pass on a target's cache events, in the order of their sequence."""
        now_seconds = self._clock.now_seconds()
        self._scheduler.observe_cache_events(target, boot_id, events, now_seconds)

    def set_peer_load(self, target: TargetId, load: DaemonLoad) -> None:
        """Pass on what the other daemons have under way at a target."""
        self._scheduler.set_peer_load(target, load, self._clock.now_seconds())

    def set_limit(self, target: TargetId, per_second: float | None) -> None:
        """Pass on a target's limit; None once it names none."""
        now_seconds = self._clock.now_seconds()
        self._deliver(self._scheduler.set_limit(target, per_second, now_seconds))

    def back_off(self, target: TargetId, until_seconds: float) -> None:
        """Send a target nothing until then; waiting requests go out by the tick."""
        self._scheduler.back_off(target, until_seconds)

    def set_sharing_limits(self, n_daemons: int) -> None:
        """Pass on among how many daemons the limits of targets are divided."""
        self._scheduler.set_sharing_limits(n_daemons, self._clock.now_seconds())

    def draw_admission(self, n_waiting: Callable[[TargetGroupId], int]) -> None:
        """Draw a part of the room that peers with waiting requests see as well."""
        self._scheduler.draw_admission(n_waiting, self._clock.now_seconds())

    def waiting_groups(self) -> tuple[TargetGroupId, ...]:
        """Return the groups that requests wait for here, for the peers."""
        return self._scheduler.waiting_groups()

    def take_placed(self) -> tuple[Placed, ...]:
        """Return the prompts that were sent out since the last call, for the peers."""
        return self._scheduler.take_placed()

    def note_placed(self, placed: Placed) -> None:
        """Pass on a prompt that another daemon has sent to a target."""
        self._scheduler.note_placed(placed)

    def dispatch_waiting(self) -> None:
        """Send out what waits and has room by what the others told."""
        self._deliver(self._scheduler.dispatch_waiting(self._clock.now_seconds()))

    def under_way(self) -> dict[TargetId, DaemonLoad]:
        """Return what is under way from here, for the peers."""
        return self._scheduler.under_way()

    def replace_targets(self, targets: tuple[TargetView, ...]) -> None:
        """Tell which targets there are now and in which state."""
        now_seconds = self._clock.now_seconds()
        self._deliver(self._scheduler.replace_targets(targets, now_seconds))

    def set_shares(self, weights: dict[CustomerId, float]) -> None:
        """Set the customers' weights in fair sharing."""
        self._scheduler.set_shares(weights)

    def quarantine(self, fingerprint: BodyFingerprint, for_seconds: float) -> None:
        """Refuse a request that another daemon saw targets die of."""
        until_seconds = self._clock.now_seconds() + for_seconds
        self._scheduler.quarantine(fingerprint, until_seconds)

    def note_loss(
        self,
        fingerprint: BodyFingerprint,
        started_seconds: float,
        lost_seconds: float,
    ) -> None:
        """Count a target loss that another daemon saw; times of our clock."""
        self._scheduler.note_loss(fingerprint, started_seconds, lost_seconds)

    def on_loss(self, callback: Callable[[LossReport], None]) -> None:
        """Call ``callback`` with each loss that counts, at once."""
        self._on_loss = callback

    def note_peer_suspect(self, target: TargetId) -> None:
        """Keep suspects off a target on which another daemon tries one."""
        self._scheduler.note_peer_suspect(target, self._clock.now_seconds())

    def on_suspect(self, callback: Callable[[TargetId], None]) -> None:
        """Call ``callback`` with each target that gets a suspect, at once."""
        self._on_suspect = callback

    def _deliver(self, outcomes: list[Outcome]) -> None:
        if outcomes and self._on_suspect is not None:
            for target in self._scheduler.take_suspect_targets():
                self._on_suspect(target)
        for outcome in outcomes:
            future = self._waiting.get(outcome.request)
            if future is not None and not future.done():
                future.set_result(outcome)
            elif isinstance(outcome, Dispatch):
                # Its caller has just left. Without this the slot would stay
                # taken for good and the target would look busier than it is.
                self.finish(outcome.request, FinishKind.CANCELLED)

    async def _tick(self) -> None:
        while True:
            await self._pause()
            try:
                self._deliver(self._scheduler.tick(self._clock.now_seconds()))
            except Exception:
                # A fault in one pass must not stop the queue for everybody.
                _log.exception("dispatch: the tick failed")

    async def _pause(self) -> None:
        """Wait for the next tick, or for a request while there is none."""
        if self._scheduler.has_work():
            await asyncio.sleep(TICK_SECONDS)
            return
        self._has_work.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_TICK_SECONDS):
                await self._has_work.wait()
