"""HTTP sessions for the adapter's own calls to servers and to the store."""

import aiohttp

from lycheepost.targets.network import TargetNetwork
from lycheepost.utils.bodies import IDENTITY_ENCODING, TrackedResponse


def make_call_session(
    client: str,
    connect_timeout_seconds: float,
    keepalive_seconds: float | None = None,
    network: TargetNetwork | None = None,
) -> aiohttp.ClientSession:
    """Return a session whose connections time out.

    A call as a whole is limited by its caller, with ``utils.runningtime``.

    Args:
        client: Names the client, for the log and the metrics.
        connect_timeout_seconds: Maximum time to connect.
        keepalive_seconds: How long idle connections are kept open; None to close each
            connection after its call.
        network: Opens the connections to targets; None for calls to the store.
    """
    connector = (network or TargetNetwork()).make_connector(client, keepalive_seconds)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_seconds),
        auto_decompress=False,
        headers=IDENTITY_ENCODING,
        cookie_jar=aiohttp.DummyCookieJar(),
        response_class=TrackedResponse,
    )
