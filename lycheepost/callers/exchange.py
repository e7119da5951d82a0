"""Run one admitted completion on targets until its answer is whole.

admit -> place -> send -> relay, and again elsewhere where that is allowed. The
rules of a second try:

- a target that took no connection: always, the request has not run;
- a target that refused, was lost or broke off: only an idempotent request;
- part of the answer is with the caller: only if the rest can be continued on
  another engine from the text delivered so far.
"""

import asyncio
import random
from dataclasses import dataclass, replace

import msgspec
import structlog
from returns.result import Failure, Success

from lycheepost.callers.deps import CallerDeps
from lycheepost.callers.errors import CallerError, ErrorType, Executed, from_refusal
from lycheepost.callers.quotacharge import QuotaCharge
from lycheepost.callers.sinks import RelayCallerGone, RelayComplete, RelayLost, Sink
from lycheepost.core.ids import Incarnation, TargetId, WeightsVersion
from lycheepost.decide.records import Dispatch, FinishKind, Refuse, Work
from lycheepost.decide.retry import retry_pause_seconds
from lycheepost.state.customerquotas import quota_of
from lycheepost.targets.calls import Delivered, EngineCall
from lycheepost.targets.continuation import continuation_body
from lycheepost.targets.errors import (
    StreamLost,
    TargetError,
    TargetRefused,
    TargetUnreachable,
)
from lycheepost.targets.sse import Usage
from lycheepost.targets.stream import EngineStream

LOST_RETRY_SECONDS = 1.0
"""A lost target is seen by all daemons within about a second."""
_BUSY_STATUSES = (409, 429, 503)
"""The target is at fault or busy, not the request; another target may take it."""
_rng = random.Random()
_log = structlog.get_logger(part="callers")


@dataclass(frozen=True)
class Job:
    """One completion, ready to be sent.

    Attributes:
        body: JSON as the engine shall get it.
        is_continuable: A cut answer may be continued on another engine.
        is_keyed: An idempotency key ties resends to this run.
        expects_stream: The engine is asked to stream.
    """

    work: Work
    path: str
    body: bytes
    is_continuable: bool
    is_keyed: bool
    expects_stream: bool


@dataclass(frozen=True, slots=True)
class Finished:
    """How a job ended.

    Attributes:
        ttft_seconds: From arrival to the first bytes.
        token_gap_seconds: Mean time between events; None below two.
        is_caller_gone: The caller left before the end.
    """

    ttft_seconds: float
    token_gap_seconds: float | None
    usage: Usage | None
    is_caller_gone: bool = False


class Exchange:
    """The tries of one job; lives as long as its request.

    Attributes:
        executed: Whether a target may have run the job by now.
    """

    def __init__(self, deps: CallerDeps, job: Job, sink: Sink) -> None:
        self.executed = Executed.NO
        self._charge = make_charge(deps, job.work)
        self._deps = deps
        self._job = job
        self._sink = sink
        self._work = job.work
        self._body = job.body
        self._delivered: Delivered | None = None
        self._first_seconds: float | None = None
        self._is_after_loss = False
        self._boot_id = Incarnation("")

    async def run(self) -> Finished:
        """Try targets until the answer is whole or no try is left.

        Raises:
            CallerError: There is no whole answer; it says whether any part of
                the request may have run.
        """
        self._charge.take()
        try:
            return await self._try_targets()
        finally:
            self._charge.settle(self.executed)

    async def _try_targets(self) -> Finished:
        outcome = await self._deps.dispatcher.admit(self._work)
        while True:
            match outcome:
                case Refuse():
                    raise self._fail(from_refusal(outcome, self.executed))
                case Dispatch():
                    finished = await self._try_target(outcome)
            if finished is not None:
                return finished
            await self._pause()
            outcome = await self._deps.dispatcher.readmit(self._work)

    async def _try_target(self, dispatch: Dispatch) -> Finished | None:
        """Send to one target; None when another try is allowed and due."""
        kind = FinishKind.CANCELLED
        url = target_url(self._deps, dispatch.target)
        if url is None:
            self._exclude(dispatch.target)
            self._deps.dispatcher.finish(self._work.request, FinishKind.TARGET_REFUSED)
            return None
        call = self._make_call(dispatch.target, url)
        self._boot_id = self._deps.incarnation_of(dispatch.target)
        try:
            match await self._deps.engines.start_call(call):
                case Success(stream):
                    self.executed = Executed.YES
                    self._boot_id = stream.boot_id
                    finished, kind = await self._relay(stream)
                    return finished
                case Failure(error):
                    kind = await self._finish_kind(dispatch.target, error)
                    self._judge_failure(dispatch.target, error)
                    return None
            raise AssertionError("a result is a success or a failure")
        except asyncio.CancelledError:
            # The caller left before the engine answered; nobody will read it.
            self._deps.engines.cancel_later(call)
            raise
        except StreamLost as error:
            kind = await self._finish_kind(dispatch.target, error)
            self._plan_continuation(dispatch.target, error)
            return None
        finally:
            self._is_after_loss = kind is FinishKind.TARGET_LOST
            self._deps.dispatcher.finish(self._work.request, kind)

    async def _pause(self) -> None:
        """Wait a moment after a lost target; a refused one is left at once."""
        if self._is_after_loss:
            has_output = self._delivered is not None
            await asyncio.sleep(retry_pause_seconds(has_output, _rng))
        self._is_after_loss = False

    def _exclude(self, target: TargetId) -> None:
        self._work = replace(self._work, excluded=self._work.excluded | {target})

    def _make_call(self, target: TargetId, url: str) -> EngineCall:
        return EngineCall(
            target=target,
            url=url,
            request=self._work.request,
            path=self._job.path,
            body=self._body,
            weights_version=WeightsVersion(self._work.weights_version),
            levels=self._work.levels,
            expects_stream=self._job.expects_stream,
            continues=self._delivered,
        )

    async def _relay(self, stream: EngineStream) -> tuple[Finished, FinishKind]:
        first = await stream.read()
        self._note_first()
        try:
            await self._sink.begin(first or b"")
        except (ConnectionError, RuntimeError):
            await stream.cancel()
            return self._finish(stream, is_caller_gone=True), FinishKind.CANCELLED
        except BaseException:
            await stream.cancel()
            raise
        match await self._sink.pump(stream):
            case RelayComplete():
                return self._finish(stream), FinishKind.COMPLETE
            case RelayCallerGone():
                return self._finish(stream, is_caller_gone=True), FinishKind.CANCELLED
            case RelayLost(error):
                raise error

    def _note_first(self) -> None:
        self._deps.dispatcher.first_token(self._work.request)
        if self._first_seconds is None:
            self._first_seconds = self._deps.clock.now_seconds()

    def _finish(self, stream: EngineStream, is_caller_gone: bool = False) -> Finished:
        now_seconds = self._deps.clock.now_seconds()
        first_seconds = self._first_seconds or now_seconds
        n_gaps = stream.n_events - 1
        usage = stream.usage
        if usage is not None:
            self._deps.dispatcher.note_usage(
                self._work.request, usage.prompt_tokens, usage.cached_tokens
            )
        return Finished(
            ttft_seconds=first_seconds - self._work.arrived_seconds,
            token_gap_seconds=(
                (now_seconds - first_seconds) / n_gaps if n_gaps > 0 else None
            ),
            usage=usage,
            is_caller_gone=is_caller_gone,
        )

    async def _finish_kind(self, target: TargetId, error: TargetError) -> FinishKind:
        """Return what a failure says of the target.

        Only a target that is gone, or has come back empty, may have been killed
        by this request. Without the question two connections that break would
        quarantine an innocent request.
        """
        match error:
            case TargetUnreachable():
                return FinishKind.TARGET_REFUSED
            case TargetRefused(status=status) if status not in _BUSY_STATUSES:
                return FinishKind.COMPLETE
            case TargetRefused():
                return FinishKind.TARGET_REFUSED
        if await self._deps.is_same_target(target, self._boot_id):
            return FinishKind.ANSWER_LOST
        return FinishKind.TARGET_LOST

    def _judge_failure(self, target: TargetId, error: TargetError) -> None:
        """Judge a call that gave no answer.

        Raises:
            CallerError: No other try may follow.
        """
        _log.warning(
            "callers: target failed",
            request_id=self._work.request,
            target=target,
            reason=error.reason,
        )
        self._exclude(target)
        match error:
            case TargetUnreachable():
                self._deps.on_unreachable(target)
            case TargetRefused(status=status) if status not in _BUSY_STATUSES:
                # The target read the request and found it at fault; it would
                # be at fault everywhere.
                self.executed = Executed.UNKNOWN
                raise self._fail(_from_engine_error(error))
            case _:
                # Also a busy target has had the request: "no" is only said of
                # one that reached no target.
                self.executed = Executed.UNKNOWN
                self._check_repeatable()

    def _check_repeatable(self) -> None:
        if not self._work.is_idempotent:
            raise self._fail(
                CallerError(
                    "The target was lost; whether it ran the request is not known.",
                    status=502,
                    type=ErrorType.SERVER,
                    code="outcome_unknown",
                    executed=Executed.UNKNOWN,
                )
            )

    def _plan_continuation(self, target: TargetId, error: StreamLost) -> None:
        """Prepare the rest of a broken answer for another engine.

        Raises:
            CallerError: The rest cannot be had elsewhere. The caller's stream
                ends with an explicit error and without ``[DONE]``.
        """
        _log.warning(
            "callers: answer broke off",
            request_id=self._work.request,
            target=target,
            reason=error.reason,
            n_events=error.n_events,
        )
        self._exclude(target)
        self._check_repeatable()
        if error.n_events == 0:
            return
        body = None
        if self._job.is_continuable and error.delivered_text is not None:
            text, n_tokens = error.delivered_text, error.n_tokens
            body = continuation_body(self._job.path, self._job.body, text, n_tokens)
        if body is None:
            raise self._fail(
                CallerError(
                    "The target was lost in the middle of the answer.",
                    status=502,
                    type=ErrorType.SERVER,
                    code="answer_broken",
                    executed=Executed.YES,
                    retry_after_seconds=LOST_RETRY_SECONDS,
                )
            )
        self._body = body
        self._delivered = Delivered(error.n_events, error.n_tokens, text)

    def _fail(self, error: CallerError) -> CallerError:
        is_safe = (
            self._work.is_idempotent
            or self._job.is_keyed
            or error.executed is Executed.NO
        )
        return replace(error, is_safe_to_resend=is_safe)


def target_url(deps: CallerDeps, target: TargetId) -> str | None:
    """Return where a target is; None when it was removed after it was chosen.

    A request may wait in the queue while an operator removes its target. Nothing
    has been sent then, so it is placed again.
    """
    configured = deps.configuration.view.targets.get(target)
    return None if configured is None else configured.url


def _from_engine_error(error: TargetRefused) -> CallerError:
    reason = "The engine refused the request."
    try:
        detail = msgspec.json.decode(error.body)["error"]
        reason = str(detail["message"])[:500]
    except (msgspec.DecodeError, KeyError, TypeError):
        pass
    return CallerError(
        reason,
        status=error.status,
        code="engine_refused",
        executed=Executed.UNKNOWN,
    )


def make_charge(deps: CallerDeps, work: Work) -> QuotaCharge:
    """Return what a request takes from its customer's quota."""
    customer = deps.configuration.view.customers.get(work.customer)
    quota = None if customer is None else quota_of(customer)
    n_tokens = work.prompt_tokens + work.output_tokens if work.model else None
    return QuotaCharge(deps.quotas, deps.clock, work.customer, quota, n_tokens)
