"""A token bucket that may be overdrawn.

The load: a customer asks for five times its quota, in prompts of a hundred and of ten
thousand tokens. Where a request must fit into what the bucket holds, the short ones
keep it nearly empty and the long ones never get in. So a request passes whenever the
bucket isn't empty, whatever its size, and the next one waits until the debt is paid.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Units that may be spent now.

    Attributes:
        rate_per_second: Units that come back each second.
        capacity: Most units that are kept.
        level: Units at ``at_seconds``; a debt below 0.
        at_seconds: When the level was last brought up to date.
    """

    rate_per_second: float
    capacity: float
    level: float
    at_seconds: float

    def refill(self, now_seconds: float) -> None:
        """Add what has come back since."""
        elapsed_seconds = now_seconds - self.at_seconds
        if elapsed_seconds <= 0.0:
            return
        self.at_seconds = now_seconds
        refilled = self.level + self.rate_per_second * elapsed_seconds
        self.level = min(self.capacity, refilled)

    def add(self, units: float) -> None:
        """Add units, or take them where ``units`` is negative."""
        self.level = min(self.capacity, self.level + units)

    def set_terms(self, rate_per_second: float, capacity: float) -> None:
        """Follow a change; what a larger one holds more can be spent at once."""
        self.level = min(capacity, self.level + max(0.0, capacity - self.capacity))
        self.rate_per_second = rate_per_second
        self.capacity = capacity

    def wait_seconds(self, units: float = 0.0) -> float:
        """Return the time until the bucket holds more than ``units``; 0 for now."""
        if self.level > units:
            return 0.0
        return (units - self.level) / self.rate_per_second
