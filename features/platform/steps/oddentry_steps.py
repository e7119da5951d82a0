"""Steps of oddentries.feature."""

import asyncio

import msgspec
from behave import given, then, when
from deployment import MODEL, Deployment

from lycheepost.app.platformfleet import FIRST_START_MS, ZONE
from lycheepost.platform.models.serverstandin import PlatformServer

YEAR_2100_MS = 4_102_444_800_000
NEW_VERSION = 2
USED_STATES = ("serving", "warming")

ODD_NUMBERS = {
    "2^64": 2**64,
    "2^62": 2**62,
    "400 digits": 10**399,
    "in the year 2100": YEAR_2100_MS,
    "1000000": 1_000_000,
}


def odd_entry(server, odd):
    """Return a server's entry with one odd number, as JSON text."""
    entry = msgspec.json.decode(server.entry(ZONE))
    number = next(value for text, value in ODD_NUMBERS.items() if odd.endswith(text))
    marker = 123454321
    if odd.startswith("a start"):
        entry["born"] = marker
    elif odd.startswith("weights"):
        entry["models"][0]["version"] = marker
    else:
        entry["seq"] = marker
    # The encoder holds no integers beyond 64 bits.
    return msgspec.json.encode(entry).replace(b"123454321", str(number).encode())


@given(
    "a deployment with {n:d} daemons and {n_engines:d} engines that state their start"
)
def step_deployment(context, n, n_engines):
    context.deployment = Deployment()

    async def start():
        await context.deployment.start(n, n_engines=0)
        for _ in range(n_engines):
            server = PlatformServer("llm", MODEL)
            server.state.started_ms = FIRST_START_MS
            await context.deployment.add_server(server)
        await context.deployment.until(lambda: uses_all(context.deployment))

    context.loop.run_until_complete(start())


async def uses_all(deployment):
    """Return whether each daemon uses each engine."""
    names = {server.name for server in deployment.group("llm")}
    for daemon in deployment.daemons:
        targets = daemon.status()["targets"]
        used = {
            name
            for name, target in targets.items()
            if name in names and target["state"] in USED_STATES
        }
        if used != names:
            return False
    return True


async def have_new_weights(deployment):
    return all(
        server.state.version == NEW_VERSION for server in deployment.group("llm")
    )


async def overwrite(deployment, odd, seconds, meanwhile=lambda: None):
    """Put an odd entry over that of an engine, which then writes its own again."""
    server = deployment.group("llm")[0]
    deployment.store.store.put("servers", server.name, odd_entry(server, odd))
    await asyncio.sleep(seconds / 2)
    meanwhile()
    await asyncio.sleep(seconds / 2)
    deployment.register(server)


@when("an entry with {odd} stands over that of an engine for {seconds:g} s")
def step_odd(context, odd, seconds):
    context.loop.run_until_complete(overwrite(context.deployment, odd, seconds))


@when("new weights are named")
def step_named(context):
    context.deployment.publish_weights(NEW_VERSION)


@when(
    "new weights are named while an entry with {odd} stands over that of an engine for"
    " {seconds:g} s"
)
def step_odd_while_named(context, odd, seconds):
    def name_weights():
        context.deployment.publish_weights(NEW_VERSION)

    context.loop.run_until_complete(
        overwrite(context.deployment, odd, seconds, name_weights)
    )


@then("all engines have them within {seconds:g} s")
def step_have(context, seconds):
    deployment = context.deployment
    context.loop.run_until_complete(
        deployment.until(lambda: have_new_weights(deployment), seconds)
    )


@then("each daemon uses all engines")
def step_uses(context):
    deployment = context.deployment
    context.loop.run_until_complete(deployment.until(lambda: uses_all(deployment), 4.0))


@then("each daemon knows the engines by their own starts within {seconds:g} s")
def step_starts(context, seconds):
    deployment = context.deployment

    async def know_starts():
        return {
            daemon.status()["targets"][server.name]["started_ms"]
            for daemon in deployment.daemons
            for server in deployment.group("llm")
        } == {FIRST_START_MS}

    context.loop.run_until_complete(deployment.until(know_starts, seconds))
