"""Connection pools towards targets and the bounded reading of their answers."""

import aiohttp

from lycheepost.generated.settings import StreamSettings


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending a request again by itself.

    When a connection breaks before the answer, aiohttp sends GET, HEAD, OPTIONS,
    TRACE, PUT and DELETE a second time, even over a connection that was new. A
    call that must not be repeated would run twice at the target without a trace
    here, and other repeats would escape the retry budget. Turned into an error
    that aiohttp does not answer, the loss comes to us, who know what may be
    repeated.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientPayloadError("the connection broke") from error


def make_session(
    settings: StreamSettings, is_pooled: bool = True
) -> aiohttp.ClientSession:
    """Return a session whose connections are reused only while fresh, or never.

    A connection that idled for long may have been forgotten by something
    between the two ends; it would swallow the next request without a sign.
    """
    if is_pooled:
        keepalive_seconds = settings.idle_connection_seconds
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=keepalive_seconds)
    else:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=settings.connect_seconds)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(_send_once,),
    )


async def read_bounded(response: aiohttp.ClientResponse, most_bytes: int) -> bytes:
    """Return a whole body.

    Raises:
        aiohttp.ClientPayloadError: It is larger than ``most_bytes``.
    """
    parts = []
    n_bytes = 0
    async for part in response.content.iter_any():
        n_bytes += len(part)
        if n_bytes > most_bytes:
            raise aiohttp.ClientPayloadError("the answer is too large")
        parts.append(part)
    return b"".join(parts)
