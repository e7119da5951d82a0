"""Outcomes of requests as their callers see them."""

from dataclasses import dataclass
from enum import Enum

from lycheepost.loadgen.requests import Completion, ServiceCall


class Executed(Enum):
    """What a refusal says about whether the request reached a target."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"
    ABSENT = "absent"
    """The refusal has no such header, which is a violation."""


@dataclass(frozen=True, slots=True)
class Answered:
    """An answer that is marked as complete.

    Attributes:
        text: The answer's text in the order of arrival.
        echoed_request: The ``X-Request-Id`` of the response.
        finish_reason: The answer's finish reason; empty if it has none.
        ttft_seconds: Time from the send to the first text, or to the end of an
            answer that is not streamed.
        worst_gap_seconds: Longest time between two chunks with text.
    """

    text: str
    echoed_request: str
    finish_reason: str
    ttft_seconds: float
    worst_gap_seconds: float
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@dataclass(frozen=True, slots=True)
class ServiceAnswered:
    """A plain service's answer."""

    status: int
    body: bytes
    echoed_request: str
    seconds: float


@dataclass(frozen=True, slots=True)
class Refused:
    """An error response.

    Attributes:
        code: The ``code`` of the OpenAI error body; empty if it has none.
        retry_after_seconds: None if the response names no time.
    """

    status: int
    code: str
    executed: Executed
    retry_after_seconds: float | None
    seconds: float


@dataclass(frozen=True, slots=True)
class Truncated:
    """A truncated answer.

    Attributes:
        text: The text before the truncation.
        is_explicit: Whether the caller can detect the truncation by an error event
            or a broken connection. A stream that ends without a finish reason or a
            final marker looks finished to common clients.
    """

    text: str
    is_explicit: bool


@dataclass(frozen=True, slots=True)
class GaveUp:
    """The caller timed out before a first token or an answer."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Unreached:
    """No address accepted the connection, or it broke before any answer."""

    reason: str


@dataclass(frozen=True, slots=True)
class Dropped:
    """The caller intentionally closed the connection before the answer."""


CompletionOutcome = Answered | Refused | Truncated | GaveUp | Unreached
CallOutcome = ServiceAnswered | Refused | GaveUp | Unreached | Dropped


@dataclass(frozen=True, slots=True)
class CompletionRecord:
    """One completion and its outcome.

    Attributes:
        request_id: The ``X-Request-Id`` that was sent.
    """

    request: Completion
    request_id: str
    outcome: CompletionOutcome


@dataclass(frozen=True, slots=True)
class CallAttempt:
    """One attempt of a plain-service call."""

    request_id: str
    outcome: CallOutcome


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One plain-service call and all its attempts, in the order in which they ended."""

    request: ServiceCall
    attempts: tuple[CallAttempt, ...]


Record = CompletionRecord | CallRecord
