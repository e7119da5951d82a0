"""The client of plain services: any HTTP server; responses are not streamed."""

from typing import Any

import aiohttp
import yarl
from returns.result import Failure, Result, Success

from lycheepost.generated.settings import StreamSettings
from lycheepost.targets.calls import ServiceAnswer, ServiceCall
from lycheepost.targets.errors import TargetError, TargetLost, TargetUnreachable
from lycheepost.targets.session import SessionPair
from lycheepost.utils.boundedreads import read_bounded
from lycheepost.utils.runningtime import running_timeout

_MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest response that is passed on; the limit protects the daemon's memory."""
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to one connection only and are never passed on."""


class ServiceClient:
    """Calls plain services."""

    def __init__(self, settings: StreamSettings) -> None:
        self._settings = settings
        self._sessions = SessionPair("services", settings)
        self._n_calls = 0

    async def start(self) -> None:
        """Open the connection pools."""
        await self._sessions.start()

    async def drain(self) -> None:
        """Do nothing: all calls belong to open requests."""

    async def stop(self) -> None:
        """Close all connections."""
        await self._sessions.stop()

    def status(self) -> dict[str, Any]:
        """Return counts for the status page."""
        return {"n_calls": self._n_calls}

    async def call(self, call: ServiceCall) -> Result[ServiceAnswer, TargetError]:
        """Send one call and return the complete response, whatever its status.

        Returns:
            The response, ``TargetUnreachable`` when no byte was sent, or
            ``TargetLost`` when the call may have run.
        """
        self._n_calls += 1
        timeout_seconds = call.timeout_seconds or self._settings.first_byte_seconds
        try:
            async with running_timeout("call", timeout_seconds):
                return Success(await self._send(call))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Failure(TargetUnreachable("the target takes no connection"))
        except aiohttp.InvalidURL:
            return Failure(TargetUnreachable("the target has no valid address"))
        except TimeoutError:
            return Failure(TargetLost("the answer did not come in time"))
        except (aiohttp.ClientError, OSError):
            return Failure(TargetLost("the connection broke before the whole answer"))

    async def _send(self, call: ServiceCall) -> ServiceAnswer:
        headers = [
            (name, value)
            for name, value in call.headers
            if name.lower() not in _HOP_BY_HOP_HEADERS
        ]
        session = self._sessions.choose(call.is_idempotent)
        url = yarl.URL(call.url + call.path, encoded=True)
        async with session.request(
            call.method,
            url,
            headers=headers,
            data=call.body or None,
            allow_redirects=False,
        ) as response:
            body = await read_bounded(response, _MAX_ANSWER_BYTES)
            kept = tuple(
                (name, value)
                for name, value in response.headers.items()
                if name.lower() not in _HOP_BY_HOP_HEADERS
            )
            return ServiceAnswer(response.status, kept, body)


def make_service_client(settings: StreamSettings) -> ServiceClient:
    """Return a client that is not yet started."""
    return ServiceClient(settings)
