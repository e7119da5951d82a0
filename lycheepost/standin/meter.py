"""Counts the units that a stand-in serves, in total and in its busiest second."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class Meter:
    """Counts units served in each second of the service's clock.

    Attributes:
        limit_per_second: Maximum units in one second; more are throttled.
    """

    limit_per_second: float
    n_units: int = 0
    n_throttled: int = 0
    by_second: Counter[int] = field(default_factory=Counter)

    def admit(self, n_units: int, now_seconds: float) -> bool:
        """Count ``n_units``; return False if they exceed the limit."""
        second = int(now_seconds)
        if self.by_second[second] + n_units > self.limit_per_second:
            self.n_throttled += n_units
            return False
        self.by_second[second] += n_units
        self.n_units += n_units
        return True

    def busiest_second(self) -> int:
        """Return the number of units in the busiest second."""
        return max(self.by_second.values(), default=0)
