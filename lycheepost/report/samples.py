"""Counts requests by customer, model and outcome in bounded memory.

The daemon calls ``Recorder.record`` once for each request that ends. Counts are
kept in slots of five minutes of wall time, aligned on all daemons so that they can
be summed. A slot holds one row of integers for each pair of customer and model that
had a request: at most 7,920 rows for 990 customers and 8 models. Closed slots are
kept compressed, up to a limit of memory, and ``report.history`` writes them to the
object store.
"""

import bisect
import enum
import itertools
import zlib
from array import array
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from lycheepost.core.ids import CustomerId, DaemonId, ModelId, TargetGroupId
from lycheepost.generated.report import BurnCount, BurnSlot
from lycheepost.generated.settings import ObjectiveSettings

SLOT_SECONDS = 300
"""Length of a slot and of the shortest window; a replaced VM loses at most one slot."""

HOUR_SECONDS = 3600

BUCKET_BOUNDS_SECONDS = (
    *(0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75),
    *(1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0),
)
"""Upper bounds of the first-token buckets; one more bucket holds longer times.

Fixed bounds let rows of several daemons be added. A library histogram has thousands
of cells a row and would make rows a hundred times as large.
"""

_MAX_ROWS = 16_384
"""About twice the rows of 990 customers and 8 models. Further pairs of a slot count
under ``OVERFLOW_NAME``, so that made-up names cannot exhaust the memory."""

_MAX_CLOSED_BYTES = 2_000_000
"""Compressed size of closed slots in memory; older ones are in the object store."""

OVERFLOW_NAME = "(other)"


class EndKind(enum.Enum):
    """How a request ended, as the service levels count it."""

    SUCCESS = "success"
    CALLER_FAULT = "caller_fault"
    """Rejected because of an invalid request; counts for no service level."""
    CALLER_LEFT = "caller_left"
    """The caller closed the connection; counts for no service level."""
    REFUSED = "refused"
    FAILED = "failed"
    """Truncated, or ended with an error after it was sent to a target."""


class OnceState(enum.Enum):
    """Whether a call that must run at most once did so."""

    NOT_ASKED = "not_asked"
    KEPT = "kept"
    UNKNOWN = "unknown"
    """It is unknown whether the call ran; a person must check."""
    DOUBLED = "doubled"


@dataclass(frozen=True, slots=True)
class Sample:
    """One request that has ended.

    Attributes:
        model: The model, or the target group of a plain service.
        ttft_seconds: Time from arrival to the first token; None without a token.
        mean_gap_seconds: Mean time between tokens; None for fewer than two tokens.
    """

    customer: CustomerId
    model: ModelId | TargetGroupId
    end: EndKind
    once: OnceState = OnceState.NOT_ASKED
    ttft_seconds: float | None = None
    mean_gap_seconds: float | None = None


class _Column(enum.IntEnum):
    """Index of each count in a row."""

    REQUESTS = 0
    FAILED = 1
    FIRST_TOKENS = 2
    FIRST_TOKENS_LATE = 3
    STREAMS = 4
    STREAMS_SLOW = 5
    ONCE = 6
    ONCE_BROKEN = 7
    FIRST_BUCKET = 8


_N_COLUMNS = _Column.FIRST_BUCKET + len(BUCKET_BOUNDS_SECONDS) + 1
_EMPTY_ROW = array("I", [0] * _N_COLUMNS)
_Key = tuple[str, str]
_COUNTED_ENDS = frozenset({EndKind.SUCCESS, EndKind.REFUSED, EndKind.FAILED})


class Recorder:
    """The counts of one daemon since its start.

    Attributes:
        n_slots_lost: Slots dropped from memory before they were written to the
            object store.
        dropped_until_seconds: Wall time before which slots may have been dropped
            from memory.
    """

    def __init__(
        self, daemon_id: DaemonId, boot_id: str, objectives: ObjectiveSettings
    ) -> None:
        self.daemon_id = daemon_id
        self.boot_id = boot_id
        self.objectives = objectives
        self.n_slots_lost = 0
        self.dropped_until_seconds = 0
        self._rows: dict[_Key, array[int]] = {}
        self._open_slot_index = 0
        self._closed: OrderedDict[int, bytes] = OrderedDict()
        self._unsaved: set[int] = set()
        self._closed_bytes = 0

    def record(self, sample: Sample, wall_seconds: float) -> None:
        """Count one request that ended at ``wall_seconds`` since the epoch."""
        slot = int(wall_seconds) // SLOT_SECONDS
        # After the wall clock is set back, requests are counted in the open slot:
        # an earlier slot may already be written and must not change.
        if slot > self._open_slot_index:
            self.close(wall_seconds)
        row = self._row((sample.customer, sample.model))
        if sample.end in _COUNTED_ENDS:
            row[_Column.REQUESTS] += 1
            row[_Column.FAILED] += sample.end is not EndKind.SUCCESS
        if sample.ttft_seconds is not None:
            self._count_first_token(row, sample.ttft_seconds)
        if sample.mean_gap_seconds is not None:
            limit_seconds = self.objectives.token_gap_objective_seconds
            row[_Column.STREAMS] += 1
            row[_Column.STREAMS_SLOW] += sample.mean_gap_seconds > limit_seconds
        if sample.once is not OnceState.NOT_ASKED:
            row[_Column.ONCE] += 1
            row[_Column.ONCE_BROKEN] += sample.once is not OnceState.KEPT

    def close(self, wall_seconds: float) -> None:
        """Close the open slot and open the next one if the open slot has ended."""
        slot = int(wall_seconds) // SLOT_SECONDS
        if slot <= self._open_slot_index:
            return
        self._store_open_slot()
        self._rows = {}
        self._open_slot_index = slot

    def unsaved(self) -> list[BurnSlot]:
        """Return the closed slots that are not in the object store yet."""
        return [self._unpack(slot) for slot in sorted(self._unsaved)]

    def mark_saved(self, start_wall_seconds: int) -> None:
        """Note that the object store holds a slot."""
        self._unsaved.discard(start_wall_seconds // SLOT_SECONDS)

    def slots(self, after_wall_seconds: float = 0.0) -> list[BurnSlot]:
        """Return the slots in memory that end after a given time, the open one last."""
        kept = [
            self._unpack(slot)
            for slot in self._closed
            if (slot + 1) * SLOT_SECONDS > after_wall_seconds
        ]
        if self._rows:
            kept.append(self._make_slot())
        return kept

    def open_slot(self) -> BurnSlot | None:
        """Return the open slot, to be written when the daemon stops."""
        return self._make_slot() if self._rows else None

    def status(self) -> dict[str, int]:
        """Return the sizes for ``/admin/status``."""
        return {
            "n_rows": len(self._rows),
            "n_slots": len(self._closed),
            "n_slots_unsaved": len(self._unsaved),
            "n_slots_lost": self.n_slots_lost,
            "closed_bytes": self._closed_bytes,
        }

    def _row(self, key: _Key) -> "array[int]":
        row = self._rows.get(key)
        if row is None:
            if len(self._rows) >= _MAX_ROWS:
                key = (OVERFLOW_NAME, OVERFLOW_NAME)
            row = self._rows.setdefault(key, array("I", _EMPTY_ROW))
        return row

    def _count_first_token(self, row: "array[int]", ttft_seconds: float) -> None:
        row[_Column.FIRST_TOKENS] += 1
        late = ttft_seconds > self.objectives.ttft_objective_seconds
        row[_Column.FIRST_TOKENS_LATE] += late
        bucket = bisect.bisect_left(BUCKET_BOUNDS_SECONDS, ttft_seconds)
        row[_Column.FIRST_BUCKET + bucket] += 1

    def _make_slot(self) -> BurnSlot:
        return BurnSlot(
            daemon_id=self.daemon_id,
            boot_id=self.boot_id,
            start_wall_seconds=self._open_slot_index * SLOT_SECONDS,
            length_seconds=SLOT_SECONDS,
            counts=[_make_count(key, row) for key, row in self._rows.items()],
        )

    def _store_open_slot(self) -> None:
        if not self._rows:
            return
        data = zlib.compress(msgspec.msgpack.encode(self._make_slot()), 1)
        self._closed[self._open_slot_index] = data
        self._closed_bytes += len(data)
        self._unsaved.add(self._open_slot_index)
        while self._closed_bytes > _MAX_CLOSED_BYTES and len(self._closed) > 1:
            oldest, dropped = self._closed.popitem(last=False)
            self._closed_bytes -= len(dropped)
            self.dropped_until_seconds = (oldest + 1) * SLOT_SECONDS
            if oldest in self._unsaved:
                # The object store was down until the memory limit was reached;
                # the report shows how many slots are missing.
                self._unsaved.discard(oldest)
                self.n_slots_lost += 1

    def _unpack(self, slot: int) -> BurnSlot:
        data = zlib.decompress(self._closed[slot])
        return msgspec.msgpack.decode(data, type=BurnSlot)


def _make_count(key: _Key, row: "array[int]") -> BurnCount:
    return BurnCount(
        customer=key[0],
        model=key[1],
        n_requests=row[_Column.REQUESTS],
        n_failed=row[_Column.FAILED],
        n_first_tokens=row[_Column.FIRST_TOKENS],
        n_first_tokens_late=row[_Column.FIRST_TOKENS_LATE],
        n_streams=row[_Column.STREAMS],
        n_streams_slow=row[_Column.STREAMS_SLOW],
        n_once=row[_Column.ONCE],
        n_once_broken=row[_Column.ONCE_BROKEN],
        first_token_buckets=list(row[_Column.FIRST_BUCKET :]),
    )


def add_counts(first: BurnCount, second: BurnCount) -> BurnCount:
    """Return the sum of two counts, with the customer and model of the first."""
    buckets = [
        left + right
        # Another release may have fewer buckets.
        for left, right in itertools.zip_longest(
            first.first_token_buckets, second.first_token_buckets, fillvalue=0
        )
    ]
    return BurnCount(
        customer=first.customer,
        model=first.model,
        n_requests=first.n_requests + second.n_requests,
        n_failed=first.n_failed + second.n_failed,
        n_first_tokens=first.n_first_tokens + second.n_first_tokens,
        n_first_tokens_late=first.n_first_tokens_late + second.n_first_tokens_late,
        n_streams=first.n_streams + second.n_streams,
        n_streams_slow=first.n_streams_slow + second.n_streams_slow,
        n_once=first.n_once + second.n_once,
        n_once_broken=first.n_once_broken + second.n_once_broken,
        first_token_buckets=buckets,
    )


def sum_slots(slots: Iterable[BurnSlot], hour: int) -> BurnSlot | None:
    """Sum one daemon's slots of an hour into one slot; None without counts."""
    sums: dict[_Key, BurnCount] = {}
    daemon_id = boot_id = ""
    for slot in slots:
        daemon_id, boot_id = slot.daemon_id, slot.boot_id
        for count in slot.counts:
            key = (count.customer, count.model)
            sums[key] = add_counts(sums[key], count) if key in sums else count
    if not sums:
        return None
    return BurnSlot(
        daemon_id=daemon_id,
        boot_id=boot_id,
        start_wall_seconds=hour * HOUR_SECONDS,
        length_seconds=HOUR_SECONDS,
        counts=list(sums.values()),
    )


def make_recorder(
    daemon_id: DaemonId, boot_id: str, objectives: ObjectiveSettings
) -> Recorder:
    """Return an empty recorder."""
    return Recorder(daemon_id, boot_id, objectives)
