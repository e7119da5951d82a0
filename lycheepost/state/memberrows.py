"""Discovery of daemons through rows in the table.

Each daemon writes one row when it starts, and again when the table was restored from a
copy, and removes it when it leaves. A daemon that
dies leaves its row behind: a row only gives an address to contact, and a daemon that
does not respond there is not a member.
"""

from dataclasses import dataclass

import msgspec
import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.ids import AvailabilityZone, DaemonId
from lycheepost.ports.table import (
    ABSENT_VERSION,
    Condition,
    Row,
    TableConflict,
    TableError,
    TablePort,
    Transaction,
    Write,
)
from lycheepost.ports.vms import Vm, VmListError, VmRole, VmState
from lycheepost.utils.decoding import UNREADABLE

_PREFIX = "member/"
_PAGE_ROWS = 500
_log = structlog.get_logger(part="members")


@dataclass(frozen=True, slots=True)
class MemberRow:
    """Addresses of one daemon."""

    availability_zone: str
    host: str
    callers_url: str
    peer_endpoint: str
    boot: str


class MemberRows:
    """Implements ``ports.vms.VmListPort`` over the rows of the daemons.

    Args:
        table: Stores the rows.
    """

    def __init__(self, table: TablePort) -> None:
        self._table = table

    async def list_vms(self) -> Result[tuple[Vm, ...], VmListError]:
        """Return every daemon that has a row."""
        vms: list[Vm] = []
        after_key: str | None = None
        while True:
            match await self._table.scan(_PREFIX, after_key, _PAGE_ROWS):
                case Success(page):
                    vms.extend(filter(None, map(to_vm, page.rows)))
                case Failure(error):
                    return Failure(VmListError(error.reason))
            if page.next_key is None:
                return Success(tuple(vms))
            after_key = page.next_key

    async def register(
        self, daemon: DaemonId, member: MemberRow
    ) -> Result[None, TableError]:
        """Write the row of this daemon, replacing that of an earlier start."""
        return await self._write(daemon, msgspec.json.encode(member))

    async def remove(self, daemon: DaemonId, boot: str) -> Result[None, TableError]:
        """Remove the row if this start wrote it; keep one of another start."""
        match await self._table.read((_key(daemon),)):
            case Success((Row() as row,)) if _boot_of(row) == boot:
                return await self._commit(daemon, row.version, None)
            case Failure(error):
                return Failure(error)
        return Success(None)

    async def _write(self, daemon: DaemonId, value: bytes) -> Result[None, TableError]:
        match await self._table.read((_key(daemon),)):
            case Success((row,)):
                if row is not None and row.value == value:
                    return Success(None)
                version = ABSENT_VERSION if row is None else row.version
                return await self._commit(daemon, version, value)
            case Failure(error):
                return Failure(error)
        raise AssertionError("a result is a success or a failure")

    async def _commit(
        self, daemon: DaemonId, version: int, value: bytes | None
    ) -> Result[None, TableError]:
        key = _key(daemon)
        transaction = Transaction((Condition(key, version),), (Write(key, value),))
        match await self._table.commit(transaction):
            case Success():
                return Success(None)
            case Failure(TableConflict() as error):
                _log.info("members: row changed concurrently", daemon=daemon)
                return Failure(error)
            case Failure(error):
                return Failure(error)
        raise AssertionError("a result is a success or a failure")


def _key(daemon: DaemonId) -> str:
    return _PREFIX + daemon


def _decode(row: Row) -> MemberRow | None:
    """Decode a daemon's row; None if another release wrote it in another format."""
    try:
        return msgspec.json.decode(row.value, type=MemberRow)
    except UNREADABLE as error:
        _log.error("members: row cannot be decoded", key=row.key, reason=str(error))
        return None


def _boot_of(row: Row) -> str | None:
    member = _decode(row)
    return None if member is None else member.boot


def to_vm(row: Row) -> Vm | None:
    """Return the daemon of a row; None if the row cannot be decoded."""
    member = _decode(row)
    if member is None:
        return None
    return Vm(
        name=row.key.removeprefix(_PREFIX),
        role=VmRole.DAEMON,
        state=VmState.LIVE,
        availability_zone=AvailabilityZone(member.availability_zone),
        address=member.host,
        callers_url=member.callers_url,
        peer_endpoint=member.peer_endpoint,
    )
