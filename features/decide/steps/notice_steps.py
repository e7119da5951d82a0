"""Steps of notices.feature."""

from behave import then, when

from lycheepost.core.ids import TargetId
from lycheepost.core.notices import TargetNotice
from lycheepost.core.starts import TargetStart
from lycheepost.decide.backoff import BackOffs
from lycheepost.decide.leaving import LeavingTargets
from lycheepost.decide.notices import TargetLeaving, TargetNotices

TARGET = TargetId("t")
START = TargetStart(TARGET)
NOW_SECONDS = 1000.0
KINDS = {
    "is sealed": {"is_sealed": True},
    "says that it did not run": {"is_sealed": False, "was_not_run": True},
    "neither is sealed nor so": {"is_sealed": False, "was_not_run": False},
}


@when("an answer that {kind} says that its target leaves")
def step_says_leaving(context, kind):
    if not hasattr(context, "notices"):
        context.notices = TargetNotices()
    notice = TargetNotice(is_leaving=True)
    context.changes = context.notices.note_answer(
        START, notice, NOW_SECONDS, NOW_SECONDS, **KINDS[kind]
    )


@then("its target is leaving")
def step_is_leaving(context):
    assert context.notices.leaving.is_leaving(START)


@then("its target is not leaving")
def step_is_not_leaving(context):
    assert not context.notices.leaving.is_leaving(START)


@then("that is a change")
def step_change(context):
    assert context.changes == [TargetLeaving(START)], context.changes


@then("that is no change")
def step_no_change(context):
    assert context.changes == [], context.changes


@when("{n:d} targets say that they leave")
def step_many_leave(context, n):
    context.leaving = LeavingTargets()
    context.starts = [TargetStart(TargetId(f"t{number}")) for number in range(n)]
    for start in context.starts:
        context.leaving.note(start)


@then("the last {n:d} are known to be leaving")
def step_last_known(context, n):
    known = [start for start in context.starts if context.leaving.is_leaving(start)]
    assert known == context.starts[-n:], len(known)


@when(
    "a target asks for a pause of {first:g} s, and {later:g} s later for one of"
    " {second:g} s"
)
def step_two_pauses(context, first, later, second):
    context.backoffs = BackOffs()
    context.backoffs.note(TARGET, first, NOW_SECONDS)
    context.backoffs.note(TARGET, second, NOW_SECONDS + later)


@when("a target asks for a pause of {pause:g} s and is not listed {later:g} s later")
def step_not_listed(context, pause, later):
    context.backoffs = BackOffs()
    context.backoffs.note(TARGET, pause, NOW_SECONDS)
    context.backoffs.keep([], NOW_SECONDS + later)


@then("it may be sent to after {end:g} s")
def step_until(context, end):
    until_seconds = max(NOW_SECONDS, context.backoffs.until_seconds(TARGET))
    assert until_seconds == NOW_SECONDS + end, until_seconds


@then("nothing is remembered of it")
def step_forgotten(context):
    assert context.backoffs.until_seconds(TARGET) == float("-inf")
