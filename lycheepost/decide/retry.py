"""A budget for second tries.

When many targets fail at once, every request would be tried again and the rest
of the fleet would get the load twice over, and fail too. In any ten seconds a group
gets a few retries, and a share of one for each first try.
"""

import random
from collections import deque
from dataclasses import dataclass

NO_OUTPUT_PAUSE_SECONDS = 0.1
"""Longest pause of a request that had no output yet when its target was lost."""

OUTPUT_PAUSE_SECONDS = (0.2, 0.35)
"""Pause of a request that had begun to answer. Whatever killed the target has
mostly been tried again and found out by then, so that an innocent request does
not meet it a second time. A caller notices a gap of that length hardly, and only
when an engine dies."""

SLOT_SECONDS = 0.5
"""Counts are kept for so long together; the window is longer by one of them, so that
no span of its length escapes."""

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


@dataclass(slots=True)
class _Slot:
    """Counts of a short span of time."""

    started_seconds: float
    n_requests: int = 0
    n_retries: int = 0


@dataclass(frozen=True, slots=True)
class RetryTerms:
    """What may be tried again.

    Attributes:
        share: Retries allowed for each request of the window.
        burst: Retries allowed beyond that.
        window_seconds: In any span of this length.
    """

    share: float
    burst: float = BURST_RETRIES
    window_seconds: float = 10.0


class RetryBudget:
    """Retries still allowed, in any span as long as the window.

    Counted exactly, not by tokens that trickle in: a target that is lost takes tens
    of requests with it in one moment, and those may all be tried again if little
    was retried before, while the sum over any window stays inside the bound.

    Args:
        terms: What is allowed.
    """

    def __init__(self, terms: RetryTerms) -> None:
        self._terms = terms
        self._slots: deque[_Slot] = deque()

    def set_terms(self, terms: RetryTerms) -> None:
        """Follow a change of what is allowed, or of this daemon's part of it."""
        self._terms = terms

    def note_first_attempt(self, now_seconds: float) -> None:
        """Count a first try."""
        self._slot(now_seconds).n_requests += 1

    def spend(self, now_seconds: float) -> bool:
        """Take one retry; False when the budget is spent."""
        slot = self._slot(now_seconds)
        n_requests = sum(item.n_requests for item in self._slots)
        n_retries = sum(item.n_retries for item in self._slots)
        if n_retries + 1 > self._terms.burst + self._terms.share * n_requests:
            return False
        slot.n_retries += 1
        return True

    def _slot(self, now_seconds: float) -> _Slot:
        """Return the slot of the present time, without those before the window."""
        slots = self._slots
        first_seconds = now_seconds - self._terms.window_seconds - SLOT_SECONDS
        while slots and slots[0].started_seconds < first_seconds:
            slots.popleft()
        if not slots or now_seconds - slots[-1].started_seconds >= SLOT_SECONDS:
            slots.append(_Slot(now_seconds))
        return slots[-1]
