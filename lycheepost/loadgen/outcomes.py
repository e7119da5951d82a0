"""What happened to a request, as its caller saw it."""

from dataclasses import dataclass
from enum import Enum

from lycheepost.loadgen.requests import Completion, ServiceCall


class Executed(Enum):
    """What a refusal says about whether the request reached a target."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"
    ABSENT = "absent"
    """The refusal carried no such header, which is a fault by itself."""


@dataclass(frozen=True, slots=True)
class Answered:
    """An answer that claims to be whole.

    Attributes:
        text: All of the answer's text, in the order in which it came.
        echoed_request: The ``X-Request-Id`` of the response.
        finish_reason: As the answer says it; empty when it says none.
        ttft_seconds: From the send to the first text; for a whole answer to its
            end.
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
    """An error answer in place of the asked one.

    Attributes:
        code: The ``code`` of the OpenAI error body; empty when there is none.
        retry_after_seconds: None when the answer names no time.
    """

    status: int
    code: str
    executed: Executed
    retry_after_seconds: float | None
    seconds: float


@dataclass(frozen=True, slots=True)
class Truncated:
    """An answer that broke off.

    Attributes:
        text: What came before the break.
        is_explicit: The caller could tell: an error event or a broken
            connection. A stream that just ends, without a finish reason or a
            last marker, looks finished to a common client.
    """

    text: str
    is_explicit: bool


@dataclass(frozen=True, slots=True)
class GaveUp:
    """The caller's patience ran out before a first token or an answer."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Unreached:
    """No address took the connection, or it broke before any answer."""

    reason: str


@dataclass(frozen=True, slots=True)
class Dropped:
    """The caller closed the connection on purpose before the answer."""


CompletionOutcome = Answered | Refused | Truncated | GaveUp | Unreached
CallOutcome = ServiceAnswered | Refused | GaveUp | Unreached | Dropped


@dataclass(frozen=True, slots=True)
class CompletionRecord:
    """One completion and its end.

    Attributes:
        request_id: The ``X-Request-Id`` that was sent.
    """

    request: Completion
    request_id: str
    outcome: CompletionOutcome


@dataclass(frozen=True, slots=True)
class CallAttempt:
    """One send of a plain-service call."""

    request_id: str
    outcome: CallOutcome


@dataclass(frozen=True, slots=True)
class CallRecord:
    """One plain-service call and every send of it, in order of their ends."""

    request: ServiceCall
    attempts: tuple[CallAttempt, ...]


Record = CompletionRecord | CallRecord
