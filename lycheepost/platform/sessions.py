"""Sessions of the adapter's own calls to servers and to the store."""

import aiohttp


def make_call_session(
    call_timeout_seconds: float,
    connect_timeout_seconds: float,
    keepalive_seconds: float | None = None,
) -> aiohttp.ClientSession:
    """Return a session whose calls end in time.

    Args:
        call_timeout_seconds: Longest time of a call.
        connect_timeout_seconds: Longest time until it is connected.
        keepalive_seconds: How long idle connections are kept; None to keep none.
    """
    if keepalive_seconds is None:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
    else:
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=keepalive_seconds)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(
            total=call_timeout_seconds, sock_connect=connect_timeout_seconds
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
