"""Steps of rollout.feature."""

from dataclasses import replace

from behave import given, then, when

from lycheepost.core.ids import ModelId, TargetId
from lycheepost.decide.rollout import (
    TargetWeights,
    is_due,
    next_orders,
    old_share,
)
from lycheepost.decide.targethealth import Ending, TargetHealth

MODEL = ModelId("m")
ODD = TargetId("odd")


def make_targets(n, n_changing=0):
    # Target 0 is the busiest one.
    return [
        TargetWeights(TargetId(f"t{i}"), 1, n - i, is_changing=i < n_changing)
        for i in range(n)
    ]


@given("{n:d} targets with version 1")
def step_targets(context, n):
    context.targets = make_targets(n)


@given("{n:d} targets with version 1 of which {n_changing:d} are changing")
def step_changing(context, n, n_changing):
    context.targets = make_targets(n, n_changing)


@when("version {version:d} is named")
def step_named(context, version):
    context.wanted = version


@when("the changing targets are done with version {version:d}")
def step_done(context, version):
    context.targets = [
        replace(item, version=version, is_changing=False) if item.is_changing else item
        for item in context.targets
    ]


@then("the {n:d} targets with the fewest requests are ordered to version {version:d}")
def step_ordered(context, n, version):
    orders = next_orders(MODEL, context.wanted, context.targets)
    least = sorted(context.targets, key=lambda item: item.n_running)[:n]
    assert [order.target for order in orders] == [item.target for item in least]
    assert {order.version for order in orders} == {str(version)}


@then("no target is ordered")
def step_no_order(context):
    assert next_orders(MODEL, context.wanted, context.targets) == ()


@given("a target that has been drained for {drained:g} s with {running:d} runs")
def step_drained(context, drained, running):
    context.drained, context.running = drained, running


@when("{n_old:d} of {n:d} targets serve on old weights")
def step_old(context, n_old, n):
    targets = make_targets(n)
    targets = [
        replace(item, version=1 if index < n_old else 2)
        for index, item in enumerate(targets)
    ]
    context.is_due = is_due(context.drained, context.running, old_share(2, targets))


@then("it is ordered")
def step_is_due(context):
    assert context.is_due


@then("it is not yet due")
def step_not_due(context):
    assert not context.is_due


@given("{n:d} healthy targets")
def step_healthy(context, n):
    context.health = TargetHealth()
    context.names = [TargetId(f"t{i}") for i in range(n)] + [ODD]
    context.now_seconds = 0.0
    for name in context.names[:-1]:
        for _ in range(10):
            context.health.observe(name, Ending.GOOD, 0.0)


@when("one more ends {count:d} requests as {ending}")
def step_odd(context, count, ending):
    for _ in range(count):
        context.health.observe(ODD, Ending[ending], 0.0)


@then("the odd one is {outcome}")
def step_outcome(context, outcome):
    ejected = context.health.ejected(context.names, 0.01)
    assert ejected == (frozenset({ODD}) if outcome == "excluded" else frozenset())


@when("each of {n:d} targets ends {bad:d} requests as {ending} and {good:d} as GOOD")
def step_each(context, n, bad, ending, good):
    context.health = TargetHealth()
    context.names = [TargetId(f"t{i}") for i in range(n)]
    for _ in range(max(good, 1)):
        for name in context.names:
            if good:
                context.health.observe(name, Ending.GOOD, 0.0)
    for _ in range(bad):
        for name in context.names:
            context.health.observe(name, Ending[ending], 0.0)


@then("none of them is excluded")
def step_none(context):
    assert context.health.ejected(context.names, 0.01) == frozenset()


@when("one more is unreachable whenever it is tried for {seconds:d} s")
def step_unreachable(context, seconds):
    context.n_tries = 0
    while context.now_seconds < seconds:
        if ODD not in context.health.ejected(context.names, context.now_seconds):
            context.health.observe(ODD, Ending.UNREACHABLE, context.now_seconds)
            context.n_tries += 1
        context.now_seconds += 0.05


@then("tries number at most {most:d}")
def step_tries(context, most):
    assert 0 < context.n_tries <= most, context.n_tries


@when("it answers again")
def step_answers(context):
    context.answers_seconds = context.now_seconds


@then("it serves again within {seconds:d} s")
def step_used(context, seconds):
    until = context.answers_seconds + seconds
    assert ODD not in context.health.ejected(context.names, until)
