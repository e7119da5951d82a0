"""The row that names the software versions that may have begun streams under way."""

from collections.abc import Mapping

import msgspec
import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.ids import SoftwareVersion, TargetGroupId
from lycheepost.ports.table import Row, TableError, TablePort, Transaction, Write
from lycheepost.utils.decoding import UNREADABLE

_KEY = "software-versions"
_log = structlog.get_logger(part="streams")

GroupVersions = Mapping[TargetGroupId, frozenset[SoftwareVersion]]


class _WireVersions(msgspec.Struct):
    """The versions of each group, and the era of the store in which they were written.

    In a later era the store may hold an earlier row than the last one.
    """

    era: int
    groups: dict[str, list[str]]


class SoftwareRow:
    """Reads and writes the row.

    Args:
        table: Stores the row.
    """

    def __init__(self, table: TablePort) -> None:
        self._table = table

    async def read(self) -> Result[GroupVersions, TableError]:
        """Return the versions; none if the row is missing or may be outdated."""
        match await self._table.read((_KEY,)):
            case Success((Row(value=value),)):
                return Success(self._decode(value))
            case Failure(error):
                return Failure(error)
        return Success({})

    async def write(self, versions: GroupVersions) -> Result[None, TableError]:
        """Replace the versions; all daemons that write know the same."""
        wire = _WireVersions(
            self._table.era.era,
            {str(group): sorted(found) for group, found in versions.items()},
        )
        write = Write(_KEY, msgspec.json.encode(wire))
        answer = await self._table.commit(Transaction((), (write,)))
        return answer.map(lambda _: None)

    def _decode(self, value: bytes) -> GroupVersions:
        try:
            wire = msgspec.json.decode(value, type=_WireVersions)
        except UNREADABLE as error:
            _log.error("streams: versions cannot be decoded", reason=str(error))
            return {}
        if wire.era != self._table.era.era:
            return {}
        return {
            TargetGroupId(group): frozenset(map(SoftwareVersion, found))
            for group, found in wire.groups.items()
        }
