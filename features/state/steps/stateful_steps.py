from behave import then, when
from hypothesis.stateful import run_state_machine_as_test
from machines import MACHINES, SETTINGS


@when("hypothesis draws sequences of events for {part}")
def step_draw(context, part):
    context.machine = MACHINES[part]


@then("no invariant is violated")
def step_none_breaks(context):
    run_state_machine_as_test(context.machine, settings=SETTINGS)
