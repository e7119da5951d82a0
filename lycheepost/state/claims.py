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
from lycheepost.ports.objects import ObjectPort
from lycheepost.ports.table import (
    ABSENT_VERSION,
    OutcomeUnknown,
    Row,
    TableConflict,
    TableError,
    TablePort,
)
from lycheepost.state.claim_batch import BatchWriter
from lycheepost.state.claim_endings import ClaimEnder, HeldClaim
from lycheepost.state.claim_rows import (
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

_CLAIM_TRIES = 4
_EXPECTED_DAEMONS = 7
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
        most_writes_per_second: The table's writes, for all daemons together.
    """

    wait_seconds: float = 4.0
    answer_bytes: int = 262_144
    batch_seconds: float = 0.005
    batch_rows: int = 64
    most_writes_per_second: float = 300.0


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
        n_daemons: Callable[[], int],
    ) -> None:
        self._table = table
        self._objects = objects
        self._clock = clock
        self._daemon = daemon
        self._boot = boot
        self._limits = limits
        self._owner_is_live = owner_is_live
        most = limits.most_writes_per_second
        pace = WritePace(lambda: most / max(1, n_daemons()), most)
        self._writer = BatchWriter(
            table, clock, pace, limits.batch_seconds, limits.batch_rows
        )
        self._ender = ClaimEnder(
            table,
            objects,
            clock,
            self._writer,
            limits.wait_seconds,
            limits.answer_bytes,
        )
        self._held = self._ender.held

    async def start(self) -> None:
        """Start the writing task."""
        self._writer.start()

    async def drain(self) -> None:
        """Wait until every answer is stored and every doubtful claim fenced."""
        await self._ender.drain()

    async def stop(self) -> None:
        """Stop; answers that are not stored yet are lost to resends."""
        await self._ender.stop()
        await self._writer.stop()

    def status(self) -> dict[str, int]:
        """Return counts for ``/admin/status``."""
        return {
            "n_held": len(self._held),
            "n_unsettled": self._ender.n_unsettled,
            "n_waiting": self._writer.n_waiting,
            "n_transactions": self._writer.n_transactions,
            "n_rows": self._writer.n_rows,
            "unstored_bytes": self._ender.unstored_bytes(),
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
        held = self._held[name] = HeldClaim(Granted(name, row, ABSENT_VERSION))
        try:
            outcome = await self._claim_row(held)
        except asyncio.CancelledError:
            # The caller has left: nobody will run what may yet be claimed.
            self._ender.fence_later(held)
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
        return await self._ender.settle(claim, answer)

    async def release(self, claim: Granted) -> Result[None, ClaimError]:
        """Give up a claim whose call is proven to have reached no target."""
        held = self._held.get(claim.key)
        if held is None or held.answer is not None:
            return Failure(ClaimError("The claim is not open."))
        held.is_fencing = True
        return await self._ender.settle(claim, ClaimState.RELEASED)

    async def abandon(self, claim: Granted) -> None:
        """Give up a call that may have run and has no answer.

        Resends are told "undetermined" from now on, through every daemon once
        the store has taken it.
        """
        held = self._held.get(claim.key)
        if held is not None:
            held.is_unknown = True
            await self._ender.settle(claim, ClaimState.UNKEPT)

    def _judge_held(
        self, held: HeldClaim, fingerprint: BodyFingerprint
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

    async def _claim_row(self, held: HeldClaim) -> Result[ClaimOutcome, ClaimError]:
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
                    self._ender.fence_later(held)
                    return Failure(ClaimStoreDown(reason))
                case Failure(error):
                    return Failure(ClaimStoreDown(error.reason))
        self._ender.fence_later(held)
        return Failure(ClaimStoreDown("The claim did not settle."))

    async def _claim_moved(
        self, held: HeldClaim
    ) -> Result[ClaimOutcome, ClaimError] | None:
        """Decide by the row that broke our condition; None to write again."""
        attempt = held.attempt
        match await self._read_row(attempt.key):
            case Success(current):
                pass
            case Failure(_):
                # The key has been used, by an earlier try or by this one.
                self._ender.fence_later(held)
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

    async def _read_row(self, name: str) -> Result[Row | None, TableError]:
        return (await self._table.read((name,))).map(lambda rows: rows[0])


def make_claim_keeper(
    table: TablePort,
    objects: ObjectPort,
    clock: Clock,
    daemon: DaemonId,
    limits: ClaimLimits | None = None,
    owner_is_live: OwnerIsLive | None = None,
    boot: str = "",
    n_daemons: Callable[[], int] | None = None,
) -> ClaimKeeper:
    """Return the claims of one daemon.

    Args:
        table: Where the rows are.
        objects: Where answers too large for a row are.
        clock: Clock of deadlines and of the rows' ages.
        daemon: This daemon.
        limits: Bounds.
        owner_is_live: Whether a daemon with this boot id still runs; when None,
            no other daemon counts as live.
        boot: Unique for each start of the daemon; made up when empty.
        n_daemons: How many daemons share the table's writes; when None, as many
            as today's deployments have.
    """
    return ClaimKeeper(
        table,
        objects,
        clock,
        daemon,
        boot or secrets.token_hex(6),
        limits or ClaimLimits(),
        owner_is_live or (lambda owner, owner_boot: False),
        n_daemons or (lambda: _EXPECTED_DAEMONS),
    )


def _keeps_hold(outcome: Result[ClaimOutcome, ClaimError]) -> bool:
    return isinstance(outcome, Success) and isinstance(outcome.unwrap(), Granted)
