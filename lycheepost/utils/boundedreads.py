"""Connections of HTTP clients that refuse and bound what is no answer.

The HTTP library bounds each line and the number of lines of a head. It queues any
number of informational heads, skips any number of blank lines and chunk extensions, and
keeps what arrives while no call waits. A server that sends these without end would take
the memory and the time of the process. So a connection ends when it has brought too
much of them.

It also passes on some answers whose head is invalid, which end here as well.

Bodies in thousands of tiny chunks take long to parse. Connections that bring these
share a bounded part of each turn of the loop, however many they are.
"""

import asyncio
import functools
import time
from collections import Counter, OrderedDict
from enum import Enum
from typing import Any, Protocol

import aiohttp
import structlog
from aiohttp.client_proto import ResponseHandler
from aiohttp.streams import EofStream, StreamReader

from lycheepost.utils.bodies import TrackedResponse
from lycheepost.utils.connecting import RunningTimeConnector
from lycheepost.utils.connectionends import is_reset, n_unacknowledged_bytes
from lycheepost.utils.responseheads import FoldSearch, HeadFault, find_head_fault

MAX_INFORMATIONAL_HEADS = 8
"""Servers send one or two, if any."""
MAX_HEAD_BYTES = 256 * 1024
"""Of all heads of a response; usual ones have under a kilobyte."""
MAX_FRAMING_BYTES = 1024 * 1024
"""Of a body, beyond its share below; more than two reads of a connection, as what was
read may wait for its parser."""
MAX_FRAMING_SHARE = 16
"""Bytes that frame a body, for each byte of it. A chunk of one byte takes 5."""
_SLICE_BYTES = 4096
"""Parsed at once before the head is complete, so that a read of hundreds of kilobytes
of short heads does not hold the loop."""

_BODY_SLICE_BYTES = 4096
"""Parsed first of a read; then twice as much each time, as most reads cost little."""
HOLD_SECONDS = 0.002
"""How long one read may be parsed at once, and in each turn of the loop all connections
together whose reads took longer. A read of large chunks takes less."""
_MIN_SLICE_BYTES = 512
"""Least that is parsed at once of a connection whose reads take long."""
_QUICK_SECONDS = 0.0002
"""A slice that is parsed in less is followed by one of twice the size."""

_log = structlog.get_logger(part="http")


class Excess(Enum):
    """What a server sent too much of."""

    INFORMATIONAL_HEADS = "informational_heads"
    HEAD_BYTES = "head_bytes"
    UPGRADE = "upgrade"
    """Status 101, which no client asks for."""
    FRAMING_BYTES = "framing_bytes"
    """Chunk extensions, trailers and the like."""
    UNASKED_BYTES = "unasked_bytes"
    """Bytes while no call waits for an answer."""
    BODY_BYTES = "body_bytes"


GivenUpReason = Excess | HeadFault
"""What a server sent too much of, or what is wrong with the head that it sent."""


class AnswerGivenUp(aiohttp.ClientPayloadError):
    """An answer was given up; its connection was closed.

    Attributes:
        reason: Why.
    """

    def __init__(self, reason: GivenUpReason) -> None:
        match reason:
            case Excess():
                text = f"the server sent too much: {reason.value}"
            case HeadFault():
                text = f"the server sent an invalid head: {reason.value}"
        super().__init__(text)
        self.reason = reason


_n_given_up: Counter[str] = Counter()


def note_given_up(client: str, reason: GivenUpReason) -> None:
    """Log and count an answer that was given up."""
    _n_given_up[f"{client}.{reason.value}"] += 1
    _log.warning("http: answer given up", client=client, reason=reason.value)


def given_up_counts() -> dict[str, int]:
    """Return how many answers this process gave up, by ``CLIENT.REASON``."""
    return dict(_n_given_up)


class SlowConnection(Protocol):
    """A connection with bytes left to parse."""

    def parse_slice(self) -> bool:
        """Parse a part of what is left; return whether to go on."""
        ...


class SlowReads:
    """Connections with bytes left to parse, which take turns.

    Args:
        loop: The event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self._waiting: OrderedDict[SlowConnection, None] = OrderedDict()
        self._is_scheduled = False

    def add(self, handler: SlowConnection) -> None:
        """Parse bytes of a connection in a later turn of the loop."""
        self._waiting[handler] = None
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        until_seconds = time.monotonic() + HOLD_SECONDS
        while self._waiting and time.monotonic() < until_seconds:
            handler, _ = self._waiting.popitem(last=False)
            if handler.parse_slice():
                self._waiting[handler] = None
        if self._waiting:
            self._schedule()


_slow_reads: SlowReads | None = None


def slow_reads_of(loop: asyncio.AbstractEventLoop) -> SlowReads:
    """Return the connections of a loop that take turns; a process has one loop."""
    global _slow_reads
    if _slow_reads is None or _slow_reads.loop is not loop:
        _slow_reads = SlowReads(loop)
    return _slow_reads


class BoundedHandler(ResponseHandler):
    """A connection that ends when a server sends what is no answer.

    Args:
        loop: The event loop.
        client: Names the client, for the log and the count.
        slow_reads: Parses what takes long.

    Attributes:
        client: The same.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, client: str, slow_reads: SlowReads
    ) -> None:
        super().__init__(loop=loop)
        self.client = client
        self._slow_reads = slow_reads
        self._is_head_awaited = False
        self._body: Any = None
        self._given_up: GivenUpReason | None = None
        self._folds = FoldSearch()
        self._deferred = b""
        self._slice_bytes = _MIN_SLICE_BYTES
        self._is_slow = False
        self._has_ended = False
        self._end_error: BaseException | None = None
        self._request_writer: asyncio.Task[None] | None = None
        self._is_cut = False
        self._n_informational = 0
        self._n_head_bytes = 0
        self._n_body_bytes = 0

    @property
    def should_close(self) -> bool:
        """Return whether the connection may not be used again."""
        return bool(self._deferred) or super().should_close

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the response to a call that is about to be sent."""
        self._is_head_awaited = True
        self._body = None
        self._folds = FoldSearch()
        self._n_informational = self._n_head_bytes = self._n_body_bytes = 0
        super().set_response_params(**params)

    def note_request_writer(self, writer: asyncio.Task[None] | None) -> None:
        """Take the task that writes the request; None if it has been written."""
        self._request_writer = writer

    def eof_received(self) -> None:
        """Note whether the connection ends before its request has been sent."""
        transport = self.transport
        if transport is not None:
            writer = self._request_writer
            is_being_written = writer is not None and not writer.done()
            self._is_cut = (
                is_being_written
                or is_reset(transport)
                or n_unacknowledged_bytes(transport) > 0
            )
            if self._is_cut:
                # The loop would try to send what is left of the request.
                transport.abort()
        super().eof_received()

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take a head and its body from the parser."""
        message, body = data
        fault = find_head_fault(message.code, message.headers)
        if fault is not None and self._is_head_awaited:
            self._given_up = fault
        elif message.code == 101:
            self._given_up = Excess.UPGRADE
        elif message.code < 200:
            self._n_informational += 1
            if self._n_informational > MAX_INFORMATIONAL_HEADS:
                self._given_up = Excess.INFORMATIONAL_HEADS
        elif self._is_head_awaited:
            self._is_head_awaited = False
            self._body = body
        if self._given_up is None:
            super().feed_data(data, size)

    async def read(self) -> Any:
        """Return the next head, with its body."""
        try:
            if self._given_up is None:
                return await super().read()
        except EofStream as error:
            if self._given_up is None:
                raise aiohttp.ServerDisconnectedError from error
        assert self._given_up is not None
        raise AnswerGivenUp(self._given_up)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, a little at a time."""
        if self._given_up is not None:
            return
        if not data:
            # The parser goes on with what it has, as the body is read again.
            super().data_received(data)
        elif self._deferred:
            self._deferred += data
        elif self._is_slow and not self._is_head_awaited:
            self._defer(data)
        else:
            self._receive(data)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Parse and read on, as the body was read.

        The library calls this for each piece that is read of a body.
        """
        if not self._reading_paused:
            return
        super().resume_reading(resume_parser)
        if self._deferred and not self._reading_paused:
            self._pause_transport()
            self._slow_reads.add(self)

    def _pause_transport(self) -> None:
        transport = self.transport
        if transport is not None and not transport.is_closing():
            transport.pause_reading()

    def close(self) -> None:
        """Close the connection; nobody reads what is left."""
        super().close()
        self._end_at_last()

    def abort(self) -> None:
        """Reset the connection; nobody reads what is left."""
        super().abort()
        self._end_at_last()

    def _end_at_last(self) -> None:
        """End as the connection did while bytes were left."""
        if self._has_ended:
            self._has_ended = False
            self._deferred = b""
            super().connection_lost(self._end_error)
            self._body = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """End, once what is left has been parsed."""
        if exc is None and self._is_cut:
            exc = ConnectionResetError("the request was not sent completely")
        is_read = self.transport is not None and self._given_up is None
        if self._deferred and is_read:
            self._has_ended, self._end_error = True, exc
            return
        self._deferred = b""
        super().connection_lost(exc)
        # It refers to this connection, and would wait for a rare collection.
        self._body = None

    def _receive(self, data: bytes) -> None:
        if self._is_head_awaited:
            data = self._receive_head(data)
            if not data:
                return
        body = self._body
        if body is None or body.is_eof():
            self._end(Excess.UNASKED_BYTES)
            return
        self._receive_body(data, body)
        self._end_if_excess(body)

    def _end_if_excess(self, body: StreamReader) -> None:
        """Close the connection if it has brought too much that is no body."""
        n_allowed = MAX_FRAMING_BYTES + (MAX_FRAMING_SHARE + 1) * body.total_bytes
        if self._given_up is None and self._n_body_bytes > n_allowed:
            self._given_up = None if body.is_eof() else Excess.FRAMING_BYTES
        if self._given_up is not None:
            self._end(self._given_up)

    def _receive_body(self, data: bytes, body: StreamReader) -> None:
        """Parse bytes of a body; defer the rest if that takes long."""
        if len(data) <= _BODY_SLICE_BYTES:
            super().data_received(data)
            self._n_body_bytes += len(data)
            return
        until_seconds = time.monotonic() + HOLD_SECONDS
        end = 0
        size = _BODY_SLICE_BYTES
        while end < len(data):
            start, end = end, end + size
            part = data[start:end]
            super().data_received(part)
            self._n_body_bytes += len(part)
            if end < len(data) and body.is_eof():
                self._given_up = Excess.UNASKED_BYTES
            if self._given_up is not None:
                return
            if self._reading_paused or time.monotonic() > until_seconds:
                self._defer(data[end:])
                return
            size *= 2

    def _defer(self, data: bytes) -> None:
        """Parse the rest of a read when the loop has done its other work."""
        if data and self.transport is not None and not self.transport.is_closing():
            self._is_slow = True
            self._slice_bytes = _MIN_SLICE_BYTES
            self._deferred = data
            self._pause_transport()
            self._slow_reads.add(self)

    def parse_slice(self) -> bool:
        """Parse a part of what is left; return whether to go on.

        Nothing is parsed until what was parsed before has been read.
        """
        if self._given_up is not None or self.transport is None:
            self._deferred = b""
        elif self._reading_paused:
            return False
        data = self._deferred
        part, self._deferred = data[: self._slice_bytes], data[self._slice_bytes :]
        started_seconds = time.monotonic()
        if part:
            self._parse_part(part)
        if time.monotonic() - started_seconds < _QUICK_SECONDS:
            self._slice_bytes *= 2
        else:
            self._slice_bytes = _MIN_SLICE_BYTES
        if self._deferred and self._given_up is None:
            return True
        self._end_turn()
        return False

    def _parse_part(self, part: bytes) -> None:
        """Parse a part of a body, more of which may be left."""
        body = self._body
        if body is None or body.is_eof():
            self._end(Excess.UNASKED_BYTES)
            return
        super().data_received(part)
        self._n_body_bytes += len(part)
        if self._deferred and body.is_eof():
            self._given_up = Excess.UNASKED_BYTES
        self._end_if_excess(body)

    def _end_turn(self) -> None:
        """Read on, or end as the connection did, since all has been parsed."""
        if self._has_ended:
            self._end_at_last()
            return
        self._is_slow = self._slice_bytes < _BODY_SLICE_BYTES
        transport = self.transport
        if self._reading_paused or transport is None or transport.is_closing():
            return
        transport.resume_reading()

    def _receive_head(self, data: bytes) -> bytes:
        """Parse up to the end of the slice with the head; return what follows it."""
        for start in range(0, len(data), _SLICE_BYTES):
            part = data[start : start + _SLICE_BYTES]
            if self._folds.has_fold(part):
                self._end(HeadFault.FOLDED_LINE)
                return b""
            super().data_received(part)
            self._n_head_bytes += len(part)
            is_long = self._is_head_awaited and self._n_head_bytes > MAX_HEAD_BYTES
            if is_long and self._given_up is None:
                self._given_up = Excess.HEAD_BYTES
            if self._given_up is not None:
                self._end(self._given_up)
                return b""
            if self.transport is None or self.transport.is_closing():
                # The parser has refused the head.
                return b""
            if not self._is_head_awaited:
                return data[start + _SLICE_BYTES :]
        return b""

    def _end(self, reason: GivenUpReason) -> None:
        """Close the connection; whoever reads the answer gets an error."""
        self._given_up = reason
        note_given_up(self.client, reason)
        if reason is not Excess.UNASKED_BYTES:
            error = AnswerGivenUp(reason)
            if self._body is not None and not self._body.is_eof():
                self._body.set_exception(error)
            self.set_exception(error)
        self.abort()


def make_bounded_connector(client: str, **options: Any) -> aiohttp.TCPConnector:
    """Return a connection pool whose connections are bounded.

    Args:
        client: Names the client, for the log and the count.
        options: Options of ``aiohttp.TCPConnector``.
    """
    connector = RunningTimeConnector(**options)
    bound_connections(connector, client)
    return connector


def bound_connections(connector: aiohttp.TCPConnector, client: str) -> None:
    """Bound the connections that a pool opens from now on."""
    loop = asyncio.get_running_loop()
    connector._factory = functools.partial(  # type: ignore[assignment]
        BoundedHandler, loop=loop, client=client, slow_reads=slow_reads_of(loop)
    )


async def read_bounded(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return a complete body.

    Raises:
        aiohttp.ClientError: It broke off, or is larger than ``max_bytes``.
    """
    parts = []
    n_bytes = 0
    async for part in response.content.iter_any():
        n_bytes += len(part)
        if n_bytes > max_bytes:
            response.close()
            note_given_up(getattr(response, "client", ""), Excess.BODY_BYTES)
            raise AnswerGivenUp(Excess.BODY_BYTES)
        parts.append(part)
    if isinstance(response, TrackedResponse):
        await response.wait_body_end()
    return b"".join(parts)
