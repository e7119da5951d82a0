"""Lets requests wait until a daemon that has just started knows its tables.

The load: all daemons start again in the same moment, and callers that were kept
waiting for their connections come in before the first answer of the store. Refused
then, they lose one of the two tries that they make, a few milliseconds before they
could have been served.
"""

import asyncio
from dataclasses import dataclass, field

MOST_SECONDS = 1.0
"""From the first request on. The store answers within some twenty milliseconds; one
that takes longer is away, and whoever comes later need not wait to hear so."""


@dataclass(slots=True)
class FirstReads:
    """Counts the tables that are known.

    Attributes:
        n_wanted: Tables that must be known.
    """

    n_wanted: int
    _n_known: int = 0
    _until_seconds: float | None = None
    _all_known: asyncio.Event = field(default_factory=asyncio.Event)

    def note(self) -> None:
        """Take note that one more table is known."""
        self._n_known += 1
        if self._n_known >= self.n_wanted:
            self._all_known.set()

    async def wait(self, most_seconds: float) -> None:
        """Wait until all are known, at most so long."""
        if self._all_known.is_set():
            return
        now_seconds = asyncio.get_running_loop().time()
        if self._until_seconds is None:
            self._until_seconds = now_seconds + MOST_SECONDS
        left_seconds = max(0.0, self._until_seconds - now_seconds)
        try:
            async with asyncio.timeout(min(most_seconds, left_seconds)):
                await self._all_known.wait()
        except TimeoutError:
            return
