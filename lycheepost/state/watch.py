"""Follow one table of the store by long polling, and track how fresh the data is.

A full read comes first, then one long poll after the other. Every response proves that
no newer change was accepted before its request was sent. That moment, by a clock that
includes time spent suspended, is the time up to which the data is confirmed.

A connection may become silent without being closed. Long polls are therefore short, and
each has a timeout slightly longer than the poll.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import structlog
from returns.result import Failure, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import StoreEra
from lycheepost.core.storeversions import era_of
from lycheepost.ports.feed import ChangedRow, Changes, FeedPort, HistoryGone
from lycheepost.ports.table import NEVER_RESTORED, TableError
from lycheepost.utils.tasks import start_task

INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.8
"""Back-off while the store does not respond. A store that is back is noticed within a
second; seven daemons send ten requests a second to a store that is down."""

NO_OUTAGE = float("-inf")
"""The end of an outage where none is known."""

_log = structlog.get_logger(part="watch")


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """The changes in one response of the store.

    Attributes:
        rows: Changed rows; if ``is_whole``, all rows, and any other row is deleted.
        confirmed_seconds: The known state was the current one at this time or later.
        before_seconds: ``confirmed_seconds`` before this response; None for the first
            one. All changes in ``rows`` happened after it.
        outage_ended_seconds: When the store was last found to respond again after an
            outage, here or at a peer; minus infinity if no outage is known.
        after_restore: Whether this is the first response since the store was restored
            from a copy; all rows follow, some of them older than known ones.
        era: The era of the store in this response.
    """

    rows: tuple[ChangedRow, ...]
    is_whole: bool
    confirmed_seconds: float
    before_seconds: float | None
    outage_ended_seconds: float = NO_OUTAGE
    after_restore: bool = False
    era: StoreEra = NEVER_RESTORED.era

    def last_rows(self) -> tuple[ChangedRow, ...]:
        """Return the last change of each key, in the order of these changes.

        One response may hold the removal of a row and a later one under the same key.
        """
        last: dict[str, ChangedRow] = {}
        for row in self.rows:
            last.pop(row.key, None)
            last[row.key] = row
        return tuple(last.values())


OnTableUpdate = Callable[[TableUpdate], None]


class Watch:
    """A task that follows one table.

    Args:
        feed: The store.
        table: Name of the table.
        clock: A clock that includes time spent suspended.
        wait_seconds: Returns the maximum duration of a long poll.
        on_update: Called with the update of each response.
        seed: Seed of the jitter.

    Attributes:
        is_lost: Whether the last request failed.
        confirmed_seconds: Time up to which the data is confirmed; None before any
            response.
    """

    def __init__(
        self,
        feed: FeedPort,
        table: str,
        clock: Clock,
        wait_seconds: Callable[[], float],
        on_update: OnTableUpdate,
        seed: int = 0,
    ) -> None:
        self.is_lost = False
        self.confirmed_seconds: float | None = None
        self._feed = feed
        self._table = table
        self._clock = clock
        self._wait_seconds = wait_seconds
        self._on_update = on_update
        self._random = random.Random(seed)
        self._version: int | None = None
        self._era: StoreEra | None = None
        self._outage_ended_seconds = NO_OUTAGE
        self._task: asyncio.Task[None] | None = None
        self._on_first_response: Callable[[], None] | None = None
        self.n_answers = 0
        self.n_failures = 0

    def on_first_response(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after the first response was processed."""
        self._on_first_response = callback

    async def start(self) -> None:
        """Start following the table."""
        self._task = start_task(self._run(), f"watch-{self._table}")

    async def drain(self) -> None:
        """Continue: requests in flight still depend on fresh data."""

    async def stop(self) -> None:
        """Stop following the table."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def status(self) -> dict[str, object]:
        """Return how fresh the data is, for the status page."""
        now_seconds = self._clock.now_seconds()
        confirmed = self.confirmed_seconds
        return {
            "table": self._table,
            "version": self._version,
            "age_seconds": None if confirmed is None else now_seconds - confirmed,
            "is_lost": self.is_lost,
            "n_answers": self.n_answers,
            "n_failures": self.n_failures,
        }

    async def _run(self) -> None:
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        while True:
            if await self._poll():
                backoff_seconds = INITIAL_BACKOFF_SECONDS
                continue
            await asyncio.sleep(backoff_seconds * self._random.uniform(0.5, 1.0))
            backoff_seconds = min(MAX_BACKOFF_SECONDS, 2.0 * backoff_seconds)

    async def _poll(self) -> bool:
        """Send one request; return whether the store responded."""
        sent_seconds = self._clock.now_seconds()
        version = self._version
        if version is None:
            answer = await self._feed.read_table(self._table)
        else:
            answer = await self._feed.wait_changes(
                self._table, version, self._wait_seconds()
            )
        match answer:
            case Success(changes):
                is_whole = version is None or changes.is_whole
                self._apply(changes, is_whole, sent_seconds)
                return True
            case Failure(HistoryGone()):
                _log.info("watch: version too old", table=self._table, version=version)
                self._version = None
                return True
            case Failure(error):
                self._note_failure(error)
        return False

    def _apply(self, changes: Changes, is_whole: bool, sent_seconds: float) -> None:
        self._note_answer(changes)
        era = era_of(changes.version)
        after_restore = self._era is not None and era > self._era
        if after_restore:
            _log.info("watch: store was restored", table=self._table, era=era)
        self._version, self._era = changes.version, era
        before = self.confirmed_seconds
        confirmed_seconds = changes.confirmed_seconds
        if confirmed_seconds is None:
            confirmed_seconds = sent_seconds
        if before is not None:
            # Data from a peer may be older than an earlier response of the store.
            confirmed_seconds = max(before, confirmed_seconds)
        self.confirmed_seconds = confirmed_seconds
        seen = TableUpdate(
            changes.rows,
            is_whole,
            confirmed_seconds,
            before,
            self._outage_ended_seconds,
            after_restore,
            era,
        )
        try:
            self._on_update(seen)
        except Exception:
            # One row that cannot be processed must not end the watch: keys could then
            # no longer be confirmed, and every request would be refused.
            _log.exception("watch: update not processed", table=self._table)
        if self.n_answers == 1 and self._on_first_response is not None:
            self._on_first_response()

    def _note_answer(self, changes: Changes) -> None:
        """Record that there is an answer, and the end of an outage if it was one."""
        self.n_answers += 1
        ended_seconds = changes.outage_ended_seconds
        if self.is_lost:
            _log.info("watch: store responds again", table=self._table)
            self.is_lost = False
            ended_seconds = self._clock.now_seconds()
        if ended_seconds is not None:
            self._outage_ended_seconds = max(self._outage_ended_seconds, ended_seconds)

    def _note_failure(self, error: TableError) -> None:
        self.n_failures += 1
        if not self.is_lost:
            _log.warning("watch: no response", table=self._table, reason=error.reason)
        self.is_lost = True
