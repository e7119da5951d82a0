"""Steps of brokenanswers.feature."""

import asyncio

from behave import then, when
from ending_steps import add_fault

from lycheepost.platform.models.serverfaults import InvalidAnswer
from lycheepost.standin.rawheads import HeadForm


@when("the next server answers a {what} with a {form}")
def step_invalid(context, what, form):
    add_fault(context, what, InvalidAnswer(HeadForm(form)))


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
