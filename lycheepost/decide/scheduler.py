"""Scheduler: decides for each request to dispatch it, queue it or refuse it.

There is one scheduler per daemon. Its methods get the time as an argument and do no
input or output, so the daemon and the policy bench, which runs the scheduler without a
daemon, make the same decisions.
"""

import random
from collections.abc import Callable

from lycheepost.core.ids import (
    CustomerId,
    DaemonId,
    Incarnation,
    RequestId,
    TargetGroupId,
    TargetId,
)
from lycheepost.decide.admission import retry_after_seconds
from lycheepost.decide.brittle import FleetPosition
from lycheepost.decide.cacheestimate import CacheEstimate
from lycheepost.decide.group import Group
from lycheepost.decide.load import InFlight, TargetLoad
from lycheepost.decide.machinestates import StatedState
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.parttrials import PartTrials
from lycheepost.decide.pauses import PauseStatus
from lycheepost.decide.peerloads import DaemonLoad
from lycheepost.decide.quarantine import SuspectNotice
from lycheepost.decide.records import (
    FinishKind,
    LoadReport,
    Outcome,
    Placed,
    RefusalReason,
    Refuse,
    TargetView,
    Work,
)
from lycheepost.decide.retry import RetryTerms
from lycheepost.decide.retrybudgets import RetryBudgets
from lycheepost.decide.room import RoomNeed
from lycheepost.decide.settings import SchedulerSettings
from lycheepost.decide.suspicion import EndedRun, make_suspicion
from lycheepost.decide.targetnotices import TargetNotices
from lycheepost.decide.targetstates import TargetStates
from lycheepost.decide.waitingorder import OrderCondition
from lycheepost.generated.engine import CacheEvent

GONE_RETRY_SECONDS = 2.0
"""Retry time after lost targets: they, or their replacements, become available within a
few seconds."""


class Scheduler:
    """All scheduling decisions of one daemon.

    Args:
        settings: Bounds and weights.
        seed: Seed of jitter and random candidates, so that a simulation can be
            repeated.

    Attributes:
        suspicion: Which requests and parts of prompts may crash targets.
    """

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._groups: dict[TargetGroupId, Group] = {}
        self._group_by_target: dict[TargetId, Group] = {}
        self._group_by_request: dict[RequestId, Group] = {}
        self._weights: dict[CustomerId, float] = {}
        self.suspicion = make_suspicion(
            settings.quarantine_losses,
            settings.quarantine_seconds,
            PartTrials(random.Random(seed)),
        )
        self._budgets = RetryBudgets(RetryTerms(settings.retry_share))
        self._notices = TargetNotices(self._group_by_target)
        self._states = TargetStates(
            self._group_by_target,
            Mechanism.MACHINE_STATES not in settings.switched_off,
        )
        self._is_draining = False
        self._now_seconds = 0.0

    def replace_targets(
        self, targets: tuple[TargetView, ...], now_seconds: float
    ) -> list[Outcome]:
        """Replace the targets and dispatch waiting requests."""
        wanted = {view.target: view for view in targets}
        self._notices.forget_backoffs(wanted, now_seconds)
        for target in [name for name in self._group_by_target if name not in wanted]:
            group = self._group_by_target.pop(target)
            group.remove_target(target)
            self._notices.forget_limit(target, group)
            self._states.forget(target)
        for view in targets:
            self._place_view(view, now_seconds)
        outcomes: list[Outcome] = []
        for group in self._groups.values():
            group.placement.refresh()
            outcomes.extend(group.refuse_unserved(now_seconds))
            outcomes.extend(group.dispatch_waiting(now_seconds))
        self._forget_refused(outcomes)
        return outcomes

    def _place_view(self, view: TargetView, now_seconds: float) -> None:
        group = self._group(view.target_group)
        before = self._group_by_target.get(view.target)
        if before is not None and before is not group:
            before.remove_target(view.target)
        self._group_by_target[view.target] = group
        load = group.placement.loads.get(view.target)
        if load is None:
            cache_estimate = CacheEstimate(view.incarnation, view.cache_tokens)
            group.placement.loads[view.target] = TargetLoad(
                view,
                cache_estimate,
                group.placement.rates,
                room=group.placement.room,
            )
            self._notices.apply(view.target, now_seconds)
            return
        if view.incarnation != load.view.incarnation:
            self._states.forget(view.target)
        n_slots = load.view.concurrency_limit
        load.replace_view(view)
        if view.concurrency_limit != n_slots:
            self._notices.apply(view.target, now_seconds)

    def _group(self, name: TargetGroupId) -> Group:
        group = self._groups.get(name)
        if group is None:
            group = Group(self._settings, self._rng, self.suspicion)
            group.set_weights(self._weights)
            self._groups[name] = group
        return group

    def set_shares(self, weights: dict[CustomerId, float]) -> None:
        """Set each customer's weight in fair queueing; 1 if missing."""
        self._weights = weights
        for group in self._groups.values():
            group.set_weights(weights)

    def arrive(self, work: Work, now_seconds: float) -> list[Outcome]:
        """Admit a new request."""
        refusal = self._refuse_early(work, now_seconds)
        if refusal is not None:
            return [refusal]
        self._budgets.of(work.target_group).note_first_attempt(now_seconds)
        return self._admit(work, now_seconds)

    def spend_retry(self, target_group: TargetGroupId, now_seconds: float) -> bool:
        """Take a retry for a request that a peer is to serve."""
        return self._budgets.of(target_group).spend(now_seconds)

    def note_retry_sent(self, request: RequestId, now_seconds: float) -> None:
        """Count a retry from when it is sent; nothing for a first attempt."""
        self._budgets.note_sent(request, now_seconds)

    def note_retry_not_sent(self, request: RequestId) -> None:
        """Take a retry for reserved again; nothing for a first attempt."""
        self._budgets.note_not_sent(request)

    def give_back_retry(self, request: RequestId) -> None:
        """Return the retry of a request that is not sent again."""
        self._budgets.give_back(request)

    def retry_counts(
        self, target_group: TargetGroupId, now_seconds: float
    ) -> dict[str, float]:
        """Return the counts of a group's retry budget, for the log."""
        return self._budgets.of(target_group).status(now_seconds)

    @property
    def retry_terms(self) -> RetryTerms:
        """Return the terms of every group's retry budget."""
        return self._budgets.terms

    def set_retry_terms(self, terms: RetryTerms) -> None:
        """Set the terms of every group's retry budget."""
        self._budgets.set_terms(terms)

    def retry(
        self, work: Work, now_seconds: float, is_free: bool = False
    ) -> list[Outcome]:
        """Admit a request again after a target failed it.

        ``work.excluded`` names the targets that have failed it.

        Args:
            work: The request.
            now_seconds: The current time.
            is_free: Whether the retry does not use the budget: no byte of the request
                has reached a target, so it causes no more load than a first attempt,
                or ``take_retry`` has reserved the retry.
        """
        refusal = self._refuse_early(work, now_seconds)
        if refusal is not None:
            return [refusal]
        is_spent = len(work.excluded) >= self._settings.max_tries
        if is_spent or not (is_free or self._budgets.reserve(work, now_seconds)):
            seconds = retry_after_seconds(GONE_RETRY_SECONDS, self._rng)
            return [Refuse(work.request, RefusalReason.RETRY_BUDGET, seconds)]
        return self._admit(work, now_seconds)

    def has_place(self, work: Work, now_seconds: float) -> bool:
        """Return whether a target that has not failed this work has capacity now."""
        group = self._group(work.target_group)
        return group.has_capacity_for(work, now_seconds)

    def take_retry(self, work: Work, now_seconds: float) -> bool:
        """Reserve a retry for work whose target may still respond.

        Under high load targets may be silent for a moment. Work that is withdrawn from
        one and then finds no other target, or no budget, would lose a response that was
        about to arrive.

        Returns:
            Whether another target has capacity for it now and the budget allows it; the
            caller then passes ``is_free`` to ``retry``.
        """
        is_spent = len(work.excluded) >= self._settings.max_tries
        if is_spent or self._refuse_early(work, now_seconds) is not None:
            return False
        if not self.has_place(work, now_seconds):
            return False
        return self._budgets.reserve(work, now_seconds)

    def _admit(self, work: Work, now_seconds: float) -> list[Outcome]:
        group = self._group(work.target_group)
        self._group_by_request[work.request] = group
        outcomes = group.arrive(work, now_seconds)
        self._forget_refused(outcomes)
        return outcomes

    def _refuse_early(self, work: Work, now_seconds: float) -> Refuse | None:
        if self._is_draining:
            seconds = retry_after_seconds(0.0, self._rng)
            return Refuse(work.request, RefusalReason.SHUTTING_DOWN, seconds)
        return self.refuse_quarantined(work, now_seconds)

    def refuse_quarantined(self, work: Work, now_seconds: float) -> Refuse | None:
        """Return the refusal of quarantined work; None if it may be sent."""
        seconds = self.suspicion.refused_seconds(work, now_seconds)
        if seconds > 0:
            return Refuse(work.request, RefusalReason.QUARANTINED, seconds)
        return None

    def _forget_refused(self, outcomes: list[Outcome]) -> None:
        for outcome in outcomes:
            match outcome:
                case Refuse(request=request):
                    self._group_by_request.pop(request, None)
                    self.suspicion.note_withdrawn(request)

    def first_token(
        self, request: RequestId, now_seconds: float, cached_tokens: int | None
    ) -> None:
        """Record a first token; the next tick uses the capacity that it frees."""
        group = self._group_by_request.get(request)
        if group is not None:
            group.first_token(request, now_seconds, cached_tokens)

    def note_written(self, request: RequestId, now_seconds: float) -> None:
        """Record that a target has completed the first part of an answer.

        A part of a prompt that crashes targets does so before.
        """
        group = self._group_by_request.get(request)
        entry = None if group is None else group.note_written(request)
        if entry is not None:
            self.suspicion.note_written(entry, now_seconds)

    def note_events(self, request: RequestId, n_events: int) -> None:
        """Record how many events a complete stream had."""
        group = self._group_by_request.get(request)
        if group is not None:
            group.note_events(request, n_events)

    def note_usage(
        self, request: RequestId, prompt_tokens: int, cached_tokens: int
    ) -> None:
        """Record the usage that an engine reports at the end of a response."""
        group = self._group_by_request.get(request)
        if group is not None and prompt_tokens > 0:
            group.note_usage(prompt_tokens, cached_tokens)

    def finish(
        self, request: RequestId, now_seconds: float, kind: FinishKind
    ) -> list[Outcome]:
        """Record the end of a dispatched request."""
        group = self._group_by_request.pop(request, None)
        if group is None:
            return []
        entry = group.finish(request, now_seconds, kind)
        if entry is not None and kind is FinishKind.TARGET_LOST:
            self.suspicion.note_lost(_ended_run(entry), now_seconds)
        self.suspicion.note_ended(request, entry, kind)
        outcomes = group.dispatch_waiting(now_seconds)
        self._forget_refused(outcomes)
        return outcomes

    def cancel(self, request: RequestId, now_seconds: float) -> list[Outcome]:
        """Remove a waiting request whose caller has left."""
        group = self._group_by_request.get(request)
        if group is None or not group.remove(request):
            return []
        del self._group_by_request[request]
        self.suspicion.note_withdrawn(request)
        return group.dispatch_waiting(now_seconds)

    def has_work(self) -> bool:
        """Return whether any request waits or runs."""
        return bool(self._group_by_request)

    def tick(self, now_seconds: float) -> list[Outcome]:
        """Do the periodic work; called every 20 ms."""
        self._now_seconds = now_seconds
        outcomes = self._refuse_blamed(now_seconds)
        for group in self._groups.values():
            outcomes.extend(group.tick(now_seconds))
        self._forget_refused(outcomes)
        return outcomes

    def _refuse_blamed(self, now_seconds: float) -> list[Outcome]:
        """Refuse waiting requests with parts that are blamed since the last call."""
        outcomes: list[Outcome] = []
        if self.suspicion.parts.take_changed():
            for group in self._groups.values():
                outcomes += group.refuse_blamed(
                    lambda work: self.suspicion.refused_seconds(work, now_seconds)
                )
        return outcomes

    def observe_load(self, report: LoadReport, now_seconds: float) -> None:
        """Apply a target's load report."""
        group = self._group_by_target.get(report.target)
        if group is None:
            return
        load = group.placement.loads[report.target]
        load.observe(report, group.placement.rates.uncached_share)

    def observe_machine_state(
        self,
        target: TargetId,
        incarnation: Incarnation,
        percent: float,
        now_seconds: float,
    ) -> None:
        """Apply the momentary speed that a target has stated, in percent."""
        self._states.observe(target, incarnation, percent, now_seconds)

    def observe_peer_state(self, told: StatedState, now_seconds: float) -> None:
        """Apply the momentary speed that a target has stated to a peer."""
        self._states.observe_peer(told, now_seconds)

    def take_state_news(self, now_seconds: float) -> tuple[StatedState, ...]:
        """Return the momentary speeds to be sent to peers."""
        return self._states.take_news(now_seconds)

    def set_limit(
        self, target: TargetId, per_second: float | None, now_seconds: float
    ) -> list[Outcome]:
        """Set the rate limit that a target reports.

        Args:
            target: The target.
            per_second: Requests per second from all daemons together; None for no
                limit.
            now_seconds: The current time.
        """
        self._notices.set_limit(target, per_second, now_seconds)
        group = self._group_by_target.get(target)
        return [] if group is None else group.dispatch_waiting(now_seconds)

    def set_brittle(self, target: TargetId, is_brittle: bool) -> None:
        """Set whether a target crashes when it rejects too many requests."""
        self._notices.set_brittle(target, is_brittle)

    def set_position(self, position: FleetPosition) -> None:
        """Set this daemon's place among those that divide brittle targets' slots."""
        self._notices.set_position(position)

    def back_off(self, target: TargetId, until_seconds: float) -> None:
        """Send no requests to a target until ``until_seconds``, as it has asked."""
        self._notices.back_off(target, until_seconds)

    def set_sharing_limits(self, n_daemons: int, now_seconds: float) -> None:
        """Set the number of daemons that the targets' limits are divided among."""
        self._notices.set_sharing_limits(n_daemons, now_seconds)

    def set_peer_load(
        self, target: TargetId, load: DaemonLoad, now_seconds: float
    ) -> None:
        """Set the load that peers have at a target."""
        group = self._group_by_target.get(target)
        if group is not None:
            group.placement.loads[target].set_peer_load(load, now_seconds)

    def draw_admission(
        self, n_waiting: Callable[[TargetGroupId], int], now_seconds: float
    ) -> None:
        """Draw this daemon's share of the free slots that peers also see.

        Args:
            n_waiting: Returns how many peers have requests waiting for a group.
            now_seconds: The current time.
        """
        for name, group in self._groups.items():
            group.draw_admission(n_waiting(name), now_seconds)

    def waiting_groups(self) -> tuple[TargetGroupId, ...]:
        """Return the groups with waiting requests, to be sent to peers."""
        return tuple(
            sorted(name for name, group in self._groups.items() if group.n_waiting)
        )

    def dispatch_waiting(self, now_seconds: float) -> list[Outcome]:
        """Dispatch waiting requests after peers have reported their load."""
        outcomes: list[Outcome] = []
        for group in self._groups.values():
            outcomes.extend(group.dispatch_waiting(now_seconds))
        return outcomes

    def room_needs(self) -> dict[TargetGroupId, RoomNeed]:
        """Return whether memory limits the targets of each group, and why."""
        return {name: group.placement.room.need for name, group in self._groups.items()}

    def under_way(self) -> dict[TargetId, DaemonLoad]:
        """Return this daemon's load at each target, to be sent to peers."""
        found: dict[TargetId, DaemonLoad] = {}
        for target, group in self._group_by_target.items():
            load = group.placement.loads[target]
            if load.in_flight or group.placement.room.is_reserved(target):
                found[target] = load.own_load()
        return found

    def observe_cache_events(
        self,
        target: TargetId,
        boot_id: Incarnation,
        events: tuple[CacheEvent, ...],
        now_seconds: float,
    ) -> None:
        """Apply a target's cache events."""
        group = self._group_by_target.get(target)
        if group is not None:
            group.placement.loads[target].cache_estimate.observe(boot_id, events)

    def take_placed(self) -> tuple[Placed, ...]:
        """Return the prompts dispatched since the last call, to be sent to peers."""
        placed: list[Placed] = []
        for group in self._groups.values():
            placed += group.placed
            group.placed.clear()
        return tuple(placed)

    def note_placed(self, placed: Placed) -> None:
        """Record a prompt that a peer has sent to a target."""
        group = self._group_by_target.get(placed.target)
        if group is not None:
            group.note_placed(placed)

    def note_peer_suspect(
        self, notice: SuspectNotice, sender: DaemonId, now_seconds: float
    ) -> None:
        """Keep suspects off a target on which a peer is trying one, or no more."""
        group = self._group_by_target.get(notice.target)
        if group is not None:
            group.suspects.peers.note(notice, sender, now_seconds)

    def take_suspect_news(self) -> list[SuspectNotice]:
        """Return which targets run suspects, for the peers, since the last call."""
        news = []
        for group in self._groups.values():
            news += group.suspects.take_news()
        return news

    def drain(self) -> list[Outcome]:
        """Accept no new requests and refuse the waiting ones as not run."""
        self._is_draining = True
        outcomes: list[Outcome] = []
        for group in self._groups.values():
            outcomes.extend(
                group.refuse_all(RefusalReason.SHUTTING_DOWN, self._now_seconds)
            )
        self._forget_refused(outcomes)
        return outcomes

    def withdraw_waiting(self, target_group: TargetGroupId) -> list[Outcome]:
        """Withdraw the waiting requests of a group that this daemon can't reach."""
        group = self._groups.get(target_group)
        if group is None:
            return []
        outcomes = group.refuse_all(RefusalReason.NO_PATH, self._now_seconds)
        self._forget_refused(outcomes)
        return outcomes

    def order_conditions(self) -> dict[TargetGroupId, OrderCondition]:
        """Return whether each group orders waiting requests by slack, and why."""
        return {
            name: group.waiting.order.condition for name, group in self._groups.items()
        }

    def pause_statuses(self) -> dict[TargetGroupId, PauseStatus]:
        """Return the state of each group's pause guard."""
        return {
            name: group.placement.pauses.status()
            for name, group in self._groups.items()
        }

    def status(self) -> dict[str, object]:
        """Return queues and loads for ``/admin/status``."""
        return {
            "is_draining": self._is_draining,
            "groups": {
                name: group.status(self._now_seconds)
                for name, group in self._groups.items()
            },
            "retries": self._budgets.status(self._now_seconds),
            "prompt_parts": self.suspicion.parts.status(self._now_seconds),
        }


def _ended_run(entry: InFlight) -> EndedRun:
    return EndedRun(
        entry.work, entry.start, entry.dispatched_seconds, entry.has_written
    )
