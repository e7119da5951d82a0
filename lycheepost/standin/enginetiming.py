"""When the stand-in engine's tokens come: the interface and a simple form.

The HTTP face (``standin.engine``) asks an ``EngineTiming`` to wait for the first
token and for each further one, and reads load and cache events from it.
"""

import asyncio
import heapq
import itertools
import random
from collections import OrderedDict
from dataclasses import dataclass
from typing import Protocol

from lycheepost.core.clock import Clock
from lycheepost.core.ids import PrefixDigest
from lycheepost.decide.records import PrefixLevel
from lycheepost.generated.engine import CacheEvent, CacheEventKind

_KEPT_EVENTS = 4096


@dataclass(frozen=True, slots=True)
class EngineWork:
    """One request as the engine's timing sees it.

    Attributes:
        levels: Prefix levels, outermost first.
        priority: Lower runs first.
    """

    request: str
    salt: str
    levels: tuple[PrefixLevel, ...]
    prompt_tokens: int
    output_tokens: int
    priority: int


@dataclass(frozen=True, slots=True)
class EngineCounts:
    """What an engine reports of its load."""

    n_running: int
    n_queued: int
    queued_prompt_tokens: int
    cached_tokens: int


class EngineTiming(Protocol):
    """What the HTTP face needs to know about time and cache."""

    async def prefill(self, work: EngineWork) -> int:
        """Wait for the first token; return the prompt tokens found cached."""
        ...

    async def next_token(self, work: EngineWork) -> None:
        """Wait for one more token."""
        ...

    def leave(self, work: EngineWork) -> None:
        """Free what the request holds; called once, whatever happened."""
        ...

    def counts(self) -> EngineCounts:
        """Return the load right now."""
        ...

    def events_after(self, sequence: int) -> list[CacheEvent]:
        """Return cache events that are old enough to be told."""
        ...

    def import_prefix(self, salt: str, level: PrefixLevel) -> None:
        """Put a prefix into the cache, as an import of kept KV does."""
        ...

    def holds(self, salt: str, digest: PrefixDigest) -> PrefixLevel | None:
        """Return the cached prefix level of this digest."""
        ...


@dataclass(frozen=True, slots=True)
class SimpleTimingSettings:
    """Numbers of the simple timing.

    Attributes:
        prefill_token_seconds: Time to compute one uncached prompt token; 20 µs
            is 50,000 tokens a second, in reach of one accelerator server.
        token_gap_seconds: Time between tokens of one answer.
        cache_tokens: Size of the prefix cache.
        max_running: Answers generated at once; others queue by priority.
        event_lag_seconds: Age at which a cache event is told.
        event_gap_share: Share of cache events that are never told.
    """

    prefill_token_seconds: float = 20e-6
    token_gap_seconds: float = 0.005
    cache_tokens: int = 100_000
    max_running: int = 32
    event_lag_seconds: float = 0.2
    event_gap_share: float = 0.0
    seed: int = 1


class PrefixCache:
    """Least recently used cache of prefix levels, apart per salt."""

    def __init__(self, settings: SimpleTimingSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._random = random.Random(settings.seed)
        self._levels: OrderedDict[tuple[str, PrefixDigest], tuple[PrefixLevel, int]]
        self._levels = OrderedDict()
        self._events: list[tuple[float, CacheEvent]] = []
        self._sequence = 0
        self.n_tokens = 0

    def find(self, salt: str, digest: PrefixDigest) -> PrefixLevel | None:
        """Return one cached level."""
        entry = self._levels.get((salt, digest))
        return entry[0] if entry else None

    def match(self, salt: str, levels: tuple[PrefixLevel, ...]) -> int:
        """Return how many tokens of a prompt are cached."""
        n_tokens = 0
        for level in levels:
            if (salt, level.digest) not in self._levels:
                break
            n_tokens = level.end_tokens
        return n_tokens

    def store(self, salt: str, levels: tuple[PrefixLevel, ...]) -> None:
        """Keep all levels of a prompt, the outermost as the most recent."""
        start_tokens = 0
        for level in levels:
            key = (salt, level.digest)
            if key not in self._levels:
                size_tokens = level.end_tokens - start_tokens
                self._levels[key] = (level, size_tokens)
                self.n_tokens += size_tokens
                self._record(CacheEventKind.STORED, level.digest, level.end_tokens)
            start_tokens = level.end_tokens
        for level in reversed(levels):
            self._levels.move_to_end((salt, level.digest))
        while self.n_tokens > self._settings.cache_tokens and self._levels:
            (_, digest), (_, size_tokens) = self._levels.popitem(last=False)
            self.n_tokens -= size_tokens
            self._record(CacheEventKind.EVICTED, digest, size_tokens)

    def events_after(self, sequence: int) -> list[CacheEvent]:
        """Return told events above ``sequence``."""
        newest = self._clock.now_seconds() - self._settings.event_lag_seconds
        return [
            event
            for recorded, event in self._events
            if event.sequence > sequence and recorded <= newest
        ]

    def _record(self, kind: CacheEventKind, digest: PrefixDigest, n: int) -> None:
        self._sequence += 1
        if self._random.random() < self._settings.event_gap_share:
            return
        event = CacheEvent(
            sequence=self._sequence, kind=kind, digest=digest, n_tokens=n
        )
        self._events.append((self._clock.now_seconds(), event))
        del self._events[:-_KEPT_EVENTS]


class SimpleTiming:
    """Serial prefill, slots by priority and an even gap between tokens."""

    def __init__(self, settings: SimpleTimingSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._cache = PrefixCache(settings, clock)
        self._waiting: list[tuple[int, int, EngineWork, asyncio.Future[None]]] = []
        self._order = itertools.count()
        self._running: set[str] = set()
        self._prefill_free_seconds = 0.0

    async def prefill(self, work: EngineWork) -> int:
        """Wait for a slot and the prefill; return the cached prompt tokens."""
        await self._take_slot(work)
        cached_tokens = self._cache.match(work.salt, work.levels)
        seconds = (
            work.prompt_tokens - cached_tokens
        ) * self._settings.prefill_token_seconds
        start = max(self._clock.now_seconds(), self._prefill_free_seconds)
        self._prefill_free_seconds = start + seconds
        await asyncio.sleep(self._prefill_free_seconds - self._clock.now_seconds())
        self._cache.store(work.salt, work.levels)
        return cached_tokens

    async def next_token(self, work: EngineWork) -> None:
        """Wait for the gap between tokens."""
        await asyncio.sleep(self._settings.token_gap_seconds)

    def leave(self, work: EngineWork) -> None:
        """Free the slot and give it to the most urgent waiting request."""
        self._running.discard(work.request)
        self._waiting = [entry for entry in self._waiting if entry[2] is not work]
        heapq.heapify(self._waiting)
        self._fill_slots()

    def counts(self) -> EngineCounts:
        """Return the load right now."""
        return EngineCounts(
            n_running=len(self._running),
            n_queued=len(self._waiting),
            queued_prompt_tokens=sum(entry[2].prompt_tokens for entry in self._waiting),
            cached_tokens=self._cache.n_tokens,
        )

    def events_after(self, sequence: int) -> list[CacheEvent]:
        """Return told cache events above ``sequence``."""
        return self._cache.events_after(sequence)

    def import_prefix(self, salt: str, level: PrefixLevel) -> None:
        """Put a prefix into the cache."""
        self._cache.store(salt, (level,))

    def holds(self, salt: str, digest: PrefixDigest) -> PrefixLevel | None:
        """Return the cached prefix level of this digest."""
        return self._cache.find(salt, digest)

    async def _take_slot(self, work: EngineWork) -> None:
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (work.priority, next(self._order), work, future))
        self._fill_slots()
        await future

    def _fill_slots(self) -> None:
        while self._waiting and len(self._running) < self._settings.max_running:
            _, _, work, future = heapq.heappop(self._waiting)
            if future.done():
                continue
            self._running.add(work.request)
            future.set_result(None)
