"""Scheduling within one target group: its targets, their rates and its dispatches."""

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import asdict

from lycheepost.core.ids import CustomerId, RequestId, TargetId
from lycheepost.core.starts import start_key
from lycheepost.decide.admission import retry_after_seconds
from lycheepost.decide.heldsuspects import HeldSuspects
from lycheepost.decide.load import InFlight, TargetLoad
from lycheepost.decide.machinestates import (
    NOTABLE_LOG,
    needs_machine_states,
    usual_logs,
)
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.placement import Choice, Placement, WaitingByTarget
from lycheepost.decide.queueing import QueuedRequest
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
from lycheepost.decide.suspects import SuspectPlacement
from lycheepost.decide.suspicion import Suspicion
from lycheepost.decide.targetrates import TargetRates
from lycheepost.decide.targetstatus import target_status
from lycheepost.decide.throttling import TargetThrottle
from lycheepost.decide.waiting import (
    NO_TARGET_RETRY_SECONDS,
    WaitingWork,
    work_cost_seconds,
)
from lycheepost.decide.waitingorder import Claim

SCANNED_REQUESTS = 8
"""Requests examined when a slot becomes free: enough to pass those that wait for a full
target, few enough to bound the cost of a decision under saturation."""

PRESSURE_GAIN = 0.01
"""Per tick of 20 ms: the pressure follows the queue within about 2 s, which is longer
than a burst that the engines absorb and shorter than callers' timeouts."""

PRESSURE_FULL_SHARE = 0.25
"""Share of full targets from which a waiting request counts as pressure on the whole
group. The owners of one hot prefix are fewer. If their queue counted as pressure,
placing the prefix elsewhere would be too expensive and it would never gain owners."""

ENGINE_WAIT_SHARE = 0.05
"""Share of the first-token timeout that work may wait inside an engine. It can't be
ordered fairly or refused early there; without it engines idle between dispatches."""

MAX_UNPUBLISHED_PROMPTS = 1_000
"""Prompts kept for peers if nothing collects them: about 30 s of a daemon's traffic."""


class Group:
    """Queue and targets of one target group."""

    def __init__(
        self,
        settings: SchedulerSettings,
        rng: random.Random,
        suspicion: Suspicion,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self.placement = Placement(settings, rng)
        self.waiting = WaitingWork(settings, rng, self.placement)
        self.throttle = TargetThrottle(self.placement.loads, rng)
        self.suspects = SuspectPlacement(suspicion, self.placement)
        self.held = HeldSuspects()
        self.admission = RandomAdmission(rng)
        self.target_rates = TargetRates(
            Mechanism.TARGET_RATES not in settings.switched_off
        )
        self.placed: deque[Placed] = deque(maxlen=MAX_UNPUBLISHED_PROMPTS)
        self._running: dict[RequestId, TargetId] = {}
        self._left_behind: dict[RequestId, InFlight] = {}
        """Requests on targets that are no longer configured: how they end may show
        that their target was lost."""

    @property
    def n_waiting(self) -> int:
        """Return how many requests wait."""
        return len(self.waiting)

    def set_weights(self, weights: dict[CustomerId, float]) -> None:
        """Set each customer's weight in fair queueing."""
        self.waiting.set_weights(weights)

    def remove_target(self, target: TargetId) -> None:
        """Remove a target that is no longer configured."""
        load = self.placement.loads.pop(target, None)
        if load is not None:
            self._left_behind.update(load.in_flight)
        self.throttle.forget(target)

    def arrive(self, work: Work, now_seconds: float) -> list[Outcome]:
        """Dispatch, queue or refuse one request."""
        room = self.placement.room
        if room.is_too_large(work):
            room.counts.n_too_large += 1
            return [Refuse(work.request, RefusalReason.TOO_LARGE, None)]
        if self.suspects.is_suspect(work, now_seconds):
            return self._arrive_suspect(work, now_seconds)
        room.note_arrival(work, now_seconds)
        self.placement.pauses.observe(work, now_seconds)
        choice = self._choose(work, now_seconds, self.waiting.awaited)
        if choice is None:
            seconds = retry_after_seconds(NO_TARGET_RETRY_SECONDS, self._rng)
            return [Refuse(work.request, RefusalReason.NO_TARGET, seconds)]
        cost = work_cost_seconds(self._settings, work, choice.uncached_tokens)
        self.waiting.note_arrival(work, choice, now_seconds)
        claim = self.waiting.claim(work)
        can_use = self.waiting.can_use(work, choice, claim, now_seconds)
        if can_use and (claim is Claim.AHEAD or not len(self.waiting.queue)):
            self.waiting.count_ahead(claim, choice)
            return [self._dispatch(work, choice, cost, now_seconds)]
        refusal = self.waiting.admit(work, choice, cost, now_seconds)
        if refusal is not None:
            return [refusal]
        return self.dispatch_waiting(now_seconds)

    def _arrive_suspect(self, work: Work, now_seconds: float) -> list[Outcome]:
        """Dispatch a suspect, or let it wait apart from the queue."""
        choice = self._choose(work, now_seconds, self.waiting.awaited)
        seconds = retry_after_seconds(NO_TARGET_RETRY_SECONDS, self._rng)
        if choice is None:
            return [Refuse(work.request, RefusalReason.NO_TARGET, seconds)]
        if self.held.is_full:
            return [Refuse(work.request, RefusalReason.QUEUE_FULL, seconds)]
        dispatch = self._try_suspect(work, now_seconds)
        if dispatch is not None:
            return [dispatch]
        self.held.add(work)
        return []

    def _try_suspect(self, work: Work, now_seconds: float) -> Dispatch | None:
        """Dispatch a suspect if it may be tried now and a target has capacity."""
        if not self.suspects.may_send(work, now_seconds):
            return None
        choice = self._choose(work, now_seconds, self.waiting.awaited)
        if choice is None or not choice.can_take:
            return None
        cost = work_cost_seconds(self._settings, work, choice.uncached_tokens)
        return self._dispatch(work, choice, cost, now_seconds)

    def dispatch_held(self, now_seconds: float) -> list[Outcome]:
        """Dispatch waiting suspects that may be tried now, and release cleared ones."""
        outcomes: list[Outcome] = []
        n_full = 0
        for item in self.held if len(self.held) else ():
            work = item.work
            if not self.suspects.is_suspect(work, now_seconds):
                self.held.remove(work.request)
                outcomes += self.arrive(work, now_seconds)
            elif now_seconds >= item.give_up_seconds:
                self.held.remove(work.request)
                seconds = retry_after_seconds(NO_TARGET_RETRY_SECONDS, self._rng)
                outcomes.append(Refuse(work.request, RefusalReason.DEADLINE, seconds))
            elif n_full < SCANNED_REQUESTS and self.suspects.may_send(
                work, now_seconds
            ):
                dispatch = self._try_suspect(work, now_seconds)
                n_full += dispatch is None
                if dispatch is not None:
                    self.held.remove(work.request)
                    outcomes.append(dispatch)
        return outcomes

    def refuse_blamed(self, refused_seconds: Callable[[Work], float]) -> list[Outcome]:
        """Refuse the waiting requests that are quarantined now.

        Args:
            refused_seconds: Returns for how long a request is; 0 if it is not.
        """
        outcomes: list[Outcome] = []
        for work in [item.work for item in self.held] + self.waiting.works():
            seconds = refused_seconds(work)
            if seconds:
                self.remove(work.request)
                reason = RefusalReason.QUARANTINED
                outcomes.append(Refuse(work.request, reason, seconds))
        return outcomes

    def has_capacity_for(self, work: Work, now_seconds: float) -> bool:
        """Return whether a target that has not failed ``work`` has capacity for it."""
        choice = self._choose(work, now_seconds, self.waiting.awaited)
        return choice is not None and choice.can_take

    def refuse_unserved(self, now_seconds: float) -> list[Outcome]:
        """Refuse the waiting requests that no target may run any more."""
        if not self.n_waiting:
            return []
        versions = self.placement.serving_software()
        return self.waiting.refuse_unserved(versions, now_seconds)

    def remove(self, request: RequestId) -> bool:
        """Take a request out of the queue; False when it does not wait."""
        return self.held.remove(request) or self.waiting.remove(request)

    def _choose(
        self,
        work: Work,
        now_seconds: float,
        waiting_ahead: WaitingByTarget,
        ignores_pressure: bool = False,
    ) -> Choice | None:
        if self.suspects.is_suspect(work, now_seconds):
            return self.suspects.choose(work, now_seconds, waiting_ahead)
        trial_targets = self.suspects.trial_targets(now_seconds)
        if trial_targets:
            avoid = work.excluded | trial_targets
            choice = self.placement.best(
                work, now_seconds, avoid, waiting_ahead, ignores_pressure
            )
            if choice is not None and choice.can_take:
                return choice
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
            start=start_key(target, load.view.incarnation),
        )
        put_back = load.put_back(work, now_seconds)
        self.placement.room.counts.n_put_back += len(put_back)
        load.start(entry, now_seconds)
        load.cache_estimate.add(work.levels)
        self.placement.note_holder(work.levels, target)
        if work.levels:
            self.placed.append(Placed(target, work.levels))
        self._running[work.request] = target
        if self.suspects.is_suspect(work, now_seconds):
            self.suspects.note_sent(work, target, now_seconds)
        self.waiting.note_dispatched(work, cost_seconds)
        return Dispatch(
            work.request, target, choice.wait_seconds, choice.cached_tokens, put_back
        )

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
        own = {
            target
            for target, load in self.placement.loads.items()
            if load.own_slots is not None
        }
        self.admission.draw(free_slots, 1 + n_peers, own)

    def dispatch_waiting(self, now_seconds: float) -> list[Outcome]:
        """Dispatch the waiting requests for which a target has capacity."""
        outcomes: list[Outcome] = []
        if not self.n_waiting or not self._may_dispatch(now_seconds):
            return outcomes
        waiting_ahead = WaitingByTarget()
        if self.waiting.late.is_due():
            outcomes += self._dispatch_late(1, now_seconds, waiting_ahead)
        for waiting in self.waiting.in_order(SCANNED_REQUESTS):
            claim = self.waiting.claim(waiting.work)
            outcome = self._try_waiting(waiting, now_seconds, waiting_ahead, claim)
            if outcome is not None:
                outcomes.append(outcome)
                self.waiting.late.count_on_time(waiting.cost_seconds)
        return outcomes + self._dispatch_late(
            SCANNED_REQUESTS, now_seconds, waiting_ahead
        )

    def _may_dispatch(self, now_seconds: float) -> bool:
        """Return whether any waiting request may find capacity."""
        return self.waiting.order.is_used or self.placement.has_capacity(now_seconds)

    def _dispatch_late(
        self, n_scanned: int, now_seconds: float, waiting_ahead: WaitingByTarget
    ) -> list[Outcome]:
        """Dispatch the late requests for which a target has capacity."""
        outcomes: list[Outcome] = []
        for waiting in self.waiting.late.first(n_scanned):
            outcome = self._try_waiting(
                waiting, now_seconds, waiting_ahead, Claim.USUAL
            )
            if outcome is not None:
                outcomes.append(outcome)
                self.waiting.late.count_late(waiting.cost_seconds)
        return outcomes

    def _try_waiting(
        self,
        waiting: QueuedRequest,
        now_seconds: float,
        waiting_ahead: WaitingByTarget,
        claim: Claim,
    ) -> Outcome | None:
        work = waiting.work
        choice = self._choose(
            work,
            now_seconds,
            waiting_ahead,
            self.waiting.has_waited_long(waiting, now_seconds),
        )
        if choice is None:
            return None
        target = choice.load.view.target
        if not self._may_send(work, choice, claim, now_seconds):
            waiting_ahead.add(target, choice.uncached_tokens)
            self.waiting.set_awaited_target(waiting, choice)
            if not choice.has_room:
                self.placement.reserve_room(work, choice.load, now_seconds)
            return None
        self.waiting.count_ahead(claim, choice)
        self.waiting.take(waiting, now_seconds)
        cost = work_cost_seconds(self._settings, work, choice.uncached_tokens)
        return self._dispatch(work, choice, cost, now_seconds)

    def _may_send(
        self, work: Work, choice: Choice, claim: Claim, now_seconds: float
    ) -> bool:
        """Return whether a waiting request may be sent to the chosen target now."""
        target = choice.load.view.target
        if not self.waiting.can_use(work, choice, claim, now_seconds):
            return False
        if self.admission.may_take(target):
            self.admission.note_taken(target)
            return True
        return claim is Claim.AHEAD

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

    def note_written(self, request: RequestId) -> InFlight | None:
        """Record that a target has written; return the request's in-flight entry.

        Returns:
            None if it is not in flight or has written before.
        """
        target = self._running.get(request)
        load = self.placement.loads.get(target) if target is not None else None
        entry = None if load is None else load.in_flight.get(request)
        entry = entry or self._left_behind.get(request)
        if entry is None or entry.has_written:
            return None
        entry.has_written = True
        self.suspects.note_over(request)
        return entry

    def note_events(self, request: RequestId, n_events: int) -> None:
        """Learn the length of a complete stream from its events."""
        target = self._running.get(request)
        load = self.placement.loads.get(target) if target is not None else None
        entry = load.in_flight.get(request) if load is not None else None
        if load is not None and entry is not None:
            n_tokens = n_events * load.view.event_tokens
            self.placement.room.note_output(entry.work, n_tokens)

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
        ratio /= rates.usual_ratio
        load.slowness.observe(ratio / load.rate_ratio, now_seconds)
        load.measured_ratio.observe(ratio)
        self.placement.pauses.note_first_token(elapsed, entry.ahead_tokens + uncached)
        own_seconds = rates.first_token_seconds + uncached * rates.token_seconds
        own_seconds *= load.slowness.value * load.rate_ratio
        load.window.observe(
            delay_seconds=elapsed - own_seconds,
            target_seconds=entry.work.first_token_timeout_seconds * ENGINE_WAIT_SHARE,
            is_limiting=load.queued_tokens > load.window.tokens / 2,
            now_seconds=now_seconds,
        )

    def finish(
        self, request: RequestId, now_seconds: float, kind: FinishKind
    ) -> InFlight | None:
        """Record the end of a request and return its in-flight entry."""
        target = self._running.pop(request, None)
        self.suspects.note_over(request)
        load = self.placement.loads.get(target) if target is not None else None
        entry = load.end(request, now_seconds) if load is not None else None
        if load is None or entry is None:
            return self._left_behind.pop(request, None)
        if kind is FinishKind.COMPLETE:
            held = now_seconds - entry.dispatched_seconds
            self.placement.rates.observe_hold(held)
        if kind is FinishKind.TARGET_LOST:
            load.cache_estimate.clear()
        return entry

    def tick(self, now_seconds: float) -> list[Outcome]:
        """Refuse requests whose time has run out, and dispatch others."""
        self.throttle.redraw_expired(now_seconds)
        self.placement.room.expire(now_seconds)
        if self.target_rates.is_due(now_seconds):
            self._update_target_rates(now_seconds)
        self.waiting.update(now_seconds)
        pressure = self.placement.pressure
        step = (float(self._is_under_pressure(now_seconds)) - pressure) * PRESSURE_GAIN
        self.placement.pressure = pressure + step
        outcomes = self.waiting.refuse_expired(now_seconds)
        outcomes.extend(self.dispatch_held(now_seconds))
        outcomes.extend(self.dispatch_waiting(now_seconds))
        return outcomes

    def _update_target_rates(self, now_seconds: float) -> None:
        loads = tuple(self.placement.loads.values())
        logs = usual_logs([load.machine_state for load in loads])
        for load, stated_log in zip(loads, logs, strict=True):
            load.measured_ratio.stated_log = stated_log
        self.target_rates.update([load.measured_ratio for load in loads], now_seconds)
        for load in loads:
            load.set_rate_ratio(self.target_rates.ratio(load.measured_ratio))

    def _is_under_pressure(self, now_seconds: float) -> bool:
        """Return whether work waits because the group, not one target, is full."""
        if not self.n_waiting:
            return False
        return self.placement.full_share(now_seconds) >= PRESSURE_FULL_SHARE

    def refuse_all(self, reason: RefusalReason, now_seconds: float) -> list[Outcome]:
        """Refuse all waiting requests."""
        outcomes: list[Outcome] = []
        for item in self.held:
            self.held.remove(item.work.request)
            seconds = retry_after_seconds(0.0, self._rng)
            outcomes.append(Refuse(item.work.request, reason, seconds))
        return outcomes + self.waiting.refuse_all(reason, now_seconds)

    def status(self, now_seconds: float) -> dict[str, object]:
        """Return a summary of the queue and the targets."""
        reading_engines = self.placement.pauses.reading_engines.targets
        return {
            **self.waiting.status(),
            "n_held_suspects": len(self.held),
            "pressure": round(self.placement.pressure, 3),
            "room": self.placement.room_status(now_seconds),
            **self._speed_status(now_seconds),
            "pauses": self.placement.pauses.status().to_dict(),
            "targets": {
                target: target_status(load, target in reading_engines, now_seconds)
                for target, load in self.placement.loads.items()
            },
        }

    def _speed_status(self, now_seconds: float) -> dict[str, object]:
        states = [load.machine_state for load in self.placement.loads.values()]
        rates = self.target_rates
        return {
            "target_rates": asdict(rates.condition),
            "target_unevenness": round(rates.uneven.factor, 3),
            "machine_states": asdict(needs_machine_states(states)),
            "n_unusual_states": sum(
                abs(math.log(state.momentary_ratio(now_seconds))) > NOTABLE_LOG
                for state in states
            ),
        }
