"""Faults that tests and demos inject into the stand-ins.

A fault is a record. It stays in a ``FaultPlan`` until a matching call arrives, which
consumes it. The stand-ins ``match`` on the record.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar


@dataclass(frozen=True, slots=True)
class Truncated:
    """The answer ends after some events.

    Attributes:
        is_clean: Whether to end the HTTP body regularly, so that only the missing
            ``[DONE]`` shows the truncation; otherwise the connection is aborted.
    """

    after_events: int
    is_clean: bool = True


@dataclass(frozen=True, slots=True)
class Silent:
    """The connection stays open, but no data follows."""

    after_events: int


@dataclass(frozen=True, slots=True)
class Doubled:
    """One event is sent twice."""

    event: int


@dataclass(frozen=True, slots=True)
class Skipped:
    """One event is omitted."""

    event: int


@dataclass(frozen=True, slots=True)
class Crossed:
    """One event is replaced by an event of another request's answer."""

    event: int


@dataclass(frozen=True, slots=True)
class WrongEcho:
    """The response headers name another request."""


@dataclass(frozen=True, slots=True)
class OtherBoot:
    """The response headers name another incarnation of the engine."""


@dataclass(frozen=True, slots=True)
class SlowFirstByte:
    """The answer starts late, then continues as usual."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Swallowed:
    """The request is read, but neither run nor answered."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The target rejects the request without running it."""

    status: int
    retry_after_seconds: int = 1


@dataclass(frozen=True, slots=True)
class CrashAt:
    """The whole engine crashes after some events of this answer."""

    after_events: int


StreamFault = (
    Truncated
    | Silent
    | Doubled
    | Skipped
    | Crossed
    | WrongEcho
    | OtherBoot
    | SlowFirstByte
    | Swallowed
    | Refused
    | CrashAt
)


@dataclass(frozen=True, slots=True)
class SlowCall:
    """A plain service answers late."""

    seconds: float


@dataclass(frozen=True, slots=True)
class CrashBeforeRun:
    """A plain service aborts the connection before it runs the call."""


@dataclass(frozen=True, slots=True)
class CrashAfterRun:
    """A plain service runs the call, then restarts without an answer."""


@dataclass(frozen=True, slots=True)
class LostAnswer:
    """A plain service runs the call, but its answer is lost."""


ServiceFault = SlowCall | CrashBeforeRun | CrashAfterRun | LostAnswer | Refused

F = TypeVar("F")


@dataclass
class FaultPlan(Generic[F]):
    """Faults that wait for matching calls."""

    _waiting: list[tuple[F, Callable[[str], bool]]] = field(default_factory=list)

    def add(
        self,
        fault: F,
        n_calls: int = 1,
        matches: Callable[[str], bool] = lambda text: True,
    ) -> None:
        """Apply a fault to the next ``n_calls`` calls whose text ``matches``."""
        self._waiting.extend([(fault, matches)] * n_calls)

    def take(self, text: str) -> F | None:
        """Remove and return the first fault that matches a call.

        Args:
            text: The prompt or the order body of the call.
        """
        for index, (fault, matches) in enumerate(self._waiting):
            if matches(text):
                del self._waiting[index]
                return fault
        return None

    def clear(self) -> None:
        """Remove all waiting faults."""
        self._waiting.clear()
