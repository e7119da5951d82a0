"""One daemon's share of the table's write budget.

The table gives a few hundred writes a second to all daemons together. A daemon
starts from an even share, takes more while the table accepts it, and halves its
rate when the table throttles it, never below nine tenths of an even share: with
all daemons there the table is not throttled any more. So the few
daemons which carry non-idempotent calls use what the others leave, without a
message between them.
"""

from collections.abc import Callable
from dataclasses import dataclass

_INCREASE_FACTOR = 1.02
"""Growth with each accepted write: a daemon of a fleet of 540, whose even share is
one write in two seconds, reaches twenty times that within two minutes, and seven
busy daemons overshoot the table by a few writes between two refusals."""
_DECREASE_FACTOR = 0.5
_LEAST_SHARE = 0.9
_ROUNDING = 1e-6
"""Part of a write that may be missing: waits too short for the clock to show would
never end."""
_BURST_WRITES = 4.0
"""Writes that a daemon which was idle may send at once: a claim that comes
alone must not wait."""


@dataclass(slots=True)
class WritePace:
    """A token bucket whose rate follows what the table accepts.

    Attributes:
        get_even_share: Returns the writes a second for this daemon if all write
            alike; it falls as the fleet grows.
        most_per_second: The whole budget of the table.
    """

    get_even_share: Callable[[], float]
    most_per_second: float
    rate: float = 0.0
    level: float = _BURST_WRITES
    updated_seconds: float = 0.0

    def __post_init__(self) -> None:
        self.rate = self.rate or self.get_even_share()

    def wait_seconds(self, now_seconds: float) -> float:
        """Return how long the next write must wait; 0 when it may go now."""
        self._refill(now_seconds)
        missing = 1.0 - self.level
        return missing / self.rate if missing > _ROUNDING else 0.0

    def spend(self, now_seconds: float) -> None:
        """Count one write."""
        self._refill(now_seconds)
        self.level -= 1.0

    def accepted(self) -> None:
        """Take note that the table took a write."""
        self.rate = min(self.most_per_second, self.rate * _INCREASE_FACTOR)

    def throttled(self) -> None:
        """Take note that the table refused a write as over its rate."""
        least = self.get_even_share() * _LEAST_SHARE
        self.rate = max(least, self.rate * _DECREASE_FACTOR)

    def _refill(self, now_seconds: float) -> None:
        elapsed_seconds = max(0.0, now_seconds - self.updated_seconds)
        self.level = min(_BURST_WRITES, self.level + elapsed_seconds * self.rate)
        self.updated_seconds = now_seconds
