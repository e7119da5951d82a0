"""What can go wrong with a target, told apart by whether the request may have run.

That one difference decides what the caller may be told (``Lycheepost-Executed``)
and whether a call that must not be repeated may be tried elsewhere, so each
error carries it as ``execution``.
"""

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from lycheepost.core.errors import LycheepostError


class Execution(Enum):
    """Whether a request was run by the target."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


@dataclass(frozen=True)
class TargetError(LycheepostError):
    """A call to a target that failed.

    Attributes:
        execution: Whether the target may have run the request; ``NO`` is only
            used where it is certain.
    """

    execution: ClassVar[Execution] = Execution.UNKNOWN


@dataclass(frozen=True)
class TargetUnreachable(TargetError):
    """No connection came about, so not one byte of the request was sent."""

    execution: ClassVar[Execution] = Execution.NO


@dataclass(frozen=True)
class TargetRefused(TargetError):
    """The target itself said that it does not run the request.

    Attributes:
        status: Its HTTP status: 409 for other weights, 429 and 503 when it is
            busy, any other 4xx when the request itself is at fault.
        retry_after_seconds: When it says to come back; None when it does not.
        body: Its answer, for requests that are at fault themselves.
    """

    status: int
    retry_after_seconds: float | None = None
    body: bytes = b""
    execution: ClassVar[Execution] = Execution.NO


@dataclass(frozen=True)
class TargetLost(TargetError):
    """The request was sent and no usable answer began; it may have run."""


@dataclass(frozen=True)
class StreamLost(TargetError):
    """An answer that had begun cannot be completed on this target.

    Attributes:
        n_events: Events delivered so far, over all targets of this answer.
        n_tokens: Tokens delivered so far, over all targets.
        delivered_text: All text delivered so far; None when the answer holds
            more than text (tool calls, log probabilities), so that no other
            target can continue it.
    """

    n_events: int
    n_tokens: int
    delivered_text: str | None
    execution: ClassVar[Execution] = Execution.YES


@dataclass(frozen=True)
class StreamCrossed(StreamLost):
    """The target sent another request's answer; none of that was delivered."""
