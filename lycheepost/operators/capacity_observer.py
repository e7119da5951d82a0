"""Observations of targets by the holder of the capacity duty, kept in memory.

Reading all of 12,000 targets every two seconds would exceed a daemon's budget for
control traffic. So each tick reads the targets with active steps, those seen loading or
with wrong weights, the next few to begin, and a few of all others in turn. A new holder
starts without observations, reads every target of a group with open intents once, and
only then decides, since an order of an earlier holder may have had effects that are not
recorded.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from returns.result import Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import TargetGroupId, TargetId
from lycheepost.decide.records import TargetState
from lycheepost.generated.configuration import (
    CapacityStep,
    CapacityStepState,
    Configuration,
    Model,
    Target,
    TargetDesiredState,
    TargetGroupKind,
)
from lycheepost.generated.engine import EngineHealth, EngineHealthState
from lycheepost.operators.capacity_group import UNFINISHED
from lycheepost.operators.capacity_ports import CapacityDeps
from lycheepost.operators.capacity_records import (
    ACTIVE_STEPS,
    UNSEEN,
    Observed,
    accepted_versions,
    held_version,
)
from lycheepost.ports.vms import VmRole
from lycheepost.state.view import ConfigurationView

_MAX_WAITING_READS_PER_INTENT = 8
_VM_LIST_INTERVAL_SECONDS = 10.0
_GONE_AFTER_SECONDS = 60.0
"""A target counts as gone after it has been missing from the list for this long: one
listing may be incomplete, and a slot freed too early allows one load too many."""


@dataclass
class VmListing:
    """Targets that the VM list has named, and since when it omits them."""

    absent_since_seconds: dict[TargetId, float]
    known: set[TargetId]
    read_seconds: float = float("-inf")


class CapacityObserver:
    """Reads targets and keeps what is needed between two ticks.

    Args:
        deps: Dependencies through which targets are read.
    """

    def __init__(self, deps: CapacityDeps) -> None:
        self._deps = deps
        self._clock: Clock = deps.clock
        self._wrong_since_seconds: dict[TargetId, float] = {}
        self._loading: dict[TargetId, EngineHealth] = {}
        self._unresponsive: set[TargetId] = set()
        self._not_yet_read: set[TargetId] = set()
        self._cursor = 0
        self._listing = VmListing({}, set())

    def reset(self, configuration: Configuration) -> None:
        """Start as a new holder, which must read every target with open intents."""
        groups = open_groups(configuration)
        self._not_yet_read = {
            TargetId(target.target)
            for target in _engine_targets(configuration)
            if target.target_group in groups
        }
        self._wrong_since_seconds.clear()
        self._loading.clear()
        self._unresponsive.clear()

    @property
    def has_read_back(self) -> bool:
        """Return whether every target that a new holder must read has been read."""
        return not self._not_yet_read

    async def observe(self, view: ConfigurationView) -> dict[TargetId, Observed]:
        """Read the targets that are due; return the observations.

        The result contains all targets of groups with work, read or not, since
        decisions there count serving targets.
        """
        await self._read_listing()
        configuration = view.configuration
        chosen = self._choose_targets(configuration, view.targets)
        draining = _targets_in_states(configuration, {CapacityStepState.DRAINING})
        answers = await asyncio.gather(
            *(
                self._read_target(view.targets[name], name in draining)
                for name in chosen
            )
        )
        answered = dict(zip(chosen, answers, strict=True))
        self._not_yet_read &= set(view.targets) - set(chosen)
        self._note_answers(view, answered)
        return self._merge(view, answered)

    def _choose_targets(
        self, configuration: Configuration, targets: dict[TargetId, Target]
    ) -> list[TargetId]:
        limit = self._deps.settings.capacity_reads_per_tick
        stepping = _targets_in_states(
            configuration, set(ACTIVE_STEPS)
        ) | _possibly_loading(configuration)
        first = dict.fromkeys([*stepping, *self._loading, *self._wrong_since_seconds])
        # The limit does not apply to targets in ``first``: if they used it up, a new
        # holder would never finish reading the rest. Once that is done, half of the
        # limit is reserved for reading all targets in turn. Otherwise a target that
        # restarted after a crash with other weights would count as serving for as long
        # as steps wait.
        next_reads = [*sorted(self._not_yet_read), *_next_waiting(configuration)]
        next_reads = next_reads[: limit if self._not_yet_read else limit // 2]
        asked = dict.fromkeys([*first, *next_reads])
        names = [TargetId(item.target) for item in _engine_targets(configuration)]
        rest = [name for name in names if name not in asked]
        round_robin = self._next_round_robin(rest, limit - len(next_reads))
        return [name for name in [*asked, *round_robin] if name in targets]

    def _next_round_robin(self, names: list[TargetId], n: int) -> list[TargetId]:
        if not names:
            return []
        start = self._cursor % len(names)
        self._cursor = start + n
        return (names[start:] + names[:start])[:n]

    async def _read_target(self, target: Target, with_load: bool) -> Observed:
        read = await self._deps.orders.read_state(target)
        health = read.unwrap() if isinstance(read, Success) else None
        n_running = None
        load_wall_seconds = 0.0
        if with_load:
            now_seconds = self._clock.wall_seconds()
            load = await self._deps.orders.read_load(target)
            if isinstance(load, Success):
                report = load.unwrap()
                n_running = report.n_running + report.n_queued
                load_wall_seconds = now_seconds - report.age_seconds
        return Observed(
            is_serving=False,
            health=health,
            n_running=n_running,
            load_wall_seconds=load_wall_seconds,
        )

    def _note_answers(
        self, view: ConfigurationView, answered: dict[TargetId, Observed]
    ) -> None:
        models = {model.target_group: model for model in view.configuration.models}
        now_seconds = self._clock.now_seconds()
        for name, answer in answered.items():
            if answer.health is None:
                self._unresponsive.add(name)
                # A target that stopped responding after it was seen loading, or with
                # other weights, may still be in that state.
                continue
            self._unresponsive.discard(name)
            if answer.health.state is EngineHealthState.LOADING:
                self._loading[name] = answer.health
            else:
                self._loading.pop(name, None)
            target = view.targets[name]
            if _is_wrong(target, models.get(target.target_group), answer.health):
                self._wrong_since_seconds.setdefault(name, now_seconds)
            else:
                self._wrong_since_seconds.pop(name, None)
        for remembered in (self._loading, self._wrong_since_seconds):
            for name in [name for name in remembered if name not in view.targets]:
                del remembered[name]
        self._unresponsive &= set(view.targets)

    def _merge(
        self, view: ConfigurationView, answered: dict[TargetId, Observed]
    ) -> dict[TargetId, Observed]:
        groups = {intent.target_group for intent in view.configuration.capacity_intents}
        groups |= {
            view.targets[name].target_group for name in self._wrong_since_seconds
        }
        names = dict.fromkeys(answered)
        for group in groups:
            members = view.targets_by_group.get(TargetGroupId(group), ())
            names.update((TargetId(target.target), None) for target in members)
        states = self._deps.states()
        now_seconds = self._clock.now_seconds()
        return {
            name: self._merge_one(
                name, answered.get(name, UNSEEN), states.get(name), now_seconds
            )
            for name in names
        }

    def _merge_one(
        self,
        name: TargetId,
        answer: Observed,
        state: TargetState | None,
        now_seconds: float,
    ) -> Observed:
        # A target whose last read failed or showed wrong weights is not ready until a
        # read shows the right ones, whatever other daemons report.
        is_unreliable = name in self._wrong_since_seconds or name in self._unresponsive
        wrong_since = self._wrong_since_seconds.get(name, now_seconds)
        return Observed(
            is_serving=state is TargetState.SERVING and not is_unreliable,
            is_gone=self._is_gone(name, now_seconds),
            health=answer.health or self._loading.get(name),
            n_running=answer.n_running,
            load_wall_seconds=answer.load_wall_seconds,
            wrong_seconds=now_seconds - wrong_since,
        )

    def _is_gone(self, name: TargetId, now_seconds: float) -> bool:
        since = self._listing.absent_since_seconds.get(name)
        return since is not None and now_seconds - since >= _GONE_AFTER_SECONDS

    async def _read_listing(self) -> None:
        now_seconds = self._clock.now_seconds()
        listing = self._listing
        is_fresh = now_seconds - listing.read_seconds < _VM_LIST_INTERVAL_SECONDS
        if self._deps.vms is None or is_fresh:
            return
        listing.read_seconds = now_seconds
        listed = await self._deps.vms.list_vms()
        if not isinstance(listed, Success):
            return
        present = {
            TargetId(vm.name) for vm in listed.unwrap() if vm.role is VmRole.TARGET
        }
        # Only VMs that were listed before can go missing. Fixed targets are never
        # listed and so never count as missing.
        listing.known |= present
        for name in present:
            listing.absent_since_seconds.pop(name, None)
        for name in listing.known - present:
            listing.absent_since_seconds.setdefault(name, now_seconds)


def _is_wrong(target: Target, model: Model | None, health: EngineHealth) -> bool:
    """Return whether a target that should serve reports that it cannot."""
    if target.desired_state is not TargetDesiredState.SERVING:
        return False
    held = held_version(target, model)
    is_unwanted = model is not None and held not in accepted_versions(model)
    is_standby = health.state is EngineHealthState.STANDBY
    return is_unwanted or is_standby or held not in ("", health.weights_version)


def open_groups(configuration: Configuration) -> set[str]:
    """Return the target groups with an unfinished intent."""
    return {
        intent.target_group
        for intent in configuration.capacity_intents
        if intent.state in UNFINISHED or _is_busy(intent.steps)
    }


def _engine_targets(configuration: Configuration) -> list[Target]:
    engines = {
        group.target_group
        for group in configuration.target_groups
        if group.kind is TargetGroupKind.ENGINE
    }
    return [
        target
        for target in configuration.targets
        if target.target_group in engines
        and target.desired_state is not TargetDesiredState.RETIRED
    ]


def _is_busy(steps: Iterable[CapacityStep]) -> bool:
    return any(step.state in ACTIVE_STEPS for step in steps)


def _targets_in_states(
    configuration: Configuration, states: set[CapacityStepState]
) -> set[TargetId]:
    return {
        TargetId(step.target)
        for intent in configuration.capacity_intents
        for step in intent.steps
        if step.state in states
    }


def _possibly_loading(configuration: Configuration) -> set[TargetId]:
    """Return targets whose step stopped after an order: they may be loading."""
    stopped = (CapacityStepState.WAITING, CapacityStepState.FAILED)
    return {
        TargetId(step.target)
        for intent in configuration.capacity_intents
        for step in intent.steps
        if step.state in stopped and step.desired_version > 0
    }


def _next_waiting(configuration: Configuration) -> list[TargetId]:
    names: list[TargetId] = []
    for intent in configuration.capacity_intents:
        if intent.state in UNFINISHED:
            waiting = [
                TargetId(step.target)
                for step in intent.steps
                if step.state is CapacityStepState.WAITING
            ]
            names += waiting[:_MAX_WAITING_READS_PER_INTENT]
    return names
