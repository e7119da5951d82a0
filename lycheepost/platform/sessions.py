"""HTTP sessions for the adapter's own calls to servers and to the store."""

import aiohttp

from lycheepost.targets.network import TargetNetwork
from lycheepost.utils.bodies import IDENTITY_ENCODING, TrackedResponse


def make_call_session(
    client: str,
    call_timeout_seconds: float,
    connect_timeout_seconds: float,
    keepalive_seconds: float | None = None,
    network: TargetNetwork | None = None,
) -> aiohttp.ClientSession:
    """Return a session whose calls time out.

    Args:
        client: Names the client, for the log and the metrics.
        call_timeout_seconds: Maximum duration of a call.
        connect_timeout_seconds: Maximum time to connect.
        keepalive_seconds: How long idle connections are kept open; None to close each
            connection after its call.
        network: Opens the connections to targets; None for calls to the store.
    """
    connector = (network or TargetNetwork()).make_connector(client, keepalive_seconds)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(
            total=call_timeout_seconds, sock_connect=connect_timeout_seconds
        ),
        auto_decompress=False,
        headers=IDENTITY_ENCODING,
        cookie_jar=aiohttp.DummyCookieJar(),
        response_class=TrackedResponse,
    )
