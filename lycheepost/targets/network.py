"""Opens this daemon's connections to targets.

All clients of targets open their connections here, so that one object stands for the
daemon's own paths. Stand-ins replace it to cut them.
"""

import asyncio
import contextlib

import aiohttp


class TargetNetwork:
    """The network between this daemon and its targets."""

    def make_connector(
        self, keepalive_seconds: float | None = None
    ) -> aiohttp.TCPConnector:
        """Return the connection pool of one client.

        Args:
            keepalive_seconds: How long idle connections are kept open; None to close
                each connection after its call.
        """
        if keepalive_seconds is None:
            return aiohttp.TCPConnector(limit=0, force_close=True)
        return aiohttp.TCPConnector(limit=0, keepalive_timeout=keepalive_seconds)

    async def can_connect(self, address: str, timeout_seconds: float) -> bool:
        """Return whether a new connection to ``IP:PORT`` opens in time."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_seconds):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, ValueError):
            # The result is logged with the verdict on all probed targets.
            return False
        writer.close()
        with contextlib.suppress(OSError):
            # The target may have reset the connection; it has accepted it before.
            await writer.wait_closed()
        return True
