"""Delays requests until a daemon that has just started has read its tables.

If all daemons restart at the same moment, callers that waited for a connection send
requests before the first response of the store. A refusal would use up one of their two
attempts a few milliseconds before the request could be served.
"""

import asyncio
from dataclasses import dataclass, field

MAX_WAIT_SECONDS = 1.0
"""Counted from the first request. The store normally responds within 20 ms; if it takes
longer it is down, and later requests are refused without waiting."""


@dataclass(slots=True)
class InitialReads:
    """Counts the tables that have been read.

    Attributes:
        n_tables: Number of reads of the store that requests wait for.
    """

    n_tables: int
    _n_known: int = 0
    _until_seconds: float | None = None
    _all_known: asyncio.Event = field(default_factory=asyncio.Event)

    def note(self) -> None:
        """Record that one more table has been read."""
        self._n_known += 1
        if self._n_known >= self.n_tables:
            self._all_known.set()

    async def wait(self, max_seconds: float) -> None:
        """Wait until all tables are read, for at most ``max_seconds``."""
        if self._all_known.is_set():
            return
        now_seconds = asyncio.get_running_loop().time()
        if self._until_seconds is None:
            self._until_seconds = now_seconds + MAX_WAIT_SECONDS
        left_seconds = max(0.0, self._until_seconds - now_seconds)
        try:
            async with asyncio.timeout(min(max_seconds, left_seconds)):
                await self._all_known.wait()
        except TimeoutError:
            return
