"""Errors returned to callers: OpenAI error bodies with the executed header.

``Lycheepost-Executed`` says whether a resend could run the request twice: ``no`` is
sent only if no byte of the request has been sent to a target.
"""

import math
from dataclasses import dataclass
from enum import Enum

import msgspec
from aiohttp import web

from lycheepost.core.errors import LycheepostError
from lycheepost.decide.records import RefusalReason, Refuse
from lycheepost.generated.callers import ErrorBody, ErrorDetail

EXECUTED_HEADER = "Lycheepost-Executed"
SHOULD_RETRY_HEADER = "x-should-retry"
"""The published OpenAI clients check this header before they resend."""

STORE_RETRY_SECONDS = 2.0
"""A store outage rarely ends sooner, and a person at a kiosk waits no longer."""


class Executed(Enum):
    """Whether the request may have run on a target."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorType(Enum):
    """The ``type`` field of an OpenAI error."""

    INVALID_REQUEST = "invalid_request_error"
    AUTHENTICATION = "authentication_error"
    PERMISSION = "permission_error"
    RATE_LIMIT = "rate_limit_error"
    SERVER = "server_error"


@dataclass(frozen=True, slots=True)
class RateLimit:
    """A limit that is used up, for the headers that OpenAI clients read.

    Attributes:
        unit: The unit's name in the headers.
        burst: Maximum number of units at once.
        reset_seconds: Until a request may be accepted again.
    """

    unit: str
    burst: float
    reset_seconds: float


@dataclass(frozen=True)
class CallerError(LycheepostError):
    """An error response.

    Attributes:
        status: HTTP status.
        code: Stable error code for programs.
        param: The invalid field, if any.
        executed: Whether the request may have run.
        retry_after_seconds: When a resend may succeed; None when it will not.
        rate_limit: The limit that the request exceeds; None for other errors.
        is_safe_to_resend: A resend cannot run the request twice: it did not run, or
            is idempotent, or its idempotency key prevents a second run.
        n_arrivals: How often the request arrived at targets; told to daemons only.
    """

    status: int = 400
    type: ErrorType = ErrorType.INVALID_REQUEST
    code: str = "invalid_request"
    param: str | None = None
    executed: Executed = Executed.NO
    retry_after_seconds: float | None = None
    is_safe_to_resend: bool = True
    n_arrivals: int = 0
    rate_limit: RateLimit | None = None


_REFUSALS: dict[RefusalReason, tuple[int, ErrorType, str]] = {
    RefusalReason.DEADLINE: (
        503,
        ErrorType.SERVER,
        "No target can give a first token within the request's timeout.",
    ),
    RefusalReason.QUEUE_FULL: (
        503,
        ErrorType.SERVER,
        "The queue is full.",
    ),
    RefusalReason.OVER_SHARE: (
        429,
        ErrorType.RATE_LIMIT,
        "The customer is over its share while others wait.",
    ),
    RefusalReason.NO_TARGET: (
        503,
        ErrorType.SERVER,
        "No target serves this now.",
    ),
    RefusalReason.QUARANTINED: (
        422,
        ErrorType.INVALID_REQUEST,
        "Targets were lost while they ran this request, or others with a part of its"
        " prompt; it is not tried again for now.",
    ),
    RefusalReason.RETRY_BUDGET: (
        503,
        ErrorType.SERVER,
        "The target failed and the retry budget is used up.",
    ),
    RefusalReason.TOO_LARGE: (
        503,
        ErrorType.SERVER,
        "The prompt is larger than the memory of any target.",
    ),
    RefusalReason.NO_PATH: (
        503,
        ErrorType.SERVER,
        "This daemon reaches no target; use another address.",
    ),
    RefusalReason.SHUTTING_DOWN: (
        503,
        ErrorType.SERVER,
        "This daemon is leaving; use another address.",
    ),
}


def from_refusal(refusal: Refuse, executed: Executed) -> CallerError:
    """Return the error for a scheduler's refusal.

    Args:
        refusal: The scheduler's outcome.
        executed: Whether an earlier target may have run the request.
    """
    status, error_type, reason = _REFUSALS[refusal.reason]
    return CallerError(
        reason,
        status=status,
        type=error_type,
        code=refusal.reason.value,
        executed=executed,
        retry_after_seconds=refusal.retry_after_seconds,
    )


def encode_error(error: CallerError) -> bytes:
    """Return the OpenAI error body."""
    detail = ErrorDetail(
        message=error.reason,
        type=error.type.value,
        param=error.param,
        code=error.code,
        lycheepost_executed=error.executed.value,
    )
    return msgspec.json.encode(ErrorBody(error=detail))


def error_headers(error: CallerError) -> dict[str, str]:
    """Return the headers of an error response."""
    headers = {EXECUTED_HEADER: error.executed.value}
    if error.retry_after_seconds is not None:
        # Not all clients understand fractions of a second.
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_seconds)))
    if error.rate_limit is not None:
        headers |= _rate_limit_headers(error.rate_limit)
    if not error.is_safe_to_resend:
        # The published clients resend by default; this request must not be resent.
        headers[SHOULD_RETRY_HEADER] = "false"
    return headers


def _rate_limit_headers(limit: RateLimit) -> dict[str, str]:
    return {
        f"x-ratelimit-limit-{limit.unit}": f"{limit.burst:.0f}",
        f"x-ratelimit-remaining-{limit.unit}": "0",
        f"x-ratelimit-reset-{limit.unit}": f"{limit.reset_seconds:.3f}s",
    }


def error_response(error: CallerError) -> web.Response:
    """Return the HTTP response of an error."""
    return web.Response(
        status=error.status,
        body=encode_error(error),
        content_type="application/json",
        headers=error_headers(error),
    )


def error_event(error: CallerError) -> bytes:
    """Return an error as the last event of a stream that has begun.

    No ``[DONE]`` follows, so that a client cannot take the response as complete.
    """
    return b"data: " + encode_error(error) + b"\n\n"


def invalid(reason: str, param: str | None = None, status: int = 400) -> CallerError:
    """Return an error for an invalid request."""
    return CallerError(reason, status=status, param=param)


def unauthenticated(reason: str) -> CallerError:
    """Return the error for a missing or unknown key."""
    return CallerError(
        reason,
        status=401,
        type=ErrorType.AUTHENTICATION,
        code="invalid_api_key",
    )


def store_unavailable(reason: str, executed: Executed = Executed.NO) -> CallerError:
    """Return the error for a claim that could not be written to the table service."""
    return CallerError(
        reason,
        status=503,
        type=ErrorType.SERVER,
        code="store_unavailable",
        executed=executed,
        retry_after_seconds=STORE_RETRY_SECONDS,
    )
