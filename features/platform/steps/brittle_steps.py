"""Steps of brittle.feature."""

import asyncio
import itertools

import aiohttp
from behave import given, then, when
from deployment import Deployment
from multidict import CIMultiDict

from lycheepost.platform import headers as names
from lycheepost.platform.dialect import decode_notice
from lycheepost.platform.models.serverstandin import PlatformServer

PLAIN = "plain"
ATTEMPT = {names.ATTEMPT_ID: "0123456789abcdef"}
CONTACT_SECONDS = 3.0
"""Servers say that they are brittle for so long before they crash by it."""

TOLERATED_FALLS = 2.0
TOLERATED_SHARE = 0.1


@then('a brittle header "{written}" means {brittle}')
def step_decoded(context, written, brittle):
    expected = None if brittle == "no" else float(brittle.partition(" ")[0])
    notice = decode_notice(200, CIMultiDict({names.BRITTLE: written}))
    assert notice.brittle_per_second == expected, notice


@given("a stand-in without slots that is brittle at {bound:g}")
def step_standin(context, bound):
    context.server = PlatformServer(PLAIN, n_slots=0)
    context.server.brittle_per_second = bound
    context.loop.run_until_complete(context.server.start())


async def connect_and_ask(address):
    """Ask for a look-up over a new connection; False if there is no response."""
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{address}/look/1", headers=ATTEMPT),
        ):
            return True
    except aiohttp.ClientError:
        return False


@when("{n:d} look-ups reach it at the same time")
def step_reach(context, n):
    address = context.server.address

    async def play():
        await asyncio.gather(*(connect_and_ask(address) for _ in range(n)))

    context.loop.run_until_complete(play())


@then("it has crashed {n:d} time")
def step_crashed(context, n):
    assert context.server.n_falls == n, context.server.n_falls


@then("it listens again within {seconds:g} s")
def step_listens(context, seconds):
    async def play():
        async with asyncio.timeout(seconds):
            while not await connect_and_ask(context.server.address):
                await asyncio.sleep(0.05)
        await context.server.stop()

    context.loop.run_until_complete(play())


@given("a deployment with {n:d} daemons and servers with {n_slots:d} slots")
def step_slots(context, n, n_slots):
    context.deployment = Deployment()
    context.loop.run_until_complete(context.deployment.start(n, n_slots=n_slots))


async def look_up(deployment, number, statuses):
    headers = deployment.headers("k-one")
    index = number % len(deployment.daemons)
    answer = await deployment.ask("GET", f"/look/{number}", headers, b"", index)
    statuses.append(answer.status)


@when(
    "clients ask for look-ups of {run_seconds:g} s, {per_second:d} a second for"
    " {seconds:d} s, and all servers say that they are brittle at {bound:g}"
)
def step_ask(context, run_seconds, per_second, seconds, bound):
    deployment = context.deployment
    context.statuses = []
    context.seconds = seconds

    async def play():
        loop = asyncio.get_running_loop()
        for server in deployment.group(PLAIN):
            server.run_seconds = run_seconds
            server.brittle_per_second = bound
            server.brittle_from_seconds = loop.time() + CONTACT_SECONDS
        started = loop.time()
        tasks = []
        for number in itertools.count():
            if loop.time() - started > seconds:
                break
            tasks.append(
                asyncio.create_task(look_up(deployment, number, context.statuses))
            )
            due = started + (number + 1) / per_second
            await asyncio.sleep(max(0.0, due - loop.time()))
        await asyncio.gather(*tasks)

    context.loop.run_until_complete(play())


@then("the servers crash at most 2 times and a tenth of their number")
def step_falls(context):
    servers = context.deployment.group(PLAIN)
    n_falls = sum(server.n_falls for server in servers)
    assert n_falls <= TOLERATED_FALLS + TOLERATED_SHARE * len(servers), n_falls


@then("at least half of what the servers can run is served")
def step_served(context):
    servers = context.deployment.group(PLAIN)
    per_second = sum(server.n_slots / server.run_seconds for server in servers)
    n_served = context.statuses.count(200)
    assert n_served >= per_second * context.seconds / 2, n_served


def brittle_by_daemon(deployment):
    return [daemon.status()["notices"]["brittle"] for daemon in deployment.daemons]


@when(
    "the first server says that it is brittle at {bound:g} and only one daemon gets"
    " requests"
)
def step_one_asked(context, bound):
    deployment = context.deployment
    server = deployment.group(PLAIN)[0]
    server.brittle_per_second = bound
    context.brittle = {server.name: bound}
    context.loop.run_until_complete(ask_until(deployment, context.brittle))


@when("the first server is no longer brittle and the same daemon gets requests")
def step_one_ended(context):
    context.deployment.group(PLAIN)[0].brittle_per_second = None
    context.loop.run_until_complete(ask_until(context.deployment, {}))


async def ask_until(deployment, brittle):
    """Send look-ups through the first daemon until it knows ``brittle``."""

    async def is_known():
        await look_up(deployment, 0, [])
        return brittle_by_daemon(deployment)[0] == brittle

    await deployment.until(is_known)


@then("all daemons know that it is brittle within 1 s")
def step_all_know(context):
    async def all_know():
        found = brittle_by_daemon(context.deployment)
        return found == [context.brittle] * len(found)

    context.loop.run_until_complete(context.deployment.until(all_know, 1.0))


@then("no daemon takes a server for brittle within 1 s")
def step_none(context):
    async def none():
        found = brittle_by_daemon(context.deployment)
        return found == [{}] * len(found)

    context.loop.run_until_complete(context.deployment.until(none, 1.0))
