"""Client of the platform's store; implements the table port and the feed port.

A call without a response may have taken effect or may still do so. A write is known not
to have been applied only if no byte was sent or if the store says so.
"""

from dataclasses import dataclass
from typing import TypeVar

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock, SystemClock
from lycheepost.core.ids import StoreEra, StoreVersion
from lycheepost.core.storeversions import era_of, make_version, number_of
from lycheepost.platform.sessions import make_call_session
from lycheepost.platform.settings import Endpoint
from lycheepost.platform.storecalls import (
    StoreCallCounts,
    commit_kind,
    feed_kind,
    read_kind,
)
from lycheepost.platform.storeclock import StoreClock
from lycheepost.platform.storeera import ERA_HEADER, StoreEras
from lycheepost.platform.storewire import (
    WireCommitted,
    WireExpected,
    WirePut,
    WireRemove,
    WireRows,
    WireTransaction,
    encode_value,
)
from lycheepost.ports.eras import ended_conditions, fits_era
from lycheepost.ports.feed import Changes, HistoryGone
from lycheepost.ports.table import (
    Committed,
    ObservedEra,
    OutcomeUnknown,
    Page,
    Row,
    TableConflict,
    TableError,
    TableRestored,
    TableThrottled,
    TableUnavailable,
    Transaction,
)
from lycheepost.utils.boundedreads import read_bounded
from lycheepost.utils.decoding import UNREADABLE
from lycheepost.utils.runningtime import running_timeout

OWN_TABLE = "lycheepost"
"""The table that holds all rows of lycheepost."""

CONNECT_TIMEOUT_SECONDS = 0.5
"""Connecting takes a few milliseconds, also between availability zones."""

CALL_TIMEOUT_SECONDS = 1.0
"""By the platform's protocol a read or a transaction takes some milliseconds; a store
that is a hundred times slower is treated as unavailable."""

KEEPALIVE_SECONDS = 15.0
"""Connections are used every second or two; a call on a dead one fails."""

LONG_POLL_MARGIN_SECONDS = 0.7
"""Added to the duration of a long poll; after that the connection counts as dead."""

_PAGE_ROWS = 500
"""Maximum rows of one response, by the platform's protocol."""

_MAX_ANSWER_BYTES = 32 * 1024 * 1024
"""A page of rows has 1 MB by the platform's protocol; changes may have many pages."""

_MILLISECONDS = 1000.0

_T = TypeVar("_T")


@dataclass(frozen=True, slots=True)
class _Answer:
    """Status and body of a response, and the era that it states."""

    status: int
    body: bytes
    era: StoreEra


@dataclass(frozen=True, slots=True)
class _RowsPage:
    """A page of rows.

    Attributes:
        era: The era of the versions in it.
    """

    wire: WireRows
    era: StoreEra

    @property
    def version(self) -> StoreVersion:
        """Return the store's newest version at the time of the response."""
        return make_version(self.era, self.wire.ver)

    @property
    def rows(self) -> tuple[Row, ...]:
        """Return the rows as records of the table port."""
        return tuple(row.to_row(self.era) for row in self.wire.rows)


class StoreClient:
    """Client of the store.

    Args:
        address: Address of the store.
        clock: The clock by which states are confirmed; it includes time spent
            suspended.

    Attributes:
        base: Base URL of the store.
        n_calls: Calls made, including refused ones.
        calls: The calls by kind, for the log.
        eras: The era of the store.
    """

    def __init__(self, address: Endpoint, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._store_clock = StoreClock()
        self.eras = StoreEras(self._clock)
        self.eras.subscribe(lambda _era: self._forget_clock())
        self.base = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None
        self.n_calls = 0
        self.calls = StoreCallCounts()

    @property
    def era(self) -> ObservedEra:
        """Return the newest known era of the store."""
        return self.eras.newest

    def _forget_clock(self) -> None:
        """Discard what is known of the clock of the store before a restore."""
        self._store_clock = StoreClock()

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = make_call_session(
            "store", CONNECT_TIMEOUT_SECONDS, KEEPALIVE_SECONDS
        )

    async def drain(self) -> None:
        """Do nothing: other components use the client while they drain."""

    async def stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    def status(self) -> dict[str, object]:
        """Return counts for the status page."""
        return {"n_calls": self.n_calls, "era": self.eras.newest.era}

    async def read(
        self, keys: tuple[str, ...]
    ) -> Result[tuple[Row | None, ...], TableError]:
        """Return the rows of ``keys`` in order, from one consistent state."""
        first_key, end_key = min(keys), max(keys) + "\0"
        rows: dict[str, Row] = {}
        version: int | None = None
        while True:
            query = {"from": first_key, "to": end_key}
            match await self._get_rows(OWN_TABLE, query):
                case Success(page):
                    pass
                case Failure(error):
                    return Failure(error)
            if version not in (None, page.version):
                return Failure(TableError("rows moved while they were read"))
            version = page.version
            rows.update((row.key, row) for row in page.rows)
            if not page.wire.has_more or not page.wire.rows:
                return Success(tuple(rows.get(key) for key in keys))
            first_key = page.wire.rows[-1].key + "\0"

    async def scan(
        self, prefix: str, after_key: str | None, limit: int
    ) -> Result[Page, TableError]:
        """Return up to ``limit`` rows whose keys start with ``prefix``."""
        first = prefix if after_key is None else after_key + "\0"
        last = prefix[:-1] + chr(ord(prefix[-1]) + 1)
        query = {"from": first, "to": last, "limit": str(min(limit, _PAGE_ROWS))}
        match await self._get_rows(OWN_TABLE, query):
            case Success(page):
                rows = page.rows
                next_key = rows[-1].key if page.wire.has_more and rows else None
                return Success(Page(rows, next_key))
            case Failure(error):
                return Failure(error)
        raise AssertionError("a result is a success or a failure")

    async def commit(self, transaction: Transaction) -> Result[Committed, TableError]:
        """Apply a transaction atomically.

        The store compares only numbers. A condition of an earlier era is refused here,
        or the response is, if the era ended during the call.
        """
        ended = ended_conditions(transaction, self.era.era)
        if ended:
            return Failure(TableConflict("the store was restored from a copy", ended))
        self.calls.note(commit_kind(transaction))
        body = msgspec.json.encode(_encode_transaction(transaction))
        answer = await self._call("POST", "/rows-tx", {}, CALL_TIMEOUT_SECONDS, body)
        return answer.bind(lambda found: self._decode_committed(transaction, found))

    def _decode_committed(
        self, transaction: Transaction, answer: _Answer
    ) -> Result[Committed, TableError]:
        match _decode(answer, WireCommitted):
            case Success(committed):
                pass
            case Failure(error):
                return Failure(error)
        if not fits_era(transaction, answer.era):
            return Failure(TableRestored("the store was restored during the write"))
        self.eras.note_version(committed.ver)
        version = make_version(answer.era, committed.ver)
        return Success(Committed((version,) * len(transaction.writes)))

    async def read_table(self, table: str) -> Result[Changes, TableError]:
        """Return every row of ``table``.

        The version is that of the first page, so that rows which changed while later
        pages were read are reported again as changes.
        """
        changes: Changes | None = None
        query: dict[str, str] = {}
        sent_seconds = self._clock.now_seconds()
        while True:
            match await self._get_rows(table, query):
                case Success(page):
                    pass
                case Failure(error):
                    return Failure(error)
            rows = tuple(row.to_change() for row in page.wire.rows)
            version: int = page.version
            if changes is not None:
                if era_of(changes.version) != page.era:
                    return Failure(TableRestored("the store was restored meanwhile"))
                rows = changes.rows + rows
                version = changes.version
            changes = Changes(rows, version, True, sent_seconds)
            if not page.wire.has_more or not page.wire.rows:
                return Success(changes)
            query = {"from": page.wire.rows[-1].key + "\0"}

    async def wait_changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Result[Changes, TableError]:
        """Return the changes after a version as soon as there are any (a long poll).

        A restored store may have passed the number of ``after`` again, so that it
        answers as if nothing was missing.
        """
        if era_of(after) < self.era.era:
            return Failure(HistoryGone("the store was restored from a copy"))
        sent_seconds = self._clock.now_seconds()
        if self._store_clock.wants_short_call(sent_seconds):
            wait_seconds = 0.0
        query = {
            "table": table,
            "after": str(number_of(after)),
            "wait_ms": str(int(wait_seconds * 1000)),
        }
        timeout_seconds = wait_seconds + LONG_POLL_MARGIN_SECONDS
        self.calls.note(feed_kind(table))
        answer = await self._call("GET", "/rows-feed", query, timeout_seconds)
        match answer.bind(_decode_rows):
            case Success(page) if page.era != era_of(after):
                return Failure(HistoryGone("the store was restored from a copy"))
            case Success(page):
                return Success(
                    Changes(
                        # The feed holds the rows of all parts of the table.
                        tuple(
                            row.to_change() for row in page.wire.rows if not row.part
                        ),
                        page.version,
                        confirmed_seconds=self._answered_seconds(
                            sent_seconds, page.wire
                        ),
                    )
                )
            case Failure(error):
                return Failure(error)
        raise AssertionError("a result is a success or a failure")

    def _answered_seconds(self, sent_seconds: float, found: WireRows) -> float:
        """Return when an answer was given, or a time before; never before its call."""
        self.eras.note_version(found.ver)
        return self._store_clock.answered_seconds(
            sent_seconds, self._clock.now_seconds(), found.now_ms / _MILLISECONDS
        )

    async def _get_rows(
        self, table: str, query: dict[str, str]
    ) -> Result[_RowsPage, TableError]:
        self.calls.note(read_kind(table, query.get("from", "")))
        full = {"table": table, "part": "", **query}
        sent_seconds = self._clock.now_seconds()
        answer = await self._call("GET", "/rows-get", full, CALL_TIMEOUT_SECONDS)
        found = answer.bind(_decode_rows)
        found.map(lambda page: self._answered_seconds(sent_seconds, page.wire))
        return found

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        timeout_seconds: float,
        body: bytes | None = None,
    ) -> Result[_Answer, TableError]:
        if self._session is None:
            raise RuntimeError("the store client is not started")
        self.n_calls += 1
        headers = {} if body is None else {"Content-Type": "application/json"}
        try:
            async with (
                running_timeout("store call", timeout_seconds),
                self._session.request(
                    method,
                    self.base + path,
                    params=query,
                    data=body,
                    headers=headers,
                ) as response,
            ):
                found = await read_bounded(response, _MAX_ANSWER_BYTES)
                era = self.eras.note(response.headers.get(ERA_HEADER))
                if era < self.era.era:
                    return Failure(TableRestored("the response is of an ended era"))
                return Success(_Answer(response.status, found, era))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Failure(TableUnavailable(f"no connection to the store: {error}"))
        except TimeoutError:
            return Failure(OutcomeUnknown("the store did not respond in time"))
        except (aiohttp.ClientError, OSError) as error:
            reason = f"the connection to the store broke: {type(error).__name__}"
            return Failure(OutcomeUnknown(reason))


def _encode_transaction(transaction: Transaction) -> WireTransaction:
    return WireTransaction(
        expected=[
            WireExpected(OWN_TABLE, "", item.key, number_of(item.version))
            for item in transaction.conditions
        ],
        puts=[
            WirePut(OWN_TABLE, "", item.key, encode_value(item.value))
            for item in transaction.writes
            if item.value is not None
        ],
        remove=[
            WireRemove(OWN_TABLE, "", item.key)
            for item in transaction.writes
            if item.value is None
        ],
    )


def _decode_rows(answer: _Answer) -> Result[_RowsPage, TableError]:
    return _decode(answer, WireRows).map(lambda wire: _RowsPage(wire, answer.era))


def _decode(answer: _Answer, kind: type[_T]) -> Result[_T, TableError]:
    """Return the decoded body of a success, or the error for another status."""
    match answer.status:
        case 200:
            pass
        case 410:
            return Failure(HistoryGone("the store no longer keeps these changes"))
        case 412:
            return Failure(_decode_conflict(answer.body))
        case 429:
            return Failure(TableThrottled("the store throttles calls (429)"))
        case 503:
            return Failure(TableUnavailable("the store is unavailable (503)"))
        case status:
            return Failure(TableError(f"the store responded with status {status}"))
    try:
        return Success(msgspec.json.decode(answer.body, type=kind))
    except UNREADABLE as error:
        # The status is a success, so a write may have been applied.
        return Failure(OutcomeUnknown(f"the response cannot be decoded: {error}"))


def _decode_conflict(body: bytes) -> TableConflict:
    try:
        rows = msgspec.json.decode(body, type=WireRows).rows
    except UNREADABLE:
        rows = []
    return TableConflict("a row has changed", tuple(row.key for row in rows))
