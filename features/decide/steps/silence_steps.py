"""Steps of silence.feature."""

import asyncio
from dataclasses import replace

from behave import given, then, when

from features.decide.steps.common import SchedulerDriver
from lycheepost.callers.forwardwork import continued_work
from lycheepost.callers.reading import read_watched
from lycheepost.core.ids import TargetGroupId
from lycheepost.core.routing import GroupShare, Route, RouteKind
from lycheepost.decide.attempts import Sends
from lycheepost.decide.peerloads import DaemonLoad
from lycheepost.decide.records import FinishKind
from lycheepost.decide.retry import RetryTerms
from lycheepost.decide.silence import (
    first_byte_timeout_seconds,
    idle_timeout_seconds,
    new_connection_check_seconds,
)

FOREVER = "forever"
PAUSE_SECONDS = 0.05


def make_stream_route(kind="resumable"):
    is_resumable = kind == "resumable"
    return Route(
        name="r",
        host="a",
        path_prefix="/",
        kind=RouteKind.STREAM if is_resumable else RouteKind(kind),
        shares=(GroupShare(TargetGroupId("g"), 1.0),),
        timeout_seconds=15.0,
        objective_seconds=0.5,
        gap_seconds=0.5,
        max_runs=2,
        is_resumable=is_resumable,
    )


@given("an {kind} route with at most 2 runs, 0.5 s to its first part and between two")
@given("a {kind} route with at most 2 runs, 0.5 s to its first part and between two")
def step_route(context, kind):
    context.route = make_stream_route(kind)


@given("its objective is {seconds:g} s")
def step_objective(context, seconds):
    context.route = replace(context.route, objective_seconds=seconds)


@when("a request of it waits on a new connection with {left:g} s left")
def step_new_connection(context, left):
    context.check = new_connection_check_seconds(context.route, left)


@then("the paths are checked after {seconds:g} s")
def step_checked(context, seconds):
    assert abs(context.check - seconds) < 1e-9, context.check


@when("a request of it has {left:g} s left and {runs:d} runs")
def step_request(context, left, runs):
    attempts = Sends(runs, runs)
    context.first = first_byte_timeout_seconds(context.route, attempts, left)
    context.gap = idle_timeout_seconds(context.route, attempts)


@then("its first part is waited for {seconds:g} s")
def step_first(context, seconds):
    assert abs(context.first - seconds) < 1e-9, context.first


@then("the part after it for {seconds}")
def step_gap(context, seconds):
    found = FOREVER if context.gap is None else f"{context.gap:g} s"
    assert found == seconds.replace("forever s", FOREVER), found


@given("a request in flight at a silent target while {state}")
def step_in_flight(context, state):
    n_targets = 1 if state == "there is no other target" else 2
    driver = context.driver = SchedulerDriver(n_targets)
    n_retries = 0.0 if state == "no retry is left" else 64.0
    driver.scheduler.set_retry_terms(RetryTerms(0.0, n_retries))
    driver.arrive("silent")
    context.silent = driver.sent["silent"]
    if state == "no other target has room":
        fill_others(context)


def fill_others(context):
    driver = context.driver
    for view in driver.views.values():
        if view.target != context.silent:
            load = DaemonLoad(queued_tokens=0, n_running=view.concurrency_limit)
            driver.scheduler.set_peer_load(view.target, load, driver.now_seconds)


@given("a budget of one retry")
def step_one_retry(context):
    context.driver.scheduler.set_retry_terms(RetryTerms(0.0, 1.0))


@when("it asks for another attempt")
def step_ask(context):
    driver = context.driver
    context.work = replace(driver.works["silent"], excluded=frozenset({context.silent}))
    context.is_left = driver.scheduler.take_retry(context.work, driver.now_seconds)


@then("its silent target is {outcome}")
def step_left(context, outcome):
    assert context.is_left is (outcome == "left")


@when("it is sent again with the retry that it took")
def step_again(context):
    driver = context.driver
    driver.scheduler.finish(
        context.work.request, driver.now_seconds, FinishKind.ANSWER_LOST
    )
    driver.note(driver.scheduler.retry(context.work, driver.now_seconds, is_free=True))


@then("it is sent to the other target")
def step_sent(context):
    assert context.driver.sent["silent"] != context.silent


@given("a stream of a route whose callers wait 4 s for the next part")
def step_stream(context):
    driver = SchedulerDriver(1)
    driver.arrive("stream")
    context.work = driver.works["stream"]
    context.route = make_stream_route()


@when("it is continued {elapsed:g} s after it arrived")
def step_continue(context, elapsed):
    context.elapsed = elapsed
    context.work = continued_work(context.work, context.route, elapsed)


@then("it may wait {seconds:g} s more")
def step_more(context, seconds):
    assert context.work.first_token_timeout_seconds - context.elapsed == seconds


class PausingAnswer:
    """An answer whose first read blocks for longer than the limit."""

    def __init__(self):
        self.n_reads = 0

    async def read(self):
        self.n_reads += 1
        if self.n_reads == 1:
            await asyncio.Event().wait()
        return b"the rest"


@given("an answer that pauses for long, and then goes on")
def step_answer(context):
    context.answer = PausingAnswer()


@when("it is read with a limit on pauses")
def step_read(context):
    context.silences = []
    reading = read_watched(context.answer, PAUSE_SECONDS, context.silences.append)
    context.outcome = asyncio.run(reading)


@then("the reader reports its silence once")
def step_reported(context):
    assert context.silences == [PAUSE_SECONDS], context.silences


@then("the reader gets what it was")
def step_got(context):
    assert context.outcome == b"the rest"
