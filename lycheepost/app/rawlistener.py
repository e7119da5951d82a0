"""A listener that passes all requests to one handler, without a route table."""

import socket
from collections.abc import Awaitable, Callable

import structlog
from aiohttp import web

from lycheepost.app.earlysockets import BACKLOG

KEEP_ALIVE_SECONDS = 75.0
"""Clients of present deployments keep idle connections for up to 15 seconds. The client
must close first, or it may send a request on a connection that is being closed."""

LINGER_SECONDS = 2.0
"""How long the rest of a request body is read after an early response. Otherwise a
client that is still sending would get a reset and lose the response. The time is enough
for the largest body that operators allow, at two megabytes per second."""

MAX_HEADER_BYTES = 32 * 1024
"""Maximum length of a line or header; twice what operators currently allow."""

MAX_HEADERS = 128

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_log = structlog.get_logger(part="app")


class RawListener:
    """One port and its handler.

    Args:
        name: Name used in logs.
        handler: Handles every request, whatever its path.
        listening: A listening socket; closed with the listener.
    """

    def __init__(self, name: str, handler: Handler, listening: socket.socket) -> None:
        self._name = name
        self._handler = handler
        self._listening = listening
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start serving, including connections already in the accept queue."""
        server = web.Server(
            self._handler,
            # When a client disconnects, its run at the target is cancelled at once.
            handler_cancellation=True,
            # Bodies are forwarded unchanged, whatever their encoding.
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
        """Do nothing: the owner of the requests waits for them."""

    async def stop(self) -> None:
        """Close the port and the remaining connections."""
        if self._runner is not None:
            await self._runner.cleanup()
