"""Sends a request to a peer while this daemon itself reaches no target.

A peer serves it like a request of its own caller: it admits, places and charges it. How
its attempt ended decides what may follow, as with a target: what may have run is not
sent again unless it may be repeated.
"""

from collections.abc import Callable

import structlog
from returns.result import Failure, Success

from lycheepost.callers.awaiting import await_headers
from lycheepost.callers.errors import CallerError, ErrorType
from lycheepost.callers.forwardcalls import route_table
from lycheepost.callers.forwarddeps import ForwardDeps, ForwardRequest, RelayPeer
from lycheepost.callers.heldattempts import AttemptResult, AttemptRun, HeldAttempts
from lycheepost.callers.reading import AttemptCalls, AttemptTrace, StreamTimeouts
from lycheepost.callers.relaying import AnswerRelay, body_fields
from lycheepost.core.ids import CustomerId, RequestId, TargetId
from lycheepost.core.routing import Route
from lycheepost.decide.attempts import AttemptEnd, Sends
from lycheepost.decide.silence import idle_timeout_seconds
from lycheepost.targets.errors import TargetError, TargetUnreachable
from lycheepost.targets.forward import ForwardResponse
from lycheepost.targets.forwardcall import ForwardCall, RelayOptions, ResponseHead
from lycheepost.utils.runningtime import running_timeout

MAX_RELAYS = 2
"""Peers that one request may be sent to. If two refuse it, the fleet lacks capacity."""

PEER_MARGIN_SECONDS = 0.03
"""Lets a peer's own time-out response arrive before the request's time is up here."""

PEER_IDLE_FACTOR = 2.0
"""Idle time-out of a relayed stream, in those of a direct one: the peer first notices
the silence of its target and tries another."""

OTHER_DAEMON_RETRY_SECONDS = 0.02
"""Any other daemon can take the request at once."""

NO_PATHS_RETRY_SECONDS = 1.0
"""Retry time while no daemon reaches targets: paths are probed twice in it."""

_MAX_REFUSAL_BYTES = 65536
"""As for rejections of targets: a longer body is not read to its end."""
_REFUSAL_SECONDS = 0.05
"""The body of a refusal comes with its head; the request waits for it."""

_TOO_MANY_REQUESTS = 429

_log = structlog.get_logger(part="forward")


def never() -> bool:
    """Return False: no other peer is tried while the last one is silent."""
    return False


def no_path(has_peers: bool) -> CallerError:
    """Return the error of a daemon that reaches no target.

    Args:
        has_peers: Whether another daemon is known to reach targets.
    """
    return CallerError(
        "This daemon reaches no target; use another address.",
        status=503,
        type=ErrorType.SERVER,
        code="no_path",
        retry_after_seconds=(
            OTHER_DAEMON_RETRY_SECONDS if has_peers else NO_PATHS_RETRY_SECONDS
        ),
    )


def make_peer_call(
    request: ForwardRequest,
    peer: RelayPeer,
    sends: Sends,
    configuration: int,
    remaining_seconds: float,
    after_event: int | None,
    is_counted: bool,
) -> ForwardCall:
    """Return the call that relays a request to a peer.

    Args:
        request: The caller's request.
        peer: The peer.
        sends: The attempts before.
        configuration: Version of the configuration in force here.
        remaining_seconds: Until the deadline of the request.
        after_event: Id of the last event that the caller has received, if any.
        is_counted: Whether a daemon has counted its first attempt.
    """
    return ForwardCall(
        target=TargetId(peer.daemon),
        address=peer.address,
        request=RequestId(request.caller_id),
        method=request.method,
        raw_path=request.raw_path,
        headers=request.headers,
        body=request.body,
        remaining_seconds=remaining_seconds - PEER_MARGIN_SECONDS,
        customer=CustomerId(""),
        after_event=after_event,
        # Connections between daemons may go silent, and no second peer is tried while
        # one may still serve the request.
        may_reuse_connection=False,
        relay=RelayOptions(
            request.key,
            sends.n_runs,
            sends.n_arrivals,
            configuration,
            request.stream,
            is_counted,
        ),
    )


class PeerAttempts:
    """The attempts of one request at peers.

    Args:
        deps: The dependencies of forwarding.
        request: The caller's request.
        route: Its route.
        relay: Relays responses to the caller.
        held: The request's attempts whose targets or peers are silent.

    Attributes:
        is_sent: Whether a peer may be serving the request now.
        n_arrivals: How often the request arrived at targets in the last attempt, as
            stated by the peer; None if unknown.
        refusal: The last refusal of a peer; None before.
    """

    def __init__(
        self,
        deps: ForwardDeps,
        request: ForwardRequest,
        route: Route,
        relay: AnswerRelay,
        held: HeldAttempts,
    ) -> None:
        self.is_sent = False
        self.n_arrivals: int | None = None
        self.refusal: CallerError | None = None
        self._deps = deps
        self._request = request
        self._route = route
        self._relay = relay
        self._held = held

    async def send(
        self,
        peer: RelayPeer,
        sends: Sends,
        remaining_seconds: float,
        may_search: Callable[[], bool],
        is_counted: bool,
    ) -> AttemptEnd | None:
        """Send the request to one peer and relay its response.

        Args:
            peer: The peer.
            sends: The attempts before.
            remaining_seconds: Until the deadline of the request.
            may_search: Whether to try another peer while this one is silent.
            is_counted: Whether a daemon has counted its first attempt.

        Returns:
            How the attempt ended, or what the silence of the peer counts as, while the
            attempt is held; None when nothing more is due to the caller.
        """
        after_event = self._relay.after_event
        call = make_peer_call(
            self._request,
            peer,
            sends,
            route_table(self._deps).version,
            remaining_seconds,
            after_event,
            is_counted,
        )
        self.is_sent = True
        self.n_arrivals = None
        trace = AttemptTrace()
        run = AttemptRun(
            trace, self._held, lambda run: self._await_end(call, run, may_search)
        )
        result = await run.wait()
        end = self._relay.silent_end if result is None else result.end
        self._deps.metrics.count("relayed_to_peers")
        _log.info(
            "forward: relayed to a peer",
            request_id=self._request.caller_id,
            peer=peer.daemon,
            n_runs=sends.n_runs,
            n_arrivals_before=sends.n_arrivals,
            n_arrivals=self.n_arrivals,
            is_counted=is_counted,
            end="served" if end is None else end.value,
            first_seconds=self._relay.first_seconds,
            **body_fields(trace.body),
        )
        return end

    async def _await_end(
        self,
        call: ForwardCall,
        run: AttemptRun,
        may_search: Callable[[], bool],
    ) -> AttemptResult:
        def on_silent(_silent_seconds: float) -> None:
            if not self._held.holds(run.trace) and may_search():
                self._relay.yield_turn(run.trace)
                run.hold()

        send = self._deps.relays.client.send(call)
        waits_seconds = iter([call.remaining_seconds])
        match await await_headers(send, waits_seconds, lambda: None):
            case Failure(TargetUnreachable(reason=reason)):
                return AttemptResult(AttemptEnd.NOT_SENT, reason)
            case Failure(TargetError(reason=reason)):
                return AttemptResult(AttemptEnd.LOST, reason)
            case Success(answer):
                end = await self._handle_answer(answer, call, run.trace, on_silent)
                return AttemptResult(end, "relayed to a peer")
        raise AssertionError("a result is a success or a failure")

    async def _handle_answer(
        self,
        answer: ForwardResponse,
        call: ForwardCall,
        trace: AttemptTrace,
        on_silent: Callable[[float], None],
    ) -> AttemptEnd | None:
        self.n_arrivals = answer.head.n_arrivals
        if answer.head.was_not_run:
            self.refusal = _refusal(answer.head)
            await _read_refusal(answer)
            return AttemptEnd.NOT_RUN
        if not answer.head.is_sealed:
            answer.close()
            return AttemptEnd.LOST
        n_runs = 0 if call.relay is None else call.relay.n_runs
        idle_seconds = idle_timeout_seconds(self._route, Sends(n_runs=n_runs))
        if idle_seconds is not None:
            idle_seconds *= PEER_IDLE_FACTOR
        timeouts = StreamTimeouts(call.remaining_seconds, idle_seconds, on_silent)
        try:
            result = await self._relay.relay(answer, timeouts, trace, AttemptCalls())
        finally:
            answer.close()
        return result.end


async def _read_refusal(answer: ForwardResponse) -> None:
    """Read a refusal to its end, so that its connection can be reused."""
    try:
        async with running_timeout("refusal", _REFUSAL_SECONDS):
            await answer.read_body(_MAX_REFUSAL_BYTES)
    except (TargetError, TimeoutError) as error:
        _log.info("forward: refusal of a peer broke off", reason=str(error) or "late")
    finally:
        answer.close()


def _refusal(head: ResponseHead) -> CallerError:
    """Return the error that passes a peer's refusal on to the caller.

    Only a used-up quota keeps its status. Other refusals of a peer, also for a key or
    route that it does not know yet, say nothing of the other daemons.
    """
    is_quota = head.status == _TOO_MANY_REQUESTS
    return CallerError(
        "A peer refused the request.",
        status=_TOO_MANY_REQUESTS if is_quota else 503,
        type=ErrorType.RATE_LIMIT if is_quota else ErrorType.SERVER,
        code="over_quota" if is_quota else "peer_refused",
        retry_after_seconds=(
            head.notice.retry_after_seconds or OTHER_DAEMON_RETRY_SECONDS
        ),
    )
