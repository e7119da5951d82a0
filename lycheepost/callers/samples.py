"""What one finished request tells the service-level report."""

from dataclasses import dataclass
from enum import Enum

from lycheepost.core.ids import CustomerId, ModelId


class Result(Enum):
    """How a request ended for its caller."""

    SUCCESS = "success"
    REFUSED = "refused"
    FAILED = "failed"
    CALLER_ERROR = "caller_error"
    CALLER_GONE = "caller_gone"


@dataclass(frozen=True, slots=True)
class Sample:
    """One finished request.

    Attributes:
        name: The model, or the target group of a plain service.
        ttft_seconds: Time to the first token; None when none came.
        token_gap_seconds: Mean time between tokens; None below two tokens.
        prompt_tokens: As the engine counted them; 0 when unknown.
        cached_tokens: Prompt tokens that the engine found in its cache.
        is_at_most_once: A call that must not run twice.
        is_undetermined: A non-idempotent call whose outcome nobody can tell.
    """

    customer: CustomerId
    name: ModelId
    result: Result
    ttft_seconds: float | None = None
    token_gap_seconds: float | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    is_at_most_once: bool = False
    is_undetermined: bool = False
