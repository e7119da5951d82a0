"""Steps of requests.feature: entries that lapse in or after an outage of the store."""

import asyncio

from behave import then, when
from request_steps import ask


def set_store_down(context, is_down):
    """Stop or start the store, and wait until the daemon has noticed."""
    deployment = context.deployment
    watch = deployment.daemons[0].watches[1]

    async def is_noticed():
        return watch.is_lost is is_down

    deployment.store.store.faults.is_down = is_down
    context.loop.run_until_complete(deployment.until(is_noticed))


def lose_entries(deployment):
    for server in deployment.servers:
        deployment.store.store.put("servers", server.name, None)


@when("the store is down, loses all server entries and is up again")
def step_lapse(context):
    set_store_down(context, True)
    lose_entries(context.deployment)
    set_store_down(context, False)


@when(
    "the store is down and up again, and loses all server entries {seconds:g} s later"
)
def step_late_lapse(context, seconds):
    deployment = context.deployment
    set_store_down(context, True)
    set_store_down(context, False)
    watch = deployment.daemons[0].watches[1]
    context.loop.run_until_complete(asyncio.sleep(seconds))
    lose_entries(deployment)
    version = deployment.store.store.version

    async def is_told():
        return watch.status()["version"] >= version

    context.loop.run_until_complete(deployment.until(is_told))


@when("the server entries stay away for {seconds:g} s")
def step_stay_away(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))


@then("a look-up is refused as not run")
def step_look_up_refused(context):
    answer = ask(context, "look-up")
    assert answer.status == 503, answer
