"""One daemon's share of the table's write budget.

The table allows a few hundred writes a second for all daemons together. A daemon
starts at an even share, increases its rate while the table accepts writes, and halves
it when the table throttles, never below nine tenths of an even share: if all daemons
write at that rate the table no longer throttles. The few daemons that carry
non-idempotent calls thus use the capacity that others leave unused, without exchanging
messages.
"""

from collections.abc import Callable
from dataclasses import dataclass

_INCREASE_FACTOR = 1.02
"""Growth per accepted write. A daemon in a fleet of 540, whose even share is one write
in two seconds, reaches twenty times that within two minutes, and seven busy daemons
exceed the table's limit by only a few writes between two refusals."""
_DECREASE_FACTOR = 0.5
_MIN_SHARE = 0.9
_ROUNDING_WRITES = 1e-6
"""Fraction of a write that may be missing; otherwise a wait shorter than the clock's
resolution would never end."""
_BURST_WRITES = 4.0
"""Writes that an idle daemon may send at once, so that a single claim does not wait."""


@dataclass(slots=True)
class WriteRateLimiter:
    """A token bucket whose rate adapts to what the table accepts.

    Attributes:
        get_even_share: Returns the writes a second for this daemon if all daemons write
            equally; decreases as the fleet grows.
        max_per_second: Writes a second that the table allows in total.
    """

    get_even_share: Callable[[], float]
    max_per_second: float
    rate: float = 0.0
    level: float = _BURST_WRITES
    updated_seconds: float = 0.0

    def __post_init__(self) -> None:
        self.rate = self.rate or self.get_even_share()

    def wait_seconds(self, now_seconds: float) -> float:
        """Return how long the next write must wait; 0 if it may be sent now."""
        self._refill(now_seconds)
        missing = 1.0 - self.level
        return missing / self.rate if missing > _ROUNDING_WRITES else 0.0

    def spend(self, now_seconds: float) -> None:
        """Count one write."""
        self._refill(now_seconds)
        self.level -= 1.0

    def accepted(self) -> None:
        """Record that the table accepted a write."""
        self.rate = min(self.max_per_second, self.rate * _INCREASE_FACTOR)

    def throttled(self) -> None:
        """Record that the table refused a write as over its rate limit."""
        least = self.get_even_share() * _MIN_SHARE
        self.rate = max(least, self.rate * _DECREASE_FACTOR)

    def _refill(self, now_seconds: float) -> None:
        elapsed_seconds = max(0.0, now_seconds - self.updated_seconds)
        self.level = min(_BURST_WRITES, self.level + elapsed_seconds * self.rate)
        self.updated_seconds = now_seconds
