"""Faults that a test or a demo asks the stand-ins to show.

A fault is a record. It waits in a ``FaultPlan`` until a call comes that it is
meant for, and is used up by it. The stand-ins ``match`` on the record.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar


@dataclass(frozen=True, slots=True)
class Truncated:
    """The answer ends after some events.

    Attributes:
        is_clean: End the HTTP body properly, so that only the missing
            ``[DONE]`` shows the loss; otherwise cut the connection.
    """

    after_events: int
    is_clean: bool = True


@dataclass(frozen=True, slots=True)
class Silent:
    """The connection stays open and nothing more comes over it."""

    after_events: int


@dataclass(frozen=True, slots=True)
class Doubled:
    """One event is sent twice."""

    event: int


@dataclass(frozen=True, slots=True)
class Skipped:
    """One event is left out."""

    event: int


@dataclass(frozen=True, slots=True)
class Crossed:
    """An event of another request's answer is sent in place of one event."""

    event: int


@dataclass(frozen=True, slots=True)
class WrongEcho:
    """The response headers name another request."""


@dataclass(frozen=True, slots=True)
class OtherBoot:
    """The response headers name another incarnation of the engine."""


@dataclass(frozen=True, slots=True)
class SlowFirstByte:
    """Nothing is sent for a while, then the answer comes as usual."""

    seconds: float


@dataclass(frozen=True, slots=True)
class Swallowed:
    """The request is read and neither run nor answered."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The target says no without running the request."""

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
    """A plain service cuts the connection before it runs the call."""


@dataclass(frozen=True, slots=True)
class CrashAfterRun:
    """A plain service runs the call, then restarts without an answer."""


@dataclass(frozen=True, slots=True)
class LostAnswer:
    """A plain service runs the call; its answer never arrives."""


ServiceFault = SlowCall | CrashBeforeRun | CrashAfterRun | LostAnswer | Refused

F = TypeVar("F")


@dataclass
class FaultPlan(Generic[F]):
    """Faults waiting for the calls that they are meant for."""

    _waiting: list[tuple[F, Callable[[str], bool]]] = field(default_factory=list)

    def add(
        self,
        fault: F,
        n_calls: int = 1,
        is_meant: Callable[[str], bool] = lambda text: True,
    ) -> None:
        """Let the next ``n_calls`` calls whose text ``is_meant`` show a fault."""
        self._waiting.extend([(fault, is_meant)] * n_calls)

    def take(self, text: str) -> F | None:
        """Return the fault of a call, if one waits for it, and use it up.

        Args:
            text: The prompt or the order body of the call.
        """
        for index, (fault, is_meant) in enumerate(self._waiting):
            if is_meant(text):
                del self._waiting[index]
                return fault
        return None

    def clear(self) -> None:
        """Forget all waiting faults."""
        self._waiting.clear()
