"""Steps of connecting.feature."""

import asyncio
import time

from aiohttp import web
from behave import given, then, when

from lycheepost.generated.settings import StreamSettings
from lycheepost.targets.session import make_session


@given("a session that gives a connection {seconds:g} s, and a server")
def step_session(context, seconds):
    async def answer(_request):
        return web.Response(text="answer")

    async def start():
        app = web.Application()
        app.router.add_get("/", answer)
        runner = web.AppRunner(app)
        await runner.setup()
        context.stack.push_async_callback(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        settings = StreamSettings(connect_seconds=seconds)
        context.session = make_session("requests", settings)
        context.stack.push_async_callback(context.session.close)
        context.url = f"http://127.0.0.1:{runner.addresses[0][1]}/"

    context.run(start())


@when(
    "the process is stopped for {seconds:g} s, {n_turns:d} turns of its loop after"
    " {n:d} calls have begun"
)
def step_stopped(context, seconds, n_turns, n):
    async def call():
        async with context.session.get(context.url) as answer:
            return answer.status

    async def call_all():
        calls = [asyncio.create_task(call()) for _ in range(n)]
        await asyncio.sleep(0)
        for _ in range(n_turns):
            await asyncio.sleep(0)
        # For the loop this is the same as a stop of the process.
        time.sleep(seconds)  # noqa: ASYNC251
        return await asyncio.gather(*calls, return_exceptions=True)

    context.found = context.run(call_all())


@then("all calls are answered")
def step_answered(context):
    failed = [repr(item) for item in context.found if item != 200]
    assert not failed, (len(failed), failed[0])
