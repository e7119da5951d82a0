"""A system clock that includes time spent suspended, and a fake clock for tests.

A lease holder that was suspended must detect on resume that its lease has expired.
``CLOCK_MONOTONIC`` stops during suspension on Linux, so the system clock reads
``CLOCK_BOOTTIME``.
"""

import time
from dataclasses import dataclass
from typing import Protocol


class Clock(Protocol):
    """Interface through which components read the time."""

    def now_seconds(self) -> float:
        """Return seconds since an arbitrary start, including time spent suspended."""
        ...

    def wall_seconds(self) -> float:
        """Return seconds since the Unix epoch; may jump."""
        ...


class SystemClock:
    """The clock of this machine."""

    def now_seconds(self) -> float:
        """Return seconds of ``CLOCK_BOOTTIME``."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_seconds(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


@dataclass
class FakeClock:
    """A clock that only moves by ``advance``.

    Attributes:
        seconds: The time that both readings return.
    """

    seconds: float = 1_000_000.0

    def now_seconds(self) -> float:
        """Return the set time in seconds."""
        return self.seconds

    def wall_seconds(self) -> float:
        """Return the set time in seconds."""
        return self.seconds

    def advance(self, by_seconds: float) -> None:
        """Move the clock forward."""
        self.seconds += by_seconds
