"""A listener whose requests all go to one handler, without routes of our own."""

import socket
from collections.abc import Awaitable, Callable

import structlog
from aiohttp import web

from lycheepost.app.earlysockets import BACKLOG

KEEP_ALIVE_SECONDS = 75.0
"""Clients keep idle connections for up to 15 seconds at present deployments; who
closes first must not be this side, or a request would cross the close."""

LINGER_SECONDS = 2.0
"""After an answer that came before the end of its request's body the rest is read on
for so long: a client that still sends would lose the answer to a reset. It is enough
for the largest body that operators allow at two megabytes a second."""

MAX_HEADER_BYTES = 32 * 1024
"""Longest line or header; twice what operators allow today."""

MAX_HEADERS = 128

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_log = structlog.get_logger(part="app")


class RawListener:
    """One port and its handler.

    Args:
        name: Stands in logs.
        handler: Gets every request, whatever its path.
        listening: An open socket; closed with the listener.
    """

    def __init__(self, name: str, handler: Handler, listening: socket.socket) -> None:
        self._name = name
        self._handler = handler
        self._listening = listening
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Serve the connections that wait and those that come."""
        server = web.Server(
            self._handler,
            # A client that leaves must let its target stop at once.
            handler_cancellation=True,
            # A body goes on as it came, whatever it is encoded with.
            auto_decompress=False,
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
            lingering_time=LINGER_SECONDS,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_HEADERS,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.SockSite(self._runner, self._listening, backlog=BACKLOG)
        await site.start()
        port = self._listening.getsockname()[1]
        _log.info("app: listening", name=self._name, port=port)

    async def drain(self) -> None:
        """Go on listening: whoever owns the requests waits for them."""

    async def stop(self) -> None:
        """Close the port and what connections are left."""
        if self._runner is not None:
            await self._runner.cleanup()
