"""Apply the capacity changes of an intent: create, pause, resume, cancel.

A capacity intent is only recorded by its plan; ``capacity`` carries it out over
time. What the plan can know beforehand, it says: the steps, how long they take
at the weight store's rate with the group's ``concurrent_loads``, and what stands
against it.
"""

import dataclasses
import math
from collections.abc import Mapping
from dataclasses import dataclass

from lycheepost.generated.configuration import (
    CapacityIntent,
    CapacityIntentKind,
    CapacityIntentState,
    CapacityStepState,
    Model,
    Target,
    TargetDesiredState,
    TargetGroup,
    TargetGroupKind,
)
from lycheepost.generated.operators import (
    CancelIntent,
    ChangeRole,
    HoldReady,
    NewWeights,
    PauseIntent,
    PlanConflict,
    ResumeIntent,
    Retire,
    WeightsFact,
)
from lycheepost.operators.capacity_group import UNFINISHED, find_overlaps
from lycheepost.operators.capacity_records import (
    SERVING_SHARES,
    accepted_versions,
    held_version,
)
from lycheepost.operators.change_results import Applied, ChangeResult, check_present
from lycheepost.operators.items import Draft
from lycheepost.operators.target_changes import check_enough_serving
from lycheepost.utils.documents import Fault

NewCapacity = HoldReady | Retire | NewWeights | ChangeRole
Steering = PauseIntent | ResumeIntent | CancelIntent
CapacityChange = NewCapacity | Steering

WeightsKey = tuple[str, str]
"""Model and weights version."""


@dataclass(frozen=True)
class CapacityContext:
    """What planning a capacity change needs beside the configuration.

    Attributes:
        intent_name: Name that the new intent gets; the same at the confirm.
        now_wall_seconds: Now, as seconds since the Unix epoch.
        weights: What the weight store said of the versions asked for.
        drain_seconds: Shortest time for a target to run empty.
        warm_step_seconds: Time between two rises of a warming target's share.
    """

    intent_name: str
    now_wall_seconds: float
    weights: Mapping[WeightsKey, WeightsFact]
    drain_seconds: float
    warm_step_seconds: float

    @property
    def warm_seconds(self) -> float:
        """Return how long a loaded target takes to its full share."""
        return self.warm_step_seconds * (len(SERVING_SHARES) - 1)


def apply_capacity_change(
    draft: Draft, change: CapacityChange, context: CapacityContext
) -> ChangeResult:
    """Record a capacity change in the draft, or return why it cannot be."""
    match change:
        case HoldReady():
            return _hold_ready(draft, change, context)
        case Retire():
            return _retire(draft, change, context)
        case NewWeights():
            return _new_weights(draft, change, context)
        case ChangeRole():
            return _change_role(draft, change, context)
        case PauseIntent() | ResumeIntent() | CancelIntent():
            return _steer(draft, change, context)


def _members(draft: Draft, group: str) -> list[Target]:
    return [
        target
        for target in draft.all("targets")
        if target.target_group == group
        and target.desired_state is not TargetDesiredState.RETIRED
    ]


def _serving(targets: list[Target]) -> list[Target]:
    serving = TargetDesiredState.SERVING
    return [target for target in targets if target.desired_state is serving]


def _find_model(draft: Draft, group: str) -> Model | None:
    models = [item for item in draft.all("models") if item.target_group == group]
    return models[0] if len(models) == 1 else None


def _check_group(
    draft: Draft, change: HoldReady | Retire | ChangeRole, is_engine: bool
) -> list[Fault]:
    subject = f"target_groups/{change.target_group}"
    faults = check_present(draft, subject, "target_group")
    group = draft.find(subject)
    if is_engine and group is not None and group.kind is not TargetGroupKind.ENGINE:
        faults.append(
            Fault("target_group", change.target_group, "holds no model engines")
        )
    return faults


def _check_targets(draft: Draft, change: Retire | ChangeRole) -> list[Fault]:
    faults = []
    for index, name in enumerate(change.targets):
        path = f"targets[{index}]"
        target = draft.find(f"targets/{name}")
        if target is None:
            faults.append(Fault(path, name, "does not exist"))
        elif target.target_group != change.target_group:
            faults.append(Fault(path, name, f"is in {target.target_group}"))
        elif target.desired_state is TargetDesiredState.RETIRED:
            faults.append(Fault(path, name, "is retired already"))
    return faults


def _check_window(start_seconds: float, end_seconds: float, now: float) -> list[Fault]:
    if 0 < end_seconds <= max(start_seconds, now):
        return [Fault("end_wall_seconds", str(end_seconds), "is before the start")]
    return []


def _record(
    draft: Draft,
    intent: CapacityIntent,
    detail: str,
    conflicts: list[PlanConflict],
    seconds: float,
) -> Applied:
    draft.put(intent)
    subject = f"capacity_intents/{intent.intent}"
    return Applied(intent.kind.value, subject, detail, tuple(conflicts), seconds)


def _hold_ready(
    draft: Draft, change: HoldReady, context: CapacityContext
) -> ChangeResult:
    faults = _check_group(draft, change, is_engine=True)
    faults += _check_window(
        change.start_wall_seconds, change.end_wall_seconds, context.now_wall_seconds
    )
    if faults:
        return faults
    group = draft.find(f"target_groups/{change.target_group}")
    members = _members(draft, change.target_group)
    n_missing = max(0, change.n_targets - len(_serving(members)))
    conflicts = _check_hold(draft, change, members)
    seconds = 0.0
    if n_missing:
        model = _find_model(draft, change.target_group)
        load_seconds, unknown = _load_seconds(model, "", context)
        conflicts += unknown
        n_waves = math.ceil(n_missing / group.concurrent_loads)
        seconds = n_waves * load_seconds + context.warm_seconds
    late_seconds = context.now_wall_seconds + seconds - change.start_wall_seconds
    if change.start_wall_seconds and late_seconds > 0:
        reason = f"would be ready {late_seconds:.0f} s after the start"
        conflicts.append(_conflict(f"target_groups/{group.target_group}", reason))
    intent = CapacityIntent(
        intent=context.intent_name,
        kind=CapacityIntentKind.HOLD_READY,
        target_group=change.target_group,
        state=CapacityIntentState.SCHEDULED,
        n_targets=change.n_targets,
        start_wall_seconds=change.start_wall_seconds,
        end_wall_seconds=change.end_wall_seconds,
        lead_seconds=seconds,
    )
    detail = f"{change.n_targets} targets ready, {n_missing} to be loaded first"
    return _record(draft, intent, detail, conflicts, seconds)


def _conflict(subject: str, reason: str, is_blocking: bool = False) -> PlanConflict:
    return PlanConflict(subject=subject, reason=reason, is_blocking=is_blocking)


def _check_hold(
    draft: Draft, change: HoldReady, members: list[Target]
) -> list[PlanConflict]:
    conflicts = []
    subject = f"target_groups/{change.target_group}"
    if change.n_targets > len(members):
        reason = f"the group has {len(members)} targets"
        conflicts.append(_conflict(subject, reason, is_blocking=True))
    leaving = {
        name
        for intent in draft.all("capacity_intents")
        if intent.kind is CapacityIntentKind.RETIRE and intent.state in UNFINISHED
        for name in intent.targets
    }
    kept = [target for target in members if target.target not in leaving]
    if len(kept) < change.n_targets <= len(members):
        reason = f"only {len(kept)} targets are not to be retired"
        conflicts.append(_conflict(subject, reason, is_blocking=True))
    return conflicts


def _load_seconds(
    model: Model | None, version: str, context: CapacityContext
) -> tuple[float, list[PlanConflict]]:
    """Return the time of one load, and a conflict when it is not known."""
    if model is None:
        return 0.0, []
    key = (model.model, version or model.weights_version)
    fact = context.weights.get(key)
    subject = f"models/{model.model}"
    if fact is None or not fact.is_known:
        reason = "the weight store did not answer; times are not known"
        return 0.0, [_conflict(subject, reason)]
    if not fact.is_present:
        reason = f"the weight store has no version {key[1]}"
        return 0.0, [_conflict(subject, reason, is_blocking=True)]
    return fact.load_seconds, []


def _retire(draft: Draft, change: Retire, context: CapacityContext) -> ChangeResult:
    faults = _check_group(draft, change, is_engine=False)
    faults += _check_targets(draft, change)
    if faults:
        return faults
    wanted = set(change.targets)
    kind = CapacityIntentKind.RETIRE
    conflicts = find_overlaps(draft, change.target_group, wanted, kind)
    conflicts += check_enough_serving(draft, change.target_group, wanted)
    conflicts += _check_holds(draft, change.target_group, wanted)
    intent = CapacityIntent(
        intent=context.intent_name,
        kind=kind,
        target_group=change.target_group,
        state=CapacityIntentState.SCHEDULED,
        targets=change.targets,
        start_wall_seconds=change.start_wall_seconds,
    )
    detail = f"{', '.join(change.targets)}, each once it has finished its work"
    return _record(draft, intent, detail, conflicts, context.drain_seconds)


def _check_holds(draft: Draft, group: str, leaving: set[str]) -> list[PlanConflict]:
    left = sum(target.target not in leaving for target in _members(draft, group))
    return [
        _conflict(
            f"capacity_intents/{intent.intent}",
            f"holds {intent.n_targets} ready and {left} would be left",
            is_blocking=True,
        )
        for intent in draft.all("capacity_intents")
        if intent.kind is CapacityIntentKind.HOLD_READY
        and intent.state in UNFINISHED
        and intent.target_group == group
        and left < intent.n_targets
    ]


def _new_weights(
    draft: Draft, change: NewWeights, context: CapacityContext
) -> ChangeResult:
    subject = f"models/{change.model}"
    faults = check_present(draft, subject, "model")
    if faults:
        return faults
    model = draft.find(subject)
    if _find_model(draft, model.target_group) is None:
        reason = f"{model.target_group} serves several models"
        return [Fault("model", change.model, reason)]
    group = draft.find(f"target_groups/{model.target_group}")
    changing = [
        target
        for target in _members(draft, model.target_group)
        if held_version(target, model) != change.weights_version
    ]
    names = {target.target for target in changing}
    kind = CapacityIntentKind.NEW_WEIGHTS
    conflicts = _check_rollout(draft, model, change.weights_version)
    conflicts += find_overlaps(draft, model.target_group, names, kind)
    seconds = 0.0
    if changing:
        load_seconds, found = _load_seconds(model, change.weights_version, context)
        conflicts += found
        seconds, found = _estimate_rolling(
            draft, group, changing, load_seconds, context
        )
        conflicts += found
    intent = CapacityIntent(
        intent=context.intent_name,
        kind=kind,
        target_group=model.target_group,
        state=CapacityIntentState.SCHEDULED,
        model=change.model,
        weights_version=change.weights_version,
        targets=sorted(names),
        start_wall_seconds=change.start_wall_seconds,
    )
    detail = (
        f"{change.model} from {model.weights_version} to {change.weights_version},"
        f" {len(changing)} targets, at most {group.concurrent_loads} at once;"
        " both serve until all hold it"
    )
    return _record(draft, intent, detail, conflicts, seconds)


def _check_rollout(draft: Draft, model: Model, version: str) -> list[PlanConflict]:
    """Return blocking conflicts with another rollout of the same model."""
    subject = f"models/{model.model}"
    conflicts = [
        _conflict(
            f"capacity_intents/{intent.intent}",
            f"changes the model to {intent.weights_version}; cancel it first",
            is_blocking=True,
        )
        for intent in draft.all("capacity_intents")
        if intent.kind is CapacityIntentKind.NEW_WEIGHTS
        and intent.model == model.model
        and intent.state in UNFINISHED
    ]
    if model.next_weights_version and version not in accepted_versions(model):
        held = ", ".join(sorted(accepted_versions(model)))
        reason = f"targets hold {held} after a cancelled change; go to one of them"
        conflicts.append(_conflict(subject, reason, is_blocking=True))
    return conflicts


def _estimate_rolling(
    draft: Draft,
    group: TargetGroup,
    changing: list[Target],
    load_seconds: float,
    context: CapacityContext,
) -> tuple[float, list[PlanConflict]]:
    """Return how long it takes to change targets while enough others serve.

    Standby targets cost no capacity; of the serving ones no more are out than
    ``min_serving`` leaves, and they count again only once they are warm.
    """
    serving = _serving(_members(draft, group.target_group))
    n_spare = len(serving) - group.min_serving
    n_serving = len(_serving(changing))
    n_standby = len(changing) - n_serving
    if n_serving and n_spare < 1:
        subject = f"target_groups/{group.target_group}"
        reason = (
            f"{len(serving)} targets serve and min_serving is {group.min_serving};"
            " none can be taken out"
        )
        return 0.0, [_conflict(subject, reason, is_blocking=True)]
    loads = group.concurrent_loads
    seconds = math.ceil(n_standby / loads) * load_seconds
    if n_serving:
        n_waves = math.ceil(n_serving / min(loads, n_spare))
        wave_seconds = context.drain_seconds + load_seconds + context.warm_seconds
        seconds += n_waves * wave_seconds
    return seconds, []


def _change_role(
    draft: Draft, change: ChangeRole, context: CapacityContext
) -> ChangeResult:
    faults = _check_group(draft, change, is_engine=True)
    faults += _check_targets(draft, change)
    if faults:
        return faults
    wanted = set(change.targets)
    kind = CapacityIntentKind.CHANGE_ROLE
    group = draft.find(f"target_groups/{change.target_group}")
    changing = [draft.find(f"targets/{name}") for name in change.targets]
    conflicts = find_overlaps(draft, change.target_group, wanted, kind)
    model = _find_model(draft, change.target_group)
    load_seconds, found = _load_seconds(model, "", context)
    conflicts += found
    seconds, found = _estimate_rolling(draft, group, changing, load_seconds, context)
    conflicts += found
    intent = CapacityIntent(
        intent=context.intent_name,
        kind=kind,
        target_group=change.target_group,
        state=CapacityIntentState.SCHEDULED,
        role=change.role,
        targets=change.targets,
        start_wall_seconds=change.start_wall_seconds,
    )
    detail = f"{', '.join(change.targets)} to {change.role}"
    return _record(draft, intent, detail, conflicts, seconds)


_STEERED_FROM = {
    PauseIntent: {CapacityIntentState.SCHEDULED, CapacityIntentState.RUNNING},
    ResumeIntent: {CapacityIntentState.PAUSED, CapacityIntentState.FAILED},
    CancelIntent: set(UNFINISHED),
}
_STEERED_TO = {
    PauseIntent: CapacityIntentState.PAUSED,
    CancelIntent: CapacityIntentState.CANCELLED,
}
_STEERED_ACTION = {
    PauseIntent: "pause_intent",
    ResumeIntent: "resume_intent",
    CancelIntent: "cancel_intent",
}


def _steer(draft: Draft, change: Steering, context: CapacityContext) -> ChangeResult:
    subject = f"capacity_intents/{change.intent}"
    faults = check_present(draft, subject, "intent")
    if faults:
        return faults
    intent = draft.find(subject)
    kind = type(change)
    if intent.state not in _STEERED_FROM[kind]:
        return [Fault("intent", change.intent, f"is {intent.state.value}")]
    if isinstance(change, ResumeIntent):
        draft.put(_resume(intent))
    else:
        ended_seconds = 0.0
        if isinstance(change, CancelIntent):
            ended_seconds = context.now_wall_seconds
        draft.put(
            dataclasses.replace(
                intent, state=_STEERED_TO[kind], ended_wall_seconds=ended_seconds
            )
        )
    n_open = sum(step.state is not CapacityStepState.DONE for step in intent.steps)
    detail = f"{intent.kind.value}, {n_open} of {len(intent.steps)} steps open"
    return Applied(_STEERED_ACTION[kind], subject, detail)


def _resume(intent: CapacityIntent) -> CapacityIntent:
    """Return the intent running again, its failed steps to be tried again."""
    steps = [
        dataclasses.replace(step, state=CapacityStepState.WAITING, note="")
        if step.state is CapacityStepState.FAILED
        else step
        for step in intent.steps
    ]
    state = CapacityIntentState.RUNNING
    if not steps:
        state = CapacityIntentState.SCHEDULED
    return dataclasses.replace(intent, state=state, steps=steps, note="")
