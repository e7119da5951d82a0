"""Steps of soakanswers.feature."""

import pathlib
import sys

from behave import given, then

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / "tools"))

from soakanswers import (  # noqa: E402
    Answers,
    FaultSpan,
    SentAttempt,
    audit_answers,
)
from soakmemory import find_large  # noqa: E402
from soaknotices import Span  # noqa: E402

SENT_SECONDS = 100.0
LOST_KEY = "k-lost"
BESIDE = Span(99.5, 100.5)
STATUSES = {
    "a cut stream": 200,
    "no answer": None,
    "an unanswered run": None,
    "a late answer": 504,
    "an endless answer": 502,
}


@given("{n:d} requests of 1 s at daemon 0 that ended with {what}")
def step_requests(context, n, what):
    context.answers, context.arrived = Answers(), set()
    for number in range(n):
        attempt = SentAttempt(f"attempt-{number}", 0, "/title/x", "k", SENT_SECONDS)
        attempt.status = STATUSES[what] if what in STATUSES else int(what)
        taken_seconds = 3.7 if what == "a late answer" else 1.0
        attempt.ended_seconds = SENT_SECONDS + taken_seconds
        context.answers.attempts[attempt.attempt_id] = attempt
        if what == "an unanswered run":
            context.arrived.add(attempt.attempt_id)
        if what == "an endless answer":
            context.answers.victims.add(attempt.attempt_id)


@given("a kill beside them")
def step_kill(context):
    context.answers.faults.append(FaultSpan("kill", BESIDE))


@given("new weights beside them")
def step_weights(context):
    context.answers.faults.append(FaultSpan("publish_weights", BESIDE))


@given("a silent group beside them")
def step_silent(context):
    context.answers.faults.append(FaultSpan("silent_group", BESIDE))
    context.answers.silences.append(BESIDE)


@given("a silence for most of 3 s beside them")
def step_long_silence(context):
    context.answers.faults.append(FaultSpan("silent_group", BESIDE))
    context.answers.silences.append(Span(SENT_SECONDS, SENT_SECONDS + 2.5))


@given("answers without end beside them")
def step_endless(context):
    context.answers.faults.append(FaultSpan("endless_answers", BESIDE))


@given("a lag of the soak beside them")
def step_lag(context):
    context.answers.lags.append(BESIDE)


@given("a stop of daemon {index:d} beside them")
def step_stop(context, index):
    context.answers.leaving[index] = [BESIDE]


@given("daemon {index:d} without paths beside them")
def step_without_paths(context, index):
    context.answers.faults.append(FaultSpan("no paths", BESIDE, index))


@then('the soak tells of "{told}"')
def step_told(context, told):
    found = list(audit_answers(context.answers, context.arrived, LOST_KEY).violations())
    assert len(found) == 1 and told in found[0], found


@then('the soak tells of ""')
def step_nothing(context):
    found = audit_answers(context.answers, context.arrived, LOST_KEY).violations()
    assert not list(found)


@given("processes of daemons with at most {first:d} and {second:d} MB")
def step_processes(context, first, second):
    context.peaks = {1: first * 1_000_000, 2: second * 1_000_000}


@then("the soak tells of one process that had too much")
def step_large(context):
    [told] = find_large(context.peaks)
    assert told.startswith("1 of 2"), told
