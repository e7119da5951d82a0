"""Counts of what each customer saw of each model, kept in bounded memory.

The daemon calls ``Recorder.record`` once for each request that ends. Counts are
kept in slots of five minutes of wall time, so that the slots of all daemons
line up and add up. One slot holds one row of small integers for each customer
and model that was seen in it: 990 customers and 8 models give at most 7,920
rows. Closed slots are kept compressed, up to a bound, and are handed to
``report.history``, which writes them to the object store.
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
"""The shortest window of the report; a replaced VM loses at most one slot."""

HOUR_SECONDS = 3600

BUCKET_BOUNDS_SECONDS = (
    *(0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75),
    *(1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0),
)
"""Upper bounds of the first-token buckets; one more holds all above.

A row is summed over daemons by adding, which a library's histogram with
thousands of cells a row would make a hundred times as large.
"""

_MOST_ROWS = 16_384
"""Twice the rows of 990 customers and 8 models. A slot past it counts further
pairs under ``OTHER``, so that made-up names cannot fill the memory."""

_KEPT_BYTES = 2_000_000
"""Closed slots kept in memory; older ones are in the object store."""

OTHER = "(other)"


class EndKind(enum.Enum):
    """How a request ended, as its service level counts it."""

    SUCCESS = "success"
    CALLER_FAULT = "caller_fault"
    """Refused for what the caller sent; counts for no service level."""
    CALLER_LEFT = "caller_left"
    """The caller closed the connection; counts for no service level."""
    REFUSED = "refused"
    FAILED = "failed"
    """Broken off, or ended with an error after it was sent to a target."""


class OnceState(enum.Enum):
    """What is known of a call that must run at most once."""

    NOT_ASKED = "not_asked"
    KEPT = "kept"
    UNKNOWN = "unknown"
    """Nobody can say whether it ran; a person must look."""
    DOUBLED = "doubled"


@dataclass(frozen=True, slots=True)
class Sample:
    """One request that has ended.

    Attributes:
        model: The model, or the target group of a plain service.
        ttft_seconds: From the arrival to the first token; None without one.
        mean_gap_seconds: Mean time between tokens; None under two tokens.
    """

    customer: CustomerId
    model: ModelId | TargetGroupId
    end: EndKind
    once: OnceState = OnceState.NOT_ASKED
    ttft_seconds: float | None = None
    mean_gap_seconds: float | None = None


class _Column(enum.IntEnum):
    """Where each count of a row stands."""

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
        n_slots_lost: Slots dropped from memory before the object store took
            them.
        dropped_until_seconds: Wall time before which slots may have left the
            memory.
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
        self._slot = 0
        self._closed: OrderedDict[int, bytes] = OrderedDict()
        self._unsaved: set[int] = set()
        self._closed_bytes = 0

    def record(self, sample: Sample, wall_seconds: float) -> None:
        """Count one request that ended at ``wall_seconds`` since the epoch."""
        slot = int(wall_seconds) // SLOT_SECONDS
        # A wall clock that was set back must not reopen a slot that has been
        # written; its requests count in the open one.
        if slot > self._slot:
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
        """Close the open slot if its time has passed and open the next."""
        slot = int(wall_seconds) // SLOT_SECONDS
        if slot <= self._slot:
            return
        self._keep_open_slot()
        self._rows = {}
        self._slot = slot

    def unsaved(self) -> list[BurnSlot]:
        """Return the closed slots that the object store has not taken yet."""
        return [self._unpack(slot) for slot in sorted(self._unsaved)]

    def mark_saved(self, start_wall_seconds: int) -> None:
        """Note that the object store holds a slot."""
        self._unsaved.discard(start_wall_seconds // SLOT_SECONDS)

    def slots(self, after_wall_seconds: float = 0.0) -> list[BurnSlot]:
        """Return the slots in memory that end after a time, the open one last."""
        kept = [
            self._unpack(slot)
            for slot in self._closed
            if (slot + 1) * SLOT_SECONDS > after_wall_seconds
        ]
        if self._rows:
            kept.append(self._make_slot())
        return kept

    def open_slot(self) -> BurnSlot | None:
        """Return the open slot, for a daemon that is about to stop."""
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
            if len(self._rows) >= _MOST_ROWS:
                key = (OTHER, OTHER)
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
            start_wall_seconds=self._slot * SLOT_SECONDS,
            length_seconds=SLOT_SECONDS,
            counts=[_make_count(key, row) for key, row in self._rows.items()],
        )

    def _keep_open_slot(self) -> None:
        if not self._rows:
            return
        data = zlib.compress(msgspec.msgpack.encode(self._make_slot()), 1)
        self._closed[self._slot] = data
        self._closed_bytes += len(data)
        self._unsaved.add(self._slot)
        while self._closed_bytes > _KEPT_BYTES and len(self._closed) > 1:
            oldest, dropped = self._closed.popitem(last=False)
            self._closed_bytes -= len(dropped)
            self.dropped_until_seconds = (oldest + 1) * SLOT_SECONDS
            if oldest in self._unsaved:
                # The object store has been down for so long that memory runs
                # out; the report says how much is missing.
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
    """Return the sum of two counts under the first one's names."""
    buckets = [
        left + right
        # Another release may have fewer bounds; its counts end sooner.
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
    """Return one slot of an hour's length from one daemon's slots of it."""
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
    """Return a recorder without counts."""
    return Recorder(daemon_id, boot_id, objectives)
