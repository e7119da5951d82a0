"""Serve one forwarded request.

identify -> admit -> place -> send -> relay -> settle, with the same queue, placement
and retry budget as every other request. ``decide.attempts`` decides what follows an
attempt that did not serve the caller.
"""

import asyncio
from dataclasses import replace

import structlog
from returns.result import Failure, Success

from lycheepost.callers.awaiting import await_headers
from lycheepost.callers.errors import CallerError, Executed, from_refusal
from lycheepost.callers.forwardcalls import (
    Progress,
    make_call,
    make_charge,
    route_table,
)
from lycheepost.callers.forwarddeps import (
    CallerConnection,
    ForwardDeps,
    ForwardRequest,
)
from lycheepost.callers.forwarderrors import (
    not_run,
    outcome_unknown,
    too_late,
)
from lycheepost.callers.forwardidentify import identify
from lycheepost.callers.forwardwork import continued_work, make_work
from lycheepost.callers.peerrelay import MAX_RELAYS, PeerAttempts, no_path
from lycheepost.callers.relaying import (
    AnswerRelay,
    FirstByteTimeout,
    RelayEnd,
    StreamTimeouts,
    body_fields,
)
from lycheepost.core.ids import TargetGroupId, TargetId
from lycheepost.core.routing import ListedTarget, RouteKind
from lycheepost.decide.attempts import (
    AttemptEnd,
    Sends,
    Step,
    last_step,
    next_step,
)
from lycheepost.decide.records import Dispatch, FinishKind, RefusalReason, Refuse
from lycheepost.decide.routes import RouteMatch
from lycheepost.decide.silence import (
    QUIET_SECONDS,
    first_byte_timeout_seconds,
    header_waits_seconds,
    idle_timeout_seconds,
    is_sound_silence,
    new_connection_check_seconds,
)
from lycheepost.decide.targethealth import Ending
from lycheepost.targets.errors import TargetError, TargetUnreachable
from lycheepost.targets.forward import ForwardResponse
from lycheepost.targets.forwardcall import ForwardCall

EARLY_SECONDS = 0.005
"""Timers may fire by this much before the time that they were set for."""

NOT_RUN_RETRY_SECONDS = 0.2
"""By then a target that was busy or changed its weights usually has capacity again."""

DEADLINE_MARGIN_SECONDS = 0.02
"""Lets the time-out response reach the caller before its own deadline."""

_MAX_REJECTION_BYTES = 65536
"""Rejections are short; a longer body is not read to its end."""

_FINISH_KINDS = {
    AttemptEnd.NOT_SENT: FinishKind.TARGET_REFUSED,
    AttemptEnd.NOT_RUN: FinishKind.TARGET_REFUSED,
    AttemptEnd.FAILED: FinishKind.COMPLETE,
}

_log = structlog.get_logger(part="forward")


class Forwarding:
    """The attempts at one forwarded request; one instance per request.

    Args:
        deps: The dependencies of forwarding.
        request: The caller's request.
        route_match: Its route and sender.
        caller: The connection that the response goes to.
    """

    def __init__(
        self,
        deps: ForwardDeps,
        request: ForwardRequest,
        route_match: RouteMatch,
        caller: CallerConnection,
    ) -> None:
        self._deps = deps
        self._request = request
        self._route_match = route_match
        self._relay = AnswerRelay(deps, request, route_match.route, caller)
        self._work = make_work(deps, request, route_match, route_table(deps))
        self._sends = Sends(n_runs=request.relayed_runs or 0)
        self._is_sent = False
        self._peer_attempts = PeerAttempts(
            deps, request, route_match.route, self._relay
        )
        self._has_reserved_retry = False
        self._is_sound_silence = False
        self._charge = make_charge(deps, request, route_match)
        timeout_seconds = route_match.route.timeout_seconds
        if request.caller_timeout_seconds is not None:
            timeout_seconds = min(timeout_seconds, request.caller_timeout_seconds)
        self._deadline_seconds = request.arrived_seconds + timeout_seconds
        self._log = _log.bind(
            request_id=request.caller_id,
            route=route_match.route.name,
            customer=route_match.holder.customer,
        )

    @property
    def _target_group(self) -> TargetGroupId:
        return self._work.target_group

    @property
    def executed(self) -> Executed:
        """Return whether a target may have run the request."""
        is_sent = self._is_sent or self._peer_attempts.is_sent
        if is_sent or self._sends.n_runs:
            return Executed.UNKNOWN
        return Executed.NO

    async def run(self) -> None:
        """Serve the request.

        Raises:
            CallerError: It is not served, and nothing has been sent to the caller yet.
        """
        remaining = self._remaining_seconds() - DEADLINE_MARGIN_SECONDS
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                await self._serve()
        except TimeoutError:
            self._log.info(
                "forward: out of time",
                n_sends=self._sends.n_sends,
                executed=self.executed.value,
                has_begun=self._relay.has_begun,
            )
            if self._relay.has_begun:
                self._relay.abort()
                return
            raise too_late(self.executed) from None
        except CallerError as error:
            self._log.info(
                "forward: not served",
                code=error.code,
                status=error.status,
                executed=error.executed.value,
                n_sends=self._sends.n_sends,
                n_runs=self._sends.n_runs,
                elapsed_seconds=self._elapsed_seconds(),
            )
            if not self._relay.has_begun:
                raise
            # The headers of an error response would be read as part of the stream.
            self._relay.abort()
        finally:
            self._charge.settle(self.executed)

    def _elapsed_seconds(self) -> float:
        now_seconds = self._deps.clock.now_seconds()
        return round(now_seconds - self._request.arrived_seconds, 4)

    def _remaining_seconds(self) -> float:
        return self._deadline_seconds - self._deps.clock.now_seconds()

    async def _serve(self) -> None:
        if self._deps.paths.are_lost(self._target_group):
            await self._serve_through_peers()
            return
        if not self._request.relayed_runs:
            await self._charge.take()
        outcome = await self._deps.dispatcher.admit(self._work)
        while True:
            match outcome:
                case Refuse(reason=RefusalReason.NO_PATH):
                    await self._serve_through_peers()
                    return
                case Refuse():
                    await self._handle_refusal(outcome)
                    return
                case Dispatch():
                    end = await self._try_target(outcome)
            if end is None:
                return
            if not await self._should_continue(end):
                return
            await self._deps.paths.settle(self._target_group)
            is_free = end is AttemptEnd.NOT_SENT or self._has_reserved_retry
            self._has_reserved_retry = False
            if self._deps.paths.are_lost(self._target_group):
                await self._serve_through_peers(is_free)
                return
            outcome = await self._deps.dispatcher.readmit(self._work, is_free)

    async def _serve_through_peers(self, is_free: bool = True) -> None:
        """Serve the request through peers, as this daemon itself reaches no target.

        A peer charges the customer's quota, unless the request has run before.

        Args:
            is_free: Whether it uses no retry budget.
        """
        self._charge.settle(self.executed)
        relays = self._deps.relays
        peers = relays.choose(self._target_group)
        # A peer that relayed the request to this daemon would get it back.
        is_last = relays.is_off or self._request.relayed_runs is not None
        may_send = not is_last and (
            is_free or self._deps.dispatcher.take_retry(self._work)
        )
        for peer in peers[:MAX_RELAYS] if may_send else ():
            # The key may have been revoked meanwhile.
            identify(self._deps, self._request)
            end = await self._peer_attempts.send(
                peer, self._sends.n_runs, self._remaining_seconds()
            )
            if end is None or not await self._should_continue(end):
                return
        if self._relay.has_begun:
            self._relay.abort()
        elif self._sends.n_runs:
            if not await self._relay.pass_on_failure():
                raise outcome_unknown()
        else:
            raise self._peer_attempts.refusal or no_path(bool(peers))

    async def _handle_refusal(self, refusal: Refuse) -> None:
        """End the request after the scheduler refused it."""
        if self._relay.has_begun:
            self._relay.abort()
            return
        if await self._relay.pass_on_failure():
            return
        if self._sends.n_runs:
            raise outcome_unknown()
        raise from_refusal(refusal, Executed.NO)

    async def _should_continue(self, end: AttemptEnd) -> bool:
        """Return whether to try again after an attempt that did not serve the caller.

        Raises:
            CallerError: No attempt follows, and nothing has been sent to the caller.
        """
        self._sends = self._sends.add(end)
        self._is_sent = self._peer_attempts.is_sent = False
        remaining_seconds = self._remaining_seconds()
        step = next_step(self._route_match.route, self._sends, end, remaining_seconds)
        if step is Step.TRY_AGAIN and self._relay.has_begun:
            can_continue = self._relay.can_continue
            step = step if can_continue else last_step(self._sends, AttemptEnd.CUT)
        match step:
            case Step.TRY_AGAIN:
                if self._relay.has_begun:
                    self._work = continued_work(
                        self._work, self._route_match.route, self._elapsed_seconds()
                    )
                return True
            case Step.PASS_ON:
                await self._relay.pass_on_failure()
            case Step.CUT_OFF:
                self._relay.abort()
            case Step.REFUSE:
                raise not_run(NOT_RUN_RETRY_SECONDS)
            case Step.GIVE_UP:
                if not await self._relay.pass_on_failure():
                    raise outcome_unknown()
        return False

    async def _try_target(self, dispatch: Dispatch) -> AttemptEnd | None:
        """Send to one target; None when nothing more is due to the caller."""
        target = dispatch.target
        self._work = replace(self._work, excluded=self._work.excluded | {target})
        self._relay.begin_attempt()
        end: AttemptEnd | None = None
        kind = FinishKind.CANCELLED
        sent_seconds = self._deps.clock.now_seconds()
        reason = "cancelled"
        try:
            listed = self._deps.targets.get(target)
            if listed is None:
                end, reason = AttemptEnd.NOT_SENT, "the target has left"
                kind = FinishKind.TARGET_REFUSED
            elif self._deps.is_backed_off(target):
                end, reason = AttemptEnd.NOT_SENT, "the target has asked for a back-off"
                kind = FinishKind.TARGET_REFUSED
            else:
                end, reason = await self._send(listed)
                kind = await self._finish_kind(listed, end)
            return end
        except CallerError as error:
            reason = f"not sent: {error.code}"
            raise
        finally:
            # An attempt that the deadline interrupts still counts as sent: the target
            # may be running it, so reporting "not run" could be false.
            if kind is FinishKind.COMPLETE and end is None:
                self._deps.dispatcher.note_events(
                    self._work.request, self._relay.n_events
                )
            self._deps.dispatcher.finish(self._work.request, kind)
            now_seconds = self._deps.clock.now_seconds()
            self._log.info(
                "forward: sent",
                target=target,
                end="served" if kind is FinishKind.COMPLETE and end is None else reason,
                predicted_seconds=round(dispatch.predicted_wait_seconds, 3),
                expected_cached_tokens=dispatch.expected_cached_tokens,
                quota_units=self._charge.units,
                waited_seconds=round(sent_seconds - self._request.arrived_seconds, 4),
                held_seconds=round(now_seconds - sent_seconds, 4),
                first_seconds=self._relay.first_seconds,
                longest_gap_seconds=self._relay.longest_gap_seconds,
                **body_fields(self._relay.last_body),
            )

    async def _send(self, listed: ListedTarget) -> tuple[AttemptEnd | None, str]:
        """Send to one target and relay its response.

        Returns:
            How the attempt ended, None when nothing more is due, and the reason.
        """
        # Check again before any byte is sent: while the request was queued, its key
        # may have been revoked or the confirmation of the configuration expired.
        identify(self._deps, self._request)
        call = make_call(
            self._deps, self._request, self._route_match, listed, self._progress()
        )
        wait_seconds = first_byte_timeout_seconds(
            self._route_match.route, self._sends, call.remaining_seconds
        )
        target = listed.target
        sent_seconds = self._deps.clock.now_seconds()
        self._is_sent = True
        try:
            send = self._deps.client.send(call)
            sent = await await_headers(
                send,
                header_waits_seconds(wait_seconds, self._check_seconds(call)),
                lambda: self._may_abandon_at(call, sent_seconds + wait_seconds),
            )
        except TimeoutError:
            silent_seconds = self._deps.clock.now_seconds() - sent_seconds
            self._note_silence(target, silent_seconds)
            if call.may_reuse_connection:
                self._deps.client.note_silent(target, silent_seconds)
            return AttemptEnd.LOST, "silent"
        match sent:
            case Failure(TargetUnreachable(reason=reason)):
                self._is_sent = False
                self._deps.paths.note_failed(self._target_group, target)
                self._deps.targets.note_end(target, Ending.UNREACHABLE)
                return AttemptEnd.NOT_SENT, reason
            case Failure(TargetError(reason=reason)):
                self._deps.paths.note_failed(self._target_group, target)
                self._deps.targets.note_end(target, Ending.BAD)
                return AttemptEnd.LOST, reason
            case Success(answer):
                if not call.may_reuse_connection:
                    self._deps.paths.note_answered(self._target_group)
                return await self._handle_answer(
                    listed, answer, wait_seconds, sent_seconds
                )
        raise AssertionError("a result is a success or a failure")

    def _check_seconds(self, call: ForwardCall) -> float:
        """Return how long to wait for a response between checks of the paths."""
        if call.may_reuse_connection:
            return QUIET_SECONDS
        return new_connection_check_seconds(
            self._route_match.route, call.remaining_seconds
        )

    def _may_abandon_at(self, call: ForwardCall, timeout_seconds: float) -> bool:
        """Return whether to abandon a target without response.

        Before its timeout this is only done if this daemon hears from no target.

        Args:
            call: The call that waits.
            timeout_seconds: When its timeout ends.
        """
        paths, target_group = self._deps.paths, self._target_group
        if not call.may_reuse_connection:
            paths.note_failed(target_group, call.target)
        paths.note_quiet(target_group)
        is_cut = paths.are_lost(target_group) and paths.is_quiet(target_group)
        is_early = self._deps.clock.now_seconds() < timeout_seconds - EARLY_SECONDS
        return (is_cut or not is_early) and self._may_abandon()

    def _may_abandon(self) -> bool:
        """Return whether to abandon a silent target; if so, a retry is reserved."""
        lost = AttemptEnd.CUT if self._relay.has_begun else AttemptEnd.LOST
        step = next_step(
            self._route_match.route,
            self._sends.add(lost),
            lost,
            self._remaining_seconds(),
        )
        if step is not Step.TRY_AGAIN:
            return False
        if self._relay.has_begun and not self._relay.can_continue:
            return False
        self._has_reserved_retry = self._deps.dispatcher.take_retry(self._work)
        return self._has_reserved_retry

    async def _handle_answer(
        self,
        listed: ListedTarget,
        answer: ForwardResponse,
        wait_seconds: float,
        sent_seconds: float,
    ) -> tuple[AttemptEnd | None, str]:
        target = listed.target
        head = answer.head
        self._deps.on_answer_headers(listed, head, sent_seconds)
        if head.was_not_run or head.is_other_target:
            self._is_sent = False
            await self._read_rejection(answer)
            self._note_rejection(target, answer)
            return AttemptEnd.NOT_RUN, f"rejected with {head.status}"
        if self._work.model and head.weights_version is not None:
            self._deps.targets.note_weights(
                target, self._work.model, head.weights_version
            )
        try:
            timeouts = StreamTimeouts(
                wait_seconds,
                idle_timeout_seconds(self._route_match.route, self._sends),
                self._may_abandon,
            )
            result = await self._relay.relay(answer, timeouts, self._note_first)
        except FirstByteTimeout:
            self._note_silence(target, wait_seconds)
            return AttemptEnd.LOST, "silent"
        finally:
            answer.close()
        if result is RelayEnd.FELL_SILENT:
            self._note_silence(target, timeouts.idle_seconds or 0.0)
        elif result is not RelayEnd.CALLER_LEFT:
            ending = Ending.GOOD if result.end is None else Ending.BAD
            self._deps.targets.note_end(target, ending)
        return result.end, result.value

    def _note_silence(self, target: TargetId, silent_seconds: float) -> None:
        """Count the silence of a target as a failure, unless it may be sound."""
        heard_ago_seconds = self._deps.client.heard_ago_seconds(target)
        self._is_sound_silence = is_sound_silence(silent_seconds, heard_ago_seconds)
        if not self._is_sound_silence:
            self._deps.targets.note_end(target, Ending.BAD)

    async def _read_rejection(self, answer: ForwardResponse) -> None:
        """Read a short rejection to its end, so that its connection can be reused."""
        try:
            await answer.read_body(_MAX_REJECTION_BYTES)
        except TargetError as error:
            self._log.info("forward: rejection broke off", reason=error.reason)
        finally:
            answer.close()

    def _progress(self) -> Progress:
        """Return the current progress of the request."""
        return Progress(
            self._work.request,
            self._remaining_seconds(),
            self._relay.after_event,
            self._sends.n_runs,
        )

    def _note_first(self) -> None:
        self._deps.dispatcher.first_token(self._work.request)

    def _note_rejection(self, target: TargetId, answer: ForwardResponse) -> None:
        """Update what is known of a target that did not run the request."""
        head = answer.head
        targets = self._deps.targets
        if not head.is_other_target:
            targets.note_end(target, Ending.BAD)
            return
        if head.target is not None and head.target != target:
            targets.note_other_at_address(target)
        elif head.weights_version is not None:
            targets.note_weights(target, self._work.model, head.weights_version)

    async def _finish_kind(
        self, listed: ListedTarget, end: AttemptEnd | None
    ) -> FinishKind:
        """Return how the end of an attempt is reported to the scheduler.

        Only the loss or restart of a target may be attributed to the request. If
        broken connections counted as well, two of them would quarantine a request
        that crashes no target.
        """
        if end is None:
            return FinishKind.COMPLETE
        known = _FINISH_KINDS.get(end)
        if known is not None:
            return known
        is_sound = self._is_sound_silence
        self._is_sound_silence = False
        if is_sound or self._route_match.route.kind is RouteKind.NON_IDEMPOTENT:
            return FinishKind.ANSWER_LOST
        if await self._deps.is_same_incarnation(listed):
            return FinishKind.ANSWER_LOST
        return FinishKind.TARGET_LOST
