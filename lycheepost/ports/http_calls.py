"""HTTP calls to a platform service, with one deadline and typed outcomes.

The outcomes distinguish whether a call may have reached the service. If no connection
was made, nothing was written. If the connection broke or the answer came too late, the
call may or may not have taken effect.
"""

from dataclasses import dataclass

import aiohttp
from returns.result import Failure, Result, Success

from lycheepost.utils.bodies import IDENTITY_ENCODING, TrackedResponse
from lycheepost.utils.boundedreads import make_bounded_connector, read_bounded

_IDLE_CONNECTION_SECONDS = 15.0
"""A device on the path may have dropped a pooled connection that is idle for longer."""
_MAX_CONNECTIONS = 32
"""Limits the sockets that a slow service can occupy in one daemon."""
_MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Four times the largest stored answer."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete answer."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class NotSent:
    """No connection was made, so the service has not seen the call."""

    reason: str


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """The call may have reached the service."""

    reason: str


HttpFault = NotSent | AnswerLost


class HttpCaller:
    """One service's base address, session and deadline.

    Args:
        url: Base address without a trailing slash.
        timeout_seconds: Maximum total time of one call.
        session: Session to use; if None, one is created and owned by this object.
    """

    def __init__(
        self,
        url: str,
        timeout_seconds: float,
        session: aiohttp.ClientSession | None = None,
    ) -> None:
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        self._session = session
        self._owns_session = session is None

    async def call(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[HttpAnswer, HttpFault]:
        """Make one call and return its complete answer."""
        try:
            async with self._open_session().request(
                method, self._url + path, data=body, timeout=self._timeout
            ) as response:
                found = await read_bounded(response, _MAX_ANSWER_BYTES)
                return Success(HttpAnswer(response.status, found))
        except aiohttp.ClientConnectorError:
            return Failure(NotSent("The service could not be reached."))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(AnswerLost(f"The call failed: {type(error).__name__}."))

    async def close(self) -> None:
        """Close the session if this object created it."""
        if self._session is not None and self._owns_session:
            await self._session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = make_bounded_connector(
                "ports",
                limit=_MAX_CONNECTIONS,
                keepalive_timeout=_IDLE_CONNECTION_SECONDS,
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                headers=IDENTITY_ENCODING,
                response_class=TrackedResponse,
            )
        return self._session
