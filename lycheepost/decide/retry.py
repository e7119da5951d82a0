"""A budget for second tries.

When many targets fail at once, every request would be tried again and the rest
of the fleet would get the load twice over, and fail too. First tries earn a
share of a retry each, up to a cap; a retry spends one.
"""

BURST_RETRIES = 64.0
"""One lost target's worth of requests in flight may all be retried at once."""


class RetryBudget:
    """Retries still allowed.

    Args:
        share: Retries earned by one first try.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = BURST_RETRIES

    def earn(self) -> None:
        """Count a first try."""
        self._tokens = min(BURST_RETRIES, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry; False when the budget is spent."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
