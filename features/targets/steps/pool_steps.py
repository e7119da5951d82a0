"""Steps of pools.feature."""

import asyncio

from aiohttp import web
from behave import given, then, when

from lycheepost.core.ids import TargetId
from lycheepost.generated.settings import StreamSettings
from lycheepost.targets.pools import TargetPools

FIRST, SECOND = TargetId("first"), TargetId("second")
IDLE_SECONDS = 15.0
SILENT_SECONDS = 0.6


class NamingServer:
    """Responds with a number for the connection, after a pause on request."""

    def __init__(self):
        self.names = {}

    async def start(self):
        app = web.Application()
        app.router.add_get("/", self.respond)
        self.runner = web.AppRunner(app, access_log=None)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.url = f"http://127.0.0.1:{self.runner.addresses[0][1]}/"

    async def respond(self, request):
        name = self.names.setdefault(request.transport, len(self.names))
        await asyncio.sleep(0.02)
        return web.Response(text=str(name))


async def call(context, target):
    """Call a target; return the number of the connection that was used."""
    session = context.pools.choose(target, True, context.now_seconds)
    async with session.get(context.servers[target].url) as response:
        return int(await response.text())


async def call_together(context, target, n):
    calls = (call(context, target) for _ in range(n))
    return set(await asyncio.gather(*calls))


@given("{n:d} pooled connections to each of two targets")
def step_pooled(context, n):
    context.now_seconds = 100.0
    context.pools = TargetPools(
        "requests", StreamSettings(idle_connection_seconds=IDLE_SECONDS)
    )
    context.servers = {FIRST: NamingServer(), SECOND: NamingServer()}

    async def play():
        await context.pools.start()
        context.used = {}
        for target, server in context.servers.items():
            await server.start()
            context.used[target] = await call_together(context, target, n)
            assert len(context.used[target]) == n

    async def close():
        await context.pools.stop()
        for server in context.servers.values():
            await server.runner.cleanup()

    context.run(play())
    context.stack.push_async_callback(close)


@when("a call to the first target falls silent")
def step_silent(context):
    context.sent_seconds = context.now_seconds
    context.now_seconds += SILENT_SECONDS
    context.pools.note_silent(FIRST, context.sent_seconds, context.now_seconds)
    context.before = len(context.servers[FIRST].names)
    context.now_seconds += SILENT_SECONDS


@when("another one that was sent before it falls silent too")
def step_another(context):
    context.pools.note_silent(FIRST, context.sent_seconds, context.now_seconds)


@when("{n:d} calls to the first target open new connections")
def step_open(context, n):
    context.run(call_together(context, FIRST, n))


@when("longer than the maximum idle time passes")
def step_idle(context):
    context.now_seconds += IDLE_SECONDS + 1.0


@then("the next {n:d} calls to the first target use connections opened since")
def step_since(context, n):
    async def play():
        return [await call(context, FIRST) for _ in range(n)]

    context.found = context.run(play())
    assert min(context.found) >= context.before, context.found


@then("they share connections")
def step_share(context):
    assert len(set(context.found)) < len(context.found), context.found


@then("calls to the second target use its pooled connections")
def step_second(context):
    assert context.run(call_together(context, SECOND, 3)) <= context.used[SECOND]


@then("the pool of the first target was replaced {n:d} time")
def step_replaced(context, n):
    assert context.pools.n_renewals == n, context.pools.n_renewals


@then("calls to the first target use the first pool")
def step_first_pool(context):
    assert context.run(call_together(context, FIRST, 3)) <= context.used[FIRST]
