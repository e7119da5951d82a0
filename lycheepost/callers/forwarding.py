"""Serve one forwarded request.

identify -> admit -> place -> send -> relay -> settle, with the same queue, placement
and retry budget as every other request. ``decide.attempts`` decides what follows an
attempt that did not serve the caller.

An attempt whose target falls silent is held while the request is tried elsewhere. The
first target with a part of an answer ends the other attempts. If no other target takes
the request, it waits for the silent one.
"""

import asyncio
from dataclasses import replace

import structlog

from lycheepost.callers.errors import CallerError, Executed, from_refusal
from lycheepost.callers.forwardcalls import make_charge, route_table
from lycheepost.callers.forwarddeps import (
    CallerConnection,
    ForwardDeps,
    ForwardRequest,
)
from lycheepost.callers.forwarderrors import (
    AnswerCut,
    not_run,
    outcome_unknown,
    stream_unknown,
    too_late,
)
from lycheepost.callers.forwardidentify import identify
from lycheepost.callers.forwardwork import (
    bound_work,
    continued_work,
    deadline_seconds,
    first_sends,
    make_work,
    takes_up_stream,
)
from lycheepost.callers.heldattempts import HeldAttempts
from lycheepost.callers.peerrelay import MAX_RELAYS, PeerAttempts, never, no_path
from lycheepost.callers.reading import AttemptTrace
from lycheepost.callers.relaying import AnswerRelay
from lycheepost.callers.searches import Searches
from lycheepost.callers.sentlog import SentAttempt, sent_fields
from lycheepost.callers.targetattempt import Elsewhere, Standing, TargetAttempt
from lycheepost.core.ids import SoftwareVersion, TargetGroupId, TargetId
from lycheepost.decide.attempts import AttemptEnd, Step, last_step, next_step
from lycheepost.decide.records import (
    Dispatch,
    FinishKind,
    Outcome,
    RefusalReason,
    Refuse,
)
from lycheepost.decide.routes import RouteMatch

NOT_RUN_RETRY_SECONDS = 0.2
"""By then a target that was busy or changed its weights usually has capacity again."""

DEADLINE_MARGIN_SECONDS = 0.02
"""Lets the time-out response reach the caller before its own deadline."""

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
        self._relay = AnswerRelay(
            deps, request, route_match.route, caller, self._end_others
        )
        self._work = make_work(deps, request, route_match, route_table(deps))
        self._is_take_up = takes_up_stream(request, route_match.route)
        self._sends = first_sends(request.relayed)
        self._attempt: TargetAttempt | None = None
        self._begun_at: SoftwareVersion | None = None
        self._held = HeldAttempts()
        self._searches = Searches(
            request.caller_id, self._held, self._search_on, self._count_interrupted
        )
        self._has_retry = False
        self._is_counted = request.relayed is not None and (
            request.relayed.is_counted or request.relayed.n_arrivals > 0
        )
        self._refusing: frozenset[TargetId] = frozenset()
        self._peer_attempts = PeerAttempts(
            deps, request, route_match.route, self._relay, self._held
        )
        self._charge = make_charge(deps, request, route_match)
        self._deadline_seconds = deadline_seconds(route_match.route, request)
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
        is_at_target = self._attempt is not None and self._attempt.is_sent
        if is_at_target or self._peer_attempts.is_sent or self._sends.n_runs:
            return Executed.UNKNOWN
        return Executed.NO

    async def run(self) -> None:
        """Serve the request.

        Raises:
            CallerError: It is not served, and nothing has been sent to the caller yet.
        """
        try:
            await self._run_searches()
        finally:
            self._charge.settle(self.executed)
            self._release()

    async def _run_searches(self) -> None:
        remaining = self._remaining_seconds() - DEADLINE_MARGIN_SECONDS
        is_late = False
        try:
            async with asyncio.timeout(max(0.0, remaining)):
                await self._searches.run(self._search())
        except TimeoutError:
            # An error raised here would keep this one, which refers to its own task.
            is_late = True
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
                raise self._with_arrivals(error) from error
            # The headers of an error response would be read as part of the stream.
            self._relay.abort()
        except AnswerCut:
            self._relay.abort()
        if is_late:
            self._end_late()

    def _end_late(self) -> None:
        """End the request as its time is up."""
        self._log.info(
            "forward: out of time",
            n_sends=self._sends.n_sends,
            executed=self.executed.value,
            has_begun=self._relay.has_begun,
        )
        if not self._relay.has_begun:
            raise self._with_arrivals(too_late(self.executed))
        self._relay.abort()

    def _release(self) -> None:
        """Break the reference cycles, as collections are rare."""
        self._count_interrupted()
        self._relay.end()
        self._searches.end()

    def _with_arrivals(self, error: CallerError) -> CallerError:
        """Return an error that states how often this daemon sent the request."""
        n_here = self._sends.n_arrivals - first_sends(self._request.relayed).n_arrivals
        is_at_target = self._attempt is not None and self._attempt.is_sent
        return replace(error, n_arrivals=n_here + is_at_target)

    def _elapsed_seconds(self) -> float:
        now_seconds = self._deps.clock.now_seconds()
        return round(now_seconds - self._request.arrived_seconds, 4)

    def _remaining_seconds(self) -> float:
        return self._deadline_seconds - self._deps.clock.now_seconds()

    def _end_others(self, trace: AttemptTrace) -> None:
        """End all attempts but the one that begins to answer."""
        if not self._relay.has_begun:
            self._begun_at = trace.software_version
        self._held.end_others(trace)
        if self._held:
            self._return_retry()
            self._searches.interrupt()

    def _return_retry(self) -> None:
        """Return a reserved retry with which the request was not sent."""
        self._has_retry = False
        self._deps.dispatcher.give_back_retry(self._work.request)

    def _may_search(self, trace: AttemptTrace) -> bool:
        """Return whether to try another target beside a silent one.

        If so, a retry is reserved.
        """
        is_held, has_begun = self._held.holds(trace), self._relay.has_begun
        if self._has_retry or (is_held and self._searches.is_running):
            # Another search is due, or runs.
            return False
        if self._deps.paths.is_silent(self._target_group):
            # Another target would be silent as well, and use up a retry.
            return False
        if is_held:
            # They may take it by now, and there may be no others.
            excluded = self._work.excluded - self._refusing
            self._work = replace(self._work, excluded=excluded)
            self._refusing = frozenset()
        lost = self._relay.silent_end
        sends = self._sends if is_held else self._sends.add(lost)
        remaining_seconds = self._remaining_seconds()
        step = next_step(self._route_match.route, sends, lost, remaining_seconds)
        if step is not Step.TRY_AGAIN:
            return False
        if has_begun and not self._relay.can_continue:
            return False
        work = bound_work(self._work, self._begun_at) if has_begun else self._work
        self._has_retry = self._deps.dispatcher.take_retry(work)
        return self._has_retry

    def _count_interrupted(self) -> None:
        """Count an attempt that nobody waits for any more; its target may run it."""
        is_at_target = self._attempt is not None and self._attempt.is_sent
        if is_at_target or self._peer_attempts.is_sent:
            self._count(AttemptEnd.LOST)
        self._attempt = None

    async def _search(self) -> None:
        """Look for a target that serves the request.

        Raises:
            CallerError: None does.
            AnswerCut: None goes on with an answer that has begun.
        """
        try:
            await self._search_first()
        finally:
            self._return_retry()

    async def _search_first(self) -> None:
        """Look for the first target, and for others until one serves."""
        if self._deps.paths.are_lost(self._target_group):
            await self._serve_through_peers()
            return
        if self._is_take_up and not self._bind_to_origin():
            await self._serve_unknown_stream()
            return
        if not first_sends(self._request.relayed).n_runs:
            await self._charge.take()
        await self._place(await self._admit())

    async def _search_on(self, end: AttemptEnd | None) -> None:
        """Look for another target after, or beside, one at which the request is held.

        Args:
            end: How the held attempt ended; None while its target is silent.
        """
        try:
            outcome = await self._find_other(end or self._relay.silent_end)
            if outcome is not None:
                await self._place(outcome)
        finally:
            self._return_retry()

    async def _place(self, outcome: Outcome) -> None:
        """Send to the target of an outcome, and to others until one serves."""
        following: Outcome | None = outcome
        while following is not None:
            match following:
                case Refuse(reason=RefusalReason.NO_PATH):
                    await self._serve_through_peers(has_retry=True)
                    return
                case Refuse():
                    await self._handle_refusal(following)
                    return
                case Dispatch():
                    end = await self._try_target(following)
            if end is None:
                return
            if end in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_RUN):
                self._refusing |= {following.target}
            if end is AttemptEnd.NOT_SENT:
                self._deps.dispatcher.note_retry_not_sent(self._work.request)
            self._count(end)
            following = await self._find_other(end)

    async def _find_other(self, end: AttemptEnd) -> Outcome | None:
        """Return where to go after an attempt; None once nothing more is due."""
        if not await self._should_continue(end):
            return None
        await self._deps.paths.settle(self._target_group)
        has_retry, self._has_retry = self._has_retry, False
        is_free = end is AttemptEnd.NOT_SENT or has_retry
        if self._deps.paths.are_lost(self._target_group):
            await self._serve_through_peers(is_free)
            return None
        return await self._deps.dispatcher.readmit(self._work, is_free)

    async def _admit(self) -> Outcome:
        """Admit the request for its first attempt here."""
        if self._is_counted:
            # If it has arrived before, the daemon that relays it has taken this retry.
            return await self._deps.dispatcher.readmit(self._work, is_free=True)
        self._is_counted = True
        return await self._deps.dispatcher.admit(self._work)

    def _bind_to_origin(self) -> bool:
        """Bind the rest of a stream to the software version that began it.

        Returns:
            Whether that version is known.
        """
        version = self._deps.stream_versions.version_of(
            self._request.stream, self._target_group
        )
        if version is None:
            return False
        self._work = bound_work(self._work, version)
        return True

    async def _serve_unknown_stream(self) -> None:
        """Serve the rest of a stream through a peer that may know what began it."""
        may_peers_know = self._deps.stream_versions.may_peers_know(
            self._request.stream, self._target_group
        )
        self._deps.metrics.count("streams_of_unknown_version")
        refusal = stream_unknown(may_peers_know)
        if not may_peers_know:
            raise refusal
        await self._serve_through_peers(refusal=refusal)

    async def _serve_through_peers(
        self, has_retry: bool = False, refusal: CallerError | None = None
    ) -> None:
        """Serve the request through peers, as this daemon itself can't.

        A peer charges the customer's quota, unless the request has run before. It
        counts the request's first attempt, unless the request has arrived at a target
        before: then this daemon takes a retry for each peer. What the peer itself
        repeats is taken from the peer's budget.

        Args:
            has_retry: Whether a retry was taken that has not been used.
            refusal: The error if no peer serves it; None if this daemon reaches no
                target.
        """
        self._charge.settle(self.executed)
        blamed = self._deps.dispatcher.refuse_quarantined(self._work)
        if blamed is not None:
            await self._handle_refusal(blamed)
            return
        relays = self._deps.relays
        peers = relays.choose(self._target_group)
        # A peer that relayed the request to this daemon would get it back.
        is_last = relays.is_off or self._request.relayed is not None
        tried = () if is_last else peers[:MAX_RELAYS]
        for peer in tried:
            n_before = self._sends.n_arrivals
            has_retry = has_retry or not n_before or self._spend_retry()
            if not has_retry:
                break
            self._deps.dispatcher.note_retry_sent(self._work.request)
            # The key may have been revoked meanwhile.
            identify(self._deps, self._request)
            may_search = self._reserve_relay if peer is not tried[-1] else never
            remaining_seconds = self._remaining_seconds()
            end = await self._peer_attempts.send(
                peer,
                self._sends,
                remaining_seconds,
                may_search,
                self._is_counted,
            )
            if end is None:
                return
            # The peer may have counted it, whether or not it says how this ended.
            self._is_counted |= end is not AttemptEnd.NOT_SENT
            self._count(end)
            if not await self._should_continue(end):
                return
            if self._sends.n_arrivals > n_before:
                has_retry = False
            has_retry, self._has_retry = has_retry or self._has_retry, False
        if self._relay.has_begun:
            raise AnswerCut
        if self._sends.n_runs:
            await self._pass_on_failure()
        else:
            raise refusal or self._peer_attempts.refusal or no_path(bool(peers))

    def _reserve_relay(self) -> bool:
        """Return whether to try the next peer while one is silent."""
        if self._relay.has_begun and not self._relay.can_continue:
            return False
        self._has_retry = self._spend_retry()
        return self._has_retry

    def _retry_counts(self) -> dict[str, float]:
        """Return the counts of the retry budget if the request has arrived before."""
        if not self._sends.n_arrivals:
            return {}
        return self._deps.dispatcher.retry_counts(self._target_group)

    def _spend_retry(self) -> bool:
        return self._deps.dispatcher.spend_retry(self._target_group)

    async def _handle_refusal(self, refusal: Refuse) -> None:
        """End the request after the scheduler refused it."""
        if self._relay.has_begun:
            raise AnswerCut
        if self._sends.n_runs:
            await self._pass_on_failure()
            return
        raise from_refusal(refusal, Executed.NO)

    async def _pass_on_failure(self) -> None:
        """Relay the error of a target that ran the request, unless one may answer.

        Raises:
            CallerError: None has failed, or a silent one is held.
        """
        if self._held or not await self._relay.pass_on_failure():
            raise outcome_unknown()

    def _count(self, end: AttemptEnd) -> None:
        """Count an attempt that did not serve the caller."""
        self._sends = self._sends.add(end, self._peer_attempts.n_arrivals)
        self._attempt = None
        self._peer_attempts.is_sent = False
        self._peer_attempts.n_arrivals = None

    async def _should_continue(self, end: AttemptEnd) -> bool:
        """Return whether to try again after an attempt that did not serve the caller.

        Raises:
            CallerError: No attempt follows, and nothing has been sent to the caller.
            AnswerCut: No attempt follows, and part of an answer has been sent.
        """
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
                    self._work = bound_work(self._work, self._begun_at)
                return True
            case Step.PASS_ON | Step.GIVE_UP:
                await self._pass_on_failure()
            case Step.CUT_OFF:
                raise AnswerCut
            case Step.REFUSE:
                raise not_run(NOT_RUN_RETRY_SECONDS)
        return False

    async def _try_target(self, dispatch: Dispatch) -> AttemptEnd | None:
        """Send to one target; None when nothing more is due to the caller."""
        self._work = replace(
            self._work, excluded=self._work.excluded | {dispatch.target}
        )
        self._attempt = TargetAttempt(
            self._deps,
            self._request,
            self._route_match,
            self._relay,
            Standing(self._work, self._sends, self._deadline_seconds),
            Elsewhere(self._held, self._may_search),
        )
        listed = self._deps.targets.get(dispatch.target)
        sent = SentAttempt(
            dispatch,
            self._work,
            self._sends,
            None if listed is None else listed.software_version,
            self._relay.after_event,
            self._deps.clock.now_seconds(),
            self._request.relayed is not None,
            self._retry_counts(),
        )
        end: AttemptEnd | None = None
        kind = FinishKind.CANCELLED
        reason = "cancelled"
        try:
            end, reason, kind = await self._attempt.run(dispatch.target)
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
            is_served = kind is FinishKind.COMPLETE and end is None
            reason = "served" if is_served else reason
            self._log_sent(sent, reason, kind)

    def _log_sent(self, sent: SentAttempt, end: str, kind: FinishKind) -> None:
        trace = self._attempt.trace if self._attempt is not None else AttemptTrace()
        now_seconds = self._deps.clock.now_seconds()
        self._log.info(
            "forward: sent",
            end=end,
            finish=kind.value,
            quota_units=self._charge.units,
            **sent_fields(sent, self._request, self._relay, trace, now_seconds),
        )
