"""Runs the engine model in real time for the stand-in engine's HTTP server.

``standin.enginemodel`` determines when tokens are generated, what is cached and what
is reported; the policy bench runs the same model in virtual time. Here a task
advances it with a clock and wakes the answers that wait for tokens.
"""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, replace

from lycheepost.core.clock import Clock
from lycheepost.core.ids import PrefixDigest, RequestId
from lycheepost.decide.records import PrefixLevel
from lycheepost.generated.engine import CacheEvent
from lycheepost.standin.enginemodel import Engine
from lycheepost.standin.enginerecords import (
    EngineEvent,
    EngineEventKind,
    EngineRequest,
    EngineSettings,
)

_MAX_KEPT_LEVELS = 20_000
"""Prefix levels whose lengths are kept for KV exports."""

STANDIN_SPEEDS = EngineSettings(
    prefill_seconds_per_token=20e-6,
    iteration_seconds=0.005,
    sequence_seconds=0.0,
    chunk_tokens=4096,
    max_running=32,
    cache_tokens=100_000,
    load_lag_seconds=0.0,
    event_lag_seconds=0.2,
    event_loss_share=0.0,
)
"""Faster than the real engine of ``EngineSettings`` (prefill 2.5 times, an iteration
under load 7 times), so that a demo of seconds shows much traffic. The HTTP server adds
the lag of load reports."""


def make_speeds(**changes: float) -> EngineSettings:
    """Return the stand-ins' speeds with some fields replaced."""
    return replace(STANDIN_SPEEDS, **changes)  # type: ignore[arg-type]


@dataclass(frozen=True, slots=True)
class EngineCounts:
    """The load that an engine reports."""

    n_running: int = 0
    n_queued: int = 0
    queued_prompt_tokens: int = 0
    cached_tokens: int = 0


@dataclass(slots=True)
class _Progress:
    """Progress of the model with one answer.

    Attributes:
        n_taken: Tokens passed to the HTTP server.
    """

    work: EngineRequest
    first: asyncio.Future[int]
    is_finished: bool = False
    n_taken: int = 1


class EngineTiming:
    """One incarnation of an engine; a restarted engine gets a new one."""

    def __init__(self, name: str, settings: EngineSettings, clock: Clock) -> None:
        # One iteration per event, so that each token is visible when generated.
        model_settings = replace(
            settings, max_batched_iterations=1, load_lag_seconds=0.0
        )
        self._model = Engine(name, model_settings, seed=1)
        self._clock = clock
        self._answers: dict[RequestId, _Progress] = {}
        self._end_tokens: OrderedDict[tuple[str, PrefixDigest], int] = OrderedDict()
        self._advanced = asyncio.Event()
        self._submitted = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def close(self) -> None:
        """Stop permanently; no caller may wait for a token afterwards."""
        if self._task is not None:
            self._task.cancel()

    async def prefill(self, work: EngineRequest) -> int:
        """Wait for the first token; return the prompt tokens found cached."""
        progress = _Progress(work, asyncio.get_running_loop().create_future())
        self._answers[work.request] = progress
        self._handle_events(self._model.submit(work, self._clock.now_seconds()))
        self._submitted.set()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())
        cached_tokens = await progress.first
        for level in work.levels:
            self._remember_length(work.salt, level)
        return cached_tokens

    async def next_token(self, work: EngineRequest) -> None:
        """Wait for one more token."""
        progress = self._answers[work.request]
        while not progress.is_finished:
            if self._model.n_tokens(work.request) > progress.n_taken:
                break
            advanced = self._advanced
            await advanced.wait()
        progress.n_taken += 1

    def leave(self, work: EngineRequest) -> None:
        """Release the request's state; called once per run, however it ended."""
        progress = self._answers.pop(work.request, None)
        if progress is not None and not progress.is_finished:
            now_seconds = self._clock.now_seconds()
            self._handle_events(self._model.cancel(work.request, now_seconds))

    def counts(self) -> EngineCounts:
        """Return the current load."""
        report = self._model.load_report(self._clock.now_seconds())
        if report is None:
            return EngineCounts()
        return EngineCounts(
            n_running=report.n_running,
            n_queued=report.n_queued,
            queued_prompt_tokens=report.queued_prompt_tokens,
            cached_tokens=report.cached_tokens,
        )

    def events_after(self, sequence: int) -> list[CacheEvent]:
        """Return the published cache events after a sequence number."""
        return self._model.cache_events(sequence, self._clock.now_seconds())

    def import_prefix(self, salt: str, level: PrefixLevel) -> None:
        """Store a prefix in the cache, as a KV import does."""
        self._model.cache.store(salt, (level,), self._clock.now_seconds())
        self._remember_length(salt, level)

    def holds(self, salt: str, digest: PrefixDigest) -> PrefixLevel | None:
        """Return the cached prefix level of this digest."""
        end_tokens = self._end_tokens.get((salt, digest))
        if end_tokens is None or not self._model.holds(salt, digest):
            return None
        return PrefixLevel(digest, end_tokens)

    def _remember_length(self, salt: str, level: PrefixLevel) -> None:
        self._end_tokens[salt, level.digest] = level.end_tokens
        self._end_tokens.move_to_end((salt, level.digest))
        while len(self._end_tokens) > _MAX_KEPT_LEVELS:
            self._end_tokens.popitem(last=False)

    async def _run(self) -> None:
        """Advance the model while it has work."""
        while (due_seconds := self._model.next_event_seconds()) is not None:
            self._submitted.clear()
            delay_seconds = due_seconds - self._clock.now_seconds()
            if delay_seconds > 0:
                # A submitted request may end the current batch of iterations early.
                try:
                    async with asyncio.timeout(delay_seconds):
                        await self._submitted.wait()
                except TimeoutError:
                    pass
            else:
                await asyncio.sleep(0)
            self._handle_events(self._model.advance(self._clock.now_seconds()))

    def _handle_events(self, events: list[EngineEvent]) -> None:
        for event in events:
            progress = self._answers.get(event.request)
            if progress is None:
                continue
            match event.kind:
                case EngineEventKind.FIRST_TOKEN:
                    if not progress.first.done():
                        progress.first.set_result(event.cached_tokens)
                case EngineEventKind.FINISHED:
                    progress.is_finished = True
        self._advanced.set()
        self._advanced = asyncio.Event()


def make_engine_timing(
    name: str, settings: EngineSettings, clock: Clock
) -> EngineTiming:
    """Return the timing of an engine that has started empty."""
    return EngineTiming(name, settings, clock)
