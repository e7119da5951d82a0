"""Move the step of one target on: drain, load, warm, done.

A step waits until a load is free and enough others serve; then its target takes
no new work (draining), is told its new state once it runs nothing (loading), and
takes a growing share of traffic (warming). Each move is recorded before anything
is sent for it.
"""

import dataclasses

from lycheepost.core.ids import ModelId, TargetId, WeightsVersion
from lycheepost.generated.configuration import (
    CapacityIntent,
    CapacityIntentKind,
    CapacityIntentState,
    CapacityStep,
    CapacityStepState,
    Target,
    TargetDesiredState,
)
from lycheepost.generated.engine import EngineHealth, EngineHealthState
from lycheepost.operators.capacity_group import GroupContext
from lycheepost.operators.capacity_records import (
    FULL_SHARE,
    SERVING_SHARES,
    CapacityAction,
    CapacityTiming,
    OrderAction,
    WarmAction,
    held_version,
)

_ABANDONED_WHEN_RETIRED = frozenset(
    {
        CapacityStepState.WAITING,
        CapacityStepState.DRAINING,
        CapacityStepState.WARMING,
    }
)
"""A load under way is waited for, since it takes up a load slot."""


def advance_step(
    context: GroupContext,
    intent: CapacityIntent,
    step: CapacityStep,
    timing: CapacityTiming,
    next_revision: int,
) -> CapacityAction | None:
    """Move one step on in the draft; return what is to be sent for it now."""
    target = context.targets.get(step.target)
    if target is None or context.observe(step.target).is_lost:
        _end_lost(context, intent, step, target)
        return None
    if _is_retired_meanwhile(intent, target) and step.state in _ABANDONED_WHEN_RETIRED:
        _set_step_state(
            context, intent, step, CapacityStepState.DONE, note="it was retired"
        )
        return None
    match step.state:
        case CapacityStepState.WAITING:
            _start(context, intent, step, target)
        case CapacityStepState.DRAINING:
            _drain(context, intent, step, target, timing, next_revision)
        case CapacityStepState.LOADING:
            return _load(context, intent, step, target, timing)
        case CapacityStepState.WARMING:
            return _warm(context, intent, step, target, timing)
    return None


def _end_lost(
    context: GroupContext,
    intent: CapacityIntent,
    step: CapacityStep,
    target: Target | None,
) -> None:
    """End the step of a target that is no more; machines fail every day.

    It does not count as failed: that would stop a long rollout after two VMs
    that went for reasons of their own.
    """
    if step.state is CapacityStepState.DONE:
        return
    if intent.kind is CapacityIntentKind.RETIRE and target is not None:
        _retire(context, target)
    _set_step_state(context, intent, step, CapacityStepState.DONE, note="it is gone")


def _is_retired_meanwhile(intent: CapacityIntent, target: Target) -> bool:
    """Return whether an operator retired the target while its step was open.

    What was accepted never reverts, so the step must not let it serve again.
    """
    return (
        intent.kind is not CapacityIntentKind.RETIRE
        and target.desired_state is TargetDesiredState.RETIRED
    )


def _set_step_state(
    context: GroupContext,
    intent: CapacityIntent,
    step: CapacityStep,
    state: CapacityStepState,
    **fields: object,
) -> None:
    moved = dataclasses.replace(
        step,
        state=state,
        since_wall_seconds=context.now_wall_seconds,
        **{"note": "", **fields},  # type: ignore[arg-type]
    )
    context.put_steps(intent.intent, [moved])


def _retire(context: GroupContext, target: Target) -> None:
    context.put_target(
        dataclasses.replace(target, desired_state=TargetDesiredState.RETIRED)
    )


def _start(
    context: GroupContext,
    intent: CapacityIntent,
    step: CapacityStep,
    target: Target,
) -> None:
    if intent.state is not CapacityIntentState.RUNNING:
        return
    if step.target in context.busy_targets():
        return
    is_serving = target.desired_state is TargetDesiredState.SERVING
    needs_load = intent.kind is not CapacityIntentKind.RETIRE
    # The cheap checks come first: a rollout over 1,500 targets has nearly all of
    # its steps waiting here at each look.
    if needs_load and not _may_load(context, step):
        return
    if is_serving and not context.may_take_out(target):
        return
    if not needs_load:
        _retire(context, target)
        _set_step_state(
            context, intent, step, CapacityStepState.DRAINING, was_serving=is_serving
        )
        return
    # A target that stands by may have served until a moment ago and still run
    # something, so it is drained as well.
    is_to_serve = is_serving or intent.kind is CapacityIntentKind.HOLD_READY
    held = held_version(target, context.model())
    context.put_target(
        dataclasses.replace(
            target, desired_state=TargetDesiredState.STANDBY, weights_version=held
        )
    )
    _set_step_state(
        context,
        intent,
        step,
        CapacityStepState.DRAINING,
        was_serving=is_to_serve or step.was_serving,
    )


def _may_load(context: GroupContext, step: CapacityStep) -> bool:
    observed = context.observe(step.target)
    if observed.health is None or not context.has_free_load_slot(step.target):
        # A silent target would hold a load slot and do nothing with it.
        return False
    # What loads for somebody else is left alone; only a step's own load is begun
    # again.
    return not observed.is_loading or step.desired_version > 0


def _drain(
    context: GroupContext,
    intent: CapacityIntent,
    step: CapacityStep,
    target: Target,
    timing: CapacityTiming,
    next_revision: int,
) -> None:
    if intent.state is CapacityIntentState.CANCELLED:
        _undo_drain(context, intent, step, target)
        return
    if not _is_idle(context, step, timing):
        return
    if intent.kind is CapacityIntentKind.RETIRE:
        _set_step_state(context, intent, step, CapacityStepState.DONE)
        return
    _set_step_state(
        context, intent, step, CapacityStepState.LOADING, desired_version=next_revision
    )


def _undo_drain(
    context: GroupContext, intent: CapacityIntent, step: CapacityStep, target: Target
) -> None:
    state = TargetDesiredState.STANDBY
    if step.was_serving and intent.kind is not CapacityIntentKind.HOLD_READY:
        state = TargetDesiredState.SERVING
    context.put_target(dataclasses.replace(target, desired_state=state))
    _set_step_state(context, intent, step, CapacityStepState.WAITING)


def _is_idle(context: GroupContext, step: CapacityStep, timing: CapacityTiming) -> bool:
    """Return whether the target surely runs nothing any more.

    A load order ends whatever runs, so a stream would be cut. Daemons may send
    work until they have the new revision, and load reports lag: only a report
    measured after the settling time counts. There is no timeout: an answer has
    a bound on its length, and none is worth cutting for a rollout.
    """
    settled_seconds = step.since_wall_seconds + timing.drain_settle_seconds
    observed = context.observe(step.target)
    return (
        context.now_wall_seconds >= settled_seconds
        and observed.n_running == 0
        and observed.load_wall_seconds >= settled_seconds
    )


def _load(
    context: GroupContext,
    intent: CapacityIntent,
    step: CapacityStep,
    target: Target,
    timing: CapacityTiming,
) -> OrderAction | None:
    health = context.observe(step.target).health
    order = make_order(context, intent, step)
    if health is not None and _is_fulfilled(health, order):
        _end_load(context, intent, step, target, order)
        return None
    age_seconds = context.now_wall_seconds - step.since_wall_seconds
    if age_seconds > timing.load_timeout_seconds:
        _set_step_state(
            context, intent, step, CapacityStepState.FAILED, note="the load timed out"
        )
        return None
    if health is None or _is_executing(health, order):
        return None
    return order


def make_order(
    context: GroupContext, intent: CapacityIntent, step: CapacityStep
) -> OrderAction:
    """Return the order of a loading step; the same at every repeat."""
    model = context.model()
    state = EngineHealthState.STANDBY
    if step.was_serving:
        state = EngineHealthState.SERVING
    return OrderAction(
        target=TargetId(step.target),
        order_id=f"{intent.intent}-{step.target}-{step.desired_version}",
        desired_version=step.desired_version,
        state=state,
        model="" if model is None else model.model,
        weights_version=step.weights_version,
        role=intent.role,
    )


def _is_fulfilled(health: EngineHealth, order: OrderAction) -> bool:
    return (
        health.state in (EngineHealthState.SERVING, EngineHealthState.STANDBY)
        and (health.state is EngineHealthState.SERVING or order.state is health.state)
        and order.weights_version in ("", health.weights_version)
        and order.role in ("", health.role)
    )


def _is_executing(health: EngineHealth, order: OrderAction) -> bool:
    # An order that comes a second time would begin the load again.
    return (
        health.state is EngineHealthState.LOADING
        and health.desired_version == order.desired_version
    )


def _end_load(
    context: GroupContext,
    intent: CapacityIntent,
    step: CapacityStep,
    target: Target,
    order: OrderAction,
) -> None:
    loaded = dataclasses.replace(
        target, weights_version=step.weights_version or target.weights_version
    )
    stays_out = _is_retired_meanwhile(intent, target) or is_released(intent)
    if stays_out or not step.was_serving:
        context.put_target(loaded)
        _set_step_state(context, intent, step, CapacityStepState.DONE)
        return
    warming = dataclasses.replace(
        loaded,
        desired_state=TargetDesiredState.SERVING,
        serving_share=SERVING_SHARES[0],
    )
    context.put_target(warming)
    _set_step_state(context, intent, step, CapacityStepState.WARMING)


def is_released(intent: CapacityIntent) -> bool:
    """Return whether a hold has ended, so that its targets may stand by again."""
    return intent.kind is CapacityIntentKind.HOLD_READY and intent.state in (
        CapacityIntentState.DONE,
        CapacityIntentState.CANCELLED,
    )


def _warm(
    context: GroupContext,
    intent: CapacityIntent,
    step: CapacityStep,
    target: Target,
    timing: CapacityTiming,
) -> WarmAction | None:
    health = context.observe(step.target).health
    order = make_order(context, intent, step)
    if health is not None and not _is_fulfilled(health, order):
        # It crashed and came back without what it had loaded.
        standby = dataclasses.replace(target, desired_state=TargetDesiredState.STANDBY)
        context.put_target(standby)
        _set_step_state(context, intent, step, CapacityStepState.WAITING)
        return None
    if health is None:
        # Nothing shows that it still holds what it loaded.
        return None
    if target.serving_share >= FULL_SHARE:
        _set_step_state(context, intent, step, CapacityStepState.DONE)
        return None
    age_seconds = context.now_wall_seconds - step.since_wall_seconds
    n_rises = int(age_seconds / timing.warm_step_seconds)
    share = SERVING_SHARES[min(n_rises, len(SERVING_SHARES) - 1)]
    if share > target.serving_share:
        context.put_target(dataclasses.replace(target, serving_share=share))
    model = context.model()
    if n_rises > 0 or model is None:
        return None
    version = WeightsVersion(held_version(target, model))
    return WarmAction(TargetId(step.target), ModelId(model.model), version)
