"""Run a request with an idempotency key at most once.

The key is claimed before admission, so that a resend gets the stored response even
while the queue is full. A refusal after the claim can say "not run", because no other
daemon may run the key while this one holds the claim.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import structlog
from returns.result import Failure, Success

from lycheepost.callers.deps import CallerDeps
from lycheepost.callers.errors import (
    CallerError,
    ErrorType,
    Executed,
    store_unavailable,
)
from lycheepost.core.ids import (
    BodyFingerprint,
    CustomerId,
    IdempotencyKey,
    RequestId,
)
from lycheepost.state.claim_rows import (
    Answered,
    BodyDiffers,
    ClaimOutcome,
    Granted,
    InProgress,
    StoredAnswer,
    Undetermined,
)

IN_PROGRESS_RETRY_SECONDS = 1.0
_log = structlog.get_logger(part="callers")

Run = Callable[[], Awaitable[StoredAnswer]]
Answer = asyncio.Future[StoredAnswer]


@dataclass(frozen=True)
class KeyedRequest:
    """Identifies a request and its resends."""

    customer: CustomerId
    key: IdempotencyKey
    fingerprint: BodyFingerprint
    request: RequestId


class KeyedRunner:
    """Owns the runs of requests that must run at most once.

    Each run is a separate task, so that it continues when its caller leaves: the caller
    of a print order will ask for its response again.
    """

    def __init__(self, deps: CallerDeps) -> None:
        self._deps = deps
        self._runs: set[asyncio.Task[None]] = set()

    @property
    def n_running(self) -> int:
        """Return the number of runs that have not ended."""
        return len(self._runs)

    async def drain(self) -> None:
        """Wait until every run has ended and its response is stored."""
        while self._runs:
            await asyncio.wait(set(self._runs))

    async def stop(self) -> None:
        """Cancel the remaining runs; their outcome stays unknown."""
        runs = set(self._runs)
        for run in runs:
            run.cancel()
        await asyncio.gather(*runs, return_exceptions=True)

    async def run_once(self, request: KeyedRequest, run: Run) -> StoredAnswer:
        """Return the response of the key's only run, of this or an earlier request.

        Args:
            request: The identity of the claim.
            run: Sends the request; called at most once in the fleet for this key. It
                raises ``CallerError`` when there is no response.

        Raises:
            CallerError: There is no response; it says whether the request may have run.
        """
        claimed = await self._deps.claims.claim(
            request.customer, request.key, request.fingerprint, request.request
        )
        match claimed:
            case Success(outcome):
                claim = _claim_or_answer(outcome)
            case Failure(error):
                self._deps.metrics.count("claims.unavailable")
                raise store_unavailable(
                    f"The request was not run, since its key could not be "
                    f"claimed: {error.reason} Send it again with the same key."
                )
        if isinstance(claim, StoredAnswer):
            return claim
        answer: Answer = asyncio.get_running_loop().create_future()
        return await self._run_owned(self._run_claimed(claim, run, answer), answer)

    async def run_to_completion(self, run: Run) -> StoredAnswer:
        """Run a request without a key to its end, even when its caller leaves.

        Raises:
            CallerError: There is no response.
        """
        answer: Answer = asyncio.get_running_loop().create_future()
        return await self._run_owned(_run_unclaimed(run, answer), answer)

    async def _run_owned(
        self, work: Coroutine[Any, Any, None], answer: Answer
    ) -> StoredAnswer:
        """Start a run that ``drain`` waits for, and wait for its response."""
        task = asyncio.create_task(work)
        self._runs.add(task)
        task.add_done_callback(self._runs.discard)
        return await asyncio.shield(answer)

    async def _run_claimed(self, claim: Granted, run: Run, answer: Answer) -> None:
        try:
            stored = await run()
        except CallerError as error:
            # The error is returned without waiting for the store.
            _set_error(answer, error)
            await self._end_claim(claim, error.executed)
        except BaseException as error:
            # The run may have reached a target, so the key must not run again.
            _set_error(answer, error)
            await self._deps.claims.abandon(claim)
            raise
        else:
            # The response is returned without waiting for the store: if this daemon
            # crashes before it is stored, a resend gets "unknown" and is never run.
            answer.set_result(stored)
            await self._deps.claims.store_answer(claim, stored)

    async def _end_claim(self, claim: Granted, executed: Executed) -> None:
        match executed:
            case Executed.NO:
                await self._deps.claims.release(claim)
            case Executed.UNKNOWN | Executed.YES:
                await self._deps.claims.abandon(claim)


async def _run_unclaimed(run: Run, answer: Answer) -> None:
    try:
        answer.set_result(await run())
    except BaseException as error:
        _set_error(answer, error)
        if not isinstance(error, CallerError):
            raise


def _set_error(answer: Answer, error: BaseException) -> None:
    answer.set_exception(error)
    # Marks the exception as retrieved. If the caller has left, it is only logged here.
    answer.exception()
    _log.info("callers: keyed run ended without an answer", reason=type(error).__name__)


def _claim_or_answer(outcome: ClaimOutcome) -> Granted | StoredAnswer:
    match outcome:
        case Granted():
            return outcome
        case Answered(answer):
            return answer
        case BodyDiffers():
            raise CallerError(
                "The idempotency key was used with another request.",
                status=422,
                code="idempotency_key_reused",
                param="Idempotency-Key",
                executed=Executed.NO,
            )
        case InProgress():
            raise CallerError(
                "The first send of this key is still running.",
                status=409,
                code="in_progress",
                executed=Executed.UNKNOWN,
                retry_after_seconds=IN_PROGRESS_RETRY_SECONDS,
            )
        case Undetermined():
            raise CallerError(
                "The first send of this key may have run; its answer is not "
                "known. It is never run again.",
                status=502,
                type=ErrorType.SERVER,
                code="outcome_unknown",
                executed=Executed.UNKNOWN,
                is_safe_to_resend=False,
            )
    raise AssertionError("a claim outcome of no known kind")
