"""Scheduling within one target group: its queue, its targets and their rates."""

import math
import random
from collections import deque

from lycheepost.core.ids import CustomerId, RequestId, TargetId
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
from lycheepost.decide.load import InFlight, TargetLoad
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.placement import Choice, Placement, WaitingByTarget
from lycheepost.decide.quarantine import Quarantine
from lycheepost.decide.queueing import FairQueue, QueuedRequest
from lycheepost.decide.randomadmission import RandomAdmission
from lycheepost.decide.records import (
    Dispatch,
    FinishKind,
    Outcome,
    Placed,
    RefusalReason,
    Refuse,
    Work,
)
from lycheepost.decide.settings import SchedulerSettings
from lycheepost.decide.shares import FairShares
from lycheepost.decide.suspects import SuspectPlacement
from lycheepost.decide.throttling import TargetThrottle

SCANNED_REQUESTS = 8
"""Requests examined when a slot becomes free: enough to pass those that wait for a full
target, few enough to bound the cost of a decision under saturation."""

MIN_COST_SECONDS = 0.01
"""Cost of a request without tokens, as for plain services. At zero cost a customer that
floods a service would never exceed its share."""

PRESSURE_GAIN = 0.01
"""Per tick of 20 ms: the pressure follows the queue within about 2 s, which is longer
than a burst that the engines absorb and shorter than callers' timeouts."""

PRESSURE_FULL_SHARE = 0.25
"""Share of full targets from which a waiting request counts as pressure on the whole
group. The owners of one hot prefix are fewer. If their queue counted as pressure,
placing the prefix elsewhere would be too expensive and it would never gain owners."""

COLD_DISCOUNT = 1.0
"""Share of the allowed wait that full pressure takes from a prompt whose shared prefix
is not cached, so that a batch with one prefix is served together. Otherwise parts of
all batches are served, each prefix is evicted between its requests, and engines mostly
recompute. If too few such prompts are admitted, the queue empties; pressure falls."""

MAX_COLD_LEAD = -4.0
"""Lead over the fair order, in mean request costs, below which a customer's uncached
prefixes are admitted under pressure, so that every customer is served eventually."""

ENGINE_WAIT_SHARE = 0.05
"""Share of the first-token timeout that work may wait inside an engine. It can't be
ordered fairly or refused early there; without it engines idle between dispatches."""

CROWDED_FULL_SHARE = 0.5
"""Share of full targets from which the group counts as crowded. Below it work waits for
a few, such as a hot prefix's owners, and refusing new work would leave others idle."""

MAX_UNPUBLISHED_PROMPTS = 1_000
"""Prompts kept for peers if nothing collects them: about 30 s of a daemon's traffic."""

INSIDE_TIMEOUT_SHARE = 0.7
"""Share of its first-token timeout that a customer inside its fair share may wait: it
is refused only if the engines are too slow. The rest covers prediction errors."""


def _is_shared_prefix_cached(work: Work, choice: Choice) -> bool:
    levels = work.levels
    if len(levels) < 2:
        return True
    return choice.cached_tokens >= levels[-2].end_tokens


class Group:
    """Queue and targets of one target group."""

    def __init__(
        self,
        settings: SchedulerSettings,
        rng: random.Random,
        quarantine: Quarantine,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self.queue = FairQueue()
        self.late = LateWork()
        self.shares = FairShares()
        self.placement = Placement(settings, rng)
        self.throttle = TargetThrottle(self.placement.loads, rng)
        self.suspects = SuspectPlacement(quarantine, self.placement)
        self.admission = RandomAdmission(rng)
        self.placed: deque[Placed] = deque(maxlen=MAX_UNPUBLISHED_PROMPTS)
        self._running: dict[RequestId, TargetId] = {}
        self._rate = ServiceRate(1.0)
        self._usual_rate = ServiceRate(1.0)
        self._bias = WaitBias()
        self._awaited = WaitingByTarget()

    @property
    def n_waiting(self) -> int:
        """Return how many requests wait."""
        return len(self.queue) + len(self.late)

    def set_weights(self, weights: dict[CustomerId, float]) -> None:
        """Set each customer's weight in fair queueing."""
        self.queue.set_weights(weights)
        self.shares.set_weights(weights)

    def remove_target(self, target: TargetId) -> None:
        """Remove a target that is no longer configured."""
        self.placement.loads.pop(target, None)
        self.throttle.forget(target)

    def _cost_seconds(self, work: Work, uncached_tokens: int) -> float:
        prefill = uncached_tokens * self._settings.prefill_seconds_per_token
        decode = work.output_tokens * self._settings.decode_seconds_per_token
        return max(MIN_COST_SECONDS, prefill + decode)

    def _usual_cost_seconds(self, work: Work) -> float:
        """Return the cost at the group's average cache hit rate.

        A prefix whose requests are refused is never cached, so their actual cost is
        high: demand measured by it would seem to grow, and more would be refused.
        """
        uncached_share = self.placement.rates.uncached_share
        return self._cost_seconds(work, int(work.prompt_tokens * uncached_share))

    def arrive(self, work: Work, now_seconds: float) -> list[Outcome]:
        """Dispatch, queue or refuse one request."""
        self.placement.pauses.observe(work, now_seconds)
        choice = self._choose(work, now_seconds, self._awaited)
        if choice is None:
            seconds = retry_after_seconds(1.0, self._rng)
            return [Refuse(work.request, RefusalReason.NO_TARGET, seconds)]
        cost = self._cost_seconds(work, choice.uncached_tokens)
        self.shares.observe(work.customer, self._usual_cost_seconds(work), now_seconds)
        if choice.can_take and not len(self.queue):
            return [self._dispatch(work, choice, cost, now_seconds)]
        return self._enqueue(work, choice, cost, now_seconds)

    def has_capacity_for(self, work: Work, now_seconds: float) -> bool:
        """Return whether a target that has not failed ``work`` has capacity for it."""
        choice = self._choose(work, now_seconds, self._awaited)
        return choice is not None and choice.can_take

    def _enqueue(
        self, work: Work, choice: Choice, cost_seconds: float, now_seconds: float
    ) -> list[Outcome]:
        budget = self._budget_seconds(work, choice, now_seconds)
        longest = max(budget, work.first_token_timeout_seconds * INSIDE_TIMEOUT_SHARE)
        give_up = now_seconds + min(budget * GIVE_UP_SLACK, longest)
        waiting = self.queue.make_waiting(work, cost_seconds, now_seconds, give_up)
        rate = self._rate.per_second()
        wait = predict_queue_wait(self.queue, waiting, rate, self._bias.value)
        if wait.seconds + choice.wait_seconds > budget:
            return [self._refuse(work, reason_of(wait), wait, choice.throttled_seconds)]
        if self._is_full(work):
            return [self._refuse(work, RefusalReason.QUEUE_FULL, wait)]
        waiting.predicted_seconds = wait.seconds
        waiting.latest_dispatch_seconds = self._latest_dispatch_seconds(work, choice)
        self.queue.push(waiting)
        self._set_awaited_target(waiting, choice)
        return self.dispatch_waiting(now_seconds)

    def _latest_dispatch_seconds(self, work: Work, choice: Choice) -> float:
        """Return until when work must be dispatched to meet its objective."""
        if Mechanism.LATE_LAST in self._settings.switched_off:
            return math.inf
        rates = self.placement.rates
        own_seconds = choice.uncached_tokens * rates.token_seconds
        own_seconds += rates.first_token_seconds
        return work.arrived_seconds + work.objective_seconds - own_seconds

    def _deprioritize_late(self, now_seconds: float) -> None:
        """Give requests whose objective has passed a lower priority."""
        for waiting in self.queue.all():
            if now_seconds > waiting.latest_dispatch_seconds:
                self.queue.remove(waiting.work.request)
                self.late.add(waiting)

    def _has_waited_long(self, waiting: QueuedRequest, now_seconds: float) -> bool:
        """Return whether a request of a customer inside its share waited half its time.

        Customers over their share keep the owner of its prefix full, so it is placed
        without the price of recomputation under pressure.
        """
        halfway = (waiting.enqueued_seconds + waiting.give_up_seconds) / 2
        return now_seconds > halfway and self.shares.is_within_share(
            waiting.work.customer
        )

    def _set_awaited_target(self, waiting: QueuedRequest, choice: Choice) -> None:
        """Record the target that a request waits for."""
        self._clear_awaited_target(waiting)
        waiting.awaited_target = (choice.load.view.target, choice.uncached_tokens)
        self._awaited.add(*waiting.awaited_target)

    def _clear_awaited_target(self, waiting: QueuedRequest) -> None:
        if waiting.awaited_target is not None:
            self._awaited.remove(*waiting.awaited_target)
            waiting.awaited_target = None

    def remove(self, request: RequestId) -> bool:
        """Take a request out of the queue; False when it does not wait."""
        waiting = self.queue.remove(request) or self.late.remove(request)
        if waiting is None:
            return False
        self._clear_awaited_target(waiting)
        return True

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
            and self.placement.full_share(now_seconds) < CROWDED_FULL_SHARE
        ):
            return budget
        return budget * (1.0 - COLD_DISCOUNT * self.placement.pressure)

    def _lead_seconds(self, work: Work) -> float:
        mean_seconds = self.queue.mean_seconds or 1.0
        return self.queue.lead_seconds(work.customer) / mean_seconds

    def _is_full(self, work: Work) -> bool:
        own = len(self.queue.lane(work.customer).waiting)
        return (
            self.n_waiting >= self._settings.queue_requests
            or own >= self._settings.customer_queue_requests
        )

    def _refuse(
        self,
        work: Work,
        reason: RefusalReason,
        wait: QueueWait,
        throttled_seconds: float = 0.0,
    ) -> Refuse:
        """Refuse, to be retried once the queue and the targets' throttling allow it."""
        seconds = retry_after_seconds(wait.seconds, self._rng) + throttled_seconds
        seconds = min(MAX_RETRY_AFTER_SECONDS, seconds)
        return Refuse(work.request, reason, seconds)

    def _choose(
        self,
        work: Work,
        now_seconds: float,
        waiting_ahead: WaitingByTarget,
        ignores_pressure: bool = False,
    ) -> Choice | None:
        if self.suspects.is_suspect(work, now_seconds):
            return self.suspects.choose(work, now_seconds, waiting_ahead)
        return self.placement.best(
            work, now_seconds, work.excluded, waiting_ahead, ignores_pressure
        )

    def _dispatch(
        self, work: Work, choice: Choice, cost_seconds: float, now_seconds: float
    ) -> Dispatch:
        load = choice.load
        target = load.view.target
        entry = InFlight(
            work,
            now_seconds,
            choice.wait_seconds,
            choice.uncached_tokens,
            cost_seconds,
            choice.ahead_tokens,
        )
        load.start(entry, now_seconds)
        load.cache_estimate.add(work.levels)
        self.placement.note_holder(work.levels, target)
        if work.levels:
            self.placed.append(Placed(target, work.levels))
        self._running[work.request] = target
        if self.suspects.is_suspect(work, now_seconds):
            self.suspects.note_sent(target)
        self.queue.charge(work.customer, cost_seconds)
        self._rate.count(cost_seconds)
        self._usual_rate.count(self._usual_cost_seconds(work))
        return Dispatch(work.request, target, choice.wait_seconds, choice.cached_tokens)

    def note_placed(self, placed: Placed) -> None:
        """Record that a target caches a prompt that a peer has sent to it.

        Otherwise each daemon would assume that a prompt is cached only where it has
        sent the same parts itself, and ten daemons would have ten targets prefill it.
        """
        load = self.placement.loads.get(placed.target)
        if placed.levels:
            self.placement.note_peer_prompt(placed.levels[-1].end_tokens)
        if load is not None:
            load.cache_estimate.add(placed.levels)
            self.placement.note_holder(placed.levels, placed.target)

    def draw_admission(self, n_peers: int, now_seconds: float) -> None:
        """Draw a share of free slots if ``n_peers`` peers have waiting requests too."""
        is_off = Mechanism.RANDOM_ADMISSION in self._settings.switched_off
        if is_off or not self.n_waiting:
            return
        free_slots = {
            target: load.free_slots(now_seconds)
            for target, load in self.placement.loads.items()
        }
        self.admission.draw(free_slots, 1 + n_peers)

    def dispatch_waiting(self, now_seconds: float) -> list[Outcome]:
        """Dispatch the waiting requests for which a target has capacity."""
        outcomes: list[Outcome] = []
        if not self.n_waiting or not self.placement.has_capacity(now_seconds):
            return outcomes
        waiting_ahead = WaitingByTarget()
        if self.late.is_due():
            outcomes += self._dispatch_late(1, now_seconds, waiting_ahead)
        for waiting in self.queue.in_order(
            SCANNED_REQUESTS, self.shares.is_within_share
        ):
            outcome = self._try_waiting(waiting, now_seconds, waiting_ahead)
            if outcome is not None:
                outcomes.append(outcome)
                self.late.count_on_time(waiting.cost_seconds)
        return outcomes + self._dispatch_late(
            SCANNED_REQUESTS, now_seconds, waiting_ahead
        )

    def _dispatch_late(
        self, n_scanned: int, now_seconds: float, waiting_ahead: WaitingByTarget
    ) -> list[Outcome]:
        """Dispatch the late requests for which a target has capacity."""
        outcomes: list[Outcome] = []
        for waiting in self.late.first(n_scanned):
            outcome = self._try_waiting(waiting, now_seconds, waiting_ahead)
            if outcome is not None:
                outcomes.append(outcome)
                self.late.count_late(waiting.cost_seconds)
        return outcomes

    def _try_waiting(
        self, waiting: QueuedRequest, now_seconds: float, waiting_ahead: WaitingByTarget
    ) -> Outcome | None:
        work = waiting.work
        choice = self._choose(
            work,
            now_seconds,
            waiting_ahead,
            self._has_waited_long(waiting, now_seconds),
        )
        if choice is None:
            return None
        target = choice.load.view.target
        if not choice.can_take or not self.admission.may_take(target):
            waiting_ahead.add(target, choice.uncached_tokens)
            self._set_awaited_target(waiting, choice)
            return None
        self.admission.note_taken(target)
        self.remove(work.request)
        waited_seconds = now_seconds - waiting.enqueued_seconds
        self._bias.observe(waited_seconds, waiting.predicted_seconds)
        cost = self._cost_seconds(work, choice.uncached_tokens)
        return self._dispatch(work, choice, cost, now_seconds)

    def first_token(
        self, request: RequestId, now_seconds: float, cached_tokens: int | None
    ) -> None:
        """Update rates and load with a first token."""
        target = self._running.get(request)
        load = self.placement.loads.get(target) if target is not None else None
        entry = load.in_flight.get(request) if load is not None else None
        if load is None or entry is None or entry.has_first_token:
            return
        self._learn(load, entry, now_seconds, cached_tokens)
        load.first_token(entry, now_seconds)

    def note_usage(self, prompt_tokens: int, cached_tokens: int) -> None:
        """Update the uncached share with the usage reported at a response's end."""
        uncached = max(0, prompt_tokens - cached_tokens)
        self.placement.rates.observe_uncached(uncached, prompt_tokens)

    def _learn(
        self,
        load: TargetLoad,
        entry: InFlight,
        now_seconds: float,
        cached_tokens: int | None,
    ) -> None:
        rates = self.placement.rates
        uncached = entry.uncached_tokens
        if cached_tokens is not None:
            uncached = max(0, entry.work.prompt_tokens - cached_tokens)
            rates.observe_uncached(uncached, entry.work.prompt_tokens)
        elapsed = now_seconds - entry.dispatched_seconds
        ratio = rates.observe_first_token(elapsed, entry.ahead_tokens + uncached)
        self.placement.pauses.note_first_token(elapsed, entry.ahead_tokens + uncached)
        load.slowness.observe(ratio / rates.usual_ratio, now_seconds)
        own_seconds = rates.first_token_seconds + uncached * rates.token_seconds
        load.window.observe(
            delay_seconds=elapsed - own_seconds * load.slowness.value,
            target_seconds=entry.work.first_token_timeout_seconds * ENGINE_WAIT_SHARE,
            is_limiting=load.queued_tokens > load.window.tokens / 2,
            now_seconds=now_seconds,
        )

    def finish(
        self, request: RequestId, now_seconds: float, kind: FinishKind
    ) -> InFlight | None:
        """Record the end of a request and return its in-flight entry."""
        target = self._running.pop(request, None)
        load = self.placement.loads.get(target) if target is not None else None
        entry = load.end(request, now_seconds) if load is not None else None
        if load is None or entry is None:
            return None
        if kind is FinishKind.COMPLETE:
            held = now_seconds - entry.dispatched_seconds
            self.placement.rates.observe_hold(held)
        if kind is FinishKind.TARGET_LOST:
            load.cache_estimate.clear()
        return entry

    def tick(self, now_seconds: float) -> list[Outcome]:
        """Refuse requests whose time has run out, and dispatch others."""
        self.throttle.redraw_expired(now_seconds)
        self._rate.update(now_seconds, self.n_waiting > 0)
        self._usual_rate.update(now_seconds, self.n_waiting > 0)
        self.shares.divide(self._usual_rate.per_second(), now_seconds)
        pressure = self.placement.pressure
        step = (float(self._is_under_pressure(now_seconds)) - pressure) * PRESSURE_GAIN
        self.placement.pressure = pressure + step
        outcomes: list[Outcome] = []
        for waiting in [*self.queue.all(), *self.late]:
            if now_seconds < waiting.give_up_seconds:
                continue
            self.remove(waiting.work.request)
            wait = QueueWait(waiting.work.first_token_timeout_seconds, False)
            outcomes.append(self._refuse(waiting.work, RefusalReason.DEADLINE, wait))
        self._deprioritize_late(now_seconds)
        outcomes.extend(self.dispatch_waiting(now_seconds))
        return outcomes

    def _is_under_pressure(self, now_seconds: float) -> bool:
        """Return whether work waits because the group, not one target, is full."""
        if not self.n_waiting:
            return False
        return self.placement.full_share(now_seconds) >= PRESSURE_FULL_SHARE

    def refuse_all(self, reason: RefusalReason) -> list[Outcome]:
        """Refuse all waiting requests."""
        outcomes: list[Outcome] = []
        for waiting in [*self.queue.all(), *self.late]:
            self.remove(waiting.work.request)
            outcomes.append(self._refuse(waiting.work, reason, QueueWait(0.0, False)))
        return outcomes

    def status(self, now_seconds: float) -> dict[str, object]:
        """Return a summary of the queue and the targets."""
        return {
            "n_waiting": self.n_waiting,
            "n_late": len(self.late),
            "queued_cost_seconds": round(self.queue.queued_cost_seconds, 3),
            "service_rate": round(self._rate.per_second(), 3),
            "pressure": round(self.placement.pressure, 3),
            "pauses": self.placement.pauses.status().to_dict(),
            "targets": {
                target: {
                    "state": load.view.state.value,
                    "n_in_flight": len(load.in_flight),
                    "n_estimated": round(load.estimate(now_seconds)[1], 1),
                    "n_believed_levels": len(load.cache_estimate),
                    "window_tokens": round(load.window.tokens),
                    "slowness": round(load.slowness.now(now_seconds), 3),
                }
                for target, load in self.placement.loads.items()
            },
        }
