"""HTTP calls to a platform service, with one deadline and typed outcomes.

The difference that matters is whether a call may have reached the service: a
connection that was never made proves that nothing was written, while a
connection that broke, or an answer that came too late, proves nothing.
"""

from dataclasses import dataclass

import aiohttp
from returns.result import Failure, Result, Success

_IDLE_CONNECTION_SECONDS = 15.0
"""A pooled connection idle for longer may have been forgotten on the way."""
_MAX_CONNECTIONS = 32
"""Bounds the sockets that a slow service can tie up in one daemon."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer."""

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
        timeout_seconds: Longest time one call may take in all.
        session: Session to use; when None the caller makes and owns one.
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
        """Make one call and return its whole answer."""
        try:
            async with self._open_session().request(
                method, self._url + path, data=body, timeout=self._timeout
            ) as response:
                return Success(HttpAnswer(response.status, await response.read()))
        except aiohttp.ClientConnectorError:
            return Failure(NotSent("The service could not be reached."))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(AnswerLost(f"The call failed: {type(error).__name__}."))

    async def close(self) -> None:
        """Close the session if this caller made it."""
        if self._session is not None and self._owns_session:
            await self._session.close()

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=_MAX_CONNECTIONS, keepalive_timeout=_IDLE_CONNECTION_SECONDS
            )
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session
