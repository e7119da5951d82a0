"""Retry budget.

When many targets fail at once, retrying every request would double the load on the rest
of the fleet, which would fail too. In any ten seconds a target group gets a fixed
number of retries plus a fraction of its first attempts.

A process that is bounded alone compares its retries with its requests of the same
window. Where the processes of a fleet are bounded together, all of them compare the
retries of each window with the requests of one and the same other window, which begins
half a length earlier. Whichever process gets a request, it then pays for the retries of
fixed windows only, and the sum of all processes keeps the bound when requests move from
one process to another.
"""

import random
from bisect import bisect_left
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import accumulate

from lycheepost.core.ids import RequestId

NO_OUTPUT_PAUSE_SECONDS = 0.1
"""Longest pause of a request without output when its target was lost."""

OUTPUT_PAUSE_SECONDS = (0.2, 0.35)
"""Pause of a request whose response had begun. By then the request that crashed the
target has mostly been retried and quarantined, so that an unrelated request does not
share a target with it again. Callers hardly notice a gap of this length, and it occurs
only when an engine is lost."""

MAX_UNSENT_SECONDS = 60.0
"""Longer than any request waits to be sent again."""

SLOT_SECONDS = 0.5
"""Length of one slot of counts. The window is extended by one slot, so that the bound
holds for every span of its length."""

BURST_RETRIES = 64.0
"""All requests in flight at one lost target may be retried at once."""


def retry_pause_seconds(has_output: bool, rng: random.Random) -> float:
    """Return how long to wait before a request is placed again after a loss.

    All requests of a lost target are retried at the same time. The pause spreads them
    over the rest of the fleet, and keeps daemons that don't know each other's
    placements from sending two suspects to one target.
    """
    if has_output:
        return rng.uniform(*OUTPUT_PAUSE_SECONDS)
    return rng.uniform(0.0, NO_OUTPUT_PAUSE_SECONDS)


@dataclass(slots=True)
class _Slot:
    """Counts of first attempts and retries in a short span of time."""

    started_seconds: float
    n_requests: int = 0
    n_retries: int = 0


@dataclass(frozen=True, slots=True)
class SameWindow:
    """Retries are compared with the requests of their own window."""


@dataclass(frozen=True, slots=True)
class EarlierWindow:
    """Retries are compared with the requests of a window that begins earlier.

    Attributes:
        lead_seconds: How much earlier.
    """

    lead_seconds: float


@dataclass(frozen=True, slots=True)
class RetryTerms:
    """Limits on retries.

    Attributes:
        share: Retries allowed per request in the window.
        burst: Retries allowed in addition.
        window_seconds: Length of the window; the limits hold for any span of it.
        requests: The requests that the share is of.
    """

    share: float
    burst: float = BURST_RETRIES
    window_seconds: float = 10.0
    requests: SameWindow | EarlierWindow = SameWindow()


def _cumulated(counts: Iterable[int]) -> list[int]:
    """Return the sums of all counts before each index, and of all."""
    return list(accumulate(counts, initial=0))


@dataclass(frozen=True, slots=True)
class _Window:
    """Counts of one window.

    Attributes:
        n_requests: The requests that the share is of.
        n_retries: Retries in the window until now.
        n_allowed: Retries that may be sent in it.
    """

    n_requests: int
    n_retries: int
    n_allowed: float

    @property
    def n_left(self) -> float:
        """Return how many more retries may be sent."""
        return self.n_allowed - self.n_retries


class RetryBudget:
    """Retry budget over a sliding window.

    It counts exactly instead of refilling a token bucket: a lost target interrupts tens
    of requests at once, and many of them may be retried if few were retried before,
    while the sum over any window stays within the bound.

    Args:
        terms: The limits on retries.
    """

    def __init__(self, terms: RetryTerms) -> None:
        self._terms = terms
        self._slots: deque[_Slot] = deque()
        self._unsent: dict[RequestId, _Slot] = {}
        self._sent: dict[RequestId, _Slot] = {}
        self._n_first_attempts = 0

    def set_terms(self, terms: RetryTerms) -> None:
        """Change the limits, or this daemon's share of them."""
        self._terms = terms

    def note_first_attempt(self, now_seconds: float) -> None:
        """Count a first attempt."""
        self._slot(now_seconds).n_requests += 1
        self._n_first_attempts += 1

    def spend(self, now_seconds: float) -> bool:
        """Take one retry; return False if the budget is exhausted."""
        slot = self._slot(now_seconds)
        if min(window.n_left for window in self._windows(now_seconds)) < 1:
            return False
        slot.n_retries += 1
        return True

    def reserve(self, request: RequestId, now_seconds: float) -> bool:
        """Take one retry for a request that is still to be sent."""
        if not self.spend(now_seconds):
            return False
        self._unsent[request] = self._slots[-1]
        return True

    def note_sent(self, request: RequestId, now_seconds: float) -> None:
        """Count a reserved retry from now on, when it is sent.

        Requests may wait for seconds before they are sent again. Counted from when they
        were reserved, those of two windows could arrive in one.
        """
        slot = self._unsent.pop(request, None)
        if slot is not None:
            slot.n_retries -= 1
            current = self._slot(now_seconds)
            current.n_retries += 1
            self._sent.pop(request, None)
            self._sent[request] = current

    def note_not_sent(self, request: RequestId) -> None:
        """Take a retry for reserved again, as no connection to its target was made."""
        slot = self._sent.pop(request, None)
        if slot is not None:
            self._unsent[request] = slot

    def give_back(self, request: RequestId) -> None:
        """Return a reserved retry that was not sent."""
        slot = self._unsent.pop(request, None)
        if slot is not None:
            slot.n_retries -= 1

    def status(self, now_seconds: float) -> dict[str, float]:
        """Return the counts of the window with the fewest retries left.

        ``n_first_attempts`` counts since the start.
        """
        self._slot(now_seconds)
        window = min(self._windows(now_seconds), key=lambda item: item.n_left)
        return {
            "n_first_attempts": self._n_first_attempts,
            "n_requests": window.n_requests,
            "n_retries": window.n_retries,
            "n_allowed": window.n_allowed,
        }

    def _windows(self, now_seconds: float) -> Iterator[_Window]:
        """Yield the counts of all windows that the current moment is in."""
        window_seconds = self._terms.window_seconds
        first_seconds = now_seconds - window_seconds - SLOT_SECONDS
        starts_seconds = [slot.started_seconds for slot in self._slots]
        n_requests = _cumulated(slot.n_requests for slot in self._slots)
        n_retries = _cumulated(slot.n_retries for slot in self._slots)
        first = bisect_left(starts_seconds, first_seconds)
        match self._terms.requests:
            case SameWindow():
                yield self._window(n_requests[-1] - n_requests[first], n_retries, first)
            case EarlierWindow(lead_seconds=lead_seconds):
                for index in range(first, len(starts_seconds)):
                    from_seconds = starts_seconds[index] - lead_seconds
                    begin = bisect_left(starts_seconds, from_seconds)
                    end = bisect_left(starts_seconds, from_seconds + window_seconds)
                    yield self._window(
                        n_requests[end] - n_requests[begin], n_retries, index
                    )

    def _window(self, n_requests: int, n_retries: list[int], first: int) -> _Window:
        """Return the counts of the window whose first slot has an index."""
        n_allowed = self._terms.burst + self._terms.share * n_requests
        return _Window(n_requests, n_retries[-1] - n_retries[first], n_allowed)

    def _history_seconds(self) -> float:
        """Return how long slots are kept: for all windows of the current moment."""
        match self._terms.requests:
            case SameWindow():
                lead_seconds = 0.0
            case EarlierWindow(lead_seconds=lead_seconds):
                pass
        return self._terms.window_seconds + SLOT_SECONDS + lead_seconds

    def _slot(self, now_seconds: float) -> _Slot:
        """Return the current slot, after dropping those before the window."""
        slots = self._slots
        self._drop_old(self._unsent, now_seconds - MAX_UNSENT_SECONDS)
        self._drop_old(self._sent, now_seconds - MAX_UNSENT_SECONDS)
        first_seconds = now_seconds - self._history_seconds()
        while slots and slots[0].started_seconds < first_seconds:
            slots.popleft()
        if not slots or now_seconds - slots[-1].started_seconds >= SLOT_SECONDS:
            slots.append(_Slot(now_seconds))
        return slots[-1]

    def _drop_old(self, slots: dict[RequestId, _Slot], first_seconds: float) -> None:
        """Forget retries of requests that have ended by now, the oldest first."""
        while slots:
            request, slot = next(iter(slots.items()))
            if slot.started_seconds >= first_seconds:
                return
            del slots[request]
