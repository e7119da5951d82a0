"""Steps of brokenanswers.feature."""

import asyncio

from behave import then, when
from ending_steps import add_fault

from lycheepost.platform.models.serverfaults import InvalidAnswer
from lycheepost.standin.faults import FaultPlan
from lycheepost.standin.rawbodies import EarlyEnd
from lycheepost.standin.rawheads import HeadForm


@when("the next server answers a {what} with a {form}")
def step_invalid(context, what, form):
    add_fault(context, what, InvalidAnswer(HeadForm(form)))


@when("the next server answers a {what} early, and its connection ends by {end}")
def step_early(context, what, end):
    plan_early(context, EarlyEnd(end))


@when("the next server refuses a {what} early with status 413 and a length")
def step_refused_early(context, what):
    plan_early(context, EarlyEnd.REFUSAL)


def plan_early(context, end):
    plan = FaultPlan()
    plan.add(end, 1)
    for server in context.deployment.servers:
        server.answer_early(plan)


@then("it arrived at servers {n:d} times")
def step_arrived(context, n):
    deployment = context.deployment
    arrived = [arrival for server in deployment.servers for arrival in server.arrivals]
    attempt_ids = [attempt_id for attempt_id, _seconds in arrived]
    assert attempt_ids.count(deployment.attempt_id) == n, attempt_ids


@then("{n:d} look-ups at once are answered by all servers")
def step_later(context, n):
    deployment = context.deployment
    servers = deployment.group("plain")
    n_runs = [len(server.runs) for server in servers]

    async def ask_all():
        for server in servers:
            server.run_seconds = 0.1
        asked = [
            deployment.ask("GET", "/look/1", deployment.headers()) for _ in range(n)
        ]
        return await asyncio.gather(*asked)

    answers = context.loop.run_until_complete(ask_all())
    assert {answer.status for answer in answers} == {200}, answers
    n_more = [len(server.runs) - n for server, n in zip(servers, n_runs, strict=True)]
    assert all(n_more), n_more
