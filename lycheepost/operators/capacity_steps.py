"""Advance the step of one target: drain, load, warm, done.

A step waits until a load slot is free and enough others serve. Then its target gets no
new work (draining), is sent its new state once it runs no requests (loading), and gets
a growing share of traffic (warming). Each transition is recorded before anything is
sent for it.
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
"""A load in progress is not abandoned, since it holds a load slot."""


def advance_step(
    context: GroupContext,
    intent: CapacityIntent,
    step: CapacityStep,
    timing: CapacityTiming,
    next_revision: int,
) -> CapacityAction | None:
    """Advance one step in the draft; return the action to send for it now."""
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
    """End the step of a target that no longer exists; machines fail every day.

    The step does not count as failed: otherwise two unrelated VM failures would stop a
    long rollout.
    """
    if step.state is CapacityStepState.DONE:
        return
    if intent.kind is CapacityIntentKind.RETIRE and target is not None:
        _retire(context, target)
    _set_step_state(context, intent, step, CapacityStepState.DONE, note="it is gone")


def _is_retired_meanwhile(intent: CapacityIntent, target: Target) -> bool:
    """Return whether an operator retired the target while its step was open.

    A retirement is never reverted, so the step must not make the target serve again.
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
    changed_step = dataclasses.replace(
        step,
        state=state,
        since_wall_seconds=context.now_wall_seconds,
        **{"note": "", **fields},  # type: ignore[arg-type]
    )
    context.put_steps(intent.intent, [changed_step])


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
    # The cheap checks come first: in a rollout over 1,500 targets nearly all steps wait
    # here at each tick.
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
    # A standby target may have served until recently and still run requests, so it is
    # drained as well.
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
        # A target that does not respond would hold a load slot without loading.
        return False
    # A load for another purpose is not disturbed; only a step's own load is restarted.
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
    """Return whether the target certainly runs no requests.

    A load order aborts running requests, which would truncate streams. Daemons may send
    work until they have the new revision, and load reports lag, so only a report
    measured after the settling time counts. There is no time-out: responses are bounded
    in length, and none should be truncated for a rollout.
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
    """Return the order of a loading step; identical at every repeat."""
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
    # A repeated order would restart the load.
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
    """Return whether a hold has ended, so that its targets may return to standby."""
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
        # The target crashed and restarted without its loaded weights.
        standby = dataclasses.replace(target, desired_state=TargetDesiredState.STANDBY)
        context.put_target(standby)
        _set_step_state(context, intent, step, CapacityStepState.WAITING)
        return None
    if health is None:
        # Without a response it is unknown whether the target still holds its weights.
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
