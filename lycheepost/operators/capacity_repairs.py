"""Find targets that lack their recorded weights, and load them again."""

import dataclasses

from lycheepost.generated.configuration import (
    CapacityIntent,
    CapacityIntentKind,
    CapacityIntentState,
    CapacityStep,
    CapacityStepState,
    Model,
    Target,
    TargetDesiredState,
)
from lycheepost.operators.capacity_group import UNFINISHED, GroupContext
from lycheepost.operators.capacity_newsteps import waiting_step
from lycheepost.operators.capacity_records import (
    ACTIVE_STEPS,
    CapacityTiming,
    accepted_versions,
    held_version,
    newest_version,
)


def plan_repairs(context: GroupContext, timing: CapacityTiming) -> None:
    """Add load steps for targets that do not hold their recorded weights.

    An engine restarts after a crash with its boot weights; a target that ignores
    fencing may have accepted a late order of an earlier holder. Both refuse every
    request for their recorded weights until they hold them.
    """
    model = context.model()
    if model is None:
        return
    name = f"repair-{context.group.target_group}"
    already_handled = {
        step.target for intent, step in context.steps() if _will_load(intent, step)
    }
    wrong = [
        target
        for target in context.targets.values()
        if target.desired_state is TargetDesiredState.SERVING
        and target.target not in already_handled
        and _is_wrong(context, target, model, timing)
    ]
    if not wrong:
        return
    if name not in context.intents or context.intents[name].state not in UNFINISHED:
        context.put_intent(_make_repair(context, name, context.intents.get(name)))
    context.put_steps(name, [_repair_step(target, model) for target in wrong])


def _will_load(intent: CapacityIntent, step: CapacityStep) -> bool:
    """Return whether a step will load its target, so that no repair is needed.

    A waiting step counts only in a running repair or rollout. Those of paused intents
    and of retirements would block the repair of a target that cannot serve.
    """
    if step.state in ACTIVE_STEPS:
        return True
    if step.state is CapacityStepState.FAILED:
        return intent.state in UNFINISHED
    is_running = intent.state is CapacityIntentState.RUNNING
    loads = intent.kind in (CapacityIntentKind.REPAIR, CapacityIntentKind.NEW_WEIGHTS)
    return step.state is CapacityStepState.WAITING and is_running and loads


def _is_wrong(
    context: GroupContext, target: Target, model: Model, timing: CapacityTiming
) -> bool:
    observed = context.observe(target.target)
    if observed.health is None:
        return False
    if held_version(target, model) not in accepted_versions(model):
        return True
    return observed.wrong_seconds >= timing.repair_after_seconds


def _repair_step(target: Target, model: Model) -> CapacityStep:
    held = held_version(target, model)
    version = held if held in accepted_versions(model) else newest_version(model)
    return dataclasses.replace(waiting_step(target.target, version), was_serving=True)


def _make_repair(
    context: GroupContext, name: str, earlier: CapacityIntent | None
) -> CapacityIntent:
    steps = [] if earlier is None else earlier.steps
    # A failed load may still be running: its step keeps its load slot.
    failed = [step for step in steps if step.state is CapacityStepState.FAILED]
    return CapacityIntent(
        intent=name,
        kind=CapacityIntentKind.REPAIR,
        target_group=context.group.target_group,
        state=CapacityIntentState.RUNNING,
        start_wall_seconds=context.now_wall_seconds,
        steps=failed,
        note="targets hold other weights than recorded",
    )
