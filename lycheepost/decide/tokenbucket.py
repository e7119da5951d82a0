"""A token bucket that may be overdrawn.

A customer may request five times its quota, in prompts of a hundred and of ten thousand
tokens. If a request had to fit into the bucket's level, the short ones would keep the
bucket nearly empty and the long ones would never be admitted. So a request of any size
is admitted while the bucket isn't empty, and the next one waits until the debt is
refilled.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Units that may be spent now.

    Attributes:
        rate_per_second: Units refilled per second.
        capacity: Maximum level.
        level: Units at ``at_seconds``; negative if overdrawn.
        at_seconds: When the level was last updated.
    """

    rate_per_second: float
    capacity: float
    level: float
    at_seconds: float

    def refill(self, now_seconds: float) -> None:
        """Add the units refilled since the last update."""
        elapsed_seconds = now_seconds - self.at_seconds
        if elapsed_seconds <= 0.0:
            return
        self.at_seconds = now_seconds
        refilled = self.level + self.rate_per_second * elapsed_seconds
        self.level = min(self.capacity, refilled)

    def add(self, units: float) -> None:
        """Add units, or subtract them if ``units`` is negative."""
        self.level = min(self.capacity, self.level + units)

    def set_terms(self, rate_per_second: float, capacity: float) -> None:
        """Change rate and capacity; added capacity can be spent at once."""
        self.level = min(capacity, self.level + max(0.0, capacity - self.capacity))
        self.rate_per_second = rate_per_second
        self.capacity = capacity

    def wait_seconds(self, units: float = 0.0) -> float:
        """Return the time until the bucket holds more than ``units``; 0 for now."""
        if self.level > units:
            return 0.0
        return (units - self.level) / self.rate_per_second
