"""Opens this daemon's connections to targets.

All clients of targets open their connections here, so that one object stands for the
daemon's own paths. Stand-ins replace it to cut them.
"""

import aiohttp

from lycheepost.utils.boundedreads import make_bounded_connector


class TargetNetwork:
    """The network between this daemon and its targets."""

    def make_connector(
        self, client: str, keepalive_seconds: float | None = None
    ) -> aiohttp.TCPConnector:
        """Return the connection pool of one client.

        Args:
            client: Names the client, for the log and the metrics.
            keepalive_seconds: How long idle connections are kept open; None to close
                each connection after its call.
        """
        if keepalive_seconds is None:
            return make_bounded_connector(client, limit=0, force_close=True)
        return make_bounded_connector(
            client, limit=0, keepalive_timeout=keepalive_seconds
        )
