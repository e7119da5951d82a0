"""What a customer requests from the whole fleet, admitted or not."""

import math
from dataclasses import dataclass

MEMORY_SECONDS = 1.0
"""Time constant of the average: long enough for some requests of each customer that
comes near its quota, short enough to notice a burst."""


@dataclass(slots=True)
class QuotaDemand:
    """An exponential average of the units requested per second."""

    _units: float = 0.0
    _at_seconds: float = 0.0

    def add(self, units: float, now_seconds: float) -> None:
        """Count requested units."""
        self._units = self._recent_units(now_seconds) + units
        self._at_seconds = now_seconds

    def per_second(self, now_seconds: float) -> float:
        """Return the units requested per second."""
        return self._recent_units(now_seconds) / MEMORY_SECONDS

    def _recent_units(self, now_seconds: float) -> float:
        elapsed_seconds = max(0.0, now_seconds - self._at_seconds)
        return self._units * math.exp(-elapsed_seconds / MEMORY_SECONDS)
