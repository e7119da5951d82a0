"""A network stand-in that cuts one daemon off from all targets."""

import asyncio
from enum import Enum
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from lycheepost.targets.network import TargetNetwork


class PathCut(Enum):
    """What happens to the connections of a daemon without paths to targets."""

    HANG = "hang"
    """New ones get no reply, and nothing arrives on open ones."""
    RESET = "reset"
    """Open ones are reset and new ones refused."""
    REFUSE_NEW = "refuse_new"
    """New ones are refused; open ones work."""


class CuttableNetwork(TargetNetwork):
    """Connections to targets that can be cut.

    Attributes:
        path_cut: The cut in force; None while the paths work.
        n_refused: New connections that a cut prevented.
    """

    def __init__(self) -> None:
        self.path_cut: PathCut | None = None
        self.n_refused = 0
        self._connectors: list[_CuttableConnector] = []

    def make_connector(
        self, keepalive_seconds: float | None = None
    ) -> aiohttp.TCPConnector:
        """Return a connector that obeys the cut."""
        connector = _CuttableConnector(self, keepalive_seconds)
        self._connectors.append(connector)
        return connector

    async def can_connect(self, address: str, timeout_seconds: float) -> bool:
        """Return whether a new connection opens in time."""
        if self.path_cut is None:
            return await super().can_connect(address, timeout_seconds)
        self.n_refused += 1
        if self.path_cut is PathCut.HANG:
            await asyncio.sleep(timeout_seconds)
        return False

    def cut(self, path_cut: PathCut) -> None:
        """Cut the paths."""
        self.path_cut = path_cut
        for transport in self._transports():
            match path_cut:
                case PathCut.HANG:
                    transport.pause_reading()
                case PathCut.RESET:
                    transport.abort()

    def heal(self) -> None:
        """Restore the paths; what was held up arrives."""
        self.path_cut = None
        for transport in self._transports():
            transport.resume_reading()

    def _transports(self) -> list[Any]:
        found = [item for one in self._connectors for item in one.opened]
        transports = [protocol.transport for protocol in found]
        return [
            transport
            for transport in transports
            if transport is not None and not transport.is_closing()
        ]


class _CuttableConnector(aiohttp.TCPConnector):
    """A connector whose new connections fail while the paths are cut."""

    def __init__(
        self, network: CuttableNetwork, keepalive_seconds: float | None
    ) -> None:
        if keepalive_seconds is None:
            super().__init__(limit=0, force_close=True)
        else:
            super().__init__(limit=0, keepalive_timeout=keepalive_seconds)
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
        if path_cut is PathCut.HANG:
            await asyncio.sleep(timeout.sock_connect or 0.0)
            raise aiohttp.ConnectionTimeoutError
        raise aiohttp.ClientConnectorError(req.connection_key, ConnectionRefusedError())
