"""Records which software version began a stream, and reads the record at the start."""

import asyncio
from collections.abc import Callable

import structlog
from returns.result import Failure, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import StreamId
from lycheepost.decide.streamorigins import StreamOrigin
from lycheepost.decide.streamrecord import StreamRecord, first_row
from lycheepost.state.streamrows import RecordedStream, StreamRows
from lycheepost.utils.tasks import start_task

RECORD_INTERVAL_SECONDS = 0.25
"""Time between two writes. The streams begun in it are lost with all daemons."""

RETRY_SECONDS = 0.3
"""Interval between attempts while the store does not respond."""

_log = structlog.get_logger(part="streams")


class StreamRecorder:
    """Reads the record once and then writes the streams that are added.

    Args:
        rows: Stores the record.
        clock: A clock that includes time spent suspended.
        is_first_start: Whether the whole fleet starts for the first time, so that there
            is no record.
    """

    def __init__(self, rows: StreamRows, clock: Clock, is_first_start: bool) -> None:
        self._rows = rows
        self._clock = clock
        self._is_first_start = is_first_start
        self._record = StreamRecord()
        self._has_streams = asyncio.Event()
        self._on_read: Callable[[tuple[RecordedStream, ...]], None] = lambda _: None
        self._n_writes = 0
        self._task: asyncio.Task[None] | None = None

    def subscribe(self, on_read: Callable[[tuple[RecordedStream, ...]], None]) -> None:
        """Set what is called with the record that a start finds."""
        self._on_read = on_read

    async def start(self) -> None:
        """Start reading and writing."""
        self._task = start_task(self._run(), "stream-record")

    async def drain(self) -> None:
        """Do nothing: streams are begun until the end of the drain."""

    async def stop(self) -> None:
        """Stop reading and writing."""
        if self._task is not None:
            self._task.cancel()

    def status(self) -> dict[str, object]:
        """Return how often the record was written."""
        return {"n_writes": self._n_writes}

    def add(self, stream: StreamId, origin: StreamOrigin) -> None:
        """Record a stream with the next write."""
        self._record.add(stream, origin, self._clock.now_seconds())
        self._has_streams.set()

    async def _run(self) -> None:
        if not self._is_first_start:
            await self._read()
        while True:
            await self._has_streams.wait()
            self._has_streams.clear()
            await self._write()
            await asyncio.sleep(RECORD_INTERVAL_SECONDS)

    async def _read(self) -> None:
        while True:
            match await self._rows.read():
                case Success(found):
                    _log.info("streams: record read", n_streams=len(found.streams))
                    self._record.move_to(first_row(found.own_versions))
                    self._on_read(found.streams)
                    return
                case Failure(error):
                    _log.info("streams: record not read", reason=error.reason)
            await asyncio.sleep(RETRY_SECONDS)

    async def _write(self) -> None:
        changed = self._record.take_changed()
        if not changed:
            return
        self._n_writes += 1
        match await self._rows.write(changed):
            case Success():
                pass
            case Failure(error):
                _log.info("streams: record not written", reason=error.reason)
                self._record.put_back(changed)
                self._has_streams.set()
