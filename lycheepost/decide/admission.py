"""Admission control: decides whether a request that must wait is queued.

With an unbounded queue under overload, every response starts only after its caller has
timed out: throughput is at its peak, but no response is useful. A request whose
predicted first token comes after its caller's timeout is therefore refused on arrival,
as not run and with a retry-after time, so that the caller can still go elsewhere.
"""

import random
from dataclasses import dataclass

from lycheepost.decide.queueing import CREDIT_SECONDS, FairQueue, QueuedRequest
from lycheepost.decide.records import RefusalReason, Work
from lycheepost.decide.settings import SchedulerSettings

RATE_TIME_CONSTANT_SECONDS = 5.0
"""Time constant of the measured service rate: long enough to average over some tens of
requests, short enough to follow a crash within a few seconds."""

MEASURE_INTERVAL_SECONDS = 1.0

MIN_PREDICTED_SECONDS = 0.1
BIAS_GAIN = 0.05
MAX_BIAS = 3.0
"""Larger errors are not corrected by the bias; they are faults of the prediction."""

GIVE_UP_SLACK = 1.2
"""A request is refused once it has waited this many times its budget: it would be
served too late anyway."""

MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 30.0
"""With a longer retry-after time callers do not come back at all."""

JITTER = 0.5
"""Spreads retries over 0.5 to 1.5 times the wait, so that refused callers do not
return in one burst."""


class ServiceRate:
    """Measures the engine seconds of work that are dispatched per second.

    While the queue is never empty, this is the capacity. Otherwise the measurement is
    only a lower bound and may not reduce the rate; if it did, the first burst after a
    period of low traffic would look like overload.
    """

    def __init__(self, initial: float) -> None:
        self._rate = initial
        self._cost_seconds = 0.0
        self._started_seconds: float | None = None
        self._was_empty = True

    def count(self, cost_seconds: float) -> None:
        """Count dispatched work."""
        self._cost_seconds += cost_seconds

    def update(self, now_seconds: float, is_backlogged: bool) -> None:
        """Record the queue's state; closes a measuring interval when due."""
        started_seconds = self._started_seconds
        if started_seconds is None:
            self._start(now_seconds)
            return
        self._was_empty = self._was_empty or not is_backlogged
        elapsed = now_seconds - started_seconds
        if elapsed < MEASURE_INTERVAL_SECONDS:
            return
        measured = self._cost_seconds / elapsed
        if measured > self._rate or not self._was_empty:
            self._rate += elapsed / RATE_TIME_CONSTANT_SECONDS * (measured - self._rate)
        self._start(now_seconds)

    def _start(self, now_seconds: float) -> None:
        self._started_seconds = now_seconds
        self._cost_seconds = 0.0
        self._was_empty = False

    def per_second(self) -> float:
        """Return engine seconds served per second."""
        return max(self._rate, 0.01)


@dataclass(frozen=True, slots=True)
class QueueWait:
    """Predicted wait in the queue.

    Attributes:
        is_own_share: Whether the customer's own queue is what makes it wait.
    """

    seconds: float
    is_own_share: bool


def predict_queue_wait(
    queue: FairQueue, waiting: QueuedRequest, rate: float, bias: float
) -> QueueWait:
    """Return how long a new request would wait in ``queue``.

    A customer gets at least its weight's share of the rate. It waits until the queue's
    virtual time reaches its own at that share, or for the whole queue at the full
    rate, whichever is less.

    Args:
        queue: The queue before the request.
        waiting: The request's entry.
        rate: Engine seconds served per second.
        bias: Recent ratio of observed to predicted waits.
    """
    lane = queue.lane(waiting.work.customer)
    active = [item.weight for item in queue.lanes.values() if item.waiting]
    weights = sum(active) + (0.0 if lane.waiting else lane.weight)
    ahead = queue.ahead_seconds(waiting) / lane.weight
    lead = max(lane.virtual_seconds - queue.virtual_seconds, -CREDIT_SECONDS)
    own_seconds = max(0.0, lead + ahead) * weights / rate
    all_seconds = queue.queued_cost_seconds / rate
    is_own_share = len(active) > 1 and own_seconds >= all_seconds / 2
    return QueueWait(bias * min(own_seconds, all_seconds), is_own_share)


class WaitBias:
    """Ratio of observed to predicted waits; corrects later predictions."""

    def __init__(self) -> None:
        self.value = 1.0

    def observe(self, waited_seconds: float, predicted_seconds: float) -> None:
        """Update the ratio with one request that left the queue."""
        if predicted_seconds < MIN_PREDICTED_SECONDS:
            return
        ratio = waited_seconds / (predicted_seconds / self.value)
        moved = self.value + BIAS_GAIN * (ratio - self.value)
        self.value = min(MAX_BIAS, max(1.0 / MAX_BIAS, moved))


def budget_seconds(work: Work, settings: SchedulerSettings) -> float:
    """Return the longest predicted first-token wait at which ``work`` is admitted."""
    share = work.first_token_timeout_seconds * settings.admit_wait_share
    return min(share, settings.queue_seconds)


def reason_of(wait: QueueWait) -> RefusalReason:
    """Return why a request with this predicted wait is refused."""
    if wait.is_own_share:
        return RefusalReason.OVER_SHARE
    return RefusalReason.DEADLINE


def retry_after_seconds(wait_seconds: float, rng: random.Random) -> float:
    """Return the retry-after time: the current queue's wait, with jitter."""
    spread = 1.0 - JITTER + 2 * JITTER * rng.random()
    seconds = max(MIN_RETRY_AFTER_SECONDS, wait_seconds) * spread
    return min(MAX_RETRY_AFTER_SECONDS, seconds)
