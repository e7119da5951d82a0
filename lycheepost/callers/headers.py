"""Check the request headers that callers may set."""

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from lycheepost.callers.errors import CallerError, invalid
from lycheepost.core.ids import IdempotencyKey
from lycheepost.decide.records import Priority
from lycheepost.generated.settings import LimitSettings

_TOKEN = re.compile(r"[\x21-\x7e]{1,200}")
"""Printable ASCII: safe in a log, a header and a table key."""

_PRIORITIES = {item.name.lower(): item for item in Priority}


@dataclass(frozen=True)
class CallerHeaders:
    """The options that a caller sets by headers.

    Attributes:
        caller_request_id: The caller's own id, echoed; empty when it sent none.
        idempotency_key: Identifies resends of a request; None when it sent none.
        first_token_timeout_seconds: How long the caller waits for a first token.
        is_marked_non_idempotent: The caller states that it must not run twice.
    """

    caller_request_id: str
    idempotency_key: IdempotencyKey | None
    first_token_timeout_seconds: float
    is_marked_non_idempotent: bool
    priority: Priority


def read_headers(
    headers: Mapping[str, str], limits: LimitSettings
) -> Result[CallerHeaders, CallerError]:
    """Check the headers of one request."""
    try:
        return Success(
            CallerHeaders(
                caller_request_id=_read_token(headers, "X-Request-Id"),
                idempotency_key=_read_key(headers),
                first_token_timeout_seconds=_read_timeout(headers, limits),
                is_marked_non_idempotent=_read_flag(headers, "X-Non-Idempotent"),
                priority=_read_priority(headers),
            )
        )
    except CallerError as error:
        return Failure(error)


def echoed_id(headers: Mapping[str, str]) -> str:
    """Return the caller's request id to echo; empty when it is missing or invalid."""
    value = headers.get("X-Request-Id", "")
    return value if _TOKEN.fullmatch(value) else ""


def _read_token(headers: Mapping[str, str], name: str) -> str:
    value = headers.get(name, "")
    if value and not _TOKEN.fullmatch(value):
        raise invalid(f"{name} must be 1 to 200 printable ASCII characters.", name)
    return value


def _read_key(headers: Mapping[str, str]) -> IdempotencyKey | None:
    value = _read_token(headers, "Idempotency-Key")
    return IdempotencyKey(value) if value else None


def _read_timeout(headers: Mapping[str, str], limits: LimitSettings) -> float:
    text = headers.get("X-Request-Timeout-Seconds")
    if text is None:
        return limits.default_patience_seconds
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < math.inf:
        name = "X-Request-Timeout-Seconds"
        raise invalid(f"{name} must be a positive number.", name)
    return min(seconds, limits.max_patience_seconds)


def _read_flag(headers: Mapping[str, str], name: str) -> bool:
    value = headers.get(name, "false").lower()
    if value not in ("true", "false"):
        raise invalid(f"{name} must be true or false.", name)
    return value == "true"


def _read_priority(headers: Mapping[str, str]) -> Priority:
    value = headers.get("X-Priority", Priority.NORMAL.name).lower()
    if value not in _PRIORITIES:
        raise invalid(f"X-Priority must be one of {sorted(_PRIORITIES)}.", "X-Priority")
    return _PRIORITIES[value]
