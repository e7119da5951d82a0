"""The errors that the daemon itself returns for forwarded requests.

``executed`` says whether a target may have run the request. After an error that says
"no", the request must never be sent to a target.
"""

from lycheepost.callers.errors import CallerError, ErrorType, Executed
from lycheepost.decide.routes import RouteFault

CONFIGURATION_RETRY_SECONDS = 0.3
"""A daemon that has just started receives its configuration in about this time."""

LEAVING_RETRY_SECONDS = 0.02
"""Any other daemon can take the request at once."""

DEADLINE_RETRY_SECONDS = 0.2
"""The queue that used up the request's time is shorter by then."""

CONFIRMATION_RETRY_SECONDS = 0.5
"""Another daemon that can reach the store serves the key at once."""


class AnswerCut(Exception):
    """An answer that has begun cannot be completed."""


def not_configured() -> CallerError:
    """Return the error of a daemon that has no configuration yet."""
    return CallerError(
        "This daemon has just started and holds no configuration yet.",
        status=503,
        type=ErrorType.SERVER,
        code="not_configured",
        retry_after_seconds=CONFIGURATION_RETRY_SECONDS,
    )


def key_unconfirmed() -> CallerError:
    """Return the error for a key or route that cannot be judged at the moment.

    Not 401 or 404: the key or route most likely exists, and another daemon may be able
    to tell.
    """
    return CallerError(
        "The configuration could not be confirmed of late; use another address.",
        status=503,
        type=ErrorType.SERVER,
        code="key_unconfirmed",
        retry_after_seconds=CONFIRMATION_RETRY_SECONDS,
    )


def configuration_behind() -> CallerError:
    """Return the error for a request that a newer configuration has routed here."""
    return CallerError(
        "This daemon does not know the newest configuration yet; use another address.",
        status=503,
        type=ErrorType.SERVER,
        code="configuration_behind",
        retry_after_seconds=CONFIGURATION_RETRY_SECONDS,
    )


def from_route_fault(fault: RouteFault) -> CallerError:
    """Return the error for a request that matches no route or has an unknown key."""
    match fault:
        case RouteFault.NO_ROUTE:
            return CallerError("No route matches.", status=404, code="no_route")
        case RouteFault.UNKNOWN_KEY:
            return CallerError(
                "The key is not known.",
                status=401,
                type=ErrorType.AUTHENTICATION,
                code="invalid_api_key",
            )


def stream_unknown(may_peers_know: bool) -> CallerError:
    """Return the error for the rest of a stream that nobody knows the begin of.

    At a target of another software version the rest would not fit.

    Args:
        may_peers_know: Whether another daemon may know it.
    """
    return CallerError(
        "It is not known which software version began this stream.",
        status=503,
        type=ErrorType.SERVER,
        code="stream_unknown",
        retry_after_seconds=LEAVING_RETRY_SECONDS if may_peers_know else None,
    )


def leaving() -> CallerError:
    """Return the error of a daemon that takes no new requests."""
    return CallerError(
        "This daemon is leaving; use another address.",
        status=503,
        type=ErrorType.SERVER,
        code="shutting_down",
        retry_after_seconds=LEAVING_RETRY_SECONDS,
    )


def too_late(executed: Executed) -> CallerError:
    """Return the error for a request whose deadline has passed."""
    return CallerError(
        "The request's time is up.",
        status=503 if executed is Executed.NO else 504,
        type=ErrorType.SERVER,
        code="deadline",
        executed=executed,
        retry_after_seconds=(
            DEADLINE_RETRY_SECONDS if executed is Executed.NO else None
        ),
    )


def outcome_unknown() -> CallerError:
    """Return the error for a request that may have run and has no response."""
    return CallerError(
        "The target was lost; whether it ran the request is not known.",
        status=502,
        type=ErrorType.SERVER,
        code="outcome_unknown",
        executed=Executed.UNKNOWN,
    )


def not_run(retry_after_seconds: float) -> CallerError:
    """Return the error for a request that no target ran."""
    return CallerError(
        "No target could take the request.",
        status=503,
        type=ErrorType.SERVER,
        code="not_run",
        retry_after_seconds=retry_after_seconds,
    )
