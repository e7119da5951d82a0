"""Steps for the execution of capacity intents."""

import asyncio
import dataclasses
import pathlib
import sys
import unittest.mock

from behave import given, then, when
from returns.result import Failure

sys.path.insert(0, str(pathlib.Path(__file__).parent))

from scripted import ScriptedWorld  # noqa: E402

from lycheepost.bench.capacity_check import run_capacity_checks  # noqa: E402
from lycheepost.bench.capacity_fleet import ModelTarget  # noqa: E402
from lycheepost.bench.capacity_holder import ModelOrders  # noqa: E402
from lycheepost.core.errors import LycheepostError  # noqa: E402
from lycheepost.core.ids import Revision  # noqa: E402
from lycheepost.generated.configuration import (  # noqa: E402
    CapacityIntentState,
    TargetDesiredState,
)
from lycheepost.generated.engine import EngineHealthState  # noqa: E402
from lycheepost.generated.intents import (  # noqa: E402
    CancelIntent,
    HoldReady,
    NewWeights,
    PauseIntent,
    ResumeIntent,
    Retire,
)
from lycheepost.standin.virtualtime import VirtualTimeLoop  # noqa: E402

START_SECONDS = 1_000_000.0


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def ready(context):
    async def count():
        return context.world.count_ready()

    return run(context, count())


def operate(context, change):
    world = context.world

    async def confirm():
        await world.observer.refresh()
        return await world.operate(change)

    # A capacity step may be committed concurrently, so the confirm is retried.
    assert any(run(context, confirm()) for _ in range(5)), change


@given(
    "{serving:d} serving and {standby:d} standby targets, {loads:d} concurrent loads,"
    " min_serving {min_serving:d}"
)
def given_fleet(context, serving, standby, loads, min_serving):
    given_fleet_fencing(context, serving, standby, loads, min_serving, "check")


@given(
    "{serving:d} serving and {standby:d} standby targets, {loads:d} concurrent loads,"
    " min_serving {min_serving:d}, which {fencing} fencing"
)
def given_fleet_fencing(context, serving, standby, loads, min_serving, fencing):
    async def make():
        world = ScriptedWorld(serving, standby, loads, min_serving, fencing == "check")
        await world.open()
        await world.wait(3)
        return world

    context.world = run(context, make())


@when('an operator confirms new weights "{version}"')
def when_new_weights(context, version):
    operate(context, NewWeights(model="reader", weights_version=version))


def wait_for_step(context, state):
    world = context.world
    run(context, world.wait_until(lambda: world.steps_in(state)))
    context.step_target = world.steps_in(state)[0]


@when("the holder {fails} once a target is {state}")
def when_holder_fails(context, fails, state):
    world = context.world
    wait_for_step(context, state)
    context.old_holder = world.holder_index()
    if fails == "dies":

        async def kill():
            world.tasks[context.old_holder].cancel()
            await asyncio.gather(
                world.tasks[context.old_holder], return_exceptions=True
            )

        run(context, kill())
    else:
        until_seconds = context.loop.now_seconds() + 30
        world.holders[context.old_holder].paused_until_seconds = until_seconds


@then("another daemon holds the duty")
def then_other(context):
    assert context.world.holder_index() != context.old_holder


@when("its first load hangs and its target is unreachable for 120 s")
def when_hangs_silent(context):
    world = context.world
    for target in world.targets.values():
        target.is_load_stuck = True
    run(context, world.wait_until(lambda: world.tally.n_loads == 1))
    for target in world.targets.values():
        if target.state is EngineHealthState.LOADING:
            target.silent_until_seconds = context.loop.now_seconds() + 120


@then("no other target has begun to load after 100 s")
def then_no_other(context):
    run(context, context.world.wait(100))
    assert context.world.tally.n_loads == 1, context.world.tally
    assert context.world.steps_in("failed"), context.world.configuration
    for target in context.world.targets.values():
        target.is_load_stuck = False


@when("the holder is suspended for 60 s at its next load order and later ones are lost")
def when_suspended_lost(context):
    when_suspended_send(context, loses_later=True)


def is_lost(context, target):
    """Return whether an order to the first target is lost: while the late one waits."""
    return context.answers == [None] and target.target == context.first_target


@when("the holder is suspended for 60 s at its next load order")
def when_suspended_send(context, loses_later=False):
    world = context.world
    context.answers = []
    inner = ModelOrders.deliver

    async def deliver(self, target, order):
        is_load = order.weights_version == "w2" and "stay" not in order.order_id
        if is_load and not context.answers:
            context.answers.append(None)
            context.first_target = target.target
            until_seconds = context.loop.now_seconds() + 60
            self._holder.paused_until_seconds = until_seconds
            await self._holder.pass_gate()
            loads = world.tally.n_loads
            answer = world.targets[target.target].take(order)
            context.answers.append((answer, world.tally.n_loads - loads))
        elif loses_later and is_load and is_lost(context, target):
            return Failure(LycheepostError("lost"))
        return await inner(self, target, order)

    for orders in world.orders:
        orders.deliver = deliver.__get__(orders)


@then("the late order was {fate}")
def then_fate(context, fate):
    run(context, context.world.wait_until(lambda: len(context.answers) == 2))
    answer, n_loads = context.answers[1]
    assert answer.is_accepted == (fate == "harmless"), answer
    assert n_loads == 0


@when("meanwhile {fault}")
def when_fault(context, fault):
    world = context.world
    if fault.startswith("the answers"):
        world.chance.lost_answers = 3
        return
    wait_for_step(context, "loading")
    target = world.targets[context.step_target]
    now_seconds = context.loop.now_seconds()
    if fault == "the target crashes":
        run(context, world.wait(2))

        async def crash():
            target.crash()

        run(context, crash())
    elif fault.startswith("the target is unreachable"):
        target.silent_until_seconds = now_seconds + 12
    elif fault == "the table is down for an hour":
        world.table.faults.is_down = True
        run(context, world.wait(3600))
        world.table.faults.is_down = False
    elif fault.startswith("the table loses"):
        world.table.faults.n_lost_answers = 1
    else:
        assert fault == "a serving target crashes"

        async def crash_other():
            others = [n for n in world.targets if n != context.step_target]
            world.targets[others[-1]].crash()

        run(context, crash_other())


@when("every load hangs and the targets {behaviour}")
def when_hang(context, behaviour):
    world = context.world
    for target in world.targets.values():
        target.is_load_stuck = True
    wait_for_step(context, "loading")
    run(context, world.wait_until(lambda: world.tally.n_loads == 2))
    if behaviour == "stop responding":
        for target in world.targets.values():
            if target.state is EngineHealthState.LOADING:
                target.silent_until_seconds = context.loop.now_seconds() + 200


@then("{n:d} targets serve and {k:d} are loading")
def then_left(context, n, k):
    world = context.world
    run(context, world.wait(60))
    assert ready(context) == n
    loading = EngineHealthState.LOADING
    assert sum(t.state is loading for t in world.targets.values()) == k
    assert world.tally.n_loads == k


@when("the loads continue and the operator resumes")
def when_resume_loads(context):
    for target in context.world.targets.values():
        target.is_load_stuck = False
    run(context, context.world.wait(150))
    operate(context, ResumeIntent(intent="i1"))


@when("the operator {does} once a target is {state}")
def when_steers(context, does, state):
    wait_for_step(context, state)
    change = {"pauses": PauseIntent, "cancels": CancelIntent}[does]
    operate(context, change(intent="i1"))


@when("the operator resumes")
def when_resumes(context):
    operate(context, ResumeIntent(intent="i1"))


@then('{n:d} target holds "{version}" a while later')
def then_holds_later(context, n, version):
    run(context, context.world.wait(120))
    targets = context.world.targets.values()
    held = [t.weights_version for t in targets]
    assert held.count(version) == n, (held, context.world.configuration)
    assert ready(context) == len(targets)


@then('requests may be served with "w1" and "w2"')
def then_both(context):
    model = context.world.configuration.models[0]
    assert (model.weights_version, model.next_weights_version) == ("w1", "w2")


@when("the operator retires the target once it is loading")
def when_retires_loading(context):
    world = context.world
    wait_for_step(context, "loading")

    async def retire():
        await world.observer.refresh()
        basis = world.configuration
        targets = [
            dataclasses.replace(t, desired_state=TargetDesiredState.RETIRED)
            if t.target == context.step_target
            else t
            for t in basis.targets
        ]
        changed = dataclasses.replace(basis, targets=targets)
        await world.observer.commit(Revision(basis.revision), changed)

    run(context, retire())


@then("that target is retired")
def then_retired(context):
    (found,) = [
        t
        for t in context.world.configuration.targets
        if t.target == context.step_target
    ]
    assert found.desired_state is TargetDesiredState.RETIRED


@when("target {name} crashes")
def when_crashes(context, name):
    async def crash():
        context.world.targets[name].crash()

    run(context, crash())


@then('every target holds "{version}" within {seconds:d} s')
def then_holds_within(context, version, seconds):
    world = context.world

    def check():
        ready = world.count_ready() == len(world.targets)
        return ready and {t.weights_version for t in world.targets.values()} == {
            version
        }

    run(context, world.wait_until(check, seconds))


@when("an operator holds {n:d} ready from {start:d} s on until {end:d} s")
def when_holds(context, n, start, end):
    window = (START_SECONDS + start, START_SECONDS + end)
    operate(
        context,
        HoldReady(
            target_group="engines",
            n_targets=n,
            start_wall_seconds=window[0],
            end_wall_seconds=window[1],
        ),
    )


@when("an operator retires e0 and e1 from {start:d} s on")
def when_retires(context, start):
    start_seconds = START_SECONDS + start
    operate(
        context,
        Retire(
            target_group="engines",
            targets=["e0", "e1"],
            start_wall_seconds=start_seconds,
        ),
    )


@when("a ready target is lost for good")
def when_lost(context):
    context.world.targets["e4"].silent_until_seconds = float("inf")


@then("{n:d} targets are ready at {seconds:d} s")
def then_ready_at(context, n, seconds):
    world = context.world
    left_seconds = START_SECONDS + seconds - context.loop.now_seconds()
    run(context, world.wait(left_seconds))
    assert ready(context) == n, (ready(context), world.configuration)


@then("the intent ends as {state}")
def then_ends(context, state):
    world = context.world
    wanted = CapacityIntentState(state)
    last = [
        i
        for i in world.configuration.capacity_intents
        if i.intent.startswith("i") and i.kind.value in ("new_weights", "retire")
    ][-1]
    name = int(last.intent[1:])
    run(context, world.wait_until(lambda: world.intent(name).state is wanted))


@then('every target holds "{version}" and requests use only that version')
def then_all_hold(context, version):
    world = context.world
    model = world.configuration.models[0]
    assert (model.weights_version, model.next_weights_version) == (version, "")
    run(context, world.wait(60))
    assert {t.weights_version for t in world.targets.values()} == {version}
    assert {t.weights_version for t in world.configuration.targets} == {version}


@then("no invariant was violated and callers always had a target")
def then_no_violations(context):
    assert context.world.tally.violations == [], context.world.tally.violations
    assert context.world.unserved == [], context.world.unserved


@then("at peak {n:d} targets loaded at once, each target once")
def then_loads(context, n):
    tally = context.world.tally
    assert tally.n_most_loads == n, tally
    assert tally.n_loads == len(context.world.targets), tally


@when("{n:d} seeded random runs are made")
def when_runs(context, n):
    assert isinstance(context.loop, VirtualTimeLoop)
    context.runs = list(run_capacity_checks(range(n)))


@then("none violated an invariant")
def then_none(context):
    broken = [(run.seed, run.violations) for run in context.runs if run.violations]
    assert broken == [], broken
    assert sum(run.n_loads for run in context.runs) > 0


@when("e1 crashes as the next holder's order to keep its state arrives")
def when_stay_late(context):
    world = context.world
    context.begun = []
    take = ModelTarget.take

    def crash_and_take(self, order):
        if order.order_id.startswith("stay-e1") and not context.begun:
            self.crash()
            loads = world.tally.n_loads
            answer = take(self, order)
            context.begun.append(world.tally.n_loads - loads)
            return answer
        return take(self, order)

    with unittest.mock.patch.object(ModelTarget, "take", crash_and_take):
        wanted = NewWeights(model="reader", weights_version="w2")
        operate(context, wanted)
        world.holders[world.holder_index()].paused_until_seconds = float("inf")
        run(context, world.wait_until(lambda: context.begun))


@then("that order began no load")
def then_no_load(context):
    assert context.begun == [0], context.begun
