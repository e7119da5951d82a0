"""Claims: a non-idempotent call reaches a target at most once.

Before the first byte goes to a target, the daemon writes a row for the
customer's idempotency key on the condition that there is none. Whoever wrote
the row may run the call; nobody else ever does, also when the owner dies: then
the outcome is undetermined and the caller is told so. Only the owner may give
the claim up again, and only when it can prove that no target was reached.

A claim whose write has no known outcome is never granted. It is fenced: a
``RELEASED`` row is written at the version on which the claim was conditioned,
after which a late claim cannot take effect any more.
"""

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any

import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import (
    BodyFingerprint,
    CustomerId,
    DaemonId,
    IdempotencyKey,
    RequestId,
)
from lycheepost.platform.objects import ObjectPort
from lycheepost.platform.table import (
    ABSENT_VERSION,
    OutcomeUnknown,
    Row,
    TableConflict,
    TableError,
    TablePort,
)
from lycheepost.state.claim_batch import BatchWriter
from lycheepost.state.claim_rows import (
    ANSWER_PREFIX,
    Answered,
    BodyDiffers,
    ClaimBusy,
    ClaimError,
    ClaimOutcome,
    ClaimRow,
    ClaimState,
    ClaimStoreDown,
    Granted,
    InProgress,
    StoredAnswer,
    Undetermined,
    claim_key,
    decode_claim,
    encode_claim,
)
from lycheepost.state.pacing import WritePace

_ROW_ANSWER_BYTES = 8192
"""Larger answers go to the object store: 64 of these fill half a megabyte, which
one transaction may carry."""
_MOST_UNSTORED_BYTES = 8 * 1024 * 1024
"""Answers held while the store is down; it bounds the daemon's memory. Over it
the oldest are given up, and their resends are told "undetermined"."""
_CLAIM_TRIES = 4
_RETRY_PAUSE_SECONDS = 1.0
_log = structlog.get_logger(part="claims")

OwnerIsLive = Callable[[DaemonId, str], bool]
_Ending = StoredAnswer | ClaimState
"""How a claim ends: with an answer, ``RELEASED``, or ``UNKEPT``."""


@dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Bounds of one daemon's claims.

    Attributes:
        wait_seconds: Longest time one claim may take.
        answer_bytes: Largest answer that is kept for resends.
        batch_seconds: How long a claim waits for others to share a transaction.
        batch_rows: Most claims in one transaction.
        even_writes_per_second: This daemon's even share of the table's writes.
        most_writes_per_second: All of the table's writes.
    """

    wait_seconds: float = 4.0
    answer_bytes: int = 262_144
    batch_seconds: float = 0.005
    batch_rows: int = 64
    even_writes_per_second: float = 40.0
    most_writes_per_second: float = 300.0


@dataclass(slots=True)
class _Held:
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


class ClaimKeeper:
    """Makes and settles claims for one daemon; made by ``make_claim_keeper``."""

    def __init__(
        self,
        table: TablePort,
        objects: ObjectPort,
        clock: Clock,
        daemon: DaemonId,
        boot: str,
        limits: ClaimLimits,
        owner_is_live: OwnerIsLive,
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._daemon = daemon
        self._boot = boot
        self._limits = limits
        self._owner_is_live = owner_is_live
        pace = WritePace(limits.even_writes_per_second, limits.most_writes_per_second)
        self._writer = BatchWriter(
            table, clock, pace, limits.batch_seconds, limits.batch_rows
        )
        self._held: dict[str, _Held] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start the writing task."""
        self._writer.start()

    async def drain(self) -> None:
        """Wait until every answer is stored and every doubtful claim fenced."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def stop(self) -> None:
        """Stop; answers that are not stored yet are lost to resends."""
        for task in set(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._writer.stop()

    def status(self) -> dict[str, int]:
        """Return counts for ``/admin/status``."""
        return {
            "n_held": len(self._held),
            "n_unsettled": len(self._tasks),
            "n_waiting": self._writer.n_waiting,
            "n_transactions": self._writer.n_transactions,
            "n_rows": self._writer.n_rows,
            "unstored_bytes": self._unstored_bytes(),
        }

    async def claim(
        self,
        customer: CustomerId,
        key: IdempotencyKey,
        fingerprint: BodyFingerprint,
        request: RequestId,
    ) -> Result[ClaimOutcome, ClaimError]:
        """Claim one call before its first byte goes to a target.

        Returns:
            ``Granted`` to exactly one caller for each key; a ``ClaimError`` when
            this try was not made, so that the call has not been run by it.
        """
        name = claim_key(customer, key)
        held = self._held.get(name)
        if held is not None:
            return self._judge_held(held, fingerprint)
        wait_seconds = self._writer.predicted_wait_seconds()
        if not self._writer.has_room() or wait_seconds > self._limits.wait_seconds:
            reason = "Too many claims are waiting for the table."
            return Failure(ClaimBusy(reason, max(1.0, wait_seconds)))
        row = self._make_row(fingerprint, request)
        held = self._held[name] = _Held(Granted(name, row, ABSENT_VERSION))
        try:
            outcome = await self._claim_row(held)
        except asyncio.CancelledError:
            # The caller has left: nobody will run what may yet be claimed.
            self._fence_later(held)
            raise
        if not _keeps_hold(outcome) and not held.is_fencing:
            del self._held[name]
        return outcome

    async def store_answer(
        self, claim: Granted, answer: StoredAnswer
    ) -> Result[None, ClaimError]:
        """Keep the answer for resends.

        On failure the keeper goes on trying by itself; resends through this
        daemon already get the answer, resends through others are told that the
        call is in progress.
        """
        held = self._held.get(claim.key)
        if held is None:
            return Failure(ClaimError("This daemon does not hold the claim."))
        held.answer = answer
        return await self._settle(claim, answer)

    async def release(self, claim: Granted) -> Result[None, ClaimError]:
        """Give up a claim whose call is proven to have reached no target."""
        held = self._held.get(claim.key)
        if held is None or held.answer is not None:
            return Failure(ClaimError("The claim is not open."))
        held.is_fencing = True
        return await self._settle(claim, ClaimState.RELEASED)

    async def abandon(self, claim: Granted) -> None:
        """Give up a call that may have run and has no answer.

        Resends are told "undetermined" from now on, through every daemon once
        the store has taken it.
        """
        held = self._held.get(claim.key)
        if held is not None:
            held.is_unknown = True
            await self._settle(claim, ClaimState.UNKEPT)

    def _judge_held(
        self, held: _Held, fingerprint: BodyFingerprint
    ) -> Result[ClaimOutcome, ClaimError]:
        if held.is_fencing:
            return Failure(ClaimStoreDown("An earlier try is being given up."))
        if held.attempt.row.fingerprint != fingerprint:
            return Success(BodyDiffers())
        if held.answer is not None:
            return Success(Answered(held.answer))
        if held.is_unknown:
            return Success(Undetermined(self._daemon))
        return Success(InProgress(self._daemon))

    async def _claim_row(self, held: _Held) -> Result[ClaimOutcome, ClaimError]:
        deadline_seconds = self._clock.now_seconds() + self._limits.wait_seconds
        for _ in range(_CLAIM_TRIES):
            attempt = held.attempt
            outcome = await self._writer.write(
                attempt.key,
                attempt.version,
                encode_claim(attempt.row),
                deadline_seconds,
            )
            match outcome:
                case Success(new_version):
                    return Success(replace(attempt, version=new_version))
                case Failure(TableConflict()):
                    decided = await self._claim_moved(held)
                    if decided is not None:
                        return decided
                case Failure(OutcomeUnknown(reason=reason)):
                    self._fence_later(held)
                    return Failure(ClaimStoreDown(reason))
                case Failure(error):
                    return Failure(ClaimStoreDown(error.reason))
        self._fence_later(held)
        return Failure(ClaimStoreDown("The claim did not settle."))

    async def _claim_moved(
        self, held: _Held
    ) -> Result[ClaimOutcome, ClaimError] | None:
        """Decide by the row that broke our condition; None to write again."""
        attempt = held.attempt
        match await self._read_row(attempt.key):
            case Success(current):
                pass
            case Failure(_):
                # The key has been used, by an earlier try or by this one.
                self._fence_later(held)
                return Success(Undetermined(self._daemon))
        if current is None or current.version < attempt.version:
            # A stale read, or a row that has expired meanwhile.
            return None
        claimed = decode_claim(current)
        if claimed.token == attempt.row.token:
            return Success(replace(attempt, version=current.version))
        if claimed.state is ClaimState.RELEASED:
            held.attempt = replace(attempt, version=current.version)
            return None
        return await self._judge_row(claimed, attempt.row.fingerprint)

    def _make_row(self, fingerprint: BodyFingerprint, request: RequestId) -> ClaimRow:
        return ClaimRow(
            state=ClaimState.CLAIMED,
            token=secrets.token_hex(12),
            owner=self._daemon,
            owner_boot=self._boot,
            fingerprint=fingerprint,
            request=request,
            changed_wall_seconds=self._clock.wall_seconds(),
        )

    async def _judge_row(
        self, row: ClaimRow, fingerprint: BodyFingerprint
    ) -> Result[ClaimOutcome, ClaimError]:
        """Tell a resend what became of the call that another try claimed."""
        if row.fingerprint != fingerprint:
            return Success(BodyDiffers())
        match row.state:
            case ClaimState.ANSWERED:
                return await self._load_answer(row)
            case ClaimState.CLAIMED if self._is_running(row):
                return Success(InProgress(row.owner))
        return Success(Undetermined(row.owner))

    def _is_running(self, row: ClaimRow) -> bool:
        if row.owner == self._daemon:
            # This daemon has no memory of it, or it would have judged by that.
            return False
        return self._owner_is_live(row.owner, row.owner_boot)

    async def _load_answer(self, row: ClaimRow) -> Result[ClaimOutcome, ClaimError]:
        if row.answer is not None:
            return Success(Answered(row.answer))
        match await self._objects.get(row.answer_object):
            case Success(body):
                status, _, rest = body.partition(b"\n")
                content_type, _, data = rest.partition(b"\n")
                answer = StoredAnswer(int(status), content_type.decode(), data)
                return Success(Answered(answer))
        # Not an error: an error would say that the call has not run.
        return Success(Undetermined(row.owner))

    async def _settle(
        self, claim: Granted, ending: _Ending
    ) -> Result[None, ClaimError]:
        """Write how the claim ended; go on trying when the store is down."""
        first = asyncio.get_running_loop().create_future()
        self._spawn(self._settle_until_done(claim, ending, first))
        # A caller that leaves meanwhile must not stop the write.
        if await asyncio.shield(first):
            return Success(None)
        return Failure(ClaimError("The store is not reachable; it is tried again."))

    def _fence_later(self, held: _Held) -> None:
        held.is_fencing = True
        ending = ClaimState.RELEASED
        self._spawn(self._settle_until_done(held.attempt, ending, None))

    async def _settle_until_done(
        self, claim: Granted, ending: _Ending, first: asyncio.Future[bool] | None
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
        self._held.pop(claim.key, None)

    async def _settle_once(self, claim: Granted, ending: _Ending) -> bool:
        row = await self._make_settled_row(claim, ending)
        if row is None:
            return False
        deadline_seconds = self._clock.now_seconds() + self._limits.wait_seconds
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
            self._clock.now_seconds() + self._limits.wait_seconds,
        )
        return isinstance(outcome, Success)

    async def _make_settled_row(
        self, claim: Granted, ending: _Ending
    ) -> ClaimRow | None:
        row = replace(claim.row, changed_wall_seconds=self._clock.wall_seconds())
        match ending:
            case StoredAnswer() as answer:
                pass
            case ClaimState() as state:
                return replace(row, state=state)
        if len(answer.body) > self._limits.answer_bytes:
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
        return self._unstored_bytes() > _MOST_UNSTORED_BYTES

    def _unstored_bytes(self) -> int:
        return sum(len(held.answer.body) for held in self._held.values() if held.answer)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def make_claim_keeper(
    table: TablePort,
    objects: ObjectPort,
    clock: Clock,
    daemon: DaemonId,
    limits: ClaimLimits | None = None,
    owner_is_live: OwnerIsLive | None = None,
    boot: str = "",
) -> ClaimKeeper:
    """Return the claims of one daemon.

    Args:
        table: Where the rows are.
        objects: Where answers too large for a row are.
        clock: Clock of deadlines and of the rows' ages.
        daemon: This daemon.
        limits: Bounds; the defaults suit seven daemons.
        owner_is_live: Whether a daemon with this boot id still runs; when None,
            no other daemon counts as live.
        boot: Unique for each start of the daemon; made up when empty.
    """
    return ClaimKeeper(
        table,
        objects,
        clock,
        daemon,
        boot or secrets.token_hex(6),
        limits or ClaimLimits(),
        owner_is_live or (lambda owner, owner_boot: False),
    )


def _keeps_hold(outcome: Result[ClaimOutcome, ClaimError]) -> bool:
    return isinstance(outcome, Success) and isinstance(outcome.unwrap(), Granted)
