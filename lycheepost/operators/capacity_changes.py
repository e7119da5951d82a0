"""Apply the capacity changes of an intent: create, pause, resume, cancel.

A plan only records a capacity intent; ``capacity`` executes it over time. The plan
states what can be known in advance: the steps, their duration at the weight store's
rate with the group's ``concurrent_loads``, and conflicts.
"""

import math

from lycheepost.generated.configuration import (
    CapacityIntent,
    CapacityIntentKind,
    CapacityIntentState,
    Model,
    Target,
    TargetDesiredState,
    TargetGroupKind,
)
from lycheepost.generated.intents import (
    CancelIntent,
    ChangeRole,
    HoldReady,
    NewWeights,
    PauseIntent,
    ResumeIntent,
    Retire,
)
from lycheepost.generated.operators import (
    PlanConflict,
)
from lycheepost.operators.capacity_control import IntentControl, control_intent
from lycheepost.operators.capacity_estimates import (
    CapacityContext,
    estimate_load,
    estimate_rolling,
    make_conflict,
    members_of,
    model_of,
    serving_of,
)
from lycheepost.operators.capacity_group import UNFINISHED, find_overlaps
from lycheepost.operators.capacity_records import (
    accepted_versions,
    held_version,
)
from lycheepost.operators.change_results import Applied, ChangeResult, check_present
from lycheepost.operators.items import Draft
from lycheepost.operators.target_changes import check_enough_serving
from lycheepost.utils.documents import Fault

NewCapacity = HoldReady | Retire | NewWeights | ChangeRole
CapacityChange = NewCapacity | IntentControl


def apply_capacity_change(
    draft: Draft, change: CapacityChange, context: CapacityContext
) -> ChangeResult:
    """Record a capacity change in the draft, or return its faults."""
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
            return control_intent(draft, change, context)


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
    members = members_of(draft, change.target_group)
    n_missing = max(0, change.n_targets - len(serving_of(members)))
    conflicts = _check_hold(draft, change, members)
    seconds = 0.0
    if n_missing:
        model = model_of(draft, change.target_group)
        load_seconds, unknown = estimate_load(model, "", context)
        conflicts += unknown
        n_waves = math.ceil(n_missing / group.concurrent_loads)
        seconds = n_waves * load_seconds + context.warm_seconds
    late_seconds = context.now_wall_seconds + seconds - change.start_wall_seconds
    if change.start_wall_seconds and late_seconds > 0:
        reason = f"would be ready {late_seconds:.0f} s after the start"
        conflicts.append(make_conflict(f"target_groups/{group.target_group}", reason))
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


def _check_hold(
    draft: Draft, change: HoldReady, members: list[Target]
) -> list[PlanConflict]:
    conflicts = []
    subject = f"target_groups/{change.target_group}"
    if change.n_targets > len(members):
        reason = f"the group has {len(members)} targets"
        conflicts.append(make_conflict(subject, reason, is_blocking=True))
    leaving = {
        name
        for intent in draft.all("capacity_intents")
        if intent.kind is CapacityIntentKind.RETIRE and intent.state in UNFINISHED
        for name in intent.targets
    }
    kept = [target for target in members if target.target not in leaving]
    if len(kept) < change.n_targets <= len(members):
        reason = f"only {len(kept)} targets are not to be retired"
        conflicts.append(make_conflict(subject, reason, is_blocking=True))
    return conflicts


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
    left = sum(target.target not in leaving for target in members_of(draft, group))
    return [
        make_conflict(
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
    if model_of(draft, model.target_group) is None:
        reason = f"{model.target_group} serves several models"
        return [Fault("model", change.model, reason)]
    group = draft.find(f"target_groups/{model.target_group}")
    changing = [
        target
        for target in members_of(draft, model.target_group)
        if held_version(target, model) != change.weights_version
    ]
    names = {target.target for target in changing}
    kind = CapacityIntentKind.NEW_WEIGHTS
    conflicts = _check_rollout(draft, model, change.weights_version)
    conflicts += find_overlaps(draft, model.target_group, names, kind)
    seconds = 0.0
    if changing:
        load_seconds, found = estimate_load(model, change.weights_version, context)
        conflicts += found
        seconds, found = estimate_rolling(draft, group, changing, load_seconds, context)
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
        make_conflict(
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
        conflicts.append(make_conflict(subject, reason, is_blocking=True))
    return conflicts


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
    model = model_of(draft, change.target_group)
    load_seconds, found = estimate_load(model, "", context)
    conflicts += found
    seconds, found = estimate_rolling(draft, group, changing, load_seconds, context)
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
