"""Simulates one engine with continuous batching in virtual time.

Pure: no clock and no I/O. ``submit`` and ``cancel`` take the current time,
``advance`` runs the engine up to a given time and returns the events since, and
``next_event_seconds`` returns when to call it next. The policy bench drives the
engine from its event heap, the HTTP stand-in from a real clock.

Work runs in iterations: each one generates one token for every running request and
prefills up to one chunk of the waiting prompts. Output tokens are counted per engine
and not per request, so that simulating an iteration costs the same with 1 and with
64 running requests.
"""

import heapq
import random
from collections import deque
from dataclasses import dataclass, replace

from lycheepost.core.ids import Incarnation, PrefixDigest, RequestId
from lycheepost.generated.engine import CacheEvent
from lycheepost.standin.enginecache import EngineCache
from lycheepost.standin.enginerecords import (
    EngineEvent,
    EngineEventKind,
    EngineReport,
    EngineRequest,
    EngineSettings,
)


@dataclass(slots=True)
class _Job:
    spec: EngineRequest
    order: int
    remaining_tokens: int = 0
    cached_tokens: int = 0
    start_count: int = 0
    is_started: bool = False
    is_cancelled: bool = False


@dataclass(slots=True)
class _IterationBatch:
    """The current iteration, or a batch of equal iterations without prefill."""

    started_seconds: float
    seconds_per_iteration: float
    n_iterations: int

    def end_seconds(self) -> float:
        return self.started_seconds + self.seconds_per_iteration * self.n_iterations


@dataclass(slots=True)
class _Counters:
    """Totals since the start, read by the bench."""

    prompt_tokens: int = 0
    prefilled_tokens: int = 0
    output_tokens: int = 0
    busy_seconds: float = 0.0


class Engine:
    """One engine; see the module's description."""

    def __init__(self, name: str, settings: EngineSettings, seed: int) -> None:
        self.name = name
        self.settings = settings
        self.counters = _Counters()
        self._rng = random.Random(f"{name}/{seed}")
        self._n_boots = 0
        self._n_submitted = 0
        self._boot()

    def _boot(self) -> None:
        self._n_boots += 1
        self.incarnation = Incarnation(f"{self.name}-boot-{self._n_boots}")
        self.cache = EngineCache(
            self.settings.cache_tokens,
            self.settings.event_lag_seconds,
            self.settings.event_loss_share,
            self._rng,
        )
        self._jobs: dict[RequestId, _Job] = {}
        self._waiting: list[tuple[int, int, _Job]] = []
        self._prefilling: _Job | None = None
        self._plan: list[tuple[_Job, int]] = []
        self._running: list[tuple[int, int, _Job]] = []
        self._n_running = 0
        self._queued_tokens = 0
        self._token_count = 0
        self._current: _IterationBatch | None = None
        self._reports: deque[EngineReport] = deque()

    def submit(self, spec: EngineRequest, now_seconds: float) -> list[EngineEvent]:
        """Add a request and return the events until now."""
        events = self.advance(now_seconds)
        self._n_submitted += 1
        job = _Job(spec, self._n_submitted, spec.prompt_tokens)
        self._jobs[spec.request] = job
        heapq.heappush(self._waiting, (spec.priority, job.order, job))
        self._queued_tokens += spec.prompt_tokens
        self._shorten_batch(now_seconds)
        self._start_iterations(now_seconds)
        self._record_load(now_seconds)
        return events

    def cancel(self, request: RequestId, now_seconds: float) -> list[EngineEvent]:
        """Cancel a request and return the events until now."""
        events = self.advance(now_seconds)
        job = self._jobs.pop(request, None)
        if job is None:
            return events
        job.is_cancelled = True
        if job.is_started:
            self._n_running -= 1
        else:
            self._queued_tokens -= job.remaining_tokens
        if self._prefilling is job:
            self._prefilling = None
        self._record_load(now_seconds)
        return events

    def crash(self, now_seconds: float) -> list[EngineEvent]:
        """Lose all requests and restart empty as a new incarnation."""
        events = self.advance(now_seconds)
        return events + self._drop_all_and_reboot(now_seconds)

    def _drop_all_and_reboot(self, now_seconds: float) -> list[EngineEvent]:
        lost = [
            EngineEvent(EngineEventKind.LOST, request, now_seconds)
            for request in self._jobs
        ]
        self._boot()
        return lost

    def slow_down(self, slowness: float, now_seconds: float) -> list[EngineEvent]:
        """Multiply the duration of all further iterations by ``slowness``."""
        events = self.advance(now_seconds)
        self._shorten_batch(now_seconds)
        self.settings = replace(self.settings, slowness=slowness)
        return events

    def next_event_seconds(self) -> float | None:
        """Return when the current iterations end; None when idle."""
        return None if self._current is None else self._current.end_seconds()

    def n_tokens(self, request: RequestId) -> int:
        """Return the number of output tokens of a running request so far."""
        job = self._jobs.get(request)
        if job is None or not job.is_started:
            return 0
        return self._token_count - job.start_count + 1

    def advance(self, now_seconds: float) -> list[EngineEvent]:
        """Run up to ``now_seconds`` and return the events in order."""
        events: list[EngineEvent] = []
        while self._current is not None:
            end_seconds = self._current.end_seconds()
            if end_seconds > now_seconds:
                break
            events.extend(self._complete(end_seconds))
            self._start_iterations(end_seconds)
        return events

    def _shorten_batch(self, now_seconds: float) -> None:
        """End a batch of equal iterations after the current iteration."""
        current = self._current
        if current is None or current.n_iterations == 1:
            return
        elapsed_seconds = now_seconds - current.started_seconds
        n_iterations = int(elapsed_seconds / current.seconds_per_iteration) + 1
        current.n_iterations = min(current.n_iterations, n_iterations)

    def _complete(self, end_seconds: float) -> list[EngineEvent]:
        current = self._current
        assert current is not None
        self._current = None
        self.counters.busy_seconds += end_seconds - current.started_seconds
        self._token_count += current.n_iterations
        self.counters.output_tokens += current.n_iterations * self._n_running
        events = self._finish_completed(end_seconds)
        events.extend(self._advance_prefill(end_seconds))
        self._record_load(end_seconds)
        return events

    def _finish_completed(self, end_seconds: float) -> list[EngineEvent]:
        events = []
        while self._running and self._running[0][0] <= self._token_count:
            job = heapq.heappop(self._running)[2]
            if job.is_cancelled:
                continue
            self._n_running -= 1
            del self._jobs[job.spec.request]
            events.append(
                EngineEvent(EngineEventKind.FINISHED, job.spec.request, end_seconds)
            )
        return events

    def _advance_prefill(self, end_seconds: float) -> list[EngineEvent]:
        events: list[EngineEvent] = []
        plan, self._plan = self._plan, []
        for job, n_tokens in plan:
            if job.is_cancelled:
                continue
            if job.spec.crashes_engine:
                return events + self._drop_all_and_reboot(end_seconds)
            job.remaining_tokens -= n_tokens
            self._queued_tokens -= n_tokens
            self.counters.prefilled_tokens += n_tokens
            if job.remaining_tokens == 0:
                events.extend(self._start_decode(job, end_seconds))
        return events

    def _plan_prefill(self) -> int:
        """Select the prompts of the next iteration and return their tokens.

        A prompt that does not fit the chunk continues in the next iteration,
        before others. Each job takes one slot of the batch.
        """
        free_tokens = self.settings.chunk_tokens
        free_slots = self.settings.max_running - self._n_running
        while free_tokens > 0 and free_slots > 0:
            job = self._prefilling or self._next_waiting()
            if job is None:
                break
            n_tokens = min(free_tokens, job.remaining_tokens)
            self._plan.append((job, n_tokens))
            self._prefilling = job if n_tokens < job.remaining_tokens else None
            free_tokens -= n_tokens
            free_slots -= 1
        return self.settings.chunk_tokens - free_tokens

    def _next_waiting(self) -> _Job | None:
        while self._waiting:
            job = heapq.heappop(self._waiting)[2]
            if job.is_cancelled:
                continue
            self._look_up(job)
            return job
        return None

    def _look_up(self, job: _Job) -> None:
        spec = job.spec
        found_tokens = self.cache.look_up(spec.salt, spec.levels)
        # The last prompt token is always computed: the first output needs it.
        job.cached_tokens = min(found_tokens, spec.prompt_tokens - 1)
        job.remaining_tokens = spec.prompt_tokens - job.cached_tokens
        self._queued_tokens -= job.cached_tokens

    def _start_decode(self, job: _Job, now_seconds: float) -> list[EngineEvent]:
        spec = job.spec
        self.counters.prompt_tokens += spec.prompt_tokens
        self.cache.store(spec.salt, spec.levels, now_seconds)
        job.is_started = True
        job.start_count = self._token_count
        self._n_running += 1
        end_count = self._token_count + max(0, spec.output_tokens - 1)
        events = [
            EngineEvent(
                EngineEventKind.FIRST_TOKEN,
                spec.request,
                now_seconds,
                job.cached_tokens,
            )
        ]
        heapq.heappush(self._running, (end_count, job.order, job))
        events.extend(self._finish_completed(now_seconds))
        return events

    def _start_iterations(self, now_seconds: float) -> None:
        if self._current is not None:
            return
        chunk_tokens = self._plan_prefill()
        if not chunk_tokens and not self._n_running:
            return
        settings = self.settings
        seconds_per_iteration = (
            settings.iteration_seconds
            + settings.sequence_seconds * self._n_running
            + settings.prefill_seconds_per_token * chunk_tokens
        ) * settings.slowness
        n_iterations = 1 if chunk_tokens else self._iterations_until_finish()
        self._current = _IterationBatch(
            now_seconds, seconds_per_iteration, n_iterations
        )

    def _iterations_until_finish(self) -> int:
        while self._running and self._running[0][2].is_cancelled:
            heapq.heappop(self._running)
        n_iterations = max(1, self._running[0][0] - self._token_count)
        return min(n_iterations, self.settings.max_batched_iterations)

    def _record_load(self, now_seconds: float) -> None:
        report = EngineReport(
            incarnation=self.incarnation,
            measured_seconds=now_seconds,
            n_running=self._n_running,
            n_queued=len(self._jobs) - self._n_running,
            queued_prompt_tokens=self._queued_tokens,
            cached_tokens=self.cache.n_tokens,
        )
        self._reports.append(report)
        self._drop_old_reports(now_seconds)

    def load_report(self, now_seconds: float) -> EngineReport | None:
        """Return the load as of ``load_lag_seconds`` ago; None if none is that old."""
        self._drop_old_reports(now_seconds)
        if not self._reports:
            return None
        report = self._reports[0]
        horizon = now_seconds - self.settings.load_lag_seconds
        if report.measured_seconds > horizon:
            return None
        return replace(report, measured_seconds=horizon)

    def _drop_old_reports(self, now_seconds: float) -> None:
        horizon = now_seconds - self.settings.load_lag_seconds
        while len(self._reports) > 1 and self._reports[1].measured_seconds <= horizon:
            self._reports.popleft()

    def cache_events(self, after: int, now_seconds: float) -> list[CacheEvent]:
        """Return the published cache events with a sequence above ``after``."""
        return self.cache.published(after, now_seconds)

    def holds(self, salt: str, digest: PrefixDigest) -> bool:
        """Return whether a level is cached; for audits."""
        return self.cache.holds(salt, digest)
