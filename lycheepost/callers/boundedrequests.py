"""Connections of HTTP servers that bound what clients may make them hold.

The HTTP library bounds each line and the number of lines of a head, once these end. It
parses a whole read at once, reads on while a request is served, and keeps a refused
read until a rare collection. So a connection here parses a little at a time and only
what is asked for, charges what it keeps to one account, and ends when it brings too
much that is no request.
"""

import asyncio
import time
from typing import Any, cast

import structlog
from aiohttp import web
from aiohttp.http import HttpRequestParser, HttpVersion11
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo

from lycheepost.callers.clientaccount import ClientAccount
from lycheepost.callers.receivebuffer import set_receive_buffer
from lycheepost.callers.refusals import BodyRefused, Refusal, encode_refusal
from lycheepost.decide.clientlimits import (
    LARGE_RECEIVE_BUFFER_BYTES,
    RECEIVE_BUFFER_BYTES,
)
from lycheepost.decide.clientwaits import PROGRESS_BYTES, ClientState
from lycheepost.utils.boundedreads import HOLD_SECONDS, MAX_FRAMING_SHARE, slow_reads_of
from lycheepost.utils.bytebudget import HeldBytes

MAX_QUEUED_REQUESTS = 2
"""Requests that wait behind the one that is served; few clients send any."""
MAX_IDLE_FRAMING_BYTES = 32 * 1024
"""Bytes that frame a body, beyond its share, and between two bytes of it."""
HEAD_COPIES = 3
"""How often a head is kept: as bytes, as text and for the target."""
BODY_BUFFER_BYTES = 8 * 1024
"""Of a body, what the library holds before it pauses reading; half of it."""
WRITE_BUFFER_BYTES = 16 * 1024
"""Of an answer, what is buffered for a client before writing waits."""
LARGE_BUFFERS_BYTES = 3 * LARGE_RECEIVE_BUFFER_BYTES
"""What a connection with a large receive buffer may hold of a body besides."""

DISCARD_SECONDS = 1.0
MAX_DISCARDED_BYTES = 256 * 1024
"""How long, and how much, a refused client may still send. A connection that is closed
before it was read is reset, and its client may lose the answer."""

_SLICE_BYTES = 4096
"""Parsed at once."""
_MIN_SLICE_BYTES = 512
"""The same of a connection whose bytes take long to parse."""
_QUICK_SECONDS = 0.0002
"""A slice that is parsed in less is followed by one of twice the size."""

_log = structlog.get_logger(part="clients")


class BoundedRequestHandler(RequestHandler):
    """One client's connection.

    Args:
        manager: The server.
        loop: The event loop.
        account: What is held for all clients.
        linger_seconds: How long the rest of a body is read after its response.
        options: Options of the library's handler.
    """

    __slots__ = (
        "_account",
        "_body",
        "_body_bytes",
        "_end_timer",
        "_framing_bytes",
        "_head_bytes",
        "_head_held",
        "_held",
        "_idle_bytes",
        "_is_answered",
        "_is_counted",
        "_is_held",
        "_is_large",
        "_is_refused",
        "_is_slow",
        "_is_urgent",
        "_linger_seconds",
        "_n_discarded_bytes",
        "_noted_bytes",
        "_slice_bytes",
        "_unparsed",
    )

    def __init__(
        self,
        manager: web.Server,
        *,
        loop: asyncio.AbstractEventLoop,
        account: ClientAccount,
        linger_seconds: float = 0.0,
        **options: Any,
    ) -> None:
        options |= {"lingering_time": 0.0, "read_bufsize": BODY_BUFFER_BYTES}
        super().__init__(manager, loop=loop, **options)
        # The library does not let its users set the length of the queue.
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2
        self._parser = HttpRequestParser(
            self,
            loop,
            BODY_BUFFER_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=RequestPayloadError,
            auto_decompress=options.get("auto_decompress", True),
            max_msg_queue_size=MAX_QUEUED_REQUESTS,
        )
        self._account = account
        self._linger_seconds = linger_seconds
        self._head_held: HeldBytes = account.all_bytes.open()
        self._held: HeldBytes = account.all_bytes.open()
        self._is_counted = False
        self._is_refused = False
        self._is_large = False
        self._is_slow = False
        self._is_held = False
        self._is_urgent = False
        self._is_answered = False
        self._end_timer: asyncio.TimerHandle | None = None
        self._n_discarded_bytes = 0
        self._unparsed = b""
        self._slice_bytes = _SLICE_BYTES
        self._body: StreamReader | None = None
        self._head_bytes = 0
        self._body_bytes = self._framing_bytes = 0
        self._idle_bytes = self._noted_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve the connection if there is a place for it."""
        if not self._account.make_place():
            self._is_refused = True
            cast(asyncio.Transport, transport).abort()
            return
        self._account.open(self)
        self._is_counted = True
        super().connection_made(transport)
        cast(asyncio.Transport, transport).set_write_buffer_limits(WRITE_BUFFER_BYTES)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Hold nothing for the connection any longer."""
        self._unparsed = b""
        self._head_held.release()
        self._held.release()
        if self._is_counted:
            self._is_counted = False
            self._account.close(self)
        if self._end_timer is not None:
            self._end_timer.cancel()
            self._end_timer = None
        super().connection_lost(exc)
        self._forget_bodies()

    def _forget_bodies(self) -> None:
        """Break the references between bodies, their errors and this connection.

        What they hold would wait for a rare collection.
        """
        error = None if self._body is None else self._body.exception()
        if error is not None:
            error.__traceback__ = None
        self._body = None
        self._messages.clear()

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, a little at a time."""
        if self._is_refused:
            self._discard(len(data))
        elif self._force_close or self._close:
            return
        elif not data:
            # The parser goes on with what it has, as the body is read again.
            self._feed(b"")
        elif self._unparsed:
            self._unparsed += data
        elif self._is_slow or self._is_behind():
            self._keep(data)
        elif len(data) <= _SLICE_BYTES:
            self._feed(data)
        else:
            self._receive_slices(data)

    def _discard(self, n_bytes: int) -> None:
        """Drop what a refused client still sends, up to a bound."""
        self._n_discarded_bytes += n_bytes
        if self._n_discarded_bytes <= MAX_DISCARDED_BYTES:
            return
        if self._is_answered:
            self.force_close()
        else:
            self._pause_transport_reading()

    def _is_behind(self) -> bool:
        """Return whether what was parsed has to be used before more is parsed."""
        is_request_waiting = self._body is None and bool(self._messages)
        return self._reading_paused or self._buffer_paused or is_request_waiting

    def _receive_slices(self, data: bytes) -> None:
        """Parse a long read; keep the rest if it takes long or is not asked for."""
        until_seconds = time.monotonic() + HOLD_SECONDS
        end = 0
        while end < len(data) and not self._is_refused:
            self._is_slow = end > 0 and time.monotonic() > until_seconds
            if self._is_slow or self._is_behind():
                self._keep(data[end:])
                return
            start, end = end, end + _SLICE_BYTES
            self._feed(data[start:end])

    def _keep(self, data: bytes) -> None:
        """Parse bytes later, in turns with other connections that take long."""
        self._unparsed = data
        self._is_held = True
        self._slice_bytes = _MIN_SLICE_BYTES
        self._pause_transport_reading()
        if not self._is_behind():
            slow_reads_of(self._loop).add(self)

    def parse_slice(self) -> bool:
        """Parse a part of what is left; return whether to go on."""
        if self._is_refused or self.transport is None:
            self._unparsed = b""
            return False
        if self._is_behind():
            return False
        n_bytes = self._slice_bytes
        part, self._unparsed = self._unparsed[:n_bytes], self._unparsed[n_bytes:]
        started_seconds = time.monotonic()
        if part:
            self._feed(part)
        is_quick = time.monotonic() - started_seconds < _QUICK_SECONDS
        self._slice_bytes = 2 * n_bytes if is_quick else _MIN_SLICE_BYTES
        if self._unparsed:
            return not self._is_behind()
        self._is_slow = self._slice_bytes < _SLICE_BYTES
        if not self._is_behind():
            self._resume_transport_reading()
        return False

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Parse and read on, as the body was read.

        The library calls this for each piece that is read of a body.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _resume_transport_reading(self) -> None:
        if self._is_refused:
            return
        if self._unparsed:
            slow_reads_of(self._loop).add(self)
        else:
            self._is_held = False
            super()._resume_transport_reading()

    def _feed(self, part: bytes) -> None:
        """Give bytes to the parser and note what it made of them."""
        n_requests = self._request_count
        super().data_received(part)
        if self._request_count != n_requests:
            newest, body = self._messages[-1]
            if isinstance(newest, _ErrInfo):
                self._refuse_unparsable()
                return
            self._begin_body(body)
            if self._upgraded:
                self._ignore_upgrade()
        elif self._body is None:
            self._note_head(len(part))
        if self._body is not None:
            self._note_body(self._body, len(part))

    def _ignore_upgrade(self) -> None:
        """Serve a request that asks for another protocol, and drop what follows it."""
        self._message_tail = b""
        self._is_refused = True
        self._close = True

    def _refuse_unparsable(self) -> None:
        """Refuse what the parser has refused.

        Its error is answered as a request of its own. The traceback of the error refers
        to the read and to itself.
        """
        error, body = self._messages.pop()
        assert isinstance(error, _ErrInfo)
        error.exc.__traceback__ = None
        found = _ErrInfo(error.status, error.exc, "The request cannot be read.")
        self._messages.append((found, body))
        self._stop_parsing(Refusal.BAD_REQUEST)

    def _note_head(self, n_bytes: int) -> None:
        """Charge bytes of a head, or before one."""
        if not n_bytes:
            return
        if not self._head_bytes and self._account.state(self) is ClientState.IDLE:
            self._account.enter(self, ClientState.HEAD)
        self._head_bytes += n_bytes
        if self._head_bytes > self._account.get_head_bounds().max_bytes:
            self.refuse(Refusal.HEAD_BYTES)
        elif not self._head_held.take(HEAD_COPIES * n_bytes):
            self.refuse(Refusal.NO_PLACE)

    def _begin_body(self, body: StreamReader) -> None:
        """Note that a head has ended; whoever serves the request charges it."""
        self._head_bytes = 0
        self._head_held.release()
        if body.is_eof():
            self._body = None
            self._account.enter(self, ClientState.SERVED)
            return
        self._body = body
        self._body_bytes = self._framing_bytes = 0
        self._idle_bytes = self._noted_bytes = 0
        self._account.enter(self, ClientState.BODY)

    def _note_body(self, body: StreamReader, n_bytes: int) -> None:
        """Note the progress of a body; refuse one that brings too little of it."""
        n_new = body.total_bytes - self._body_bytes
        self._body_bytes += n_new
        self._framing_bytes += max(0, n_bytes - n_new)
        self._idle_bytes = 0 if n_new else self._idle_bytes + n_bytes
        if body.is_eof():
            self._body = None
            self._account.enter(self, ClientState.SERVED)
            return
        n_allowed = MAX_IDLE_FRAMING_BYTES + MAX_FRAMING_SHARE * self._body_bytes
        is_idle = self._idle_bytes > MAX_IDLE_FRAMING_BYTES
        if is_idle or self._framing_bytes > n_allowed:
            self.refuse(Refusal.FRAMING_BYTES)
        elif self._body_bytes - self._noted_bytes >= PROGRESS_BYTES:
            self._note_progress()

    def take(self, n_bytes: int) -> bool:
        """Hold bytes for the request that is served; False if too many are held."""
        return self._held.take(n_bytes)

    def _note_progress(self) -> None:
        self._noted_bytes = self._body_bytes
        if self._account.state(self) is not ClientState.BODY:
            return
        self._account.enter(self, ClientState.BODY)
        if not self._is_large:
            self._enlarge_buffer()

    def _enlarge_buffer(self) -> None:
        """Let a large body arrive faster if half of the account is free."""
        budget = self._account.all_bytes
        is_half_free = 2 * budget.held_bytes < budget.max_bytes
        if is_half_free and self._held.take(LARGE_BUFFERS_BYTES):
            self._is_large = True
            set_receive_buffer(self.transport, LARGE_RECEIVE_BUFFER_BYTES)

    def pause_writing(self) -> None:
        """Note that the client does not read its answer."""
        super().pause_writing()
        if self._account.state(self) is ClientState.SERVED:
            self._account.enter(self, ClientState.UNREAD)

    def resume_writing(self) -> None:
        """Note that the client reads."""
        super().resume_writing()
        if self._account.state(self) is ClientState.UNREAD:
            self._account.enter(self, ClientState.SERVED)

    async def finish_response(
        self, request: Any, resp: Any, start_time: float | None
    ) -> Any:
        """Send the rest of a response; the connection then waits for a request."""
        try:
            finished = await super().finish_response(request, resp, start_time)
            if self._is_refused:
                self._is_answered = True
                await self._discard_rest()
            elif not request.content.is_eof():
                await self._linger(request.content)
            return finished
        finally:
            self._release()
            if not self._messages:
                is_idle = not self._head_bytes
                state = ClientState.IDLE if is_idle else ClientState.HEAD
                self._account.enter(self, state)
            if self._is_refused:
                self.force_close()
            elif self._is_held and not self._reading_paused:
                self._resume_transport_reading()

    async def _discard_rest(self) -> None:
        """Drop what a client still sends, so that it gets its answer before a reset."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if self._n_discarded_bytes > MAX_DISCARDED_BYTES or self._is_urgent:
            return
        transport.write_eof()
        super()._resume_transport_reading()
        await asyncio.sleep(DISCARD_SECONDS)

    async def _linger(self, body: StreamReader) -> None:
        """Read the rest of a body, so that its client gets the response.

        The library's own way keeps what it refers to if it is cancelled.
        """
        try:
            async with asyncio.timeout(self._linger_seconds):
                while not body.is_eof():
                    await body.readany()
        except (TimeoutError, RequestPayloadError, RuntimeError):
            # The connection is closed, as the body has not been read.
            self._close = True

    def _release(self) -> None:
        """Hold nothing for a request any longer."""
        self._held.release()
        if self._is_large:
            self._is_large = False
            set_receive_buffer(self.transport, RECEIVE_BUFFER_BYTES)

    def refuse(self, refusal: Refusal) -> None:
        """Parse nothing more, and close the connection.

        A request that is being served is finished first. One whose body is being read
        ends with ``BodyRefused``.
        """
        if self.transport is None:
            return
        if self._is_refused:
            self._is_urgent = True
            if self._is_answered:
                self.force_close()
            return
        self._stop_parsing(refusal)
        if self._paused:
            self.transport.abort()
        elif self._is_waiting():
            self._end(refusal)
        else:
            self._close = True

    def _stop_parsing(self, refusal: Refusal) -> None:
        """Parse nothing more; whoever reads a body is told."""
        self._is_refused = True
        self._is_urgent = refusal in (Refusal.PLACE_NEEDED, Refusal.NO_PLACE)
        self._account.note_refused(refusal)
        self._unparsed = b""
        if self._body is not None:
            self._body.set_exception(BodyRefused(refusal))

    def _is_waiting(self) -> bool:
        """Return whether no request is being served."""
        if self._messages:
            return False
        waiter = self._waiter
        return not self._request_count or (waiter is not None and not waiter.done())

    def _end(self, refusal: Refusal) -> None:
        """Answer a head that has begun, and close."""
        transport = self.transport
        if transport is None or not self._head_bytes:
            self.force_close()
            return
        transport.write(encode_refusal(refusal))
        if self._is_urgent:
            self.force_close()
            return
        self._is_answered = True
        transport.write_eof()
        self._end_timer = self._loop.call_later(DISCARD_SECONDS, self.force_close)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to what cannot be parsed, or on which a handler failed.

        The library takes what cannot be parsed for a request of HTTP/1.0.
        """
        request._version = HttpVersion11
        return super().handle_error(request, status, exc, message)

    def log_exception(self, *args: Any, **kw: Any) -> None:
        """Log the library's errors without tracebacks; clients cause most of them."""
        error = kw.get("exc_info")
        _log.info("clients: request failed", error=type(error).__name__)
