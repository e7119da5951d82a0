"""Decide the next steps of all capacity intents.

This is a pure function of the configuration, the observations and the time. The holder
of the capacity duty calls it repeatedly, commits the returned revision and sends the
returned actions. No state is kept between calls, so another holder can continue from
the same point. Three invariants hold at every call:

- no more targets load than the group's ``concurrent_loads``, across holders,
  since a load slot is taken in the committed revision before the order is sent;
- no serving target is taken out of service unless at least ``min_serving`` others,
  and as many as a running hold requires, are certain to serve;
- a target is ordered to load only when it runs no requests.
"""

import dataclasses

from lycheepost.generated.configuration import (
    CapacityIntent,
    CapacityIntentKind,
    CapacityIntentState,
    CapacityStepState,
    Configuration,
    Model,
    Target,
    TargetDesiredState,
    TargetGroupKind,
)
from lycheepost.operators.capacity_group import UNFINISHED, GroupContext
from lycheepost.operators.capacity_holds import fill_hold
from lycheepost.operators.capacity_newsteps import (
    is_open,
    spread_over_zones,
    waiting_step,
)
from lycheepost.operators.capacity_records import (
    ACTIVE_STEPS,
    FAILED_TARGETS_LIMIT,
    CapacityAction,
    CapacityDecision,
    CapacityTiming,
    Observations,
    held_version,
)
from lycheepost.operators.capacity_repairs import plan_repairs
from lycheepost.operators.capacity_steps import advance_step, is_released
from lycheepost.operators.items import Draft

_KINDS_BY_PRIORITY = (
    CapacityIntentKind.REPAIR,
    CapacityIntentKind.HOLD_READY,
    CapacityIntentKind.NEW_WEIGHTS,
    CapacityIntentKind.CHANGE_ROLE,
    CapacityIntentKind.RETIRE,
)
"""Which intents take a free load slot first: those that repair current failures, then
those that add capacity, then those that remove it."""


def decide_capacity(
    configuration: Configuration,
    observed: Observations,
    now_wall_seconds: float,
    timing: CapacityTiming,
) -> CapacityDecision:
    """Return the next revision to commit and the actions to send now.

    Args:
        configuration: The revision in force, with all intents and their steps.
        observed: State of targets; a missing target counts as unseen.
        now_wall_seconds: Current time, as seconds since the Unix epoch.
        timing: Time limits and delays.
    """
    draft = Draft(configuration)
    actions: list[CapacityAction] = []
    members = _group_targets(configuration)
    active_groups = _find_active_groups(configuration, members, observed)
    for group in configuration.target_groups:
        if group.target_group not in active_groups:
            continue
        targets = members.get(group.target_group, [])
        context = GroupContext(draft, group, targets, observed, now_wall_seconds)
        if group.kind is TargetGroupKind.ENGINE:
            plan_repairs(context, timing)
        actions += _advance_group(context, timing, configuration.revision + 1)
        _drop_old_intents(context, timing)
    changed = draft.finish()
    if changed == configuration:
        return CapacityDecision(None, tuple(actions))
    next_revision = dataclasses.replace(changed, revision=configuration.revision + 1)
    return CapacityDecision(next_revision, tuple(actions))


def _group_targets(configuration: Configuration) -> dict[str, list[Target]]:
    members: dict[str, list[Target]] = {}
    for target in configuration.targets:
        members.setdefault(target.target_group, []).append(target)
    return members


def _find_active_groups(
    configuration: Configuration,
    members: dict[str, list[Target]],
    observed: Observations,
) -> set[str]:
    """Return the groups in which a step may be due.

    Most groups have nothing to do most of the time, and a call must not take more than
    a few ms, since the daemon relays streams on the same core.
    """
    with_intents = {intent.target_group for intent in configuration.capacity_intents}
    wrong = {name for name, item in observed.items() if item.wrong_seconds > 0}
    with_wrong = {
        group
        for group, targets in members.items()
        if wrong and any(target.target in wrong for target in targets)
    }
    return with_intents | with_wrong


def _advance_group(
    context: GroupContext, timing: CapacityTiming, next_revision: int
) -> list[CapacityAction]:
    actions = []
    for name in _sort_intents(context):
        _begin_intent(context, context.intents[name])
        if context.intents[name].kind is CapacityIntentKind.HOLD_READY:
            fill_hold(context, context.intents[name])
        for step in context.intents[name].steps:
            intent = context.intents[name]
            action = advance_step(context, intent, step, timing, next_revision)
            if action is not None:
                actions.append(action)
        _end_intent(context, context.intents[name])
    return actions


def _sort_intents(context: GroupContext) -> list[str]:
    intents = sorted(
        context.intents.values(),
        key=lambda item: (
            _KINDS_BY_PRIORITY.index(item.kind),
            item.start_wall_seconds,
            item.intent,
        ),
    )
    return [intent.intent for intent in intents]


def _set_state(
    context: GroupContext,
    intent: CapacityIntent,
    state: CapacityIntentState,
    note: str = "",
) -> None:
    ended_seconds = 0.0 if state in UNFINISHED else context.now_wall_seconds
    context.put_intent(
        dataclasses.replace(
            intent, state=state, note=note, ended_wall_seconds=ended_seconds
        )
    )


def _begin_intent(context: GroupContext, intent: CapacityIntent) -> None:
    begin_seconds = intent.start_wall_seconds - intent.lead_seconds
    is_due = context.now_wall_seconds >= begin_seconds
    if intent.state is not CapacityIntentState.SCHEDULED or not is_due:
        return
    if intent.kind is CapacityIntentKind.NEW_WEIGHTS:
        _begin_new_weights(context, intent)
    elif intent.kind is not CapacityIntentKind.HOLD_READY:
        steps = [waiting_step(target, "") for target in intent.targets]
        context.put_intent(dataclasses.replace(intent, steps=steps))
    _set_state(context, context.intents[intent.intent], CapacityIntentState.RUNNING)


def _begin_new_weights(context: GroupContext, intent: CapacityIntent) -> None:
    """Allow both versions for requests, and record which target holds which.

    A target without a version of its own follows its model. It must be recorded with
    the version that it holds now, or it would appear to change with the model at the
    end.
    """
    model = context.model()
    if model is None:
        return
    for target in list(context.targets.values()):
        if not target.weights_version:
            held = held_version(target, model)
            context.put_target(dataclasses.replace(target, weights_version=held))
    if intent.weights_version != model.weights_version:
        following = dataclasses.replace(
            model, next_weights_version=intent.weights_version
        )
        context.draft.put(following)
    _add_missing_steps(context, intent)


def _add_missing_steps(context: GroupContext, intent: CapacityIntent) -> bool:
    """Add a step for each target that does not hold the new version.

    A target whose step is done may have changed since: another intent may have loaded
    it again, or its VM may have returned after it was assumed lost.
    """
    model = context.model()
    open_steps = {
        step.target for step in context.intents[intent.intent].steps if is_open(step)
    }
    missing = [
        target
        for target in context.targets.values()
        if target.desired_state is not TargetDesiredState.RETIRED
        and held_version(target, model) != intent.weights_version
        and target.target not in open_steps
        and not context.observe(target.target).is_lost
    ]
    if missing:
        context.put_steps(
            intent.intent,
            [
                waiting_step(target.target, intent.weights_version)
                for target in spread_over_zones(missing)
            ],
        )
    return bool(missing)


def _end_intent(context: GroupContext, intent: CapacityIntent) -> None:
    if intent.state is not CapacityIntentState.RUNNING:
        return
    failed = [
        step.target for step in intent.steps if step.state is CapacityStepState.FAILED
    ]
    if intent.kind is CapacityIntentKind.HOLD_READY:
        is_over = 0 < intent.end_wall_seconds <= context.now_wall_seconds
        if is_over:
            _set_state(context, intent, CapacityIntentState.DONE)
        return
    if len(failed) >= FAILED_TARGETS_LIMIT:
        note = f"stopped: {', '.join(failed)} failed"
        _set_state(context, intent, CapacityIntentState.FAILED, note)
        return
    ended = (CapacityStepState.DONE, CapacityStepState.FAILED)
    if any(step.state not in ended for step in intent.steps):
        return
    note = f"without {', '.join(failed)}, which failed" if failed else ""
    if intent.kind is CapacityIntentKind.NEW_WEIGHTS:
        _end_new_weights(context, intent, note)
        return
    state = CapacityIntentState.DONE
    if failed and len(failed) == len(intent.steps):
        state = CapacityIntentState.FAILED
    _set_state(context, intent, state, note)


def _end_new_weights(context: GroupContext, intent: CapacityIntent, note: str) -> None:
    """Restrict requests to the new version once enough targets hold it."""
    if _add_missing_steps(context, intent):
        return
    model = context.model()
    if model is None:
        _set_state(context, intent, CapacityIntentState.FAILED, "the model is gone")
        return
    if intent.steps and context.n_ready() < context.group.min_serving:
        waits = f"waits: {context.n_ready()} of {context.group.min_serving} serve"
        context.put_intent(dataclasses.replace(intent, note=waits))
        return
    context.draft.put(_finish_version_change(model, intent.weights_version))
    _set_state(context, intent, CapacityIntentState.DONE, note)


def _finish_version_change(model: Model, version: str) -> Model:
    return dataclasses.replace(model, weights_version=version, next_weights_version="")


def _drop_old_intents(context: GroupContext, timing: CapacityTiming) -> None:
    """Drop intents that ended long ago, to keep the configuration small."""
    for intent in list(context.intents.values()):
        if intent.state in UNFINISHED:
            continue
        is_busy = context.may_still_load(intent) or any(
            step.state in ACTIVE_STEPS for step in intent.steps
        )
        is_old = (
            context.now_wall_seconds
            >= intent.ended_wall_seconds + timing.keep_ended_seconds
        )
        if is_old and not is_busy and not (is_released(intent) and intent.steps):
            context.draft.drop(f"capacity_intents/{intent.intent}")
