"""Steps of targettable.feature."""

import json
from dataclasses import replace

from behave import given, then, when
from returns.result import Failure

from features.decide.steps.common import SchedulerDriver, make_view
from lycheepost.report.targettable import describe_targets, read_targets

MEMORY_TOKENS = 60_000
PAGES = {"no JSON": b"{", "without targets": b'{"queues": {}}'}


@given("a scheduler with {n:d} targets of {slots:d} slots, and a request on the first")
def step_scheduler(context, n, slots):
    driver = context.driver = SchedulerDriver(n)
    driver.views = {
        index: replace(make_view(index, limit=slots), memory_tokens=MEMORY_TOKENS)
        for index in range(n)
    }
    driver.announce()
    driver.arrive("one")
    context.first = driver.sent["one"]
    group = driver.scheduler._group_by_target[context.first]
    context.held_tokens = group.placement.loads[context.first].held.tokens
    assert context.held_tokens > 0


@when("its status page is read as a table")
def step_read(context):
    page = json.dumps({"queues": context.driver.scheduler.status()}).encode()
    lines = describe_targets(read_targets(page).unwrap())
    context.lines = {line.split()[0]: line.split() for line in lines}


@then("the line of the first target states {running} requests and its held tokens")
def step_first(context, running):
    words = context.lines[context.first]
    assert running in words, words
    assert f"{context.held_tokens}/{MEMORY_TOKENS}" in words, words


@then("the line of the second states {running} requests and a duration of {duration}")
def step_second(context, running, duration):
    [name] = {v.target for v in context.driver.views.values()} - {context.first}
    words = context.lines[name]
    assert running in words and duration in words, words


@when("a status page that is {page} is read as a table")
def step_fault(context, page):
    context.answer = read_targets(PAGES[page])


@then("the error says that it is unreadable")
def step_error(context):
    match context.answer:
        case Failure(error):
            assert error.reason.startswith("unreadable"), error
        case answer:
            raise AssertionError(answer)
