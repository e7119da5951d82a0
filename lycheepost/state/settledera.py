"""The row that names the newest settled era of the store.

After a restore the operators write again what the store lost. The era is settled once
they had the time for it. A daemon that runs during the restore sees the era begin. One
that starts later cannot tell an era that has just begun from an old one, so the running
daemons record each era that is settled.
"""

import msgspec
import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.ids import StoreEra
from lycheepost.ports.table import (
    ABSENT_VERSION,
    NEVER_RESTORED,
    Condition,
    Row,
    TableError,
    TablePort,
    Transaction,
    Write,
)
from lycheepost.utils.decoding import UNREADABLE

_KEY = "settled-era"
_log = structlog.get_logger(part="store")


class SettledEraRow:
    """Reads and writes the row.

    Args:
        table: Stores the row.
    """

    def __init__(self, table: TablePort) -> None:
        self._table = table

    async def read(self) -> Result[StoreEra, TableError]:
        """Return the newest recorded era; the first one if none is recorded."""
        return (await self._read_row()).map(_era_in)

    async def record(self, era: StoreEra) -> Result[None, TableError]:
        """Record an era unless it or a later one is recorded."""
        match await self._read_row():
            case Success(row):
                if _era_in(row) >= era:
                    return Success(None)
                return await self._replace(row, era)
            case Failure(error):
                return Failure(error)
        raise AssertionError("a result is a success or a failure")

    async def _read_row(self) -> Result[Row | None, TableError]:
        return (await self._table.read((_KEY,))).map(lambda rows: rows[0])

    async def _replace(
        self, row: Row | None, era: StoreEra
    ) -> Result[None, TableError]:
        version = ABSENT_VERSION if row is None else row.version
        transaction = Transaction(
            (Condition(_KEY, version),), (Write(_KEY, msgspec.json.encode(era)),)
        )
        return (await self._table.commit(transaction)).map(lambda _: None)


def _era_in(row: Row | None) -> StoreEra:
    """Return the era in the row; the first one if it cannot be decoded."""
    if row is None:
        return NEVER_RESTORED.era
    try:
        return StoreEra(msgspec.json.decode(row.value, type=int))
    except UNREADABLE as error:
        _log.error("store: settled era cannot be decoded", reason=str(error))
        return NEVER_RESTORED.era
