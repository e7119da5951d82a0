"""A network stand-in that cuts one daemon off from all targets."""

import asyncio
from enum import Enum
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from lycheepost.standin.resets import reset
from lycheepost.targets.network import TargetNetwork
from lycheepost.utils.boundedreads import bound_connections
from lycheepost.utils.connecting import RunningTimeConnector

_CHUNK_BYTES = 65536


class PathCut(Enum):
    """What happens to the connections of a daemon without paths to targets."""

    HANG = "hang"
    """New ones get no reply, and nothing arrives on open ones."""
    RESET = "reset"
    """Open ones are reset and new ones refused."""
    REFUSE_NEW = "refuse_new"
    """New ones are refused; open ones work."""
    ACCEPT_SILENT = "accept_silent"
    """New ones open and get no response; nothing arrives on open ones."""
    ACCEPT_RESET = "accept_reset"
    """New ones open and are reset at the first request; open ones are reset."""
    ACCEPT_NEW_SILENT = "accept_new_silent"
    """New ones open and get no response; open ones work."""


_ACCEPTING = (
    PathCut.ACCEPT_SILENT,
    PathCut.ACCEPT_RESET,
    PathCut.ACCEPT_NEW_SILENT,
)


class CuttableNetwork(TargetNetwork):
    """Connections to targets that can be cut.

    Attributes:
        path_cut: The cut in force; None while the paths work.
        n_refused: New connections that a cut prevented or led nowhere.
    """

    def __init__(self) -> None:
        self.path_cut: PathCut | None = None
        self.n_refused = 0
        self._connectors: list[_CuttableConnector] = []
        self._middlebox: asyncio.Server | None = None

    def make_connector(
        self, client: str, keepalive_seconds: float | None = None
    ) -> aiohttp.TCPConnector:
        """Return a connector that obeys the cut."""
        connector = _CuttableConnector(self, client, keepalive_seconds)
        self._connectors.append(connector)
        return connector

    async def middlebox_port(self) -> int:
        """Return the port of a server that accepts connections in targets' place."""
        if self._middlebox is None:
            self._middlebox = await asyncio.start_server(
                self._swallow, "127.0.0.1", 0, start_serving=True
            )
        return int(self._middlebox.sockets[0].getsockname()[1])

    async def _swallow(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_reset = self.path_cut is PathCut.ACCEPT_RESET
        try:
            while await reader.read(_CHUNK_BYTES):
                if is_reset:
                    reset(writer.transport)
        except ConnectionError:
            # The daemon has given the connection up.
            writer.transport.abort()

    def cut(self, path_cut: PathCut) -> None:
        """Cut the paths."""
        self.path_cut = path_cut
        for protocol in self._open_protocols():
            match path_cut:
                case PathCut.HANG | PathCut.ACCEPT_SILENT:
                    protocol.transport.pause_reading()
                case PathCut.RESET | PathCut.ACCEPT_RESET:
                    # The end that resets a connection itself is told of no error.
                    transport = protocol.transport
                    protocol.connection_lost(ConnectionResetError("cut"))
                    reset(transport)

    def heal(self) -> None:
        """Restore the paths; what was held up arrives."""
        self.path_cut = None
        for protocol in self._open_protocols():
            protocol.transport.resume_reading()

    def _open_protocols(self) -> list[Any]:
        found = [item for one in self._connectors for item in one.opened]
        return [
            protocol
            for protocol in found
            if protocol.transport is not None and not protocol.transport.is_closing()
        ]


class _CuttableConnector(RunningTimeConnector):
    """A connector whose new connections fail while the paths are cut."""

    def __init__(
        self, network: CuttableNetwork, client: str, keepalive_seconds: float | None
    ) -> None:
        if keepalive_seconds is None:
            super().__init__(limit=0, force_close=True)
        else:
            super().__init__(limit=0, keepalive_timeout=keepalive_seconds)
        bound_connections(self, client)
        self._network = network
        self.opened: list[ResponseHandler] = []

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: Any,
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        path_cut = self._network.path_cut
        if path_cut is None:
            protocol = await super()._create_connection(req, traces, timeout)
            self.opened = [item for item in self.opened if item.transport is not None]
            self.opened.append(protocol)
            return protocol
        self._network.n_refused += 1
        if path_cut in _ACCEPTING:
            port = await self._network.middlebox_port()
            loop = asyncio.get_running_loop()
            _, found = await loop.create_connection(self._factory, "127.0.0.1", port)
            return found
        if path_cut is PathCut.HANG:
            await asyncio.sleep(timeout.sock_connect or 0.0)
            raise aiohttp.ConnectionTimeoutError
        raise aiohttp.ClientConnectorError(req.connection_key, ConnectionRefusedError())
