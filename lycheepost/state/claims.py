"""Claims ensure that a non-idempotent call reaches a target at most once.

Before the first byte is sent to a target, the daemon writes a row for the customer's
idempotency key on the condition that there is none. Only the daemon that wrote the row
may run the call, even if that daemon dies: the outcome is then undetermined, and the
response says so. Only the owner may release the claim, and only if it can prove that no
target was reached.

A claim whose write has an unknown outcome is never granted. It is fenced: a
``RELEASED`` row is written on the same version condition as the claim, after which a
late write of the claim can no longer take effect.
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
from lycheepost.state.claim_completion import ClaimCompleter, HeldClaim
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
from lycheepost.state.write_rate import WriteRateLimiter

_MAX_CLAIM_ATTEMPTS = 4
_EXPECTED_DAEMONS = 7
"""Daemons of a typical deployment, assumed if the caller states no number."""
_log = structlog.get_logger(part="claims")

OwnerIsLive = Callable[[DaemonId, str], bool]


@dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Limits of one daemon's claims.

    Attributes:
        wait_seconds: Maximum duration of one claim.
        answer_bytes: Maximum size of an answer that is stored for resends.
        batch_seconds: How long a claim waits for others to share a transaction.
        batch_rows: Maximum claims in one transaction.
        max_writes_per_second: Write limit of the table, for all daemons together.
    """

    wait_seconds: float = 4.0
    answer_bytes: int = 262_144
    batch_seconds: float = 0.005
    batch_rows: int = 64
    max_writes_per_second: float = 300.0


class ClaimManager:
    """Makes and completes claims; created by ``make_claim_manager``."""

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
        max_writes = limits.max_writes_per_second
        limiter = WriteRateLimiter(lambda: max_writes / max(1, n_daemons()), max_writes)
        self._writer = BatchWriter(
            table, clock, limiter, limits.batch_seconds, limits.batch_rows
        )
        self._completer = ClaimCompleter(
            table,
            objects,
            clock,
            self._writer,
            limits.wait_seconds,
            limits.answer_bytes,
        )
        self._held = self._completer.held

    async def start(self) -> None:
        """Start the task that writes claims."""
        self._writer.start()

    async def drain(self) -> None:
        """Wait until all answers are stored and all uncertain claims are fenced."""
        await self._completer.drain()

    async def stop(self) -> None:
        """Stop; resends cannot get answers that are not stored yet."""
        await self._completer.stop()
        await self._writer.stop()

    def status(self) -> dict[str, int]:
        """Return counts for ``/admin/status``."""
        return {
            "n_held": len(self._held),
            "n_unsettled": self._completer.n_unsettled,
            "n_waiting": self._writer.n_waiting,
            "n_transactions": self._writer.n_transactions,
            "n_rows": self._writer.n_rows,
            "unstored_bytes": self._completer.unstored_bytes(),
        }

    async def claim(
        self,
        customer: CustomerId,
        key: IdempotencyKey,
        fingerprint: BodyFingerprint,
        request: RequestId,
    ) -> Result[ClaimOutcome, ClaimError]:
        """Claim one call before its first byte is sent to a target.

        Returns:
            ``Granted`` for exactly one caller per key; a ``ClaimError`` if the claim
            was not made, so that this attempt has not run the call.
        """
        name = claim_key(customer, key)
        held = self._held.get(name)
        if held is not None:
            return self._outcome_of_held(held, fingerprint)
        wait_seconds = self._writer.predicted_wait_seconds()
        if not self._writer.has_capacity() or wait_seconds > self._limits.wait_seconds:
            reason = "Too many claims are waiting for the table."
            return Failure(ClaimBusy(reason, max(1.0, wait_seconds)))
        row = self._make_row(fingerprint, request)
        held = self._held[name] = HeldClaim(Granted(name, row, ABSENT_VERSION))
        try:
            outcome = await self._claim_row(held)
        except asyncio.CancelledError:
            # The caller has disconnected and will not run the call, even if the claim
            # is written.
            self._completer.fence_later(held)
            raise
        if not _is_granted(outcome) and not held.is_fencing:
            del self._held[name]
        return outcome

    async def store_answer(
        self, claim: Granted, answer: StoredAnswer
    ) -> Result[None, ClaimError]:
        """Store the answer for resends.

        On failure the write is retried in the background. Meanwhile, resends through
        this daemon get the answer, and resends through others are answered that the
        call is in progress.
        """
        held = self._held.get(claim.key)
        if held is None:
            return Failure(ClaimError("This daemon does not hold the claim."))
        held.answer = answer
        return await self._completer.complete(claim, answer)

    async def release(self, claim: Granted) -> Result[None, ClaimError]:
        """Release a claim whose call has provably reached no target."""
        held = self._held.get(claim.key)
        if held is None or held.answer is not None:
            return Failure(ClaimError("The claim is not open."))
        held.is_fencing = True
        return await self._completer.complete(claim, ClaimState.RELEASED)

    async def abandon(self, claim: Granted) -> None:
        """End the claim of a call that may have run and has no answer.

        Resends are answered "undetermined" from then on; through other daemons, once
        the row is written.
        """
        held = self._held.get(claim.key)
        if held is not None:
            held.is_unknown = True
            await self._completer.complete(claim, ClaimState.UNKEPT)

    def _outcome_of_held(
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
        for _ in range(_MAX_CLAIM_ATTEMPTS):
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
                    decided = await self._resolve_conflict(held)
                    if decided is not None:
                        return decided
                case Failure(OutcomeUnknown(reason=reason)):
                    self._completer.fence_later(held)
                    return Failure(ClaimStoreDown(reason))
                case Failure(error):
                    return Failure(ClaimStoreDown(error.reason))
        self._completer.fence_later(held)
        return Failure(ClaimStoreDown("The claim did not settle."))

    async def _resolve_conflict(
        self, held: HeldClaim
    ) -> Result[ClaimOutcome, ClaimError] | None:
        """Decide by the row that caused the conflict; None to write again."""
        attempt = held.attempt
        match await self._read_row(attempt.key):
            case Success(current):
                pass
            case Failure(_):
                # The key has been used, by an earlier attempt or by this one.
                self._completer.fence_later(held)
                return Success(Undetermined(self._daemon))
        if current is None or current.version < attempt.version:
            # A stale read, or a row that was removed in the meantime.
            return None
        claimed = decode_claim(current)
        if claimed.token == attempt.row.token:
            return Success(replace(attempt, version=current.version))
        if claimed.state is ClaimState.RELEASED:
            held.attempt = replace(attempt, version=current.version)
            return None
        return await self._outcome_of_row(claimed, attempt.row.fingerprint)

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

    async def _outcome_of_row(
        self, row: ClaimRow, fingerprint: BodyFingerprint
    ) -> Result[ClaimOutcome, ClaimError]:
        """Return the outcome for a resend of a call that another attempt claimed."""
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
            # The claim is from an earlier start: this one does not hold it.
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
        # Not an error: an error would mean that the call has not run.
        return Success(Undetermined(row.owner))

    async def _read_row(self, name: str) -> Result[Row | None, TableError]:
        return (await self._table.read((name,))).map(lambda rows: rows[0])


def make_claim_manager(
    table: TablePort,
    objects: ObjectPort,
    clock: Clock,
    daemon: DaemonId,
    limits: ClaimLimits | None = None,
    owner_is_live: OwnerIsLive | None = None,
    boot: str = "",
    n_daemons: Callable[[], int] | None = None,
) -> ClaimManager:
    """Return the manager of one daemon's claims.

    Args:
        table: Stores the claim rows.
        objects: Stores answers that are too large for a row.
        clock: Clock of deadlines and of the rows' ages.
        daemon: This daemon.
        limits: Limits of the claims.
        owner_is_live: Returns whether a daemon with this boot id still runs; if None,
            no other daemon counts as live.
        boot: Unique for each start of the daemon; generated if empty.
        n_daemons: Returns how many daemons share the table's writes; if None,
            ``_EXPECTED_DAEMONS``.
    """
    return ClaimManager(
        table,
        objects,
        clock,
        daemon,
        boot or secrets.token_hex(6),
        limits or ClaimLimits(),
        owner_is_live or (lambda owner, owner_boot: False),
        n_daemons or (lambda: _EXPECTED_DAEMONS),
    )


def _is_granted(outcome: Result[ClaimOutcome, ClaimError]) -> bool:
    return isinstance(outcome, Success) and isinstance(outcome.unwrap(), Granted)
