"""The row that names the requests and prompt parts that crash targets."""

from collections.abc import Iterator

import msgspec
import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import BodyFingerprint, PromptPartKey, RunKey, StartKey
from lycheepost.decide.lossrecord import LossRecord, RecordedQuarantine
from lycheepost.decide.partlosses import LostRun
from lycheepost.ports.table import Row, TableError, TablePort, Transaction, Write
from lycheepost.utils.decoding import UNREADABLE

KEY = "losses"
MAX_QUARANTINE_SECONDS = 3600.0
"""Longest rest of a quarantine that is read. The clocks of VMs may be wrong, and
another program may have written the row."""

_log = structlog.get_logger(part="losses")


class _WireQuarantine(msgspec.Struct):
    """A quarantine; it ends at ``until_wall_seconds`` since the Unix epoch."""

    fingerprint: int
    until_wall_seconds: float
    starts: list[str]


class _WireRun(msgspec.Struct):
    """A lost run; times are in seconds since the Unix epoch."""

    run_id: int
    start: str
    parts: list[int]
    started_wall_seconds: float
    lost_wall_seconds: float


class _WireLosses(msgspec.Struct):
    """All that is recorded."""

    quarantines: list[_WireQuarantine]
    runs: list[_WireRun]


class LossRow:
    """Reads and writes the row.

    All daemons know nearly the same. A verdict that one overwrites as it has not heard
    of it yet is written again by the daemon that found it, once that one hears of the
    other's.

    Args:
        table: Stores the row.
        clock: Its time of day dates what is recorded, as starts share no other clock.
    """

    def __init__(self, table: TablePort, clock: Clock) -> None:
        self._table = table
        self._clock = clock

    async def read(self) -> Result[LossRecord, TableError]:
        """Return what is recorded and in force; nothing if the row is missing."""
        match await self._table.read((KEY,)):
            case Success((Row(value=value),)):
                return Success(self._decode(value))
            case Failure(error):
                return Failure(error)
        return Success(LossRecord())

    async def write(self, record: LossRecord) -> Result[None, TableError]:
        """Replace the row."""
        write = Write(KEY, msgspec.json.encode(self._encode(record)))
        answer = await self._table.commit(Transaction((), (write,)))
        return answer.map(lambda _: None)

    def _wall_offset_seconds(self) -> float:
        """Return what is added to a time of the clock for its time of day."""
        return self._clock.wall_seconds() - self._clock.now_seconds()

    def _encode(self, record: LossRecord) -> _WireLosses:
        offset_seconds = self._wall_offset_seconds()
        return _WireLosses(
            [
                _WireQuarantine(
                    item.fingerprint,
                    item.until_seconds + offset_seconds,
                    list(item.starts),
                )
                for item in record.quarantines
            ],
            [
                _WireRun(
                    run.run_id,
                    run.start,
                    sorted(run.parts),
                    run.started_seconds + offset_seconds,
                    run.lost_seconds + offset_seconds,
                )
                for run in record.runs
            ],
        )

    def _decode(self, value: bytes) -> LossRecord:
        """Decode a row; nothing if another release wrote it differently."""
        try:
            wire = msgspec.json.decode(value, type=_WireLosses)
        except UNREADABLE as error:
            _log.error("losses: record cannot be decoded", reason=str(error))
            return LossRecord()
        return LossRecord(tuple(self._quarantines(wire)), tuple(self._runs(wire)))

    def _quarantines(self, wire: _WireLosses) -> Iterator[RecordedQuarantine]:
        """Yield the quarantines that are still in force."""
        now_seconds = self._clock.now_seconds()
        latest_seconds = now_seconds + MAX_QUARANTINE_SECONDS
        for item in wire.quarantines:
            until_seconds = item.until_wall_seconds - self._wall_offset_seconds()
            if until_seconds > now_seconds:
                yield RecordedQuarantine(
                    BodyFingerprint(item.fingerprint),
                    min(until_seconds, latest_seconds),
                    tuple(map(StartKey, item.starts)),
                )

    def _runs(self, wire: _WireLosses) -> Iterator[LostRun]:
        """Yield the lost runs, none of them in the future.

        Their intervals stay, as a run counts if it was sent after the loss before.
        """
        latest_seconds = max((run.lost_wall_seconds for run in wire.runs), default=0.0)
        ahead_seconds = max(0.0, latest_seconds - self._clock.wall_seconds())
        shift_seconds = self._wall_offset_seconds() + ahead_seconds
        for item in wire.runs:
            yield LostRun(
                RunKey(item.run_id),
                StartKey(item.start),
                frozenset(map(PromptPartKey, item.parts)),
                item.started_wall_seconds - shift_seconds,
                item.lost_wall_seconds - shift_seconds,
            )
