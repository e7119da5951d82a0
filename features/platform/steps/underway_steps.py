"""Steps of changesunderway.feature."""

from behave import then, when
from changeplay import Play

OPTIONS = {
    "all changes": {},
    "changes without pauses": {"has_pauses": False},
    "changes of figures": {"is_mild": True},
}


@when("clients send requests for {seconds:g} s beside {changes} from seed {seed:d}")
def step_play(context, seconds, changes, seed):
    context.play = Play(seed, **OPTIONS[changes])
    context.loop.run_until_complete(context.play.run(seconds))


@then("each request has a response within its time")
def step_answered(context):
    statuses = {item.ending.status for item in context.play.sent}
    assert {200, 503} <= statuses, statuses
    unanswered = context.play.unanswered()
    assert not unanswered, (context.play.done, unanswered)


@then("no answer is cut before its time by a daemon")
def step_cut(context):
    cut = context.play.cut()
    assert not cut, (context.play.done, cut)
