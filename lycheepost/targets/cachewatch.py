"""Follow the cache events of engines and stores.

One task for each source polls for the events after the last one read. Events arrive
late and some are lost, so they only influence where requests and copies are sent,
never which cache contents a request may use.
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
"""Pause between two polls of one source. A cache estimate half a second old is good
enough, because an engine keeps cached parts of prompts for many seconds. Polling at
every event would cost each engine and each daemon ten calls a second."""

FAILED_POLL_PAUSE_SECONDS = 1.0
"""Pause after a failed poll."""

FULL_READ_PAUSE_SECONDS = 0.3
"""Pause after each full read of an engine's events. Engines keep thousands of events,
a quarter of a megabyte in total. Six full reads at once would fill a link of 10 Mbit/s
for longer than the time-out of a call. All of them would fail and start again from
scratch, and block all requests on the link. Full reads one at a time, with this pause,
leave most of the link free."""

_log = structlog.get_logger(part="cache")


@dataclass(frozen=True, slots=True)
class CacheEventBatch:
    """The result of one poll for cache events.

    Attributes:
        epoch: Changes when the whole cache was lost.
        next_number: Position from which the next poll continues.
        has_gap: Whether earlier events are no longer kept by the source.
    """

    epoch: int
    next_number: int
    has_gap: bool
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True, slots=True)
class CacheSource:
    """One start of an engine or a store, and the address that serves its events.

    Each start is a source of its own: a restarted cache is empty, so neither the
    events of the previous start nor its last poll position apply to it.

    Attributes:
        target: The engine; None for a store.
    """

    target: TargetId | None
    incarnation: Incarnation
    address: str


class CacheEventsPort(Protocol):
    """Reads cache events from engines and stores."""

    async def read_events(
        self, address: str, since: int, is_store: bool
    ) -> Result[CacheEventBatch, TargetError]:
        """Return the events after ``since``; waits until there are some.

        Args:
            address: Of the engine or store.
            since: Number of the last event before.
            is_store: Whether engines of several software versions write there.
        """
        ...


OnEvents = Callable[[CacheSource, tuple[CacheEvent, ...]], None]

CLEARED = CacheEvent(sequence=RESTART_SEQUENCE, kind=CacheEventKind.CLEARED, digest=0)


class CacheWatch:
    """Polls a changing set of sources.

    Args:
        port: Reads events.
        on_events: Called with the events of one source, in order.
    """

    def __init__(self, port: CacheEventsPort, on_events: OnEvents) -> None:
        self._port = port
        self._on_events = on_events
        self._tasks: dict[CacheSource, asyncio.Task[None]] = {}
        self._is_started = False
        self._wanted: set[CacheSource] = set()
        self._full_read_lock = asyncio.Lock()

    async def start(self) -> None:
        """Start polling the sources."""
        self._is_started = True
        self.follow(self._wanted)

    async def drain(self) -> None:
        """Keep polling, since open requests still have to be placed."""

    async def stop(self) -> None:
        """Stop polling all sources."""
        self._is_started = False
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def follow(self, sources: Iterable[CacheSource]) -> None:
        """Poll exactly these sources from now on."""
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
            match await self._read(source, since):
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
                        _log.info(
                            "cache: events not readable",
                            address=address,
                            reason=error.reason,
                        )
                    is_failing = True
                    await asyncio.sleep(FAILED_POLL_PAUSE_SECONDS)

    async def _read(
        self, source: CacheSource, since: int
    ) -> Result[CacheEventBatch, TargetError]:
        """Read one source's events; only one full read runs at a time."""
        address, is_store = source.address, source.target is None
        if since > 0:
            return await self._port.read_events(address, since, is_store)
        async with self._full_read_lock:
            answer = await self._port.read_events(address, since, is_store)
            await asyncio.sleep(FULL_READ_PAUSE_SECONDS)
        return answer
