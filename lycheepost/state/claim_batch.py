"""Group commit: claims that arrive together share one conditional transaction.

The claims of a batch take effect together or not at all. Claims that conflict are
removed from the batch and the others are retried at once, so that one customer's resend
delays another customer's order by at most one round trip.
"""

import asyncio
from collections import deque
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock
from lycheepost.ports.table import (
    Committed,
    Condition,
    TableConflict,
    TableError,
    TablePort,
    TableThrottled,
    Transaction,
    Write,
)
from lycheepost.state.commit_retry import commit_with_retry
from lycheepost.state.write_rate import WriteRateLimiter
from lycheepost.utils.tasks import start_task

_MAX_WAITING = 4096
"""Maximum writes waiting in one daemon; further ones are refused at once as not run."""


@dataclass(slots=True)
class PendingWrite:
    """One row to write, conditioned on its version."""

    key: str
    version: int
    value: bytes
    deadline_seconds: float
    outcome: asyncio.Future[Result[int, TableError]]


class BatchWriter:
    """A task that commits waiting rows in batches.

    Args:
        table: Where to commit.
        clock: Clock of the deadlines.
        limiter: Limits this daemon's rate of transactions.
        batch_seconds: How long a row waits for others.
        max_rows: Maximum rows in one transaction.
    """

    def __init__(
        self,
        table: TablePort,
        clock: Clock,
        limiter: WriteRateLimiter,
        batch_seconds: float,
        max_rows: int,
    ) -> None:
        self._table = table
        self._clock = clock
        self._limiter = limiter
        self._batch_seconds = batch_seconds
        self._max_rows = max_rows
        self._waiting: deque[PendingWrite] = deque()
        self._has_work = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._commits: set[asyncio.Task[None]] = set()
        self.n_transactions = 0
        self.n_rows = 0

    def start(self) -> None:
        """Start the task."""
        self._task = start_task(self._run(), "claim-batches")

    async def stop(self) -> None:
        """Stop the task; waiting writes fail as not written."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await asyncio.gather(*self._commits, return_exceptions=True)
        while self._waiting:
            _resolve(self._waiting.popleft(), Failure(TableThrottled("Stopping.")))

    @property
    def n_waiting(self) -> int:
        """Return how many rows are waiting."""
        return len(self._waiting)

    def predicted_wait_seconds(self) -> float:
        """Return how long a row added now would wait for its commit."""
        n_batches_ahead = len(self._waiting) // self._max_rows
        first_seconds = self._limiter.wait_seconds(self._clock.now_seconds())
        return first_seconds + n_batches_ahead / self._limiter.rate

    def has_capacity(self) -> bool:
        """Return whether another row may be queued."""
        return len(self._waiting) < _MAX_WAITING

    async def write(
        self, key: str, version: int, value: bytes, deadline_seconds: float
    ) -> Result[int, TableError]:
        """Write one row if ``key`` is at ``version``; return its new version.

        A ``TableConflict`` may be caused by an earlier attempt of this write: read the
        row and compare its token. After ``OutcomeUnknown`` the write may still take
        effect later.
        """
        future: asyncio.Future[Result[int, TableError]] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append(
            PendingWrite(key, version, value, deadline_seconds, future)
        )
        self._has_work.set()
        return await future

    async def _run(self) -> None:
        while True:
            await self._has_work.wait()
            await asyncio.sleep(self._batch_seconds)
            wait_seconds = self._limiter.wait_seconds(self._clock.now_seconds())
            if wait_seconds > 0:
                await asyncio.sleep(min(wait_seconds, 1.0))
                continue
            batch = self._take_batch()
            if batch:
                self._limiter.spend(self._clock.now_seconds())
                task = asyncio.create_task(self._commit(batch))
                self._commits.add(task)
                task.add_done_callback(self._commits.discard)

    def _take_batch(self) -> list[PendingWrite]:
        """Take the oldest rows, at most one for each key."""
        now_seconds = self._clock.now_seconds()
        batch: dict[str, PendingWrite] = {}
        remaining: deque[PendingWrite] = deque()
        while self._waiting:
            write = self._waiting.popleft()
            if now_seconds >= write.deadline_seconds:
                error = TableThrottled("The write waited past its deadline.")
                _resolve(write, Failure(error))
            elif write.key in batch or len(batch) >= self._max_rows:
                remaining.append(write)
            else:
                batch[write.key] = write
        self._waiting = remaining
        if not remaining:
            self._has_work.clear()
        return list(batch.values())

    async def _commit(self, batch: list[PendingWrite]) -> None:
        while batch:
            outcome = await self._commit_once(batch)
            match outcome:
                case Success(Committed(versions=versions)):
                    self._limiter.accepted()
                    for write, version in zip(batch, versions, strict=True):
                        _resolve(write, Success(version))
                    return
                case Failure(TableConflict(keys=keys) as error):
                    # Without the names of the keys, all rows count as conflicting.
                    conflicting = set(keys) or {write.key for write in batch}
                    for write in batch:
                        if write.key in conflicting:
                            _resolve(write, Failure(error))
                    batch = [write for write in batch if write.key not in conflicting]
                case Failure(TableThrottled()):
                    # Nothing was written: retry ahead of the others, at a lower rate.
                    self._limiter.throttled()
                    self._waiting.extendleft(reversed(batch))
                    self._has_work.set()
                    return
                case Failure(error):
                    for write in batch:
                        _resolve(write, Failure(error))
                    return

    async def _commit_once(
        self, batch: list[PendingWrite]
    ) -> Result[Committed, TableError]:
        self.n_transactions += 1
        self.n_rows += len(batch)
        transaction = Transaction(
            tuple(Condition(write.key, write.version) for write in batch),
            tuple(Write(write.key, write.value) for write in batch),
        )
        deadline_seconds = max(write.deadline_seconds for write in batch)
        return await commit_with_retry(
            self._table, transaction, self._clock, deadline_seconds
        )


def _resolve(write: PendingWrite, outcome: Result[int, TableError]) -> None:
    if not write.outcome.done():
        write.outcome.set_result(outcome)
