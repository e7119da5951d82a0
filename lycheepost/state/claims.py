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
from collections.abc import Callable
from dataclasses import dataclass, replace

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
    """What this daemon itself knows of a key; ``answer`` waits to be stored."""

    fingerprint: BodyFingerprint
    answer: StoredAnswer | None = None
    is_fencing: bool = False


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
        self._held[name] = _Held(fingerprint)
        outcome = await self._claim_row(name, fingerprint, request)
        if not _keeps_hold(outcome) and not self._held[name].is_fencing:
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
        return await self._settle(claim, None)

    async def abandon(self, claim: Granted) -> None:
        """Forget a claim whose call may have run and has no answer.

        The row stays as it is: resends are told "undetermined" from now on.
        """
        self._held.pop(claim.key, None)

    def _judge_held(
        self, held: _Held, fingerprint: BodyFingerprint
    ) -> Result[ClaimOutcome, ClaimError]:
        if held.is_fencing:
            return Failure(ClaimStoreDown("An earlier try is being given up."))
        if held.fingerprint != fingerprint:
            return Success(BodyDiffers())
        if held.answer is not None:
            return Success(Answered(held.answer))
        return Success(InProgress(self._daemon))

    async def _claim_row(
        self, name: str, fingerprint: BodyFingerprint, request: RequestId
    ) -> Result[ClaimOutcome, ClaimError]:
        row = self._make_row(fingerprint, request)
        deadline_seconds = self._clock.now_seconds() + self._limits.wait_seconds
        version = ABSENT_VERSION
        for _ in range(_CLAIM_TRIES):
            outcome = await self._writer.write(
                name, version, encode_claim(row), deadline_seconds
            )
            match outcome:
                case Success(new_version):
                    return Success(Granted(name, row, new_version))
                case Failure(TableConflict()):
                    pass
                case Failure(OutcomeUnknown(reason=reason)):
                    self._fence_later(Granted(name, row, version))
                    return Failure(ClaimStoreDown(reason))
                case Failure(error):
                    return Failure(ClaimStoreDown(error.reason))
            found = await self._read_row(name)
            if isinstance(found, Failure):
                # The key has been used, by an earlier try or by this one.
                self._fence_later(Granted(name, row, version))
                return Success(Undetermined(self._daemon))
            current = found.unwrap()
            if current is None or current.version < version:
                continue
            claimed = decode_claim(current)
            if claimed.token == row.token:
                return Success(Granted(name, claimed, current.version))
            if claimed.state is not ClaimState.RELEASED:
                return await self._judge_row(claimed, fingerprint)
            version = current.version
        self._fence_later(Granted(name, row, version))
        return Failure(ClaimStoreDown("The claim did not settle."))

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
        self, claim: Granted, answer: StoredAnswer | None
    ) -> Result[None, ClaimError]:
        """Store an answer, or fence the claim when there is none."""
        if await self._settle_once(claim, answer):
            self._held.pop(claim.key, None)
            return Success(None)
        self._spawn(self._settle_later(claim, answer))
        return Failure(ClaimError("The store is not reachable; it is tried again."))

    def _fence_later(self, claim: Granted) -> None:
        self._held[claim.key].is_fencing = True
        self._spawn(self._settle_later(claim, None))

    async def _settle_later(self, claim: Granted, answer: StoredAnswer | None) -> None:
        while not await self._settle_once(claim, answer):
            if answer is not None and self._unstored_bytes() > _MOST_UNSTORED_BYTES:
                _log.error("claims: gave up storing an answer", key=claim.key)
                break
            await asyncio.sleep(_RETRY_PAUSE_SECONDS)
        self._held.pop(claim.key, None)

    async def _settle_once(self, claim: Granted, answer: StoredAnswer | None) -> bool:
        row = await self._make_settled_row(claim, answer)
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
        self, claim: Granted, answer: StoredAnswer | None
    ) -> ClaimRow | None:
        row = replace(claim.row, changed_wall_seconds=self._clock.wall_seconds())
        if answer is None:
            return replace(row, state=ClaimState.RELEASED)
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

    def _unstored_bytes(self) -> int:
        return sum(len(held.answer.body) for held in self._held.values() if held.answer)

    def _spawn(self, work) -> None:  # type: ignore[no-untyped-def]
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
