"""The daemon's HTTP listeners."""

from collections.abc import Sequence

import structlog
from aiohttp import web
from returns.result import Failure, Success

from lycheepost.generated.settings import LimitSettings, TlsSettings
from lycheepost.utils.tls import TlsManager, make_tls_manager

KEEP_ALIVE_SECONDS = 75.0
"""Longer than the usual idle time of client pools, so that a client closes first
and never meets a connection that this side has just closed."""
MAX_HEADERS = 128

_log = structlog.get_logger(part="app")


class Listener:
    """One port with its routes.

    Args:
        name: Stands in logs.
        routes: What is served.
        host: IP number to listen on.
        port: 0 takes a free port.
        limits: Bounds of headers and bodies.
        tls: Certificates; None for plain HTTP.
    """

    def __init__(
        self,
        name: str,
        routes: Sequence[web.RouteDef],
        host: str,
        port: int,
        limits: LimitSettings,
        tls: TlsManager | None = None,
    ) -> None:
        self._name = name
        self._routes = routes
        self._host = host
        self._port = port
        self._limits = limits
        self._tls = tls
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    @property
    def port(self) -> int:
        """Return the port; the real one once the listener has started."""
        return self._port

    @property
    def scheme(self) -> str:
        """Return ``http`` or ``https``."""
        return "http" if self._tls is None else "https"

    async def start(self) -> None:
        """Listen.

        Raises:
            OSError: The port is taken or the address is not ours.
        """
        app = web.Application(client_max_size=self._limits.body_bytes)
        app.add_routes(self._routes)
        self._runner = web.AppRunner(
            app,
            # A caller that leaves must free its place in the queue at once and
            # let the engine stop.
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
            backlog=1024,
            # Several daemons on one VM share its cores, each on its own port;
            # two on one port would be a mistake that must show.
            reuse_port=False,
        )
        await self._site.start()
        if self._tls is not None:
            await self._tls.start()
        self._port = self._runner.addresses[0][1]
        _log.info("app: listening", name=self._name, port=self._port)

    async def drain(self) -> None:
        """Do nothing; whoever owns the requests waits for them."""

    async def stop(self) -> None:
        """Close the port and what connections are left."""
        if self._tls is not None:
            await self._tls.stop()
        if self._runner is not None:
            await self._runner.cleanup()


def make_listener(
    name: str,
    routes: Sequence[web.RouteDef],
    host: str,
    port: int,
    limits: LimitSettings,
    tls: TlsSettings | None,
) -> Listener:
    """Return a listener that is not started yet.

    Raises:
        TlsError: Certificate and key cannot be read or do not go together.
    """
    keeper = None
    if tls is not None:
        match make_tls_manager(name, tls):
            case Success(made):
                keeper = made
            case Failure(error):
                raise error
    return Listener(name, routes, host, port, limits, keeper)
