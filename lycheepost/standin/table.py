"""Model of the platform's transactional table service.

``TableModel`` implements ``TablePort`` in memory, with rate limits and faults.
``make_table_app`` serves the same model over HTTP. A read unit is one key read or
one row scanned; a write unit is one transaction, however many rows it writes. Rows
written are counted separately.
"""

import asyncio
import bisect
from dataclasses import dataclass, field, replace

import msgspec
from aiohttp import web
from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock, SystemClock
from lycheepost.core.ids import StoreEra, StoreVersion
from lycheepost.core.storeversions import make_version, number_of
from lycheepost.ports.table import (
    ABSENT_VERSION,
    NEVER_RESTORED,
    Committed,
    ObservedEra,
    OutcomeUnknown,
    Page,
    Row,
    TableConflict,
    TableError,
    TableThrottled,
    TableUnavailable,
    Transaction,
    Write,
)
from lycheepost.ports.table_wire import ReadAnswer, ReadBody, ScanBody
from lycheepost.standin.meter import Meter
from lycheepost.standin.platformfaults import Faults

_MAX_ROW_BYTES = 400_000
"""Larger values are rejected, as table services commonly do."""

MODEL_KEY: web.AppKey["TableModel"] = web.AppKey("model")


@dataclass(frozen=True, slots=True)
class TableCopy:
    """The rows of a table at one moment."""

    rows: dict[str, Row]
    last_version: int


@dataclass
class TableModel:
    """The rows, the limits and the faults of one table service.

    Attributes:
        n_restores: How often it was restored from a copy; its era.
    """

    clock: Clock
    reads: Meter
    writes: Meter
    faults: Faults = field(default_factory=Faults)
    n_rows_written: int = 0
    rows: dict[str, Row] = field(default_factory=dict)
    n_restores: int = 0
    _previous: dict[str, Row | None] = field(default_factory=dict)
    _last_version: int = ABSENT_VERSION
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def era(self) -> ObservedEra:
        """Return that of a table whose callers never see a restore."""
        return NEVER_RESTORED

    @property
    def first_version(self) -> StoreVersion:
        """Return the version below which none is of the current era."""
        return make_version(StoreEra(self.n_restores), 0)

    def copy(self) -> TableCopy:
        """Return a copy to restore the table from later."""
        return TableCopy(dict(self.rows), self._last_version)

    def restore(self, copy: TableCopy) -> None:
        """Go back to a copy: later writes are lost, and versions are given again."""
        self.rows = dict(copy.rows)
        self._previous.clear()
        self._last_version = copy.last_version
        self.n_restores += 1

    async def read(
        self, keys: tuple[str, ...]
    ) -> Result[tuple[Row | None, ...], TableError]:
        """Return the rows of ``keys`` in order."""
        refused = await self._admit(self.reads, max(1, len(keys)))
        if refused is not None:
            return Failure(refused)
        if self.faults.take("n_stale_reads"):
            found = tuple(self._previous.get(key, self.rows.get(key)) for key in keys)
        else:
            found = tuple(self.rows.get(key) for key in keys)
        found = tuple(None if row is None else self._stated(row) for row in found)
        await self._wait(self.faults.answer_delay_seconds)
        return Success(found)

    async def scan(
        self, prefix: str, after_key: str | None, limit: int
    ) -> Result[Page, TableError]:
        """Return up to ``limit`` rows whose keys start with ``prefix``."""
        names = sorted(key for key in self.rows if key.startswith(prefix))
        start = bisect.bisect_right(names, after_key) if after_key is not None else 0
        chosen = names[start : start + limit]
        if self.faults.take("n_partial_lists"):
            chosen = chosen[: len(chosen) // 2]
        refused = await self._admit(self.reads, max(1, len(chosen)))
        if refused is not None:
            return Failure(refused)
        found = tuple(
            self._stated(self.rows[key]) for key in chosen if key in self.rows
        )
        is_last = not chosen or chosen[-1] == names[-1]
        await self._wait(self.faults.answer_delay_seconds)
        return Success(Page(found, None if is_last else chosen[-1]))

    async def commit(self, transaction: Transaction) -> Result[Committed, TableError]:
        """Apply a transaction atomically."""
        refused = await self._admit(self.writes, 1)
        if refused is not None:
            return Failure(refused)
        if any(_is_too_large(write) for write in transaction.writes):
            return Failure(TableError("A row is too large."))
        if self.faults.take("n_late_writes"):
            self._commit_later(transaction)
            return Failure(OutcomeUnknown("The answer was lost."))
        outcome = self._apply(transaction)
        await self._wait(self.faults.answer_delay_seconds)
        if self.faults.take("n_lost_answers"):
            return Failure(OutcomeUnknown("The answer was lost."))
        return outcome

    async def _admit(self, meter: Meter, n_units: int) -> TableError | None:
        if self.faults.refuses():
            return TableUnavailable("The table service is down.")
        if not meter.admit(n_units, self.clock.now_seconds()):
            return TableThrottled("The table service is over its rate.")
        await self._wait(self.faults.delay_seconds)
        return None

    async def _wait(self, seconds: float) -> None:
        if seconds > 0:
            await asyncio.sleep(seconds)

    def _commit_later(self, transaction: Transaction) -> None:
        task = asyncio.ensure_future(self._apply_late(transaction))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _apply_late(self, transaction: Transaction) -> None:
        await asyncio.sleep(self.faults.late_seconds)
        self._apply(transaction)

    def _apply(self, transaction: Transaction) -> Result[Committed, TableError]:
        differing = tuple(
            condition.key
            for condition in transaction.conditions
            if self._version(condition.key) != number_of(condition.version)
        )
        if differing:
            return Failure(TableConflict("A condition did not hold.", differing))
        return Success(
            Committed(
                tuple(
                    number and self.first_version + number
                    for number in map(self._write, transaction.writes)
                )
            )
        )

    def _stated(self, row: Row) -> Row:
        """Return a row as a response states it: its version contains the era."""
        return replace(row, version=self.first_version + row.version)

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return ABSENT_VERSION if row is None else row.version

    def _write(self, write: Write) -> int:
        self.n_rows_written += 1
        self._previous[write.key] = self.rows.get(write.key)
        if write.value is None:
            self.rows.pop(write.key, None)
            return ABSENT_VERSION
        # One counter for all keys: a key that is deleted and written again never
        # gets an earlier version, so that an outdated condition cannot hold.
        self._last_version += 1
        self.rows[write.key] = Row(write.key, write.value, self._last_version)
        return self._last_version


def make_table_model(
    clock: Clock | None = None,
    reads_per_second: float = 2000,
    writes_per_second: float = 300,
) -> TableModel:
    """Return an empty table service with the platform's rate limits."""
    return TableModel(
        clock=clock or SystemClock(),
        reads=Meter(reads_per_second),
        writes=Meter(writes_per_second),
    )


def make_table_app(model: TableModel) -> web.Application:
    """Return an aiohttp application that serves ``model``."""
    app = web.Application(client_max_size=64 * 1024 * 1024)
    app[MODEL_KEY] = model
    app.router.add_post("/read", _handle_read)
    app.router.add_post("/scan", _handle_scan)
    app.router.add_post("/commit", _handle_commit)
    return app


def _is_too_large(write: Write) -> bool:
    return write.value is not None and len(write.value) > _MAX_ROW_BYTES


async def _handle_read(request: web.Request) -> web.StreamResponse:
    body = msgspec.json.decode(await request.read(), type=ReadBody)
    outcome = await request.app[MODEL_KEY].read(body.keys)
    return _respond(request, outcome.map(ReadAnswer))


async def _handle_scan(request: web.Request) -> web.StreamResponse:
    body = msgspec.json.decode(await request.read(), type=ScanBody)
    model = request.app[MODEL_KEY]
    outcome = await model.scan(body.prefix, body.after_key, body.limit)
    return _respond(request, outcome)


async def _handle_commit(request: web.Request) -> web.StreamResponse:
    transaction = msgspec.json.decode(await request.read(), type=Transaction)
    return _respond(request, await request.app[MODEL_KEY].commit(transaction))


def _respond(request: web.Request, outcome: Result) -> web.StreamResponse:
    match outcome:
        case Success(value):
            return web.Response(body=msgspec.json.encode(value))
        case Failure(OutcomeUnknown()):
            # The answer is lost: the caller sees an aborted connection.
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=500)
        case Failure(TableConflict(keys=keys)):
            return web.Response(status=409, body=msgspec.json.encode(keys))
        case Failure(TableThrottled()):
            return web.Response(status=429)
        case Failure(TableUnavailable()):
            return web.Response(status=503)
    return web.Response(status=400)
