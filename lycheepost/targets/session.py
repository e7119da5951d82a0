"""Connection pools for targets."""

import aiohttp

from lycheepost.generated.settings import StreamSettings
from lycheepost.targets.network import TargetNetwork
from lycheepost.utils.bodies import TrackedResponse


async def _prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from retrying a request by itself.

    When a connection breaks before the response, aiohttp sends GET, HEAD, OPTIONS,
    TRACE, PUT and DELETE a second time, even over a new connection. A non-idempotent
    call would run twice at the target without a trace in this daemon, and other
    retries would bypass the retry budget. So the error is converted to one for which
    aiohttp does not retry, and the caller of the session decides.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientPayloadError("the connection broke") from error


def make_session(
    client: str,
    settings: StreamSettings,
    is_pooled: bool = True,
    network: TargetNetwork | None = None,
) -> aiohttp.ClientSession:
    """Return a session that reuses connections for a limited idle time, or never.

    A device in between, such as a switch, may have dropped the state of a connection
    that was idle for long; the next request on it would be lost without an error.

    Args:
        client: Names the client, for the log and the metrics.
        settings: Time-outs and the maximum idle time of pooled connections.
        is_pooled: Whether connections are reused.
        network: Opens the connections.
    """
    keepalive_seconds = settings.idle_connection_seconds if is_pooled else None
    connector = (network or TargetNetwork()).make_connector(client, keepalive_seconds)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=settings.connect_seconds)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(_prevent_resend,),
        response_class=TrackedResponse,
    )


class SessionPair:
    """Sessions for calls that may be repeated, and for those that may not.

    A pooled connection may be dead without an error. A call that may not be repeated
    would be lost on it, and its caller could only be told that the outcome is
    unknown. So each such call opens a new connection, at the cost of one round trip
    of under a millisecond.

    Args:
        client: Names the client, for the log and the metrics.
        settings: Time-outs and the maximum idle time of pooled connections.
        network: Opens the connections.
    """

    def __init__(
        self,
        client: str,
        settings: StreamSettings,
        network: TargetNetwork | None = None,
    ) -> None:
        self._client = client
        self._settings = settings
        self._network = network
        self._pooled: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open both pools."""
        self._pooled = make_session(self._client, self._settings, network=self._network)
        self._fresh = make_session(
            self._client, self._settings, is_pooled=False, network=self._network
        )

    async def stop(self) -> None:
        """Close all connections."""
        for session in (self._pooled, self._fresh):
            if session is not None:
                await session.close()

    def choose(self, may_repeat: bool) -> aiohttp.ClientSession:
        """Return the session for a call."""
        session = self._pooled if may_repeat else self._fresh
        if session is None:
            raise RuntimeError("the sessions are not open")
        return session
