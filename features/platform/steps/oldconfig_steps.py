"""Steps of oldconfig.feature."""

import asyncio

from behave import then, when

from lycheepost.platform import headers as names


async def ask(deployment, what, **more):
    """Send a look-up that no configuration allows."""
    match what:
        case "an unknown route":
            path, key = "/nowhere/1", "k-one"
        case "an unknown key":
            path, key = "/look/1", "k-nobody"
        case _:
            path, key = "/look/1", "k-one"
    headers = deployment.headers(key, **more)
    return await deployment.ask("GET", path, headers)


def answer_to(context, what, **more):
    return context.loop.run_until_complete(ask(context.deployment, what, **more))


@then("a request with {what} gets {status:d}")
def step_status(context, what, status):
    answer = answer_to(context, what)
    assert answer.status == status, answer


@when("the store has been away for {seconds:g} s")
def step_away(context, seconds):
    context.deployment.store.store.faults.is_down = True
    context.loop.run_until_complete(asyncio.sleep(seconds))


@then("a request with {what} gets 503 and a time to come back")
def step_not_now(context, what):
    answer = answer_to(context, what)
    assert answer.status == 503, answer
    assert 0.0 < float(answer.headers["Retry-After"]) <= 1.0, answer


@when("the store is back")
def step_back(context):
    context.deployment.store.store.faults.clear()


@then("within {seconds:g} s a request with {what} gets {status:d}")
def step_again(context, seconds, what, status):
    async def is_refused():
        return (await ask(context.deployment, what)).status == status

    context.loop.run_until_complete(context.deployment.until(is_refused, seconds))


def relayed(context, version):
    more = {names.RELAYED_RUNS: "0", names.RELAYED_CONFIGURATION: str(version)}
    return answer_to(context, "a relayed look-up", **more)


@then("a request relayed by configuration {version:d} is served")
def step_served(context, version):
    answer = relayed(context, version)
    assert answer.status == 200, answer


@then(
    "a request relayed by configuration {version:d} gets 503, a time to come back, and"
    " runs nowhere"
)
def step_behind(context, version):
    answer = relayed(context, version)
    assert answer.status == 503, answer
    assert float(answer.headers["Retry-After"]) > 0.0, answer
    assert not context.deployment.runs(context.deployment.attempt_id)
