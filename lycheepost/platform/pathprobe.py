"""Probes whether a server answers over a new connection.

An accepted connection is no evidence of a path: a device in between may accept it and
then send nothing, or reset it. So the probe sends a request and waits for the headers
of a response. The request names the id of no server, so whoever gets it responds with
421 at once, without a slot, and runs nothing.

The time in which this process does not run is not counted: responses that have arrived
meanwhile are not read yet.
"""

import asyncio

import aiohttp
import structlog

from lycheepost.decide.ownpaths import MAX_PROBE_LAG_SECONDS, ProbeEnd
from lycheepost.platform import headers as names
from lycheepost.platform.sessions import make_call_session
from lycheepost.targets.network import TargetNetwork
from lycheepost.utils.boundedreads import AnswerGivenUp
from lycheepost.utils.waits import wait_running

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
        max_seconds = self._timeout_seconds + MAX_PROBE_LAG_SECONDS
        self._session = make_call_session(
            "path_probes", max_seconds, network=self._network
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
        call = asyncio.ensure_future(self._session.get(url, headers=headers))
        try:
            await wait_running(call, self._timeout_seconds, MAX_PROBE_LAG_SECONDS)
        finally:
            call.cancel()
            call.add_done_callback(_close)
        if not call.done():
            return ProbeEnd.SILENT
        return _end_of(call)


def _end_of(call: "asyncio.Future[aiohttp.ClientResponse]") -> ProbeEnd:
    # The result is logged with the verdict on all probed targets.
    match call.exception():
        case None:
            return ProbeEnd.ANSWERED
        case AnswerGivenUp() | aiohttp.ClientResponseError() as error:
            # Not an answer, but it came from beyond the path.
            _log.info("paths: probe got no answer", reason=type(error).__name__)
            return ProbeEnd.ANSWERED
        case TimeoutError():
            return ProbeEnd.SILENT
        case aiohttp.ClientError() | OSError():
            return ProbeEnd.REFUSED
        case error:
            raise error


def _close(call: "asyncio.Future[aiohttp.ClientResponse]") -> None:
    """Close the response of a call that has ended."""
    if not call.cancelled() and call.exception() is None:
        call.result().close()
