"""Steps of starts.feature."""

import asyncio

from behave import given, then, when
from fleet_steps import publish_weights
from request_steps import ask, start

from lycheepost.platform.models.serverfaults import CrashAndReturn
from lycheepost.standin.faults import FaultPlan

SLOW_LOAD_SECONDS = 0.4


@given("a deployment with {n:d} daemon whose servers state their starts")
@given("a deployment with {n:d} daemons whose servers state their starts")
def step_stated(context, n):
    start(context, n_daemons=n, states_starts=True)


@when("each engine that gets a resumable stream crashes on it and restarts at once")
def step_crashing(context):
    context.plan = FaultPlan()
    context.n_planned = 100
    context.plan.add(CrashAndReturn(), context.n_planned)
    for server in context.deployment.group("llm"):
        server.faults = context.plan


@then("engines crashed on it {words} and no more")
def step_crashed(context, words):
    assert words == "twice"
    assert len(context.deployment.runs()) == 2, context.deployment.runs()


def restart(context):
    server = context.deployment.group("llm")[0]
    server.restart()
    context.deployment.register(server)
    context.restarted = server
    return server


@when("one engine restarts")
def step_restarted(context):
    restart(context)


@when("one engine restarts and a late order loads version 1 into it")
def step_late_order(context):
    server = restart(context)
    server.state.version = 1
    server.state.n_orders = 1


@when("clients continue to ask for streams")
def step_continue(context):
    async def pause():
        await asyncio.sleep(0.1)

    for _ in range(30):
        ask(context, "album stream")
        context.loop.run_until_complete(pause())


@then("its last order expected the order count of its new start")
def step_expected(context):
    orders = context.restarted.state.orders
    assert [order["expected"] for order in orders] == [1], orders


@when(
    "version {version:d} of the weights is requested and an engine restarts while it"
    " loads them"
)
def step_restart_while_loading(context, version):
    server = context.deployment.group("llm")[0]
    server.state.load_seconds = SLOW_LOAD_SECONDS
    publish_weights(context, version)

    async def restart_while_loading():
        async def is_changing():
            return server.state.is_changing

        await context.deployment.until(is_changing)
        server.restart()
        context.deployment.register(server)

    context.loop.run_until_complete(restart_while_loading())


@then("all daemons soon report its new start")
def step_reported(context):
    server = context.restarted

    async def is_reported():
        found = {
            daemon.status()["targets"][server.name]["started_ms"]
            for daemon in context.deployment.daemons
        }
        return found == {server.state.started_ms}

    context.loop.run_until_complete(context.deployment.until(is_reported))
