"""A budget for second tries.

When many targets fail at once, every request would be tried again and the rest
of the fleet would get the load twice over, and fail too. First tries earn a
share of a retry each, up to a cap; a retry spends one.
"""

import random

NO_OUTPUT_PAUSE_SECONDS = 0.1
"""Longest pause of a request that had no output yet when its target was lost."""

OUTPUT_PAUSE_SECONDS = (0.2, 0.35)
"""Pause of a request that had begun to answer. Whatever killed the target has
mostly been tried again and found out by then, so that an innocent request does
not meet it a second time. A caller notices a gap of that length hardly, and only
when an engine dies."""

BURST_RETRIES = 64.0
"""One lost target's worth of requests in flight may all be retried at once."""


def retry_pause_seconds(has_output: bool, rng: random.Random) -> float:
    """Return how long to wait before a request is placed again after a loss.

    The load is the whole work of a lost target, which comes back in one moment.
    The pause spreads it over the rest of the fleet, and keeps daemons that do
    not see each other's placements from sending two suspects to one target.
    """
    if has_output:
        return rng.uniform(*OUTPUT_PAUSE_SECONDS)
    return rng.uniform(0.0, NO_OUTPUT_PAUSE_SECONDS)


class RetryBudget:
    """Retries still allowed.

    Args:
        share: Retries earned by one first try.
        burst: Most retries saved up.
    """

    def __init__(self, share: float, burst: float = BURST_RETRIES) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def set_burst(self, burst: float) -> None:
        """Follow a change of this daemon's part of the fleet's budget."""
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def earn(self) -> None:
        """Count a first try."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry; False when the budget is spent."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
