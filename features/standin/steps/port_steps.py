"""Steps of ports.feature."""

import asyncio
import contextlib
import socket

from aiohttp import web
from behave import given, then, when

from lycheepost.standin.webserver import StandinServer

HOST = "127.0.0.1"


@given("a stand-in that has stopped")
def step_stopped(context):
    context.server = StandinServer(web.Application, HOST, 0)

    async def start_and_stop():
        context.url = await context.server.start()
        await context.server.stop()

    asyncio.run(start_and_stop())


@when("an outgoing connection is opened from its port, if that is possible")
def step_connects(context):
    port = int(context.url.rpartition(":")[2])
    other_server = socket.create_server((HOST, 0))
    outgoing = socket.socket()
    context.add_cleanup(other_server.close)
    context.add_cleanup(outgoing.close)
    with contextlib.suppress(OSError):
        outgoing.bind((HOST, port))
        outgoing.connect(other_server.getsockname())


@then("the stand-in starts again on its port")
def step_starts(context):
    async def start_and_stop():
        url = await context.server.start()
        await context.server.stop()
        return url

    assert asyncio.run(start_and_stop()) == context.url
