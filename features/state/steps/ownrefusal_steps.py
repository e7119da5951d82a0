"""Steps of ownrefusals.feature."""

from behave import given, then, when

from lycheepost.core.ids import TargetId
from lycheepost.generated.configuration import Target
from lycheepost.state.signals import connected_signal, refused_signal
from lycheepost.state.targetstates import TargetStates


@given("a daemon with {n:d} targets")
def step_targets(context, n):
    context.states = TargetStates()
    context.reported = set()
    context.states.on_signal(lambda target, _signal: context.reported.add(target))
    context.targets = {
        TargetId(f"t{number}"): Target(
            target=f"t{number}",
            target_group="g",
            availability_zone="z",
            url="http://10.0.0.1:1",
        )
        for number in range(n)
    }


def observe(context, number, signal, now_seconds):
    target = TargetId(f"t{number}")
    context.states.observe(target, context.targets[target], signal, now_seconds)


@when("all of them refuse its connections")
def step_all(context):
    for number in range(len(context.targets)):
        observe(context, number, refused_signal(), 0.1 * number)


@when("all of them accept its connections and give no response")
def step_unanswered(context):
    for target in context.targets:
        context.states.note_unanswered(target)


@when("{n:d} of them refuse its connections while the others accept some")
def step_some(context, n):
    for number in range(n):
        observe(context, number, refused_signal(), 0.1 * number)
        observe(context, len(context.targets) - 1, connected_signal(), 0.1 * number)


@when("one of them accepts")
def step_one(context):
    observe(context, 0, connected_signal(), 2.0)


@then("it has reported {n:d} of them to its peers")
def step_reported(context, n):
    assert len(context.reported) == n, context.reported


@then("its own paths are suspected")
def step_suspected(context):
    assert context.states.are_paths_lost


@then("its own paths are not suspected")
def step_not(context):
    assert not context.states.are_paths_lost
