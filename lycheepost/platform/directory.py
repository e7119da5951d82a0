"""Serves the platform's readiness checks and the directory of addresses."""

from collections.abc import Callable

import msgspec
from aiohttp import web

MAX_ADDRESSES = 64
"""Maximum addresses that clients read from one response, by the platform's protocol."""


class Readiness:
    """Serves the platform's readiness check."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond 200 when ready, else 503."""
        if request.path != "/ready":
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)


class Directory:
    """Serves the addresses that clients should use.

    Args:
        addresses: The addresses, best first.
        valid_seconds: Returns how long clients may cache a response.
    """

    def __init__(
        self, addresses: Callable[[], list[str]], valid_seconds: Callable[[], float]
    ) -> None:
        self._addresses = addresses
        self._valid_seconds = valid_seconds

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to a lookup: 503 instead of an empty list."""
        if request.path != "/lookup":
            return web.Response(status=404)
        addresses = self._addresses()[:MAX_ADDRESSES]
        if not addresses:
            return web.Response(status=503)
        answer = {"addresses": addresses, "ttl_s": self._valid_seconds()}
        return web.Response(
            body=msgspec.json.encode(answer), content_type="application/json"
        )
