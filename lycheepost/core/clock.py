"""Clocks: one that counts suspension, and a fake one for tests.

A lease holder that was suspended must see on waking that its lease has run
out. ``CLOCK_MONOTONIC`` stands still during suspension on Linux, so the system
clock here reads ``CLOCK_BOOTTIME``.
"""

import time
from dataclasses import dataclass
from typing import Protocol


class Clock(Protocol):
    """What parts of the program may ask about time."""

    def now_seconds(self) -> float:
        """Return seconds since an arbitrary start, counting suspension."""
        ...

    def wall_seconds(self) -> float:
        """Return seconds since the Unix epoch; it may jump."""
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
    """A clock that moves only when told to.

    Attributes:
        seconds: What both readings return.
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
