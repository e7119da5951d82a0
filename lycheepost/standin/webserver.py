"""An aiohttp server for stand-ins that can abort and freeze its connections."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any
from weakref import WeakSet

from aiohttp import web

from lycheepost.standin.ports import port_of, reserve_port
from lycheepost.standin.resets import reset

_HANG_SECONDS = 3600.0
"""Longer than any caller waits: the call is never answered."""


_DELIVERY_SECONDS = 0.02
"""Bytes over loopback arrive within a millisecond if their reader takes them."""


class StandinServer:
    """A server that keeps its port over restarts."""

    def __init__(
        self, make_app: Callable[[], web.Application], host: str, port: int
    ) -> None:
        self._make_app = make_app
        self._host = host
        self._port = port
        self._reserved_socket: socket.socket | None = None
        self._runner: web.AppRunner | None = None
        self._frozen: WeakSet[Any] = WeakSet()

    @property
    def url(self) -> str:
        """Return the base address; the port is known after the first start."""
        return f"http://{self._host}:{self._port}"

    async def start(self) -> str:
        """Listen and return the base address."""
        # A handler is cancelled when its client disconnects, since real engines
        # notice a closed connection while they compute.
        self._runner = web.AppRunner(
            self._make_app(),
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=0.0,
        )
        await self._runner.setup()
        if self._port == 0:
            self._reserved_socket = reserve_port(self._host)
            self._port = port_of(self._reserved_socket)
        site = web.TCPSite(self._runner, self._host, self._port, shutdown_timeout=0.0)
        await site.start()
        return self.url

    async def stop(self) -> None:
        """Abort all connections and refuse new ones."""
        if self._runner is not None:
            runner = self._runner
            self._runner = None
            _abort_connections(runner)
            await runner.cleanup()

    def abort_connections(self) -> None:
        """Reset all open connections immediately."""
        if self._runner is not None:
            _abort_connections(self._runner)

    def abort_connection(self, request: web.Request) -> None:
        """Reset the connection of one request."""
        if request.transport is not None:
            reset(request.transport)

    async def abort_after_sending(self, request: web.Request) -> None:
        """Reset the connection of one request once its peer has what was written.

        A reset drops what has not arrived.
        """
        if isinstance(request.transport, asyncio.WriteTransport):
            request.transport.set_write_buffer_limits(0)
        await request.writer.drain()
        await asyncio.sleep(_DELIVERY_SECONDS)
        self.abort_connection(request)

    def freeze_connections(self) -> None:
        """Stop reading and writing on the connections that are currently open."""
        for transport in _transports(self._runner):
            transport.pause_reading()
            self._frozen.add(transport)

    def limit_unread_bytes(self, n_bytes: int) -> None:
        """Let new connections take few bytes that have not been read.

        Args:
            n_bytes: Size of the system's buffer, which is twice as large on Linux.
        """
        sites = () if self._runner is None else self._runner.sites
        for site in sites:
            for listening in getattr(site._server, "sockets", ()):
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, n_bytes)

    async def block_if_frozen(self, request: web.Request) -> None:
        """Return immediately, or never if the request's connection is frozen."""
        if request.transport in self._frozen:
            await asyncio.sleep(_HANG_SECONDS)


def _transports(runner: web.AppRunner | None) -> list[Any]:
    if runner is None or runner.server is None:
        return []
    found = [connection.transport for connection in runner.server.connections]
    return [transport for transport in found if transport is not None]


def _abort_connections(runner: web.AppRunner) -> None:
    for transport in _transports(runner):
        reset(transport)
