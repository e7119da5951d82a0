"""Where the bytes of an answer go: to the caller, to memory, or to both.

All sinks take verified bytes in order. ``begin`` is called once, with the first
bytes, so that an error before them can still be a plain HTTP error.
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
    """Writes an answer to its caller as it comes.

    Attributes:
        response: The caller's response; prepared by the first bytes.
    """

    def __init__(self, request: web.Request, headers: dict[str, str]) -> None:
        self._request = request
        self.response = web.StreamResponse(headers=headers)
        self.response.content_type = EVENT_STREAM
        self.response.headers["Cache-Control"] = "no-store"
        self.response.headers[EXECUTED_HEADER] = Executed.YES.value

    @property
    def is_begun(self) -> bool:
        """Tell whether the caller has got a status already."""
        return self.response.prepared

    async def begin(self, data: bytes) -> None:
        """Send the headers, unless they went out before, and the first bytes."""
        if not self.response.prepared:
            await self.response.prepare(self._request)
        await self.response.write(data)

    async def pump(self, stream: EngineStream) -> RelayOutcome:
        """Relay the rest of a stream at the caller's pace."""
        return await relay(stream, self.response, self._request)


class BufferSink:
    """Keeps a whole answer in memory.

    Attributes:
        chunks: The bytes so far.
    """

    def __init__(self) -> None:
        self.chunks: list[bytes] = []

    @property
    def is_begun(self) -> bool:
        """Tell whether the caller has got a status already; never here."""
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

    def whole(self) -> bytes:
        """Return all bytes."""
        return b"".join(self.chunks)


class TeeSink:
    """Writes to the caller and keeps the whole answer for resends.

    A caller that leaves does not end the answer: it belongs to a claimed key,
    and the caller will ask for it again with that key.
    """

    def __init__(self, live: LiveSink) -> None:
        self._live = live
        self._buffer = BufferSink()
        self._is_caller_gone = False

    @property
    def is_begun(self) -> bool:
        """Tell whether the caller has got a status already."""
        return self._live.is_begun

    async def begin(self, data: bytes) -> None:
        """Keep and send the first bytes."""
        await self._buffer.begin(data)
        try:
            await self._live.begin(data)
        except (ConnectionError, RuntimeError):
            self._note_gone()

    async def pump(self, stream: EngineStream) -> RelayOutcome:
        """Read a stream to its end; write as long as the caller is there."""
        try:
            while (data := await stream.read()) is not None:
                self._buffer.chunks.append(data)
                await self._write(data)
            return RelayComplete(stream.n_events, stream.usage)
        except StreamLost as error:
            return RelayLost(error)

    def whole(self) -> bytes:
        """Return all bytes."""
        return self._buffer.whole()

    async def _write(self, data: bytes) -> None:
        if self._is_caller_gone:
            return
        try:
            await self._live.response.write(data)
        except (ConnectionError, RuntimeError):
            # aiohttp raises RuntimeError once the response has been ended.
            self._note_gone()

    def _note_gone(self) -> None:
        self._is_caller_gone = True
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
