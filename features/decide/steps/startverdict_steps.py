"""Steps of startverdict.feature."""

from behave import given, then

from lycheepost.decide.startverdict import (
    ProbedReach,
    StartAnswer,
    judge_answer,
    judge_reach,
    judge_silent,
)

NOT_DECIDED = "not decided"


@given("a target that answers as {answer} and has the {newest} known start")
def step_answer(context, answer, newest):
    context.verdict = judge_answer(StartAnswer(answer), newest == "newest")


@given("a probe that reaches the target: {target}, others: {others}, late: {late}")
def step_probe(context, target, others, late):
    probed = ProbedReach(target == "yes", others == "yes", late == "yes")
    context.verdict = judge_silent(judge_reach(probed))


@then("its verdict is {verdict}")
def step_verdict(context, verdict):
    found = NOT_DECIDED if context.verdict is None else context.verdict.value
    assert found == verdict, found
