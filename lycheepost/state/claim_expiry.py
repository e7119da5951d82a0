"""Remove claims that are past their retention period.

This is the work of one duty. Each call processes one page of one shard; at 100 claims
a second kept for a day, the pass costs about 100 reads and two writes a second. Rows
are removed on the condition that they have not changed.
"""

from collections.abc import Callable

from returns.result import Failure, Success

from lycheepost.core.clock import Clock
from lycheepost.ports.objects import ObjectPort
from lycheepost.ports.table import (
    Condition,
    Page,
    Row,
    TablePort,
    Transaction,
    Write,
)
from lycheepost.state.claim_rows import CLAIM_PREFIX, N_SHARDS, decode_claim
from lycheepost.state.leases import Lease

_ROWS_PER_PAGE = 128
MIN_RETENTION_SECONDS = 3600.0
"""Once removed, a row no longer makes a late write of its claim fail. No write is in
flight for as long as an hour."""


class ClaimExpiryWork:
    """Work of the duty's holder: removes expired claims page by page."""

    def __init__(
        self,
        table: TablePort,
        objects: ObjectPort,
        clock: Clock,
        retention_seconds: float,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._retention_seconds = max(MIN_RETENTION_SECONDS, retention_seconds)
        self._shard = 0
        self._after_key: str | None = None
        self.n_removed = 0

    async def work(self, get_lease: Callable[[], Lease]) -> None:
        """Remove the expired claims of the next page."""
        prefix = f"{CLAIM_PREFIX}{self._shard:02d}/"
        match await self._table.scan(prefix, self._after_key, _ROWS_PER_PAGE):
            case Success(Page(rows=rows, next_key=next_key)):
                pass
            case Failure(_):
                return
        oldest_seconds = self._clock.wall_seconds() - self._retention_seconds
        old = [row for row in rows if _changed_seconds(row) < oldest_seconds]
        if old and get_lease().is_held(self._clock.now_seconds()):
            await self._remove(old)
        self._after_key = next_key
        if next_key is None:
            self._shard = (self._shard + 1) % N_SHARDS

    async def _remove(self, rows: list[Row]) -> None:
        transaction = Transaction(
            tuple(Condition(row.key, row.version) for row in rows),
            tuple(Write(row.key, None) for row in rows),
        )
        if isinstance(await self._table.commit(transaction), Failure):
            return
        self.n_removed += len(rows)
        for row in rows:
            name = decode_claim(row).answer_object
            if name:
                await self._objects.delete(name)


def _changed_seconds(row: Row) -> float:
    return decode_claim(row).changed_wall_seconds
