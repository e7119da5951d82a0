"""Sends a request to a peer while this daemon itself reaches no target.

A peer serves it like a request of its own caller: it admits, places and charges it. How
its attempt ended decides what may follow, as with a target: what may have run is not
sent again unless it may be repeated.
"""

from dataclasses import dataclass

from returns.result import Failure, Success

from lycheepost.callers.awaiting import await_headers
from lycheepost.callers.errors import CallerError, ErrorType
from lycheepost.callers.forwarddeps import ForwardDeps, ForwardRequest, RelayPeer
from lycheepost.callers.relaying import AnswerRelay, FirstByteTimeout, StreamTimeouts
from lycheepost.core.ids import CustomerId, RequestId, TargetId
from lycheepost.core.routing import Route
from lycheepost.decide.attempts import AttemptEnd, Sends
from lycheepost.decide.silence import idle_timeout_seconds
from lycheepost.targets.errors import TargetError, TargetUnreachable
from lycheepost.targets.forward import ForwardResponse
from lycheepost.targets.forwardcall import ForwardCall, RelayOptions, ResponseHead

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
_TOO_MANY_REQUESTS = 429


@dataclass(slots=True)
class PeerAttempts:
    """The attempts of one request at peers.

    Attributes:
        is_sent: Whether a peer may be serving the request now.
        refusal: The last refusal of a peer; None before.
    """

    is_sent: bool = False
    refusal: CallerError | None = None


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
    route: Route,
    peer: RelayPeer,
    n_runs: int,
    remaining_seconds: float,
    after_event: int | None,
) -> ForwardCall:
    """Return the call that relays a request to a peer.

    Args:
        request: The caller's request.
        route: Its route.
        peer: The peer.
        n_runs: On how many targets it may have run before.
        remaining_seconds: Until the deadline of the request.
        after_event: Id of the last event that the caller has received, if any.
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
        may_reuse_connection=route.is_repeatable,
        relay=RelayOptions(request.key, n_runs),
    )


async def try_peer(
    deps: ForwardDeps,
    call: ForwardCall,
    route: Route,
    sends: Sends,
    relay: AnswerRelay,
    attempts: PeerAttempts,
) -> AttemptEnd | None:
    """Send a request to one peer and relay its response.

    Args:
        deps: The dependencies of forwarding.
        call: The call to the peer.
        route: The route of the request.
        sends: The attempts before.
        relay: Relays the response to the caller.
        attempts: Updated with the state of this attempt.

    Returns:
        How the attempt ended; None when nothing more is due to the caller.
    """
    attempts.is_sent = True
    send = deps.relays.client.send(call)
    waits = iter([call.remaining_seconds])
    match await await_headers(send, waits, lambda: False):
        case Failure(TargetUnreachable()):
            attempts.is_sent = False
            return AttemptEnd.NOT_SENT
        case Failure(TargetError()):
            return AttemptEnd.LOST
        case Success(answer):
            pass
    if answer.head.was_not_run:
        attempts.is_sent = False
        attempts.refusal = _refusal(answer.head)
        await _read_refusal(answer)
        return AttemptEnd.NOT_RUN
    if not answer.head.is_sealed:
        answer.close()
        return AttemptEnd.LOST
    return await _relay(answer, call, route, sends, relay)


async def _relay(
    answer: ForwardResponse,
    call: ForwardCall,
    route: Route,
    sends: Sends,
    relay: AnswerRelay,
) -> AttemptEnd | None:
    idle_seconds = idle_timeout_seconds(route, sends)
    if idle_seconds is not None:
        idle_seconds *= PEER_IDLE_FACTOR
    timeouts = StreamTimeouts(call.remaining_seconds, idle_seconds, lambda: True)
    try:
        result = await relay.relay(answer, timeouts, lambda: None)
    except FirstByteTimeout:
        return AttemptEnd.LOST
    finally:
        answer.close()
    return result.end


async def _read_refusal(answer: ForwardResponse) -> None:
    """Read a refusal to its end, so that its connection can be reused."""
    try:
        await answer.read_body(_MAX_REFUSAL_BYTES)
    except TargetError:
        # The status alone counts; the connection is closed below.
        pass
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
        retry_after_seconds=head.notice.retry_after_seconds,
    )
