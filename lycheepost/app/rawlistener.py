"""A listener that passes all requests to one handler, without a route table."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import structlog
from aiohttp import web

from lycheepost.app.acceptor import Acceptor
from lycheepost.callers.boundedserver import BoundedServer
from lycheepost.callers.clientaccount import ClientAccount

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

SHUTDOWN_SECONDS = 0.1

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_log = structlog.get_logger(part="app")


class RawListener:
    """One port and its handler.

    Args:
        name: Name used in logs.
        handler: Handles every request, whatever its path.
        listening: A listening socket; closed with the listener.
        account: What is held for all clients.
        linger_seconds: How long the rest of a body is read after its response.
    """

    def __init__(
        self,
        name: str,
        handler: Handler,
        listening: socket.socket,
        account: ClientAccount,
        linger_seconds: float = 0.0,
    ) -> None:
        self._name = name
        self._handler = handler
        self._listening = listening
        self._account = account
        self._linger_seconds = linger_seconds
        self._server: BoundedServer | None = None
        self._acceptor: Acceptor | None = None

    async def start(self) -> None:
        """Start serving, including connections already in the accept queue."""
        self._server = BoundedServer(
            self._handler,
            self._account,
            # When a client disconnects, its run at the target is cancelled at once.
            handler_cancellation=True,
            # Bodies are forwarded unchanged, whatever their encoding.
            auto_decompress=False,
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
            linger_seconds=self._linger_seconds,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            max_headers=MAX_HEADERS,
        )
        self._acceptor = Acceptor(self._listening, self._server, self._account)
        self._acceptor.start()
        port = self._listening.getsockname()[1]
        _log.info("app: listening", name=self._name, port=port)

    async def drain(self) -> None:
        """Do nothing: the owner of the requests waits for them."""

    async def stop(self) -> None:
        """Close the port and the remaining connections."""
        if self._acceptor is not None:
            self._acceptor.stop()
        if self._server is not None:
            # Requests that have arrived begin before idle connections are closed.
            await asyncio.sleep(0)
            self._server.pre_shutdown()
            await self._server.shutdown(SHUTDOWN_SECONDS)
