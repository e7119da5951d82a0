"""Steps of holds: keep a number of targets ready, and release them at the end."""

import dataclasses

from lycheepost.generated.configuration import (
    CapacityIntent,
    CapacityIntentKind,
    CapacityIntentState,
    CapacityStep,
    CapacityStepState,
    TargetDesiredState,
)
from lycheepost.operators.capacity_group import GroupContext
from lycheepost.operators.capacity_newsteps import (
    is_open,
    spread_over_zones,
    waiting_step,
)
from lycheepost.operators.capacity_records import ACTIVE_STEPS, newest_version
from lycheepost.operators.capacity_steps import is_released


def fill_hold(context: GroupContext, intent: CapacityIntent) -> None:
    """Add the steps that are missing for the held number of targets to serve."""
    if is_released(intent):
        _release(context, intent)
        return
    if intent.state is not CapacityIntentState.RUNNING:
        return
    model = context.model()
    # While the model changes, targets that start now load the new weights.
    version = "" if model is None else newest_version(model)
    starting = {
        step.target
        for owner, step in context.steps()
        if _will_serve(owner, step) and not context.is_ready_name(step.target)
    }
    n_missing = intent.n_targets - context.n_ready() - len(starting)
    busy = {step.target for _, step in context.steps() if is_open(step)}
    spare = [
        target
        for target in context.targets.values()
        if target.desired_state is TargetDesiredState.STANDBY
        and target.target not in busy
        and context.observe(target.target).health is not None
    ]
    chosen = spread_over_zones(spare)[: max(0, n_missing)]
    if chosen:
        steps = [waiting_step(target.target, version) for target in chosen]
        context.put_steps(intent.intent, steps)


def _will_serve(intent: CapacityIntent, step: CapacityStep) -> bool:
    if step.state in ACTIVE_STEPS:
        return step.was_serving
    is_hold = intent.kind is CapacityIntentKind.HOLD_READY
    return is_hold and step.state is CapacityStepState.WAITING


def _release(context: GroupContext, intent: CapacityIntent) -> None:
    """Return the targets of an ended hold to standby, as far as enough others serve."""
    busy_elsewhere = {
        step.target
        for owner, step in context.steps()
        if owner.intent != intent.intent and step.state in ACTIVE_STEPS
    }
    for step in intent.steps:
        target = context.targets.get(step.target)
        if step.state is CapacityStepState.WAITING or target is None:
            context.drop_step(intent.intent, step.target)
            continue
        if step.state not in (CapacityStepState.WARMING, CapacityStepState.DONE):
            continue
        if step.target in busy_elsewhere:
            continue
        if target.desired_state is not TargetDesiredState.SERVING:
            context.drop_step(intent.intent, step.target)
        elif context.may_take_out(target):
            standby = TargetDesiredState.STANDBY
            context.put_target(dataclasses.replace(target, desired_state=standby))
            context.drop_step(intent.intent, step.target)
