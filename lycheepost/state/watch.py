"""Follow one table of the store, and know how fresh that knowledge is.

A whole read first, then one held question after the other. Every answer proves
that nothing newer was accepted before its question was sent: that moment, by a
clock that counts suspension, is how far the knowledge reaches.

A connection may go silent without being closed. Questions are therefore held for
a short time only, and each has a timeout a little longer than that.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import structlog
from returns.result import Failure, Success

from lycheepost.core.clock import Clock
from lycheepost.ports.feed import ChangedRow, Changes, FeedPort, HistoryGone
from lycheepost.ports.table import TableError
from lycheepost.utils.tasks import start_task

FIRST_PAUSE_SECONDS = 0.1
LAST_PAUSE_SECONDS = 0.8
"""Between tries while the store does not answer. A store that is back is seen
within a second; seven daemons ask a store that is down ten times a second."""

_log = structlog.get_logger(part="watch")


@dataclass(frozen=True, slots=True)
class Seen:
    """What one answer told.

    Attributes:
        rows: Changed rows; all rows when ``is_whole``, so others are gone.
        confirmed_seconds: The table was as it is known now at this time, or later.
        before_seconds: What ``confirmed_seconds`` was before this answer; None for
            the first one. Whatever changed did so after that.
        was_lost: The first answer after a failure.
    """

    rows: tuple[ChangedRow, ...]
    is_whole: bool
    confirmed_seconds: float
    before_seconds: float | None
    was_lost: bool


OnSeen = Callable[[Seen], None]


class Watch:
    """A task that follows one table.

    Args:
        feed: The store.
        table: Name of the table.
        clock: A clock that counts suspension.
        wait_seconds: Returns how long a question is held.
        on_seen: Told of each answer.
        seed: Seed of the jitter.

    Attributes:
        is_lost: The last question was not answered.
        confirmed_seconds: How far the knowledge reaches; None before any answer.
    """

    def __init__(
        self,
        feed: FeedPort,
        table: str,
        clock: Clock,
        wait_seconds: Callable[[], float],
        on_seen: OnSeen,
        seed: int = 0,
    ) -> None:
        self.is_lost = False
        self.confirmed_seconds: float | None = None
        self._feed = feed
        self._table = table
        self._clock = clock
        self._wait_seconds = wait_seconds
        self._on_seen = on_seen
        self._random = random.Random(seed)
        self._version: int | None = None
        self._task: asyncio.Task[None] | None = None
        self._on_first: Callable[[], None] | None = None
        self.n_answers = 0
        self.n_failures = 0

    def on_first(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when the first answer was taken."""
        self._on_first = callback

    async def start(self) -> None:
        """Begin to follow."""
        self._task = start_task(self._run(), f"watch-{self._table}")

    async def drain(self) -> None:
        """Go on: requests in flight still rest on what is known."""

    async def stop(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def status(self) -> dict[str, object]:
        """Return how fresh the knowledge is, for the status page."""
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
        pause_seconds = FIRST_PAUSE_SECONDS
        while True:
            if await self._ask():
                pause_seconds = FIRST_PAUSE_SECONDS
                continue
            await asyncio.sleep(pause_seconds * self._random.uniform(0.5, 1.5))
            pause_seconds = min(LAST_PAUSE_SECONDS, 2.0 * pause_seconds)

    async def _ask(self) -> bool:
        """Put one question; return whether it was answered."""
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
                self._take(changes, is_whole, sent_seconds)
                return True
            case Failure(HistoryGone()):
                _log.info("watch: history gone", table=self._table, version=version)
                self._version = None
                return True
            case Failure(error):
                self._note_lost(error)
        return False

    def _take(self, changes: Changes, is_whole: bool, sent_seconds: float) -> None:
        was_lost, self.is_lost = self.is_lost, False
        if was_lost:
            _log.info("watch: regained", table=self._table)
        self.n_answers += 1
        self._version = changes.version
        before = self.confirmed_seconds
        confirmed_seconds = changes.confirmed_seconds
        if confirmed_seconds is None:
            confirmed_seconds = sent_seconds
        if before is not None:
            # A peer's word may be older than what the store itself told before.
            confirmed_seconds = max(before, confirmed_seconds)
        self.confirmed_seconds = confirmed_seconds
        seen = Seen(
            changes.rows,
            is_whole,
            confirmed_seconds,
            before,
            was_lost,
        )
        try:
            self._on_seen(seen)
        except Exception:
            # One row that cannot be handled must not end the watch: keys could
            # then no longer be confirmed, and every request would be refused.
            _log.exception("watch: an answer could not be taken", table=self._table)
        if self.n_answers == 1 and self._on_first is not None:
            self._on_first()

    def _note_lost(self, error: TableError) -> None:
        self.n_failures += 1
        if not self.is_lost:
            _log.warning("watch: lost", table=self._table, reason=error.reason)
        self.is_lost = True
