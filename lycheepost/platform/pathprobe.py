"""Probes whether a server answers over a new connection.

An accepted connection is no evidence of a path: a device in between may accept it and
then send nothing, or reset it. So the probe sends a request and waits for the headers
of a response. The request names the id of no server, so whoever gets it responds with
421 at once, without a slot, and runs nothing.
"""

import asyncio

import aiohttp
import structlog

from lycheepost.platform import headers as names
from lycheepost.platform.sessions import make_call_session
from lycheepost.targets.network import TargetNetwork
from lycheepost.utils.boundedreads import AnswerGivenUp

NO_TARGET = "path-probe"
"""Names no server: their ids are issued by the platform and begin with ``i-``."""

_log = structlog.get_logger(part="paths")


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
            "path_probes",
            self._timeout_seconds,
            self._timeout_seconds,
            network=self._network,
        )

    async def drain(self) -> None:
        """Do nothing: requests in flight still depend on the paths."""

    async def stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def is_answered(self, address: str, path: str) -> bool:
        """Return whether a server answers a probe in time.

        Args:
            address: ``IP:PORT`` of the server.
            path: Path of its health check.
        """
        if self._session is None:
            return False
        headers = {names.EXPECTED_TARGET: NO_TARGET}
        url = f"http://{address}{path}"
        try:
            async with asyncio.timeout(self._timeout_seconds):
                response = await self._session.get(url, headers=headers)
        except (AnswerGivenUp, aiohttp.ClientResponseError) as error:
            # Not an answer, but it came from beyond the path.
            _log.info("paths: probe got no answer", reason=type(error).__name__)
            return True
        except (TimeoutError, aiohttp.ClientError, OSError):
            # The result is logged with the verdict on all probed targets.
            return False
        response.close()
        return True
