"""One daemon's share of the table's write budget.

The table gives a few hundred writes a second to all daemons together. A daemon
starts from an even share, takes more while the table accepts it, and halves its
rate when the table throttles it (additive increase, multiplicative decrease),
so that the few daemons which carry non-idempotent calls use what the others
leave, without a message between them.
"""

from dataclasses import dataclass

_INCREASE_SHARE = 0.05
"""Part of the even share added after each accepted write."""
_DECREASE_FACTOR = 0.5
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
        even_share: Writes a second for this daemon if all write alike.
        most_per_second: The whole budget of the table.
    """

    even_share: float
    most_per_second: float
    rate: float = 0.0
    level: float = _BURST_WRITES
    updated_seconds: float = 0.0

    def __post_init__(self) -> None:
        self.rate = self.rate or self.even_share

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
        step = self.even_share * _INCREASE_SHARE
        self.rate = min(self.most_per_second, self.rate + step)

    def throttled(self) -> None:
        """Take note that the table refused a write as over its rate."""
        self.rate = max(self.even_share * _DECREASE_FACTOR, self.rate / 2)

    def _refill(self, now_seconds: float) -> None:
        elapsed_seconds = max(0.0, now_seconds - self.updated_seconds)
        self.level = min(_BURST_WRITES, self.level + elapsed_seconds * self.rate)
        self.updated_seconds = now_seconds
