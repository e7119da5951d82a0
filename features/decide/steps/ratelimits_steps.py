"""Steps of ratelimits.feature."""

from behave import given, then, when

from lycheepost.core.ids import TargetId
from lycheepost.decide.ratelimits import SaidLimit, TargetLimits

TARGET = TargetId("target-0")


@given("a target that has named a limit of {per_second:g} a second")
def step_named(context, per_second):
    context.limits = TargetLimits()
    context.now_seconds = 100.0
    assert context.limits.note_answer(TARGET, per_second, 99.5, context.now_seconds)


@when("an answer without a limit comes to a request that was sent before")
def step_sent_before(context):
    context.now_seconds += 1.0
    context.limits.note_answer(TARGET, None, 99.9, context.now_seconds)


@when("an answer without a limit comes to a request that was sent after")
def step_sent_after(context):
    context.now_seconds += 1.0
    context.limits.note_answer(
        TARGET, None, context.now_seconds - 0.5, context.now_seconds
    )


@when("a peer tells of a limit of {per_second:g} a second that it heard before")
def step_old_word(context, per_second):
    context.limits.note_told(TARGET, SaidLimit(per_second, 100.1))


@when("a peer tells of a limit of {per_second:g} a second that it heard just now")
def step_new_word(context, per_second):
    context.limits.note_told(TARGET, SaidLimit(per_second, 101.0))


@then("the limit is {per_second:g} a second")
def step_limit(context, per_second):
    assert context.limits.of(TARGET) == per_second, context.limits.of(TARGET)


@then("there is no limit")
def step_no_limit(context):
    assert context.limits.of(TARGET) is None


@then("what a peer told is not told on")
def step_not_own(context):
    assert not context.limits.own()
