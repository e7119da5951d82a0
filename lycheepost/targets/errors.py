"""Errors of calls to targets, distinguished by whether the request may have run.

That decides what the caller is told (``Lycheepost-Executed``) and whether a
non-idempotent call may be sent to another target, so each error states it as
``execution``.
"""

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from lycheepost.core.errors import LycheepostError


class Execution(Enum):
    """Whether the target ran a request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


@dataclass(frozen=True)
class TargetError(LycheepostError):
    """A call to a target that failed.

    Attributes:
        execution: Whether the target may have run the request; ``NO`` only where
            it is certain that it did not.
    """

    execution: ClassVar[Execution] = Execution.UNKNOWN


@dataclass(frozen=True)
class TargetUnreachable(TargetError):
    """No connection was established, so no byte of the request was sent."""

    execution: ClassVar[Execution] = Execution.NO


@dataclass(frozen=True)
class TargetRefused(TargetError):
    """The target responded that it does not run the request.

    Attributes:
        status: Its HTTP status: 409 for other weights, 429 and 503 when it is
            busy, any other 4xx when the request is invalid.
        retry_after_seconds: Its ``Retry-After``; None without one.
        body: Body of the response, passed to the caller of an invalid request.
    """

    status: int
    retry_after_seconds: float | None = None
    body: bytes = b""
    execution: ClassVar[Execution] = Execution.NO


@dataclass(frozen=True)
class TargetLost(TargetError):
    """The request was sent, but no usable response began; it may have run."""


@dataclass(frozen=True)
class TargetMalformed(TargetLost):
    """Bytes came that are no usable response, or too many; it may have run.

    The target was reached, so this says nothing against the daemon's own paths.
    """


@dataclass(frozen=True)
class StreamLost(TargetError):
    """An answer that has begun cannot be completed by this target.

    Attributes:
        n_events: Events delivered so far, over all targets of this answer.
        n_tokens: Tokens delivered so far, over all targets.
        delivered_text: All text delivered so far; None when the answer contains
            more than text (tool calls, log probabilities) and so cannot be
            continued by another target.
    """

    n_events: int
    n_tokens: int
    delivered_text: str | None
    execution: ClassVar[Execution] = Execution.YES


@dataclass(frozen=True)
class StreamCrossed(StreamLost):
    """The target sent data of another request; none of that was delivered."""
