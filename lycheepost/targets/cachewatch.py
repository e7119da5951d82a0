"""Follow the cache events of engines and stores.

One task for each: it asks for what came after the last event and waits for more.
Events come late and some are lost; what they tell only steers where work and
copies go, and never what a request is allowed to use.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.ids import Incarnation, TargetId
from lycheepost.decide.cacheestimate import RESTART_SEQUENCE
from lycheepost.generated.engine import CacheEvent, CacheEventKind
from lycheepost.targets.errors import TargetError
from lycheepost.utils.tasks import start_task

POLL_INTERVAL_SECONDS = 0.5
"""Between two questions to one engine. Belief that is half a second old is as good:
a part is kept for many seconds. Asking at every event would cost each engine and
each daemon ten calls a second."""

RETRY_SECONDS = 1.0

FULL_READ_PAUSE_SECONDS = 0.3
"""After each read of all events that an engine keeps. Engines keep thousands, a
quarter of a megabyte. Read from six engines at once, they fill a link of 10 Mbit/s
for longer than a call may take; the calls are then made anew, and no request passes
meanwhile. One after the other, with this pause, they leave most of the link free."""

_log = structlog.get_logger(part="cache")


@dataclass(frozen=True, slots=True)
class CacheEventBatch:
    """An answer to a question for cache events.

    Attributes:
        epoch: Changes when the cache was lost as a whole.
        next_number: Where the next question goes on.
        has_gap: Events before these are no longer kept.
    """

    epoch: int
    next_number: int
    has_gap: bool
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True, slots=True)
class CacheSource:
    """One start of an engine or a store, and where it tells its events.

    A start is followed by itself: what an earlier one told, and what it was asked
    last, say nothing of a cache that is empty again.

    Attributes:
        target: The engine; None for a store.
    """

    target: TargetId | None
    incarnation: Incarnation
    address: str


class CacheEventsPort(Protocol):
    """Asks engines and stores for their cache events."""

    async def read_events(
        self, address: str, since: int
    ) -> Result[CacheEventBatch, TargetError]:
        """Return the events after ``since``; held until there are some."""
        ...


OnEvents = Callable[[CacheSource, tuple[CacheEvent, ...]], None]

CLEARED = CacheEvent(sequence=RESTART_SEQUENCE, kind=CacheEventKind.CLEARED, digest=0)


class CacheWatch:
    """Follows every source that it is told to.

    Args:
        port: Asks for events.
        on_events: Gets the events of one source, in order.
    """

    def __init__(self, port: CacheEventsPort, on_events: OnEvents) -> None:
        self._port = port
        self._on_events = on_events
        self._tasks: dict[CacheSource, asyncio.Task[None]] = {}
        self._is_started = False
        self._wanted: set[CacheSource] = set()
        self._full_read_lock = asyncio.Lock()

    async def start(self) -> None:
        """Begin to follow."""
        self._is_started = True
        self.follow(self._wanted)

    async def drain(self) -> None:
        """Go on: requests are still placed."""

    async def stop(self) -> None:
        """Stop following."""
        self._is_started = False
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def follow(self, sources: Iterable[CacheSource]) -> None:
        """Follow these sources from now on and no others."""
        self._wanted = set(sources)
        if not self._is_started:
            return
        for source in set(self._tasks) - self._wanted:
            self._tasks.pop(source).cancel()
        for source in self._wanted - set(self._tasks):
            self._tasks[source] = start_task(self._run(source), "cache-events")

    async def _run(self, source: CacheSource) -> None:
        address = source.address
        since = 0
        epoch: int | None = None
        is_failing = False
        while True:
            match await self._read(address, since):
                case Success(batch):
                    if epoch is not None and batch.epoch != epoch:
                        _log.info("cache: restarted", address=address)
                        self._on_events(source, (CLEARED,))
                    epoch, since = batch.epoch, batch.next_number
                    is_failing = False
                    if batch.events:
                        self._on_events(source, batch.events)
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)
                case Failure(error):
                    if not is_failing:
                        _log.info("cache: lost", address=address, reason=error.reason)
                    is_failing = True
                    await asyncio.sleep(RETRY_SECONDS)

    async def _read(
        self, address: str, since: int
    ) -> Result[CacheEventBatch, TargetError]:
        """Ask one engine; for all that it keeps, only one engine at a time."""
        if since > 0:
            return await self._port.read_events(address, since)
        async with self._full_read_lock:
            answer = await self._port.read_events(address, since)
            await asyncio.sleep(FULL_READ_PAUSE_SECONDS)
        return answer
