"""A connection pool whose limit on connecting leaves out stalls of the process."""

from typing import Any

import aiohttp

from lycheepost.utils.runningtime import running_timeout


class RunningTimeConnector(aiohttp.TCPConnector):
    """A pool that takes ``sock_connect`` for time in which the process runs.

    A connection is ready as soon as the far end's system has accepted it, also while
    this process stands still.
    """

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Return a connection for a request.

        Raises:
            TimeoutError: There was none in time.
        """
        untimed = aiohttp.ClientTimeout(
            total=None,
            connect=timeout.connect,
            ceil_threshold=timeout.ceil_threshold,
        )
        async with running_timeout("connect", timeout.sock_connect):
            return await super().connect(req, traces, untimed)
