"""The daemon's HTTP listeners."""

import socket
from collections.abc import Sequence
from typing import Any

import structlog
from aiohttp import web
from returns.result import Failure, Success

from lycheepost.callers.boundedserver import BoundedServer
from lycheepost.callers.clientaccount import ClientAccount, HeadBounds
from lycheepost.decide.clientlimits import RECEIVE_BUFFER_BYTES, make_client_limits
from lycheepost.generated.settings import LimitSettings, TlsSettings
from lycheepost.utils.tls import TlsManager, make_tls_manager

KEEP_ALIVE_SECONDS = 75.0
"""Longer than the usual idle time-out of client pools, so that the client closes first
and doesn't send a request on a connection that the server is closing."""
MAX_HEADERS = 128

LINGER_SECONDS = 10.0
"""How long the rest of a body is read after an early response, so that its sender gets
the response."""

_log = structlog.get_logger(part="app")


class BoundedAppRunner(web.AppRunner):
    """Runs an application whose connections are bounded.

    Args:
        app: The application.
        account: What is held for all clients.
        options: Options of ``aiohttp.web.AppRunner``.
    """

    __slots__ = ("_account",)

    def __init__(
        self, app: web.Application, account: ClientAccount, **options: Any
    ) -> None:
        super().__init__(app, **options)
        self._account = account

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return BoundedServer(
            server.request_handler,
            self._account,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            linger_seconds=LINGER_SECONDS,
            **server._kwargs,
        )


class Listener:
    """One port with its routes.

    Args:
        name: Name used in logs.
        routes: The routes to serve.
        host: IP address to listen on.
        port: Port to listen on; 0 for a free port.
        limits: Limits for headers and bodies.
        account: What is held for all clients.
        tls: Certificates; None for plain HTTP.
    """

    def __init__(
        self,
        name: str,
        routes: Sequence[web.RouteDef],
        host: str,
        port: int,
        limits: LimitSettings,
        account: ClientAccount,
        tls: TlsManager | None = None,
    ) -> None:
        self._name = name
        self._routes = routes
        self._host = host
        self._port = port
        self._limits = limits
        self._account = account
        self._tls = tls
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    @property
    def port(self) -> int:
        """Return the port; after the start, the bound one."""
        return self._port

    @property
    def scheme(self) -> str:
        """Return ``http`` or ``https``."""
        return "http" if self._tls is None else "https"

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: The port is in use or the address is not local.
        """
        app = web.Application(client_max_size=self._limits.body_bytes)
        app.add_routes(self._routes)
        self._runner = BoundedAppRunner(
            app,
            self._account,
            # When a caller disconnects, its queue slot is freed at once and the
            # engine's run is cancelled.
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_SECONDS,
            max_line_size=self._limits.header_bytes,
            max_field_size=self._limits.header_bytes,
            max_headers=MAX_HEADERS,
            shutdown_timeout=1.0,
        )
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner,
            self._host,
            self._port,
            ssl_context=None if self._tls is None else self._tls.context,
            backlog=self._account.limits.max_queued,
            # Daemons on the same VM use separate ports. Two on one port are a
            # configuration error and must fail to start.
            reuse_port=False,
        )
        await self._site.start()
        self._bound_receive_buffers()
        if self._tls is not None:
            await self._tls.start()
        self._port = self._runner.addresses[0][1]
        _log.info("app: listening", name=self._name, port=self._port)

    def _bound_receive_buffers(self) -> None:
        """Bound what the kernel receives for each connection before it is read."""
        server = None if self._site is None else self._site._server
        for listening in getattr(server, "sockets", None) or ():
            listening.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )

    async def drain(self) -> None:
        """Do nothing: the owner of the requests waits for them."""

    async def stop(self) -> None:
        """Close the port and the remaining connections."""
        if self._tls is not None:
            await self._tls.stop()
        if self._runner is not None:
            await self._runner.cleanup()


def make_caller_account(limits: LimitSettings) -> ClientAccount:
    """Return the account of what is held for callers and operators."""
    account = ClientAccount(
        make_client_limits(limits.memory_mebibytes, limits.descriptors)
    )
    account.get_head_bounds = lambda: HeadBounds(limits.head_bytes, limits.head_seconds)
    return account


def make_listener(
    name: str,
    routes: Sequence[web.RouteDef],
    host: str,
    port: int,
    limits: LimitSettings,
    account: ClientAccount,
    tls: TlsSettings | None,
) -> Listener:
    """Return a listener that is not started yet.

    Raises:
        TlsError: Certificate or key cannot be read, or they do not match.
    """
    tls_manager = None
    if tls is not None:
        match make_tls_manager(name, tls):
            case Success(made):
                tls_manager = made
            case Failure(error):
                raise error
    return Listener(name, routes, host, port, limits, account, tls_manager)
