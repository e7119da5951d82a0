"""Responses written to the transport directly, with any framing and any end.

aiohttp marks the end of each body by a length or by chunks. Real servers may let a body
end with its connection, and a server that crashes may close or reset the connection, or
even send the last chunk, in the middle of a body.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from enum import Enum
from http import HTTPStatus

from aiohttp import web
from aiohttp.typedefs import Middleware

from lycheepost.standin.rawheads import encode_chunk, encode_head
from lycheepost.standin.resets import reset

_HANG_SECONDS = 3600.0
"""Longer than any caller waits."""


class Framing(Enum):
    """What marks the end of a body."""

    CHUNKS = "chunks"
    CONNECTION = "connection"
    """The body ends with its connection."""


class Stop(Enum):
    """How a body stops."""

    CLOSE = "close"
    RESET = "reset"
    LAST_CHUNK = "last chunk"
    """The regular end of a chunked body."""


class RawResponse:
    """One response.

    Args:
        request: The request that it answers.
        status: Its status.
        headers: Its headers, without those that frame the body.
        framing: What marks the end of its body.
        is_in_one_packet: Whether all is sent at once, at the end.
    """

    def __init__(
        self,
        request: web.Request,
        status: int,
        headers: Mapping[str, str],
        framing: Framing,
        is_in_one_packet: bool = False,
    ) -> None:
        self._transport = request.transport
        self._framing = framing
        self._is_in_one_packet = is_in_one_packet
        framed = {"Transfer-Encoding": "chunked"} if framing is Framing.CHUNKS else {}
        status_line = f"{status} {HTTPStatus(status).phrase}"
        self._pending = encode_head(status_line, {**headers, **framed})
        self._flush()

    def write(self, data: bytes) -> None:
        """Send bytes of the body."""
        if self._framing is Framing.CHUNKS:
            data = encode_chunk(data)
        self._pending += data
        self._flush()

    def stop(self, how: Stop) -> None:
        """End the body and its connection."""
        if self._transport is None:
            return
        if how is Stop.LAST_CHUNK:
            self._pending += b"0\r\n\r\n"
        self._transport.write(self._pending)
        self._pending = b""
        if how is Stop.RESET:
            reset(self._transport)
        else:
            self._transport.close()

    def _flush(self) -> None:
        if self._transport is not None and not self._is_in_one_packet:
            self._transport.write(self._pending)
            self._pending = b""


class EarlyEnd(Enum):
    """How the connection of a response ends while its request is still being sent."""

    RESET = "a reset"
    CLOSE = "a close"
    """Bytes of the request are unread, so that the system resets the connection."""
    END_OF_STREAM = "an end of stream, then a reset"
    HALF_CLOSE = "an end of stream alone"
    """The rest of the request is never read."""
    REFUSAL = "a refusal"
    """A complete refusal with a length, and a close."""


async def answer_early(
    transport: asyncio.Transport,
    headers: Mapping[str, str],
    part: bytes,
    end: EarlyEnd,
    pause_seconds: float,
) -> None:
    """Answer a request that is still being sent, then end its connection.

    Args:
        transport: The connection.
        headers: Headers of the response, without those that frame its body.
        part: The body of a refusal, else the start of a body without length.
        end: How the connection ends.
        pause_seconds: How long it stays open after each step.
    """
    transport.pause_reading()
    if end is EarlyEnd.REFUSAL:
        length = {"Content-Length": str(len(part))}
        head = encode_head("413 Content Too Large", {**headers, **length})
    else:
        head = encode_head("200 OK", headers)
    transport.write(head + part)
    await asyncio.sleep(pause_seconds)
    match end:
        case EarlyEnd.RESET:
            reset(transport)
        case EarlyEnd.CLOSE | EarlyEnd.REFUSAL:
            transport.close()
        case EarlyEnd.END_OF_STREAM:
            transport.write_eof()
            await asyncio.sleep(pause_seconds)
            reset(transport)
        case EarlyEnd.HALF_CLOSE:
            transport.write_eof()
            await asyncio.sleep(_HANG_SECONDS)


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def make_unframing_middleware(is_unframed: Callable[[], bool]) -> Middleware:
    """Return a middleware that sends complete responses without length or chunks.

    Args:
        is_unframed: Returns whether to do so now.
    """

    @web.middleware
    async def unframe(request: web.Request, handler: Handler) -> web.StreamResponse:
        response = await handler(request)
        if not is_unframed() or response.prepared:
            return response
        if isinstance(response, web.Response) and isinstance(response.body, bytes):
            headers = {**response.headers}
            headers.pop("Content-Length", None)
            raw = RawResponse(request, response.status, headers, Framing.CONNECTION)
            raw.write(response.body)
            raw.stop(Stop.CLOSE)
        return response

    return unframe
