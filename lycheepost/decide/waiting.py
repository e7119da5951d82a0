"""Requests of one target group that wait: admission, refusals and expiry.

Pure logic.
"""

import math
import random
from collections import Counter
from collections.abc import Iterator

from lycheepost.core.ids import CustomerId, RequestId, SoftwareVersion
from lycheepost.decide.admission import (
    GIVE_UP_SLACK,
    MAX_RETRY_AFTER_SECONDS,
    QueueWait,
    ServiceRate,
    WaitBias,
    budget_seconds,
    predict_queue_wait,
    reason_of,
    retry_after_seconds,
)
from lycheepost.decide.latework import LateWork
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.placement import Choice, Placement, WaitingByTarget
from lycheepost.decide.queueing import FairQueue, QueuedRequest
from lycheepost.decide.records import Outcome, RefusalReason, Refuse, Work
from lycheepost.decide.settings import SchedulerSettings
from lycheepost.decide.shares import FairShares
from lycheepost.decide.waitingorder import Claim, WaitingOrder, return_seconds

MIN_COST_SECONDS = 0.01
"""Cost of a request without tokens, as for plain services. At zero cost a customer that
floods a service would never exceed its share."""

COLD_DISCOUNT = 1.0
"""Share of the allowed wait that full pressure takes from a prompt whose shared prefix
is not cached, so that a batch with one prefix is served together. Otherwise parts of
all batches are served, each prefix is evicted between its requests, and engines mostly
recompute. If too few such prompts are admitted, the queue empties; pressure falls."""

MAX_COLD_LEAD = -4.0
"""Lead over the fair order, in mean request costs, below which a customer's uncached
prefixes are admitted under pressure, so that every customer is served eventually."""

CROWDED_FULL_SHARE = 0.5
"""Share of full targets from which the group counts as crowded. Below it work waits for
a few, such as a hot prefix's owners, and refusing new work would leave others idle."""

INSIDE_TIMEOUT_SHARE = 0.7
"""Share of its first-token timeout that a customer inside its fair share may wait: it
is refused only if the engines are too slow. The rest covers prediction errors."""


NO_TARGET_RETRY_SECONDS = 1.0
"""Retry time without a target that may run the request. A replacement of one that
crashed registers within seconds."""


def _is_shared_prefix_cached(work: Work, choice: Choice) -> bool:
    levels = work.levels
    if len(levels) < 2:
        return True
    return choice.cached_tokens >= levels[-2].end_tokens


def work_cost_seconds(
    settings: SchedulerSettings, work: Work, uncached_tokens: int
) -> float:
    """Return the engine time that ``work`` takes."""
    prefill = uncached_tokens * settings.prefill_seconds_per_token
    decode = work.output_tokens * settings.decode_seconds_per_token
    return max(MIN_COST_SECONDS, prefill + decode)


class WaitingWork:
    """The waiting requests of one target group, and who is refused.

    Args:
        settings: Bounds of queues and waits.
        rng: Source of jitter.
        placement: The group's targets.
    """

    def __init__(
        self, settings: SchedulerSettings, rng: random.Random, placement: Placement
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._placement = placement
        self.queue = FairQueue()
        self.late = LateWork()
        self.shares = FairShares()
        self.order = WaitingOrder(Mechanism.SLACK_ORDER in settings.switched_off)
        self.awaited = WaitingByTarget()
        self.n_ahead = 0
        self.n_late = 0
        self.n_refused: Counter[RefusalReason] = Counter()
        self._rate = ServiceRate(1.0)
        self._usual_rate = ServiceRate(1.0)
        self._bias = WaitBias()

    def __len__(self) -> int:
        return len(self.queue) + len(self.late)

    def set_weights(self, weights: dict[CustomerId, float]) -> None:
        """Set each customer's weight in fair queueing."""
        self.queue.set_weights(weights)
        self.shares.set_weights(weights)

    def _usual_cost_seconds(self, work: Work) -> float:
        """Return the cost at the group's average cache hit rate.

        A prefix whose requests are refused is never cached, so their actual cost is
        high: demand measured by it would seem to grow, and more would be refused.
        """
        uncached_share = self._placement.rates.uncached_share
        uncached_tokens = int(work.prompt_tokens * uncached_share)
        return work_cost_seconds(self._settings, work, uncached_tokens)

    def note_arrival(self, work: Work, choice: Choice, now_seconds: float) -> None:
        """Count a request as demand of its customer."""
        self.order.observe(work, choice.uncached_tokens, now_seconds)
        self.shares.observe(work.customer, self._usual_cost_seconds(work), now_seconds)

    def note_dispatched(self, work: Work, cost_seconds: float) -> None:
        """Charge dispatched work to its customer and to the service rate."""
        self.queue.charge(work.customer, cost_seconds)
        self._rate.count(cost_seconds)
        self._usual_rate.count(self._usual_cost_seconds(work))

    def admit(
        self, work: Work, choice: Choice, cost_seconds: float, now_seconds: float
    ) -> Refuse | None:
        """Queue a request, or return its refusal."""
        budget = self._budget_seconds(work, choice, now_seconds)
        longest = max(budget, work.first_token_timeout_seconds * INSIDE_TIMEOUT_SHARE)
        give_up = now_seconds + min(budget * GIVE_UP_SLACK, longest)
        # A suspect may have waited apart before.
        give_up = min(give_up, work.arrived_seconds + work.first_token_timeout_seconds)
        waiting = self.queue.make_waiting(work, cost_seconds, now_seconds, give_up)
        rate = self._rate.per_second()
        wait = predict_queue_wait(self.queue, waiting, rate, self._bias.value)
        if wait.seconds + choice.wait_seconds > budget:
            return self._refuse(
                work, reason_of(wait), wait, now_seconds, choice.throttled_seconds
            )
        if self._is_full(work):
            return self._refuse(work, RefusalReason.QUEUE_FULL, wait, now_seconds)
        waiting.predicted_seconds = wait.seconds
        waiting.latest_dispatch_seconds = self._latest_dispatch_seconds(work, choice)
        waiting.place_seconds = self.order.place_seconds(work, choice.uncached_tokens)
        self.queue.push(waiting)
        self.set_awaited_target(waiting, choice)
        return None

    def _latest_dispatch_seconds(self, work: Work, choice: Choice) -> float:
        """Return until when work must be dispatched to meet its objective."""
        if Mechanism.LATE_LAST in self._settings.switched_off:
            return math.inf
        rates = self._placement.rates
        own_seconds = choice.uncached_tokens * rates.token_seconds
        own_seconds += rates.first_token_seconds
        return work.arrived_seconds + work.objective_seconds - own_seconds

    def _deprioritize_late(self, now_seconds: float) -> None:
        """Give requests whose objective has passed a lower priority."""
        for waiting in self.queue.all():
            if now_seconds > waiting.latest_dispatch_seconds:
                self.queue.remove(waiting.work.request)
                self.late.add(waiting)
                self.n_late += 1

    def in_order(self, limit: int) -> Iterator[QueuedRequest]:
        """Yield up to ``limit`` requests that can be on time, in order."""
        if self.order.is_used:
            return self.queue.in_place_order(limit, self.shares.is_within_share)
        return self.queue.in_order(limit, self.shares.is_within_share)

    def claim(self, work: Work) -> Claim:
        """Return what capacity a request that can be on time may use."""
        if not self.order.is_used:
            return Claim.USUAL
        return self.order.claim(work, self.shares.is_within_share(work.customer))

    def can_use(
        self, work: Work, choice: Choice, claim: Claim, now_seconds: float
    ) -> bool:
        """Return whether the chosen target has the capacity that ``work`` may use."""
        match claim:
            case Claim.USUAL:
                return choice.can_take
            case Claim.AHEAD:
                return choice.can_take or self._can_join(work, choice, now_seconds)

    def _can_join(self, work: Work, choice: Choice, now_seconds: float) -> bool:
        """Return whether a slot is free and ``work`` on time behind all work there.

        The engine runs part of that work after it, so it is sooner in most cases.
        """
        load = choice.load
        if not choice.has_room:
            return False
        due_seconds = work.arrived_seconds + work.objective_seconds
        due_seconds -= self._placement.rates.first_token_seconds
        due_seconds -= choice.uncached_tokens * load.token_seconds(now_seconds)
        if now_seconds + load.reading_seconds(now_seconds) > due_seconds:
            return False
        return load.has_slot(load.estimate(now_seconds)[1], now_seconds)

    def count_ahead(self, claim: Claim, choice: Choice) -> None:
        """Count a request that is sent to a target without the usual capacity."""
        self.n_ahead += claim is Claim.AHEAD and not choice.can_take

    def has_waited_long(self, waiting: QueuedRequest, now_seconds: float) -> bool:
        """Return whether a request of a customer inside its share waited half its time.

        Customers over their share keep the owner of its prefix full, so it is placed
        without the price of recomputation under pressure.
        """
        halfway = (waiting.enqueued_seconds + waiting.give_up_seconds) / 2
        return now_seconds > halfway and self.shares.is_within_share(
            waiting.work.customer
        )

    def set_awaited_target(self, waiting: QueuedRequest, choice: Choice) -> None:
        """Record the target that a request waits for."""
        self._clear_awaited_target(waiting)
        waiting.awaited_target = (choice.load.view.target, choice.uncached_tokens)
        self.awaited.add(*waiting.awaited_target)

    def _clear_awaited_target(self, waiting: QueuedRequest) -> None:
        if waiting.awaited_target is not None:
            self.awaited.remove(*waiting.awaited_target)
            waiting.awaited_target = None

    def remove(self, request: RequestId) -> bool:
        """Take a request out; False when it does not wait."""
        waiting = self.queue.remove(request) or self.late.remove(request)
        if waiting is None:
            return False
        self._clear_awaited_target(waiting)
        self._placement.room.release(request)
        return True

    def take(self, waiting: QueuedRequest, now_seconds: float) -> None:
        """Take a request out to dispatch it, and compare its wait to the predicted."""
        self.remove(waiting.work.request)
        waited_seconds = now_seconds - waiting.enqueued_seconds
        self._bias.observe(waited_seconds, waiting.predicted_seconds)

    def _budget_seconds(self, work: Work, choice: Choice, now_seconds: float) -> float:
        """Return how long from now ``work`` may wait for its first token."""
        if work.excluded:
            # A target failed it, not the load, so it may use the rest of its timeout.
            elapsed = now_seconds - work.arrived_seconds
            return max(0.0, work.first_token_timeout_seconds - elapsed) / GIVE_UP_SLACK
        if self.shares.is_within_share(work.customer):
            return work.first_token_timeout_seconds * INSIDE_TIMEOUT_SHARE
        budget = budget_seconds(work, self._settings)
        if (
            _is_shared_prefix_cached(work, choice)
            or self._lead_seconds(work) < MAX_COLD_LEAD
        ):
            return budget
        if (
            choice.can_take
            and self._placement.full_share(now_seconds) < CROWDED_FULL_SHARE
        ):
            return budget
        return budget * (1.0 - COLD_DISCOUNT * self._placement.pressure)

    def _lead_seconds(self, work: Work) -> float:
        mean_seconds = self.queue.mean_seconds or 1.0
        return self.queue.lead_seconds(work.customer) / mean_seconds

    def _is_full(self, work: Work) -> bool:
        own = len(self.queue.lane(work.customer).waiting)
        return (
            len(self) >= self._settings.queue_requests
            or own >= self._settings.customer_queue_requests
        )

    def _refuse(
        self,
        work: Work,
        reason: RefusalReason,
        wait: QueueWait,
        now_seconds: float,
        throttled_seconds: float = 0.0,
    ) -> Refuse:
        """Refuse, to be retried once the queue and the targets' throttling allow it."""
        self.n_refused[reason] += 1
        if self.order.is_used:
            wait_seconds = wait.seconds + throttled_seconds
            left_seconds = work.arrived_seconds + work.first_token_timeout_seconds
            left_seconds -= now_seconds
            seconds = return_seconds(wait_seconds, left_seconds, self._rng.random())
            return Refuse(work.request, reason, seconds)
        seconds = retry_after_seconds(wait.seconds, self._rng) + throttled_seconds
        seconds = min(MAX_RETRY_AFTER_SECONDS, seconds)
        return Refuse(work.request, reason, seconds)

    def update(self, now_seconds: float) -> None:
        """Update the measured rates and the customers' shares."""
        self._rate.update(now_seconds, len(self) > 0)
        self._usual_rate.update(now_seconds, len(self) > 0)
        self.shares.divide(self._usual_rate.per_second(), now_seconds)

    def refuse_expired(self, now_seconds: float) -> list[Outcome]:
        """Refuse requests whose time has run out, and mark those that are late."""
        outcomes: list[Outcome] = []
        for waiting in [*self.queue.all(), *self.late]:
            if now_seconds < waiting.give_up_seconds:
                continue
            self.remove(waiting.work.request)
            wait = QueueWait(waiting.work.first_token_timeout_seconds, False)
            outcomes.append(
                self._refuse(waiting.work, RefusalReason.DEADLINE, wait, now_seconds)
            )
        self._deprioritize_late(now_seconds)
        return outcomes

    def refuse_unserved(
        self, versions: frozenset[SoftwareVersion | None], now_seconds: float
    ) -> list[Outcome]:
        """Refuse requests bound to software versions that no target has any more.

        Args:
            versions: The versions of the targets that take new requests.
            now_seconds: The current time.
        """
        outcomes: list[Outcome] = []
        for waiting in [*self.queue.all(), *self.late]:
            bound = waiting.work.software_versions
            if bound is None or not bound.isdisjoint(versions):
                continue
            self.remove(waiting.work.request)
            wait = QueueWait(NO_TARGET_RETRY_SECONDS, False)
            outcomes.append(
                self._refuse(waiting.work, RefusalReason.NO_TARGET, wait, now_seconds)
            )
        return outcomes

    def works(self) -> list[Work]:
        """Return the waiting requests."""
        return [waiting.work for waiting in [*self.queue.all(), *self.late]]

    def refuse_all(self, reason: RefusalReason, now_seconds: float) -> list[Outcome]:
        """Refuse all waiting requests."""
        outcomes: list[Outcome] = []
        for waiting in [*self.queue.all(), *self.late]:
            self.remove(waiting.work.request)
            wait = QueueWait(0.0, False)
            outcomes.append(self._refuse(waiting.work, reason, wait, now_seconds))
        return outcomes

    def status(self) -> dict[str, object]:
        """Return a summary of the queue."""
        return {
            "n_waiting": len(self),
            "n_late": len(self.late),
            "queued_cost_seconds": round(self.queue.queued_cost_seconds, 3),
            "service_rate": round(self._rate.per_second(), 3),
            "order": self._order_status(),
        }

    def _order_status(self) -> dict[str, object]:
        """Return the order in use and what it has done since the start."""
        waiting_by_priority = Counter(
            waiting.work.priority.name.lower()
            for waiting in [*self.queue.all(), *self.late]
        )
        return {
            "is_by_slack": self.order.is_used,
            "reason": self.order.condition.reason,
            "waiting_by_priority": dict(sorted(waiting_by_priority.items())),
            "n_ahead": self.n_ahead,
            "n_late": self.n_late,
            "n_refused": dict(
                sorted((reason.value, n) for reason, n in self.n_refused.items())
            ),
        }
