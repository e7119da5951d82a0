"""One attempt at a forwarded request at one target: send, relay, judge how it ended."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import structlog
from returns.result import Failure, Success

from lycheepost.callers.awaiting import await_headers
from lycheepost.callers.forwardcalls import Progress, make_call
from lycheepost.callers.forwarddeps import ForwardDeps, ForwardRequest
from lycheepost.callers.forwardidentify import identify
from lycheepost.callers.heldattempts import AttemptResult, AttemptRun, HeldAttempts
from lycheepost.callers.lossverdicts import (
    FINISH_KIND_BY_VERDICT,
    FIRST_REPEAT_SECONDS,
)
from lycheepost.callers.reading import AttemptCalls, AttemptTrace, StreamTimeouts
from lycheepost.callers.relaying import AnswerRelay, RelayEnd
from lycheepost.core.ids import TargetId
from lycheepost.core.routing import ListedTarget, RouteKind
from lycheepost.core.starts import StartVerdict, start_key
from lycheepost.decide.attempts import AttemptEnd, Sends
from lycheepost.decide.records import FinishKind, Work
from lycheepost.decide.routes import RouteMatch, is_resumable_stream
from lycheepost.decide.silence import (
    MAX_SOUND_SILENCE_SECONDS,
    QUIET_SECONDS,
    first_byte_timeout_seconds,
    header_waits_seconds,
    idle_timeout_seconds,
    is_sound_silence,
    new_connection_check_seconds,
)
from lycheepost.decide.suspicion import EndedRun
from lycheepost.decide.targethealth import Ending
from lycheepost.targets.errors import (
    TargetError,
    TargetMalformed,
    TargetUnreachable,
)
from lycheepost.targets.forward import ForwardResponse
from lycheepost.targets.forwardcall import ForwardCall
from lycheepost.utils.runningtime import running_timeout
from lycheepost.utils.tasks import start_task

EARLY_SECONDS = 0.005
"""Timers may fire by this much before the time that they were set for."""

TAKEN_SECONDS = 0.25
"""A target rejects a request within a few milliseconds. Leaves a probe 0.1 s until two
targets would have worked on a stream for 0.4 s."""

_MAX_REJECTION_BYTES = 65536
"""Rejections are short; a longer body is not read to its end."""
_REJECTION_SECONDS = 0.05
"""The body of a rejection comes with its head; the request waits for it."""

_FINISH_KINDS = {
    AttemptEnd.NOT_SENT: FinishKind.TARGET_REFUSED,
    AttemptEnd.NOT_RUN: FinishKind.TARGET_REFUSED,
    AttemptEnd.FAILED: FinishKind.COMPLETE,
}

_log = structlog.get_logger(part="forward")


@dataclass(frozen=True, slots=True)
class Standing:
    """Where a request stands when an attempt begins.

    Attributes:
        work: The request, as the scheduler knows it.
        sends: The attempts before.
        deadline_seconds: Time by which it must be answered.
    """

    work: Work
    sends: Sends
    deadline_seconds: float


@dataclass(frozen=True, slots=True)
class Elsewhere:
    """How a request is tried elsewhere while a target is silent.

    Attributes:
        held: Its attempts at silent targets.
        may_try: Whether another target may be tried beside an attempt; if so, a retry
            is reserved.
    """

    held: HeldAttempts
    may_try: Callable[[AttemptTrace], bool]


class TargetAttempt:
    """One attempt.

    Args:
        deps: The dependencies of forwarding.
        request: The caller's request.
        route_match: Its route and sender.
        relay: Relays responses to the caller.
        standing: Where the request stands.
        elsewhere: How the request is tried elsewhere.

    Attributes:
        is_sent: Whether the target may be running the request, or have run it.
        trace: What it has relayed.
    """

    def __init__(
        self,
        deps: ForwardDeps,
        request: ForwardRequest,
        route_match: RouteMatch,
        relay: AnswerRelay,
        standing: Standing,
        elsewhere: Elsewhere,
    ) -> None:
        self.is_sent = False
        self.trace = AttemptTrace()
        self._elsewhere = elsewhere
        self._deps = deps
        self._request = request
        self._route_match = route_match
        self._relay = relay
        self._standing = standing
        self._is_sound_silence = False
        self._sent_seconds = standing.work.arrived_seconds

    async def run(self, target: TargetId) -> tuple[AttemptEnd | None, str, FinishKind]:
        """Send to a target and relay its response.

        Returns:
            How the attempt ended, None when nothing more is due to the caller; the
            reason, for the log; and how it counts for the scheduler.

        Raises:
            CallerError: The caller may no longer be served.
        """
        listed = self._deps.targets.get(target)
        if listed is None:
            reason = "the target has left"
            return AttemptEnd.NOT_SENT, reason, FinishKind.TARGET_REFUSED
        if self._deps.is_backed_off(target):
            reason = "the target has asked for a back-off"
            return AttemptEnd.NOT_SENT, reason, FinishKind.TARGET_REFUSED
        if not self._fits(listed):
            reason = "the target's software has another version"
            return AttemptEnd.NOT_SENT, reason, FinishKind.TARGET_REFUSED
        if self._must_check_start(listed) and not await self._is_same(listed):
            reason = "the target has restarted or does not answer"
            return AttemptEnd.NOT_SENT, reason, FinishKind.TARGET_REFUSED
        self.trace.software_version = listed.software_version
        run = AttemptRun(
            self.trace, self._elsewhere.held, lambda run: self._send(listed, run)
        )
        try:
            result = await run.wait()
        except asyncio.CancelledError:
            self._count_if_dead(listed)
            raise
        result = result or AttemptResult(self._relay.silent_end, "silent")
        return result.end, result.reason, await self._finish_kind(listed, result.end)

    @property
    def _is_held(self) -> bool:
        """Return whether the request is tried elsewhere, as the target was silent."""
        return self._elsewhere.held.holds(self.trace)

    def _fits(self, listed: ListedTarget) -> bool:
        """Return whether a target's software fits the request.

        It may have restarted with another version while the request was queued.
        """
        if not is_resumable_stream(self._route_match.route):
            return True
        versions = self._standing.work.software_versions
        return versions is None or listed.software_version in versions

    def _must_check_start(self, listed: ListedTarget) -> bool:
        """Return whether to ask a target first whether it has restarted.

        One that keeps its name across restarts may be back with other software before
        its registration says so. It matters where a stream goes on, and where one
        begins while registrations are out of date.
        """
        if listed.started_ms is None or not is_resumable_stream(
            self._route_match.route
        ):
            return False
        is_bound = self._standing.work.software_versions is not None
        return is_bound or not self._deps.stream_versions.is_list_current()

    async def _is_same(self, listed: ListedTarget) -> bool:
        """Return whether a target is still the same, as far as this daemon can tell.

        Without paths of its own it cannot; the request is then relayed to a peer.
        """
        verdict = await self._deps.judge_start(listed)
        if verdict is StartVerdict.UNKNOWN:
            return self._deps.paths.are_lost(listed.target_group)
        return verdict is StartVerdict.SAME

    def _remaining_seconds(self) -> float:
        return self._standing.deadline_seconds - self._deps.clock.now_seconds()

    async def _send(self, listed: ListedTarget, run: AttemptRun) -> AttemptResult:
        """Send to one target and relay its response."""
        # Check again before any byte is sent: while the request was queued, its key
        # may have been revoked or the confirmation of the configuration expired. Its
        # customer may have become isolated.
        holder = identify(self._deps, self._request).holder
        route_match = replace(self._route_match, holder=holder)
        call = make_call(
            self._deps, self._request, route_match, listed, self._progress()
        )
        wait_seconds = first_byte_timeout_seconds(
            self._route_match.route, self._standing.sends, call.remaining_seconds
        )
        target = listed.target
        sent_seconds = self._deps.clock.now_seconds()
        self._sent_seconds = sent_seconds
        self.is_sent = True
        with self._ending_held(listed):
            sent = await await_headers(
                self._deps.client.send(call),
                header_waits_seconds(wait_seconds, self._check_seconds(call)),
                lambda: self._check_silence(call, run, sent_seconds + wait_seconds),
            )
        match sent:
            case Failure(TargetUnreachable(reason=reason)):
                self.is_sent = False
                self._deps.paths.note_failed(self._standing.work.target_group, target)
                self._deps.targets.note_end(target, Ending.UNREACHABLE)
                return AttemptResult(AttemptEnd.NOT_SENT, reason)
            case Failure(TargetMalformed(reason=reason)):
                self._deps.targets.note_end(target, Ending.BAD)
                return AttemptResult(AttemptEnd.LOST, reason)
            case Failure(TargetError(reason=reason)):
                self._deps.paths.note_failed(self._standing.work.target_group, target)
                self._deps.targets.note_end(target, Ending.BAD)
                return AttemptResult(AttemptEnd.LOST, reason)
            case Success(answer):
                if not call.may_reuse_connection:
                    self._deps.paths.note_answered(self._standing.work.target_group)
                timeouts = StreamTimeouts(
                    wait_seconds,
                    idle_timeout_seconds(self._route_match.route, self._standing.sends),
                    lambda seconds: self._note_pause(target, run, seconds),
                )
                return await self._handle_answer(listed, answer, timeouts, sent_seconds)
        raise AssertionError("a result is a success or a failure")

    @contextlib.contextmanager
    def _ending_held(self, listed: ListedTarget) -> Iterator[None]:
        """End a stream at silent targets meanwhile, once this one has taken it."""
        is_stream = self._route_match.route.kind is RouteKind.STREAM
        if not is_stream or not self._elsewhere.held.holds_others(self.trace):
            yield
            return
        task = start_task(self._end_held(listed), "end-held")
        try:
            yield
        finally:
            task.cancel()

    async def _end_held(self, listed: ListedTarget) -> None:
        """End the attempts at silent targets once this one has taken the request.

        It may read a long prompt, and two targets may not work on a stream for long. It
        has taken the request if it has not rejected it for a while, but answers others.
        """
        is_answered = False
        while not is_answered:
            await asyncio.sleep(TAKEN_SECONDS)
            is_answered = await self._deps.paths.is_answered(
                listed.target_group, listed.target
            )
        _log.info(
            "forward: target has taken the request",
            request_id=self._request.caller_id,
            target=listed.target,
        )
        self._elsewhere.held.end_others(self.trace)

    def _check_seconds(self, call: ForwardCall) -> float:
        """Return how long to wait for a response between checks of the paths."""
        if call.may_reuse_connection:
            return QUIET_SECONDS
        return new_connection_check_seconds(
            self._route_match.route, call.remaining_seconds
        )

    def _check_silence(
        self, call: ForwardCall, run: AttemptRun, timeout_seconds: float
    ) -> None:
        """Check the paths to a target without response, and hold the attempt if due.

        Before its timeout this is only done if this daemon hears from no target.

        Args:
            call: The call that waits.
            run: The attempt.
            timeout_seconds: When its timeout ends.
        """
        paths, target_group = self._deps.paths, self._standing.work.target_group
        if not call.may_reuse_connection:
            paths.note_failed(target_group, call.target)
        paths.note_quiet(target_group)
        is_cut = paths.are_lost(target_group) and paths.is_quiet(target_group)
        now_seconds = self._deps.clock.now_seconds()
        if not is_cut and now_seconds < timeout_seconds - EARLY_SECONDS:
            return
        silent_seconds = now_seconds - self._sent_seconds
        is_held = self._hold_if_silent(call.target, run, silent_seconds)
        if is_held and call.may_reuse_connection:
            self._deps.client.note_silent(call.target, silent_seconds)

    def _note_pause(
        self, target: TargetId, run: AttemptRun, silent_seconds: float
    ) -> None:
        """Hold the attempt at a target that pauses after its headers, if due."""
        self._hold_if_silent(target, run, silent_seconds)

    def _hold_if_silent(
        self, target: TargetId, run: AttemptRun, silent_seconds: float
    ) -> bool:
        """Hold the attempt at a silent target if the request may be tried elsewhere."""
        if not self._elsewhere.may_try(self.trace):
            return False
        _log.info(
            "forward: target silent",
            request_id=self._request.caller_id,
            target=target,
            silent_seconds=round(silent_seconds, 3),
        )
        self._deps.metrics.count("silent_attempts_held")
        self._note_silence(target, silent_seconds)
        self._relay.yield_turn(self.trace)
        run.hold()
        return True

    async def _handle_answer(
        self,
        listed: ListedTarget,
        answer: ForwardResponse,
        timeouts: StreamTimeouts,
        sent_seconds: float,
    ) -> AttemptResult:
        target = listed.target
        head = answer.head
        self._deps.on_answer_headers(listed, head, sent_seconds)
        if head.was_not_run or head.is_other_target:
            self.is_sent = False
            await self._read_rejection(answer)
            self._note_rejection(target, answer)
            return AttemptResult(AttemptEnd.NOT_RUN, f"rejected with {head.status}")
        if self._standing.work.model and head.weights_version is not None:
            self._deps.targets.note_weights(
                target, self._standing.work.model, head.weights_version
            )
        calls = AttemptCalls(self._note_first, self._note_written)
        try:
            result = await self._relay.relay(answer, timeouts, self.trace, calls)
        finally:
            answer.close()
        if result is not RelayEnd.CALLER_LEFT:
            ending = Ending.GOOD if result.end is None else Ending.BAD
            self._deps.targets.note_end(target, ending)
        return AttemptResult(result.end, result.value)

    def _note_silence(self, target: TargetId, silent_seconds: float) -> None:
        """Count the silence of a target as a failure, unless it may be sound."""
        heard_ago_seconds = self._deps.client.heard_ago_seconds(target)
        self._is_sound_silence = is_sound_silence(silent_seconds, heard_ago_seconds)
        if not self._is_sound_silence:
            self._deps.targets.note_end(target, Ending.BAD)

    async def _read_rejection(self, answer: ForwardResponse) -> None:
        """Read a short rejection to its end, so that its connection can be reused."""
        try:
            async with running_timeout("rejection", _REJECTION_SECONDS):
                await answer.read_body(_MAX_REJECTION_BYTES)
        except (TargetError, TimeoutError) as error:
            _log.info("forward: rejection broke off", reason=str(error) or "late")
        finally:
            answer.close()

    def _progress(self) -> Progress:
        """Return the current progress of the request."""
        return Progress(
            self._standing.work.request,
            self._remaining_seconds(),
            self._relay.after_event,
            self._standing.sends.n_runs,
        )

    def _note_first(self) -> None:
        if not self._is_held:
            # Otherwise the scheduler has the request at another target.
            self._deps.dispatcher.first_token(self._standing.work.request)

    def _note_written(self) -> None:
        if not self._is_held:
            self._deps.dispatcher.note_written(self._standing.work.request)
        if is_resumable_stream(self._route_match.route):
            # Before the caller gets its first event, after which it may come again.
            self._deps.stream_versions.note_begun(
                self._request.stream,
                self._standing.work.target_group,
                self.trace.software_version,
            )

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
            targets.note_weights(
                target, self._standing.work.model, head.weights_version
            )

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
        if self._is_sound_silence:
            self._count_later(listed, MAX_SOUND_SILENCE_SECONDS)
            return FinishKind.LOSS_UNKNOWN
        is_once = self._route_match.route.kind is RouteKind.NON_IDEMPOTENT
        if is_once and not self._standing.work.parts:
            # It is not sent again here, so its caller needn't wait for the verdict.
            self._count_later(listed)
            return FinishKind.LOSS_UNKNOWN
        try:
            verdict = await self._deps.verdicts.ask(
                listed.start, lambda: self._deps.judge_start(listed)
            )
        except asyncio.CancelledError:
            self._count_later(listed)
            raise
        if verdict is StartVerdict.UNKNOWN:
            self._count_later(listed, FIRST_REPEAT_SECONDS)
        return FINISH_KIND_BY_VERDICT[verdict]

    def _count_later(self, listed: ListedTarget, delay_seconds: float = 0.0) -> None:
        """Count the loss of a target that is found out after this attempt."""
        run = EndedRun(
            self._standing.work,
            start_key(listed.target, listed.start.incarnation),
            self._sent_seconds,
            self.trace.has_written,
        )
        self._deps.verdicts.count_later(
            listed.start,
            lambda: self._deps.judge_start(listed),
            lambda: self._deps.dispatcher.note_lost(run),
            delay_seconds,
        )

    def _count_if_dead(self, listed: ListedTarget) -> None:
        """Find out whether a target that never responded is lost.

        The attempt ends as its time has run out, or its caller has left.
        """
        silent_seconds = self._deps.clock.now_seconds() - self._sent_seconds
        silent_seconds = min(
            silent_seconds, self._deps.client.heard_ago_seconds(listed.target)
        )
        if self.is_sent and silent_seconds >= MAX_SOUND_SILENCE_SECONDS:
            self._count_later(listed)
