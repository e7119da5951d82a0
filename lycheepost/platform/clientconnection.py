"""A client's connection that waits for one response."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from aiohttp import web
from multidict import CIMultiDict

from lycheepost.callers.forwarding import Forwarding
from lycheepost.targets.forwardcall import ResponseHead


class ClientConnection:
    """Implements ``callers.forwarddeps.CallerConnection`` over aiohttp.

    Args:
        request: The client's request.
        is_leaving: Returns whether to close the connection after this response.

    Attributes:
        response: The response that has begun, if any.
        forwarding: The request's attempts; None while it is being read.
        ended: Set once the request is no longer served.
    """

    def __init__(
        self, request: web.BaseRequest, is_leaving: Callable[[], bool]
    ) -> None:
        self._request = request
        self._is_leaving = is_leaving
        self.response: web.StreamResponse | None = None
        self.forwarding: Forwarding | None = None
        self.ended = asyncio.Event()

    async def begin(self, head: ResponseHead, length: int | None) -> None:
        """Send the status and the headers."""
        response = web.StreamResponse(
            status=head.status, headers=CIMultiDict(head.headers)
        )
        if length is None:
            response.enable_chunked_encoding()
        else:
            response.content_length = length
        if self._is_leaving():
            response.force_close()
        self.response = response
        await self._guard(response.prepare(self._request))

    async def write(self, data: bytes) -> None:
        """Send bytes of the body."""
        assert self.response is not None
        if data:
            await self._guard(self.response.write(data))

    async def finish(self) -> None:
        """End the response as complete."""
        assert self.response is not None
        await self._guard(self.response.write_eof())

    def abort(self) -> None:
        """Abort the connection."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _guard(self, step: Coroutine[Any, Any, Any]) -> None:
        try:
            await step
        except RuntimeError as error:
            # aiohttp raises RuntimeError once the connection is closed.
            raise ConnectionError(str(error)) from error
