"""Keep a held number of targets ready, and let them go again."""

import dataclasses

from lycheepost.generated.configuration import (
    CapacityIntent,
    CapacityIntentKind,
    CapacityIntentState,
    CapacityStep,
    CapacityStepState,
    TargetDesiredState,
)
from lycheepost.operators.capacity_group import GroupWork
from lycheepost.operators.capacity_newsteps import (
    is_open,
    spread_over_zones,
    waiting_step,
)
from lycheepost.operators.capacity_records import ACTIVE_STEPS, newest_version
from lycheepost.operators.capacity_steps import is_released


def fill_hold(work: GroupWork, intent: CapacityIntent) -> None:
    """Keep enough steps under way for the held number to serve."""
    if is_released(intent):
        _release(work, intent)
        return
    if intent.state is not CapacityIntentState.RUNNING:
        return
    model = work.model()
    # While the model changes, what comes up now comes up with the new weights.
    version = "" if model is None else newest_version(model)
    coming = {
        step.target
        for owner, step in work.steps()
        if _will_serve(owner, step) and not work.is_ready_name(step.target)
    }
    n_missing = intent.n_targets - work.n_ready() - len(coming)
    busy = {step.target for _, step in work.steps() if is_open(step)}
    spare = [
        target
        for target in work.targets.values()
        if target.desired_state is TargetDesiredState.STANDBY
        and target.target not in busy
        and work.observe(target.target).health is not None
    ]
    chosen = spread_over_zones(spare)[: max(0, n_missing)]
    if chosen:
        steps = [waiting_step(target.target, version) for target in chosen]
        work.put_steps(intent.intent, steps)


def _will_serve(intent: CapacityIntent, step: CapacityStep) -> bool:
    if step.state in ACTIVE_STEPS:
        return step.was_serving
    is_hold = intent.kind is CapacityIntentKind.HOLD_READY
    return is_hold and step.state is CapacityStepState.WAITING


def _release(work: GroupWork, intent: CapacityIntent) -> None:
    """Let the targets of an ended hold stand by again, as far as others serve."""
    elsewhere = {
        step.target
        for owner, step in work.steps()
        if owner.intent != intent.intent and step.state in ACTIVE_STEPS
    }
    for step in intent.steps:
        target = work.targets.get(step.target)
        if step.state is CapacityStepState.WAITING or target is None:
            work.drop_step(intent.intent, step.target)
            continue
        if step.state not in (CapacityStepState.WARMING, CapacityStepState.DONE):
            continue
        if step.target in elsewhere:
            continue
        if target.desired_state is not TargetDesiredState.SERVING:
            work.drop_step(intent.intent, step.target)
        elif work.may_take_out(target):
            standby = TargetDesiredState.STANDBY
            work.put_target(dataclasses.replace(target, desired_state=standby))
            work.drop_step(intent.intent, step.target)
