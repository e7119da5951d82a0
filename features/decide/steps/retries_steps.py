"""Steps of retries.feature."""

from behave import given, then, when

from lycheepost.core.ids import RequestId
from lycheepost.decide.retry import RetryBudget, RetryTerms


@given("a budget of {share:g} of the requests and {burst:g} beyond, in any ten seconds")
def step_budget(context, share, burst):
    step_budget_in(context, share, burst, 10.0)


@given("a budget of {share:g} of the requests and {burst:g} beyond, in any {n:g} s")
def step_budget_in(context, share, burst, n):
    context.budget = RetryBudget(RetryTerms(share, burst, n))
    context.now_seconds = 0.0


@when("the terms become {share:g} of the requests and {burst:g} beyond")
def step_terms(context, share, burst):
    context.budget.set_terms(RetryTerms(share, burst, 10.0))


@when("{n:d} requests have come in {seconds:g} s")
def step_requests(context, n, seconds):
    for _ in range(n):
        context.budget.note_first_attempt(context.now_seconds)
        context.now_seconds += seconds / n


@when("{seconds:g} s pass without any")
def step_pass(context, seconds):
    context.now_seconds += seconds


@when("{n:d} requests a second come for {seconds:d} s, each tried again if allowed")
def step_flow(context, n, seconds):
    context.retries = []
    for index in range(n * seconds):
        now_seconds = index / n
        context.budget.note_first_attempt(now_seconds)
        if context.budget.spend(now_seconds):
            context.retries.append(now_seconds)


@then("no {seconds:g} s hold more than {most:d} retries")
def step_window(context, seconds, most):
    for start in context.retries:
        held = [at for at in context.retries if start <= at < start + seconds]
        assert len(held) <= most, (start, len(held))


def spend(context, n):
    return sum(context.budget.spend(context.now_seconds) for _ in range(n))


@then("{allowed:d} of {n:d} retries at once are allowed")
def step_allowed(context, allowed, n):
    found = spend(context, n)
    assert found == allowed, found


@then("{allowed:d} of {n:d} retries a second later are allowed")
def step_later(context, allowed, n):
    context.now_seconds += 1.0
    found = spend(context, n)
    assert found == allowed, found


@when("{n:d} retries are reserved, and {end} {seconds:d} s later")
def step_reserve(context, n, end, seconds):
    budget, now_seconds = context.budget, context.now_seconds
    names = [RequestId(f"request-{number}") for number in range(n)]
    context.names = names
    assert all(budget.reserve(name, now_seconds) for name in names)
    assert not budget.reserve(RequestId("one more"), now_seconds)
    context.now_seconds = now_seconds + seconds
    for name in names:
        if end == "sent":
            budget.note_sent(name, context.now_seconds)
        else:
            budget.give_back(name)
    # Two seconds later the slots of the reservations are out of the window.
    if end == "sent":
        context.now_seconds += 2.0


@when("none of them reaches a target, and their requests are refused")
def step_not_sent(context):
    for name in context.names:
        context.budget.note_not_sent(name)
        context.budget.give_back(name)


@when("none of them reaches a target, and they are sent again {seconds:g} s later")
def step_sent_again(context, seconds):
    for name in context.names:
        context.budget.note_not_sent(name)
    context.now_seconds += seconds
    for name in context.names:
        context.budget.note_sent(name, context.now_seconds)


@when("a first attempt reaches no target")
def step_first(context):
    context.budget.note_first_attempt(context.now_seconds)
    context.budget.note_not_sent(RequestId("first"))
