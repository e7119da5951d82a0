"""Probes whether a server answers over a new connection.

An accepted connection is no evidence of a path: a device in between may accept it and
then send nothing, or reset it. So the probe sends a request and waits for the headers
of a response. The request names the id of no server, so whoever gets it responds with
421 at once, without a slot, and runs nothing.
"""

import asyncio

import aiohttp

from lycheepost.decide.ownpaths import ProbeEnd
from lycheepost.platform import headers as names
from lycheepost.platform.sessions import make_call_session
from lycheepost.targets.network import TargetNetwork

NO_TARGET = "path-probe"
"""Names no server: their ids are issued by the platform and begin with ``i-``."""


class PathProber:
    """Sends probes.

    Args:
        network: Opens the connections.
        timeout_seconds: Maximum time to connect and to get the headers.
    """

    def __init__(self, network: TargetNetwork, timeout_seconds: float) -> None:
        self._network = network
        self._timeout_seconds = timeout_seconds
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        self._session = make_call_session(
            self._timeout_seconds, self._timeout_seconds, network=self._network
        )

    async def drain(self) -> None:
        """Do nothing: requests in flight still depend on the paths."""

    async def stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def probe(self, address: str, path: str) -> ProbeEnd:
        """Probe a server.

        Args:
            address: ``IP:PORT`` of the server.
            path: Path of its health check.
        """
        if self._session is None:
            return ProbeEnd.REFUSED
        headers = {names.EXPECTED_TARGET: NO_TARGET}
        url = f"http://{address}{path}"
        try:
            async with asyncio.timeout(self._timeout_seconds):
                response = await self._session.get(url, headers=headers)
        except TimeoutError:
            # The result is logged with the verdict on all probed targets.
            return ProbeEnd.SILENT
        except (aiohttp.ClientError, OSError):
            return ProbeEnd.REFUSED
        response.close()
        return ProbeEnd.ANSWERED
