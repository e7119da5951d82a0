"""Answers without end: a server that sends until its peer closes the connection.

``send_endless`` writes one form to a transport, as fast as the peer reads or slowly.
``EndlessServer`` answers requests so from a thread of its own, so that a process can
run the server beside the client that it floods.
"""

import asyncio
import contextlib
import itertools
import threading
from collections.abc import Callable, Iterator, Mapping
from enum import Enum

from lycheepost.standin.rawheads import encode_chunk, encode_head

PIECE_BYTES = 65536
"""Size of one write, about what a client reads at once."""
_MAX_UNSENT_BYTES = 4 * PIECE_BYTES
"""The server waits while its peer has this much unread."""
_POLL_SECONDS = 0.001
"""Pause between writes, so that a thread that floods leaves time to its client."""
_START_SECONDS = 5.0
_ENDLESS_LENGTH = 10**15


class EndlessForm(Enum):
    """What is sent without end."""

    INFORMATIONAL_HEADS = "informational heads"
    """Heads of status 103, one after the other."""
    HEAD_LINES = "head lines"
    """Short lines of one head."""
    HEAD_LINE = "head line"
    """One line of a head."""
    STATUS_LINE = "status line"
    BLANK_LINES = "blank lines"
    """Before a head."""
    CHUNK_EXTENSION = "chunk extension"
    """One extension of one chunk."""
    CHUNK_EXTENSIONS = "chunk extensions"
    """Chunks of one byte, each with a long extension."""
    TRAILERS = "trailers"
    """Lines after the last chunk."""
    BODY = "body"
    """A body in large chunks."""
    LONG_BODY = "long body"
    """A body of a stated, enormous length."""
    ENCODED_BODY = "encoded body"
    """A gzip stream that expands a thousandfold."""
    EVENT = "event"
    """One event of a stream."""
    EVENTS = "events"
    """Whole events of a stream."""
    SWITCHED = "switched"
    """Status 101, then bytes of no protocol."""
    UNASKED_BYTES = "unasked bytes"
    """A complete answer, then bytes that are no answer."""
    UNASKED_ANSWERS = "unasked answers"
    """A complete answer, then further complete answers."""


_UNASKED = (EndlessForm.UNASKED_BYTES, EndlessForm.UNASKED_ANSWERS)
_UNASKED_AFTER_SECONDS = 0.02
"""By then the peer has read the complete answer."""
_CHUNKED = {"Transfer-Encoding": "chunked"}
_STREAM = {**_CHUNKED, "Content-Type": "text/event-stream"}
_WHOLE = b"{}"


def _head(status: str, *headers: Mapping[str, str]) -> bytes:
    fields = {name: value for part in headers for name, value in part.items()}
    return encode_head(status, fields)


def _gzip_start() -> bytes:
    import zlib

    packer = zlib.compressobj(wbits=31)
    return packer.compress(b"") + packer.flush(zlib.Z_SYNC_FLUSH)


def _gzip_repeat() -> bytes:
    """Return blocks that may follow each other in one gzip stream."""
    import zlib

    packer = zlib.compressobj(wbits=-15)
    packed = packer.compress(bytes(PIECE_BYTES * 64))
    return packed + packer.flush(zlib.Z_FULL_FLUSH)


def form_parts(
    form: EndlessForm, headers: Mapping[str, str] | None = None
) -> tuple[bytes, bytes]:
    """Return the start of an answer and the unit that is repeated without end.

    Args:
        form: What is sent.
        headers: Headers of its head, without those that frame the body.
    """
    headers = headers or {}
    whole = _head("200 OK", headers, {"Content-Length": str(len(_WHOLE))}) + _WHOLE
    match form:
        case EndlessForm.INFORMATIONAL_HEADS:
            return b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"
        case EndlessForm.HEAD_LINES:
            return _head("200 OK", headers)[:-2], b"X-More: more\r\n"
        case EndlessForm.HEAD_LINE:
            return _head("200 OK", headers)[:-2] + b"X-More: ", b"m"
        case EndlessForm.STATUS_LINE:
            return b"HTTP/1.1 200 ", b"O"
        case EndlessForm.BLANK_LINES:
            return b"", b"\r\n"
        case EndlessForm.CHUNK_EXTENSION:
            return _head("200 OK", headers, _CHUNKED) + b"5;", b"e"
        case EndlessForm.CHUNK_EXTENSIONS:
            start = _head("200 OK", headers, _CHUNKED)
            return start, encode_chunk(b" ", b";" + b"e" * 4000)
        case EndlessForm.TRAILERS:
            start = _head("200 OK", headers, _CHUNKED) + encode_chunk(_WHOLE) + b"0\r\n"
            return start, b"X-More: more\r\n"
        case EndlessForm.BODY:
            return _head("200 OK", headers, _CHUNKED), encode_chunk(b" " * 16384)
        case EndlessForm.LONG_BODY:
            length = {"Content-Length": str(_ENDLESS_LENGTH)}
            return _head("200 OK", headers, length), b" "
        case EndlessForm.ENCODED_BODY:
            encoded = {"Content-Encoding": "gzip", **_CHUNKED}
            start = _head("200 OK", headers, encoded) + encode_chunk(_gzip_start())
            return start, encode_chunk(_gzip_repeat())
        case EndlessForm.EVENT:
            start = _head("200 OK", headers, _STREAM) + encode_chunk(b"id: 1\ndata: ")
            return start, encode_chunk(b"d" * 64)
        case EndlessForm.EVENTS:
            return _head("200 OK", headers, _STREAM), encode_chunk(b"data: d\n\n")
        case EndlessForm.SWITCHED:
            switch = {"Connection": "Upgrade", "Upgrade": "none"}
            return _head("101 Switching Protocols", headers, switch), b"u"
        case EndlessForm.UNASKED_BYTES:
            return whole, b"u"
        case EndlessForm.UNASKED_ANSWERS:
            return whole, whole


def _pieces(unit: bytes, is_slow: bool) -> Iterator[bytes]:
    """Yield what is written at once: one unit if slow, else about ``PIECE_BYTES``."""
    if is_slow:
        return itertools.repeat(unit)
    return itertools.repeat(unit * max(1, PIECE_BYTES // len(unit)))


async def send_endless(
    transport: asyncio.WriteTransport,
    form: EndlessForm,
    headers: Mapping[str, str] | None = None,
    pause_seconds: float | None = None,
) -> int:
    """Write one form until the peer closes the connection.

    Args:
        transport: Where to write, ``StreamWriter.transport`` or that of a request.
        form: What is sent.
        headers: Headers of its head, without those that frame the body.
        pause_seconds: Pause after each single unit (a head, line or byte); None to
            write as fast as the peer reads.

    Returns:
        The bytes that were written.
    """
    start, unit = form_parts(form, headers)
    transport.write(start)
    n_bytes = len(start)
    if form in _UNASKED:
        await asyncio.sleep(_UNASKED_AFTER_SECONDS)
    for piece in _pieces(unit, pause_seconds is not None):
        if transport.is_closing():
            break
        is_full = transport.get_write_buffer_size() > _MAX_UNSENT_BYTES
        if not is_full:
            transport.write(piece)
            n_bytes += len(piece)
        await asyncio.sleep(
            _POLL_SECONDS if is_full else pause_seconds or _POLL_SECONDS
        )
    transport.abort()
    return n_bytes


class EndlessServer:
    """A server that answers without end, in a thread of its own.

    Args:
        form: What it sends.
        pause_seconds: Pause after each unit; None to send as fast as is read.
        make_headers: Returns the headers of the answer to a request, given its path
            and headers; their names are in lower case.
        is_flooded: Whether a request, given its path, is answered without end; others
            get an empty record.

    Attributes:
        address: ``IP:PORT`` after the start.
        form: What it sends; it may be changed.
        n_flooded: Requests that were answered without end.
        n_closed: Of those, the ones whose peer closed the connection.
        n_bytes: Bytes written to peers that have closed. A few megabytes of each may
            be unread, in buffers of the system.
    """

    def __init__(
        self,
        form: EndlessForm,
        pause_seconds: float | None = None,
        make_headers: Callable[[str, Mapping[str, str]], Mapping[str, str]] = (
            lambda *_: {}
        ),
        is_flooded: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self.form = form
        self.address = ""
        self.n_flooded = 0
        self.n_closed = 0
        self.n_bytes = 0
        self._pause_seconds = pause_seconds
        self._make_headers = make_headers
        self._is_flooded = is_flooded
        self._has_started = threading.Event()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._thread: threading.Thread | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._thread = threading.Thread(
            target=lambda: asyncio.run(self._serve()), daemon=True
        )
        self._thread.start()
        if not self._has_started.wait(_START_SECONDS):
            raise TimeoutError("the server did not start")

    def stop(self) -> None:
        """Close all connections and end the thread."""
        if self._loop is not None and self._thread is not None:
            self._loop.call_soon_threadsafe(self._stopping.set)
            self._thread.join(_START_SECONDS)
            self._loop = None

    async def _serve(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stopping = asyncio.Event()
        server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self._has_started.set()
        await self._stopping.wait()
        server.close()
        for task in self._tasks:
            task.cancel()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            # The peer has left when no request follows; ``stop`` cancels the task.
            with contextlib.suppress(
                ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
            ):
                while not await self._answer(reader, writer):
                    pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether it was answered without end."""
        path, asked = await _read_request(reader)
        headers = self._make_headers(path, asked)
        if not self._is_flooded(path):
            length = {"Content-Length": str(len(_WHOLE))}
            writer.write(_head("200 OK", headers, length) + _WHOLE)
            return False
        self.n_flooded += 1
        n_bytes = await send_endless(
            writer.transport, self.form, headers, self._pause_seconds
        )
        self.n_closed += 1
        self.n_bytes += n_bytes
        return True


async def _read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the path and headers of the next request, and read its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    fields = (line.split(": ", 1) for line in lines if ": " in line)
    headers = {name.lower(): value for name, value in fields}
    await reader.readexactly(int(headers.get("content-length", "0")))
    return first.split(" ")[1].partition("?")[0], headers
