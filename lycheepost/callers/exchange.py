"""Run one completion on targets until its response is complete.

admit -> place -> send -> relay, and again on another target where that is allowed:

- after a target that accepted no connection: always, as the request has not run;
- after a target that refused, was lost or broke off: only an idempotent request;
- once the caller has part of the response: only if another engine can continue it from
  the text delivered so far.
"""

import asyncio
import random
from collections.abc import Awaitable
from dataclasses import dataclass, replace
from functools import partial

import msgspec
import structlog
from returns.result import Failure, Success

from lycheepost.callers.deps import CallerDeps
from lycheepost.callers.errors import CallerError, ErrorType, Executed, from_refusal
from lycheepost.callers.lossverdicts import (
    FINISH_KIND_BY_VERDICT,
    FIRST_REPEAT_SECONDS,
)
from lycheepost.callers.quotacharge import QuotaCharge
from lycheepost.callers.sinks import RelayCallerGone, RelayComplete, RelayLost, Sink
from lycheepost.core.ids import Incarnation, TargetId, WeightsVersion
from lycheepost.core.starts import StartVerdict, start_key
from lycheepost.decide.records import Dispatch, FinishKind, Refuse, Work
from lycheepost.decide.retry import retry_pause_seconds
from lycheepost.decide.suspicion import EndedRun
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

TARGET_LOST_RETRY_SECONDS = 1.0
"""All daemons notice a lost target within about a second."""
_BUSY_STATUSES = (409, 429, 503)
"""The target is busy or holds other weights (409); another may accept the request."""
_rng = random.Random()
_log = structlog.get_logger(part="callers")


@dataclass(frozen=True)
class Job:
    """One completion, ready to be sent.

    Attributes:
        body: The JSON body for the engine.
        is_continuable: Another engine may continue a truncated response.
        is_keyed: An idempotency key prevents a second run by a resend.
        expects_stream: The engine is asked to stream.
    """

    work: Work
    path: str
    body: bytes
    is_continuable: bool
    is_keyed: bool
    expects_stream: bool


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """How a job ended.

    Attributes:
        ttft_seconds: From arrival to the first bytes.
        token_gap_seconds: Mean time between events; None for fewer than two events.
        has_caller_left: The caller left before the end.
    """

    ttft_seconds: float
    token_gap_seconds: float | None
    usage: Usage | None
    has_caller_left: bool = False


class Exchange:
    """The attempts at one job; one instance per request.

    Attributes:
        executed: Whether a target may have run the job.
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
        self._has_lost_target = False
        self._boot_id = Incarnation("")
        self._sent_seconds = job.work.arrived_seconds
        self._has_written = False

    async def run(self) -> ExchangeResult:
        """Try targets until the response is complete or no attempt is left.

        Raises:
            CallerError: The response is not complete; it says whether the request may
                have run.
        """
        await self._charge.take()
        try:
            return await self._try_targets()
        finally:
            self._charge.settle(self.executed)

    async def _try_targets(self) -> ExchangeResult:
        outcome = await self._deps.dispatcher.admit(self._work)
        while True:
            match outcome:
                case Refuse():
                    raise self._mark_resend_safety(from_refusal(outcome, self.executed))
                case Dispatch():
                    finished = await self._try_target(outcome)
            if finished is not None:
                return finished
            await self._pause()
            outcome = await self._deps.dispatcher.readmit(self._work)

    async def _try_target(self, dispatch: Dispatch) -> ExchangeResult | None:
        """Send to one target; None when another attempt is due."""
        kind = FinishKind.CANCELLED
        url = target_url(self._deps, dispatch.target)
        if url is None:
            self._exclude(dispatch.target)
            self._deps.dispatcher.finish(self._work.request, FinishKind.TARGET_REFUSED)
            return None
        self._sent_seconds = self._deps.clock.now_seconds()
        self._has_written = False
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
                    self._handle_failure(dispatch.target, error)
                    return None
            raise AssertionError("a result is a success or a failure")
        except asyncio.CancelledError:
            # The caller left before the engine responded; the run is cancelled.
            self._deps.engines.cancel_later(call)
            raise
        except StreamLost as error:
            kind = await self._finish_kind(dispatch.target, error)
            self._prepare_continuation(dispatch.target, error)
            return None
        finally:
            self._has_lost_target = kind is FinishKind.TARGET_LOST
            self._deps.dispatcher.finish(self._work.request, kind)

    async def _pause(self) -> None:
        """Wait after the loss of a target; otherwise retry at once."""
        if self._has_lost_target:
            has_output = self._delivered is not None
            await asyncio.sleep(retry_pause_seconds(has_output, _rng))
        self._has_lost_target = False

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
            has_alternative=partial(self._has_place_without, target),
        )

    def _has_place_without(self, target: TargetId) -> bool:
        """Return whether another target could take the rest of the answer now."""
        excluded = self._work.excluded | {target}
        return self._deps.dispatcher.has_place(replace(self._work, excluded=excluded))

    async def _relay(self, stream: EngineStream) -> tuple[ExchangeResult, FinishKind]:
        first = await stream.read()
        self._note_first_token()
        try:
            await self._sink.begin(first or b"")
        except (ConnectionError, RuntimeError):
            await stream.cancel()
            return self._finish(stream, has_caller_left=True), FinishKind.CANCELLED
        except BaseException:
            await stream.cancel()
            raise
        match await self._sink.pump(stream):
            case RelayComplete():
                return self._finish(stream), FinishKind.COMPLETE
            case RelayCallerGone():
                return self._finish(stream, has_caller_left=True), FinishKind.CANCELLED
            case RelayLost(error):
                raise error

    def _note_first_token(self) -> None:
        self._has_written = True
        self._deps.dispatcher.first_token(self._work.request)
        self._deps.dispatcher.note_written(self._work.request)
        if self._first_seconds is None:
            self._first_seconds = self._deps.clock.now_seconds()

    def _finish(
        self, stream: EngineStream, has_caller_left: bool = False
    ) -> ExchangeResult:
        now_seconds = self._deps.clock.now_seconds()
        first_seconds = self._first_seconds or now_seconds
        n_gaps = stream.n_events - 1
        usage = stream.usage
        if usage is not None:
            self._deps.dispatcher.note_usage(
                self._work.request, usage.prompt_tokens, usage.cached_tokens
            )
        return ExchangeResult(
            ttft_seconds=first_seconds - self._work.arrived_seconds,
            token_gap_seconds=(
                (now_seconds - first_seconds) / n_gaps if n_gaps > 0 else None
            ),
            usage=usage,
            has_caller_left=has_caller_left,
        )

    async def _finish_kind(self, target: TargetId, error: TargetError) -> FinishKind:
        """Return how a failure is reported to the scheduler.

        Only the loss or restart of a target may be attributed to the request, so the
        target is asked for its incarnation. Without this check two broken connections
        would quarantine a request that crashes no target.
        """
        match error:
            case TargetUnreachable():
                return FinishKind.TARGET_REFUSED
            case TargetRefused(status=status) if status not in _BUSY_STATUSES:
                return FinishKind.COMPLETE
            case TargetRefused():
                return FinishKind.TARGET_REFUSED
        boot_id = self._boot_id
        start = start_key(target, boot_id)

        def judge() -> Awaitable[StartVerdict]:
            return self._deps.judge_start(target, boot_id)

        def count_later(delay_seconds: float = 0.0) -> None:
            run = EndedRun(self._work, start, self._sent_seconds, self._has_written)
            self._deps.verdicts.count_later(
                start,
                judge,
                lambda: self._deps.dispatcher.note_lost(run),
                delay_seconds,
            )

        try:
            verdict = await self._deps.verdicts.ask(start, judge)
        except asyncio.CancelledError:
            count_later()
            raise
        if verdict is StartVerdict.UNKNOWN:
            count_later(FIRST_REPEAT_SECONDS)
        return FINISH_KIND_BY_VERDICT[verdict]

    def _handle_failure(self, target: TargetId, error: TargetError) -> None:
        """Handle a call without a response.

        Raises:
            CallerError: No other attempt may follow.
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
                # The target rejected the request as invalid; any other target would
                # reject it too.
                self.executed = Executed.UNKNOWN
                raise self._mark_resend_safety(_from_engine_error(error))
            case _:
                # A busy target has received the request as well; "no" is only
                # reported for a request that reached no target.
                self.executed = Executed.UNKNOWN
                self._check_repeatable()

    def _check_repeatable(self) -> None:
        if not self._work.is_idempotent:
            raise self._mark_resend_safety(
                CallerError(
                    "The target was lost; whether it ran the request is not known.",
                    status=502,
                    type=ErrorType.SERVER,
                    code="outcome_unknown",
                    executed=Executed.UNKNOWN,
                )
            )

    def _prepare_continuation(self, target: TargetId, error: StreamLost) -> None:
        """Prepare to continue a truncated response on another engine.

        Raises:
            CallerError: No other engine can continue it. The caller's stream ends with
                an explicit error and without ``[DONE]``.
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
            raise self._mark_resend_safety(
                CallerError(
                    "The target was lost in the middle of the answer.",
                    status=502,
                    type=ErrorType.SERVER,
                    code="answer_broken",
                    executed=Executed.YES,
                    retry_after_seconds=TARGET_LOST_RETRY_SECONDS,
                )
            )
        self._body = body
        self._delivered = Delivered(error.n_events, error.n_tokens, text)

    def _mark_resend_safety(self, error: CallerError) -> CallerError:
        is_safe = (
            self._work.is_idempotent
            or self._job.is_keyed
            or error.executed is Executed.NO
        )
        return replace(error, is_safe_to_resend=is_safe)


def target_url(deps: CallerDeps, target: TargetId) -> str | None:
    """Return the URL of a target; None when it was removed after it was chosen.

    An operator may remove a target while a request for it is queued. Nothing has been
    sent then, so the request is placed again.
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
    """Return the charge of a request to its customer's quota."""
    customer = deps.configuration.view.customers.get(work.customer)
    quota = None if customer is None else quota_of(customer)
    n_tokens = work.prompt_tokens + work.output_tokens if work.model else None
    return QuotaCharge(deps.quotas, deps.clock, work.customer, quota, n_tokens)
