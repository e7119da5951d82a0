"""Completion of claims: with a stored answer, as released, or without an answer.

A claim that ended without a stored answer is ``UNKEPT``.

While the store is down, the final row is written in the background. Until it is
written, this daemon answers resends from memory.
"""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, replace
from typing import Any

import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock
from lycheepost.ports.objects import ObjectPort
from lycheepost.ports.table import Row, TableConflict, TableError, TablePort
from lycheepost.state.claim_batch import BatchWriter
from lycheepost.state.claim_rows import (
    ANSWER_PREFIX,
    ClaimError,
    ClaimRow,
    ClaimState,
    Granted,
    StoredAnswer,
    decode_claim,
    encode_claim,
)

_MAX_ROW_ANSWER_BYTES = 8192
"""Larger answers go to the object store. A batch of 64 answers of this size is half a
megabyte, which fits in one transaction."""
_MAX_UNSTORED_BYTES = 8 * 1024 * 1024
"""Limit on the memory for answers held while the store is down. While it is exceeded,
an answer whose write fails is dropped. Once the store is up again, resends of the call
through this daemon are answered "undetermined"."""
_RETRY_PAUSE_SECONDS = 1.0
_log = structlog.get_logger(part="claims")

Completion = StoredAnswer | ClaimState
"""How a claim completes: with an answer, ``RELEASED``, or ``UNKEPT``."""


@dataclass(slots=True)
class HeldClaim:
    """A claim in this daemon's memory.

    Attributes:
        attempt: The row that this daemon writes or wrote, and the version on which the
            write is conditioned. Until ``claim`` has returned it, it grants nothing.
        answer: The answer that is not stored yet.
        is_fencing: Whether the claim is being released as not run.
        is_unknown: Whether the call has ended without an answer and may have run.
    """

    attempt: Granted
    answer: StoredAnswer | None = None
    is_fencing: bool = False
    is_unknown: bool = False


class ClaimCompleter:
    """Writes the final rows of one daemon's claims.

    Attributes:
        held: The claims in memory, by key; an entry is removed when its final row is
            written.
    """

    def __init__(
        self,
        table: TablePort,
        objects: ObjectPort,
        clock: Clock,
        writer: BatchWriter,
        wait_seconds: float,
        answer_bytes: int,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._writer = writer
        self._wait_seconds = wait_seconds
        self._answer_bytes = answer_bytes
        self._tasks: set[asyncio.Task[None]] = set()
        self.held: dict[str, HeldClaim] = {}

    @property
    def n_unsettled(self) -> int:
        """Return how many final rows are not written yet."""
        return len(self._tasks)

    async def drain(self) -> None:
        """Wait until all final rows are written."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def stop(self) -> None:
        """Cancel the writes that are not done yet."""
        for task in set(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def complete(
        self, claim: Granted, completion: Completion
    ) -> Result[None, ClaimError]:
        """Write the final row of a claim; retry in the background on failure."""
        first = asyncio.get_running_loop().create_future()
        self._spawn(self._complete_with_retry(claim, completion, first))
        # A caller that disconnects in the meantime must not cancel the write.
        if await asyncio.shield(first):
            return Success(None)
        return Failure(ClaimError("The store is not reachable; it is tried again."))

    def fence_later(self, held: HeldClaim) -> None:
        """Release a claim of unknown outcome, so that it never counts as having run."""
        held.is_fencing = True
        completion = ClaimState.RELEASED
        self._spawn(self._complete_with_retry(held.attempt, completion, None))

    async def _complete_with_retry(
        self, claim: Granted, completion: Completion, first: asyncio.Future[bool] | None
    ) -> None:
        """Retry until written; ``first`` gets the result of the first attempt."""
        while True:
            is_done = await self._try_complete(claim, completion)
            if first is not None and not first.done():
                first.set_result(is_done)
            if is_done:
                break
            if isinstance(completion, StoredAnswer) and self._exceeds_memory_limit():
                _log.error("claims: answer dropped, not stored", claim=claim.key)
                break
            await asyncio.sleep(_RETRY_PAUSE_SECONDS)
        self.held.pop(claim.key, None)

    async def _try_complete(self, claim: Granted, completion: Completion) -> bool:
        row = await self._make_final_row(claim, completion)
        if row is None:
            return False
        deadline_seconds = self._clock.now_seconds() + self._wait_seconds
        outcome = await self._writer.write(
            claim.key, claim.version, encode_claim(row), deadline_seconds
        )
        match outcome:
            case Success():
                return True
            case Failure(TableConflict()):
                return await self._complete_at_new_version(claim, row)
        return False

    async def _complete_at_new_version(self, claim: Granted, row: ClaimRow) -> bool:
        """Write again after a conflict, on the row's current version.

        This is done only if an earlier write of this claim has changed the version.
        """
        found = await self._read_row(claim.key)
        if isinstance(found, Failure):
            return False
        current = found.unwrap()
        if current is None or current.version <= claim.version:
            return False
        held = decode_claim(current)
        if held.token != claim.row.token:
            return True
        if held.state is not ClaimState.CLAIMED:
            return True
        outcome = await self._writer.write(
            claim.key,
            current.version,
            encode_claim(row),
            self._clock.now_seconds() + self._wait_seconds,
        )
        return isinstance(outcome, Success)

    async def _make_final_row(
        self, claim: Granted, completion: Completion
    ) -> ClaimRow | None:
        row = replace(claim.row, changed_wall_seconds=self._clock.wall_seconds())
        match completion:
            case StoredAnswer() as answer:
                pass
            case ClaimState() as state:
                return replace(row, state=state)
        if len(answer.body) > self._answer_bytes:
            return replace(row, state=ClaimState.UNKEPT)
        if len(answer.body) <= _MAX_ROW_ANSWER_BYTES:
            return replace(row, state=ClaimState.ANSWERED, answer=answer)
        name = ANSWER_PREFIX + claim.key + "/" + claim.row.token
        header = f"{answer.status}\n{answer.content_type}\n".encode()
        if isinstance(await self._objects.put(name, header + answer.body), Failure):
            return None
        return replace(row, state=ClaimState.ANSWERED, answer_object=name)

    async def _read_row(self, name: str) -> Result[Row | None, TableError]:
        return (await self._table.read((name,))).map(lambda rows: rows[0])

    def _exceeds_memory_limit(self) -> bool:
        return self.unstored_bytes() > _MAX_UNSTORED_BYTES

    def unstored_bytes(self) -> int:
        """Return the total size of the answers that are not stored yet."""
        return sum(len(held.answer.body) for held in self.held.values() if held.answer)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
