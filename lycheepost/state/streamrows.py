"""The rows in which daemons record the software versions that began streams."""

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.ids import DaemonId, SoftwareVersion, StreamId, TargetGroupId
from lycheepost.decide.streamrecord import N_ROWS, ChangedRow, Origins
from lycheepost.ports.table import Row, TableError, TablePort, Transaction, Write
from lycheepost.utils.decoding import UNREADABLE

_PREFIX = "streams/"
_PAGE_ROWS = 500
_log = structlog.get_logger(part="streams")


class _RecordedGroup(msgspec.Struct):
    """Streams of one target group, by software version."""

    target_group: str
    software_version: str | None
    streams: list[str]


@dataclass(frozen=True, slots=True)
class RecordedStream:
    """A stream and what began it; the version is None if it was not known."""

    stream: StreamId
    target_group: TargetGroupId
    software_version: SoftwareVersion | None


@dataclass(frozen=True, slots=True)
class FoundRecord:
    """What the store holds.

    Attributes:
        streams: The streams of all daemons.
        own_versions: The versions of this daemon's rows, by number of the row.
    """

    streams: tuple[RecordedStream, ...]
    own_versions: dict[int, int]


class StreamRows:
    """Reads the rows of all daemons and writes those of one.

    Args:
        table: Stores the rows.
        daemon: The daemon that writes.
    """

    def __init__(self, table: TablePort, daemon: DaemonId) -> None:
        self._table = table
        self._daemon = daemon

    async def read(self) -> Result[FoundRecord, TableError]:
        """Return what all daemons have recorded."""
        streams: list[RecordedStream] = []
        own_versions: dict[int, int] = {}
        after_key: str | None = None
        while True:
            match await self._table.scan(_PREFIX, after_key, _PAGE_ROWS):
                case Success(page):
                    pass
                case Failure(error):
                    return Failure(error)
            for row in page.rows:
                streams.extend(decode_row(row))
                number = self._own_number(row.key)
                if number is not None:
                    own_versions[number] = row.version
            after_key = page.next_key
            if after_key is None:
                return Success(FoundRecord(tuple(streams), own_versions))

    async def write(self, changed: list[ChangedRow]) -> Result[None, TableError]:
        """Replace rows of this daemon, which nobody else writes."""
        writes = tuple(
            Write(self._key(number), encode_row(origins)) for number, origins in changed
        )
        answer = await self._table.commit(Transaction((), writes))
        return answer.map(lambda _: None)

    def _key(self, number: int) -> str:
        return f"{_PREFIX}{self._daemon}/{number:02}"

    def _own_number(self, key: str) -> int | None:
        """Return the number of a row of this daemon; None for other rows."""
        numbers = {self._key(number): number for number in range(N_ROWS)}
        return numbers.get(key)


def encode_row(origins: Origins) -> bytes:
    """Encode the streams of one row as JSON."""
    groups: dict[tuple[str, str | None], list[str]] = {}
    for stream, origin in origins.items():
        key = (origin.target_group, origin.software_version)
        groups.setdefault(key, []).append(stream)
    return msgspec.json.encode(
        [
            _RecordedGroup(target_group, version, streams)
            for (target_group, version), streams in groups.items()
        ]
    )


def decode_row(row: Row) -> Iterator[RecordedStream]:
    """Yield the streams of a row; none if another release wrote it differently."""
    try:
        groups = msgspec.json.decode(row.value, type=list[_RecordedGroup])
    except UNREADABLE as error:
        _log.error("streams: record cannot be decoded", key=row.key, reason=str(error))
        return
    for group in groups:
        version = group.software_version
        for stream in group.streams:
            yield RecordedStream(
                StreamId(stream),
                TargetGroupId(group.target_group),
                None if version is None else SoftwareVersion(version),
            )
