"""Destinations of the bytes of a response: the caller, memory, or both.

All sinks take verified bytes in order. ``begin`` is called once, with the first bytes,
so that an earlier error can still be sent as a plain HTTP error.
"""

import structlog
from aiohttp import web

from lycheepost.callers.errors import EXECUTED_HEADER, Executed
from lycheepost.targets.errors import StreamLost
from lycheepost.targets.relay import (
    RelayCallerGone,
    RelayComplete,
    RelayLost,
    RelayOutcome,
    relay,
)
from lycheepost.targets.stream import EngineStream

EVENT_STREAM = "text/event-stream"
_log = structlog.get_logger(part="callers")


class LiveSink:
    """Writes a response to its caller as it arrives.

    Attributes:
        response: The caller's response; prepared with the first bytes.
    """

    def __init__(self, request: web.Request, headers: dict[str, str]) -> None:
        self._request = request
        self.response = web.StreamResponse(headers=headers)
        self.response.content_type = EVENT_STREAM
        self.response.headers["Cache-Control"] = "no-store"
        self.response.headers[EXECUTED_HEADER] = Executed.YES.value

    @property
    def has_begun(self) -> bool:
        """Return whether the status has been sent to the caller."""
        return self.response.prepared

    async def begin(self, data: bytes) -> None:
        """Send the headers, unless they were sent before, and the first bytes."""
        if not self.response.prepared:
            await self.response.prepare(self._request)
        await self.response.write(data)

    async def pump(self, stream: EngineStream) -> RelayOutcome:
        """Relay the rest of a stream at the rate at which the caller reads."""
        return await relay(stream, self.response, self._request)


class BufferSink:
    """Keeps a complete response in memory.

    Attributes:
        chunks: The bytes so far.
    """

    def __init__(self) -> None:
        self.chunks: list[bytes] = []

    @property
    def has_begun(self) -> bool:
        """Return whether the status has been sent to the caller; always False."""
        return False

    async def begin(self, data: bytes) -> None:
        """Keep the first bytes."""
        self.chunks.append(data)

    async def pump(self, stream: EngineStream) -> RelayOutcome:
        """Read a stream to its end."""
        try:
            while (data := await stream.read()) is not None:
                self.chunks.append(data)
            return RelayComplete(stream.n_events, stream.usage)
        except StreamLost as error:
            return RelayLost(error)
        except BaseException:
            await stream.cancel()
            raise

    def content(self) -> bytes:
        """Return all bytes."""
        return b"".join(self.chunks)


class TeeSink:
    """Writes to the caller and keeps the complete response for resends.

    A caller that leaves does not end the response: its key is claimed, and the caller
    will ask for it again with that key.
    """

    def __init__(self, live: LiveSink) -> None:
        self._live = live
        self._buffer = BufferSink()
        self._has_caller_left = False

    @property
    def has_begun(self) -> bool:
        """Return whether the status has been sent to the caller."""
        return self._live.has_begun

    async def begin(self, data: bytes) -> None:
        """Keep and send the first bytes."""
        await self._buffer.begin(data)
        try:
            await self._live.begin(data)
        except (ConnectionError, RuntimeError):
            self._note_caller_left()

    async def pump(self, stream: EngineStream) -> RelayOutcome:
        """Read a stream to its end; write while the caller is connected."""
        try:
            while (data := await stream.read()) is not None:
                self._buffer.chunks.append(data)
                await self._write(data)
            return RelayComplete(stream.n_events, stream.usage)
        except StreamLost as error:
            return RelayLost(error)

    def content(self) -> bytes:
        """Return all bytes."""
        return self._buffer.content()

    async def _write(self, data: bytes) -> None:
        if self._has_caller_left:
            return
        try:
            await self._live.response.write(data)
        except (ConnectionError, RuntimeError):
            # aiohttp raises RuntimeError once the response has been ended.
            self._note_caller_left()

    def _note_caller_left(self) -> None:
        self._has_caller_left = True
        _log.info("callers: caller left a keyed answer; it is finished for resends")


Sink = LiveSink | BufferSink | TeeSink

__all__ = [
    "EVENT_STREAM",
    "BufferSink",
    "LiveSink",
    "RelayCallerGone",
    "RelayComplete",
    "RelayLost",
    "Sink",
    "TeeSink",
]
