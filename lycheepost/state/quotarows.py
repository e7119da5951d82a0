"""The row in which daemons record the use of quotas for the next start of the fleet."""

import math

import msgspec
import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.ids import CustomerId
from lycheepost.decide.quotarecord import QuotaRecord, RecordedUse
from lycheepost.ports.table import Row, TableError, TablePort, Transaction, Write
from lycheepost.utils.decoding import UNREADABLE

_KEY = "quota-use"
_log = structlog.get_logger(part="quotas")


class QuotaRows:
    """Reads and writes the row.

    Args:
        table: Stores the row.
    """

    def __init__(self, table: TablePort) -> None:
        self._table = table

    async def read(self) -> Result[QuotaRecord, TableError]:
        """Return the last record; it is empty if there is none that can be read."""
        match await self._table.read((_KEY,)):
            case Success((Row(value=value),)):
                return Success(decode_record(value))
            case Failure(error):
                return Failure(error)
        return Success({})

    async def write(self, record: QuotaRecord) -> Result[None, TableError]:
        """Replace the record.

        Any entry daemon may write, without a condition: all know nearly the same, and
        the next record follows in a moment.
        """
        transaction = Transaction((), (Write(_KEY, encode_record(record)),))
        return (await self._table.commit(transaction)).map(lambda _: None)


def encode_record(record: QuotaRecord) -> bytes:
    """Encode a record as JSON, with level and demand by customer."""
    return msgspec.json.encode(
        {
            customer: (round(use.level), round(use.demand_per_second))
            for customer, use in record.items()
        }
    )


def decode_record(value: bytes) -> QuotaRecord:
    """Decode a record; empty if another release wrote it in another format."""
    try:
        found = msgspec.json.decode(value, type=dict[str, tuple[float, float]])
    except UNREADABLE as error:
        _log.error("quotas: record cannot be decoded", reason=str(error))
        return {}
    return {
        CustomerId(customer): RecordedUse(level, demand_per_second)
        for customer, (level, demand_per_second) in found.items()
        if math.isfinite(level) and math.isfinite(demand_per_second)
    }
