"""How claims end: with a stored answer, released, or unkept; until it is written.

A claim's end is written in the background for as long as the store is down. Until
then this daemon answers resends from what it holds in memory.
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

_ROW_ANSWER_BYTES = 8192
"""Larger answers go to the object store: 64 of these fill half a megabyte, which
one transaction may carry."""
_MOST_UNSTORED_BYTES = 8 * 1024 * 1024
"""Answers held while the store is down; it bounds the daemon's memory. Over it
the oldest are given up, and their resends are told "undetermined"."""
_RETRY_PAUSE_SECONDS = 1.0
_log = structlog.get_logger(part="claims")

Ending = StoredAnswer | ClaimState
"""How a claim ends: with an answer, ``RELEASED``, or ``UNKEPT``."""


@dataclass(slots=True)
class HeldClaim:
    """What this daemon itself knows of a key.

    Attributes:
        attempt: The row that this daemon writes or wrote, and the version on
            which that is conditioned.
        answer: Waits to be stored.
        is_fencing: The claim is being given up as not run.
        is_unknown: The call has ended without an answer and may have run.
    """

    attempt: Granted
    answer: StoredAnswer | None = None
    is_fencing: bool = False
    is_unknown: bool = False


class ClaimEnder:
    """Writes the ends of one daemon's claims.

    Attributes:
        held: What this daemon itself knows, by key; an entry goes when its end is
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
        """Return how many ends are not written yet."""
        return len(self._tasks)

    async def drain(self) -> None:
        """Wait until every end is written."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def stop(self) -> None:
        """Give up what is not written yet."""
        for task in set(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def settle(self, claim: Granted, ending: Ending) -> Result[None, ClaimError]:
        """Write how the claim ended; go on trying when the store is down."""
        first = asyncio.get_running_loop().create_future()
        self._spawn(self._settle_until_done(claim, ending, first))
        # A caller that leaves meanwhile must not stop the write.
        if await asyncio.shield(first):
            return Success(None)
        return Failure(ClaimError("The store is not reachable; it is tried again."))

    def fence_later(self, held: HeldClaim) -> None:
        """Make sure that a claim of unknown outcome is never taken for one that ran."""
        held.is_fencing = True
        ending = ClaimState.RELEASED
        self._spawn(self._settle_until_done(held.attempt, ending, None))

    async def _settle_until_done(
        self, claim: Granted, ending: Ending, first: asyncio.Future[bool] | None
    ) -> None:
        """Write until it is done; ``first`` tells whether the first try was."""
        while True:
            is_done = await self._settle_once(claim, ending)
            if first is not None and not first.done():
                first.set_result(is_done)
            if is_done:
                break
            if isinstance(ending, StoredAnswer) and self._is_overfull():
                _log.error("claims: gave up storing an answer", claim=claim.key)
                break
            await asyncio.sleep(_RETRY_PAUSE_SECONDS)
        self.held.pop(claim.key, None)

    async def _settle_once(self, claim: Granted, ending: Ending) -> bool:
        row = await self._make_settled_row(claim, ending)
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
                return await self._settle_moved(claim, row)
        return False

    async def _settle_moved(self, claim: Granted, row: ClaimRow) -> bool:
        """Settle at the version to which our own earlier write moved the key."""
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

    async def _make_settled_row(
        self, claim: Granted, ending: Ending
    ) -> ClaimRow | None:
        row = replace(claim.row, changed_wall_seconds=self._clock.wall_seconds())
        match ending:
            case StoredAnswer() as answer:
                pass
            case ClaimState() as state:
                return replace(row, state=state)
        if len(answer.body) > self._answer_bytes:
            return replace(row, state=ClaimState.UNKEPT)
        if len(answer.body) <= _ROW_ANSWER_BYTES:
            return replace(row, state=ClaimState.ANSWERED, answer=answer)
        name = ANSWER_PREFIX + claim.key + "/" + claim.row.token
        head = f"{answer.status}\n{answer.content_type}\n".encode()
        if isinstance(await self._objects.put(name, head + answer.body), Failure):
            return None
        return replace(row, state=ClaimState.ANSWERED, answer_object=name)

    async def _read_row(self, name: str) -> Result[Row | None, TableError]:
        return (await self._table.read((name,))).map(lambda rows: rows[0])

    def _is_overfull(self) -> bool:
        return self.unstored_bytes() > _MOST_UNSTORED_BYTES

    def unstored_bytes(self) -> int:
        """Return the size of the answers that wait for the store."""
        return sum(len(held.answer.body) for held in self.held.values() if held.answer)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
