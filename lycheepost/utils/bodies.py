"""How the bodies of HTTP responses are framed, and how they ended.

A body without length or chunks ends with its connection. A closed connection says that
no byte follows. A reset one says that bytes may be missing, yet aiohttp reports both
alike, as the end of the body; only the state of the connection tells them apart.
"""

import asyncio
from collections.abc import Mapping
from enum import Enum
from http import HTTPStatus
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp.connector import Connection


class BodyFraming(Enum):
    """What marks the end of a response's body."""

    NONE = "none"
    """There is no body."""
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"
    """The body ends with its connection."""


class BodyEnd(Enum):
    """How the body of a response ended."""

    OPEN = "open"
    """It has not ended, or was given up."""
    MARKED = "marked"
    """Its length was reached, or its last chunk arrived."""
    CLOSED = "closed"
    """The connection that marks its end was closed."""
    BROKEN = "broken"
    """The connection was reset, or closed before the marked end."""


_BODILESS_STATUSES = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)


def body_framing(method: str, status: int, headers: Mapping[str, str]) -> BodyFraming:
    """Return what marks the end of a response's body, as HTTP/1.1 defines.

    Args:
        method: The method of the request.
        status: The status of the response.
        headers: Its headers; names are matched without regard to case.
    """
    if method == "HEAD" or status in _BODILESS_STATUSES:
        return BodyFraming.NONE
    if "Transfer-Encoding" in headers:
        is_chunked = headers["Transfer-Encoding"].lower().endswith("chunked")
        return BodyFraming.CHUNKS if is_chunked else BodyFraming.CONNECTION
    if "Content-Length" in headers:
        return BodyFraming.LENGTH
    return BodyFraming.CONNECTION


IDENTITY_ENCODING = {"Accept-Encoding": "identity"}
"""Headers of calls whose answers are not decoded: a small encoded body may expand a
thousandfold."""


class TrackedResponse(aiohttp.ClientResponse):
    """A response that knows how its connection ended; ``response_class`` of sessions.

    ``read``, ``text`` and ``json`` raise ``aiohttp.ClientError`` for a body that broke
    off. Whoever reads ``content`` calls ``wait_body_end`` after its end.

    Attributes:
        client: Names the client that called, for the log; empty if unknown.
    """

    client = ""
    _closed_future: asyncio.Future[None] | None = None

    async def start(self, connection: "Connection") -> aiohttp.ClientResponse:
        """Begin to read the response."""
        protocol = connection.protocol
        if protocol is not None:
            # The response may end, and give the connection back, before the next step.
            self._closed_future = protocol.closed
            self.client = getattr(protocol, "client", "")
            note_writer = getattr(protocol, "note_request_writer", None)
            if note_writer is not None:
                note_writer(self._writer)
        if self._closed_future is not None:
            # A pooled connection is started many times, and keeps one callback.
            self._closed_future.remove_done_callback(_retrieve_error)
            self._closed_future.add_done_callback(_retrieve_error)
        return await super().start(connection)

    @property
    def framing(self) -> BodyFraming:
        """Return what marks the end of the body."""
        return body_framing(self.method, self.status, self.headers)

    async def wait_body_end(self) -> BodyEnd:
        """Return how the body ended, which has been read to its end.

        Raises:
            aiohttp.ClientError: Bytes may be missing: the connection was reset or
                ended before the request had been sent, or nothing shows how it ended.
        """
        if self.framing is not BodyFraming.CONNECTION:
            return BodyEnd.MARKED
        if self._closed_future is None:
            raise aiohttp.ClientPayloadError("nothing shows how the connection ended")
        # A cancelled read must not cancel the future, which others wait for.
        await asyncio.shield(self._closed_future)
        return BodyEnd.CLOSED

    async def read(self) -> bytes:
        """Return the complete body."""
        body = await super().read()
        await self.wait_body_end()
        return body


def _retrieve_error(closed: asyncio.Future[None]) -> None:
    """Mark the error of a connection as seen; asyncio logs it otherwise."""
    if not closed.cancelled():
        closed.exception()
