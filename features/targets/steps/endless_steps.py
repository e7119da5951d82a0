"""Steps of endless.feature."""

import asyncio
import pathlib
import time
from dataclasses import dataclass

from aiohttp import web
from bed import SETTINGS
from behave import then, when
from bodies_steps import CLIENTS, make_orders
from returns.result import Success

from lycheepost.core.ids import CustomerId, RequestId, TargetGroupId, TargetId
from lycheepost.decide.startverdict import StartAnswer
from lycheepost.platform import headers as names
from lycheepost.platform.dialect import ServerDialect
from lycheepost.platform.pathprobe import PathProber
from lycheepost.platform.peerdialect import PeerDialect
from lycheepost.standin.endless import EndlessForm, EndlessServer
from lycheepost.targets.direct import BodyHandler, attach_handler
from lycheepost.targets.errors import TargetError
from lycheepost.targets.forward import ForwardClient
from lycheepost.targets.forwardcall import ForwardCall, RelayOptions
from lycheepost.targets.network import TargetNetwork
from lycheepost.targets.session import make_session

MEGABYTE = 1024 * 1024
CALL_SECONDS = 4.0
"""Longer than any client waits by itself."""
ANSWER_BYTES = 64 * 1024
"""What a request reads of an answer before it takes it for a sound one."""
TICK_SECONDS = 0.005
ENDS_AS_USUAL = (
    EndlessForm.UNASKED_BYTES,
    EndlessForm.UNASKED_ANSWERS,
)
"""The answer that comes first is complete."""


@dataclass
class Ended:
    """How a call ended; ``result`` is None if it had to be cancelled."""

    form: EndlessForm
    result: object
    seconds: float


def make_forward_call(address, relay=None, body=b"{}"):
    return ForwardCall(
        target=TargetId("i-1"),
        address=address,
        request=RequestId("r-1"),
        method="POST",
        raw_path="/order/1",
        headers=((names.ATTEMPT_ID, "a-1"),),
        body=body,
        remaining_seconds=3.0,
        customer=CustomerId("c"),
        relay=relay,
        target_group=TargetGroupId("g"),
    )


def forward(dialect, relay=None, body=b"{}"):
    def make(address):
        client = ForwardClient(SETTINGS, dialect)

        async def send():
            sent = await client.send(make_forward_call(address, relay, body))
            if not isinstance(sent, Success):
                return sent
            try:
                return await sent.unwrap().read_body(ANSWER_BYTES)
            except TargetError as error:
                return error

        return client, send

    return make, {}


def check_health(address):
    client, target = make_orders(address)
    return client, lambda: client.ask_start(target, "/health")


def probe_path(address):
    client = PathProber(TargetNetwork(), 1.0)
    return client, lambda: client.probe(address, "/health")


ALL_CLIENTS = CLIENTS | {
    "a request": forward(ServerDialect()),
    "a relay to a peer": forward(PeerDialect(), RelayOptions("k", 0)),
    "a health check": (check_health, {}),
    "a path probe": (probe_path, {}),
}


def resident_bytes():
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096


class Watch:
    """Records the longest hold of the loop and the largest memory."""

    def __init__(self):
        self.held_seconds = 0.0
        self.first_bytes = self.max_bytes = resident_bytes()

    async def run(self):
        while True:
            start_seconds = time.monotonic()
            await asyncio.sleep(TICK_SECONDS)
            late_seconds = time.monotonic() - start_seconds - TICK_SECONDS
            self.held_seconds = max(self.held_seconds, late_seconds)
            self.max_bytes = max(self.max_bytes, resident_bytes())


def open_server(context, form, pause_seconds=None):
    def make_headers(_path, asked):
        asked_id = asked.get(names.ATTEMPT_ID.lower(), "")
        return {names.ATTEMPT_ID: asked_id, names.SEAL: "0"}

    server = EndlessServer(form, pause_seconds, make_headers)
    server.start()
    context.stack.callback(server.stop)
    return server


async def call(context, client_name, server):
    make, _document = ALL_CLIENTS[client_name]
    client, read = make(server.address)
    await client.start()
    start_seconds = time.monotonic()
    try:
        async with asyncio.timeout(CALL_SECONDS):
            result = await read()
    except TimeoutError:
        result = None
    seconds = time.monotonic() - start_seconds
    if server.form in ENDS_AS_USUAL:
        await asyncio.sleep(0.1)
    await client.stop()
    return Ended(server.form, result, seconds)


@when("{client} is called at servers that send each form without end")
def step_each(context, client):
    async def call_all():
        context.watch = Watch()
        watching = asyncio.create_task(context.watch.run())
        await asyncio.sleep(0.02)
        for form in EndlessForm:
            server = open_server(context, form)
            context.servers.append(server)
            context.ended.append(await call(context, client, server))
            await asyncio.sleep(0.02)
            server.stop()
        watching.cancel()

    context.servers, context.ended = [], []
    context.run(call_all())


@then("each call ended with an error or a short answer")
def step_ended(context):
    for ended in context.ended:
        assert ended.result is not None, ended


@then("each server got rid of at most {megabytes:d} MB")
def step_bytes(context, megabytes):
    found = {server.form: server.n_bytes / MEGABYTE for server in context.servers}
    assert max(found.values()) <= megabytes, found


@then("the loop was never held for {seconds:g} s")
def step_held(context, seconds):
    assert context.watch.held_seconds < seconds, context.watch.held_seconds


@then("the memory grew by at most {megabytes:d} MB")
def step_memory(context, megabytes):
    grown = (context.watch.max_bytes - context.watch.first_bytes) / MEGABYTE
    assert grown <= megabytes, grown


@when("{client} is called at a server that sends a head of status 103 each {ms:d} ms")
def step_slow(context, client, ms):
    server = open_server(context, EndlessForm.INFORMATIONAL_HEADS, ms / 1000)
    context.ended = [context.run(call(context, client, server))]


@then("the call ended with an error within {seconds:g} s")
def step_ended_within(context, seconds):
    [ended] = context.ended
    is_good = isinstance(ended.result, Success) or ended.result is StartAnswer.SAME
    assert ended.result is not None and not is_good, ended
    assert ended.seconds < seconds, ended


@when("bytes follow the answers of {n:d} calls on kept connections")
def step_left(context, n):
    """Read answers over pooled connections, and wait while more arrives."""

    async def call_all():
        context.watch = Watch()
        watching = asyncio.create_task(context.watch.run())
        session = make_session("requests", SETTINGS)
        context.bodies = []
        for form in ENDS_AS_USUAL:
            server = open_server(context, form)
            for _ in range(n // len(ENDS_AS_USUAL)):
                async with session.get(f"http://{server.address}/") as response:
                    context.bodies.append(await response.read())
                async with asyncio.timeout(2.0):
                    while not server.n_closed >= server.n_flooded > 0:
                        await asyncio.sleep(TICK_SECONDS)
        await session.close()
        watching.cancel()

    context.run(call_all())


@then("no call got an answer that it had not asked for")
def step_own(context):
    assert set(context.bodies) == {b"{}"}, context.bodies


async def open_chunked(context, n, size):
    async def serve(request):
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        await response.prepare(request)
        part = b"%x\r\n%b\r\n" % (size, b"x" * size)
        n_parts = max(1, 65536 // len(part))
        for first in range(0, n, n_parts):
            request.transport.write(part * min(n_parts, n - first))
            await request.writer.drain()
            await asyncio.sleep(0)
        await response.write_eof()
        return response

    app = web.Application()
    app.router.add_get("/", serve)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0)
    await runner.setup()
    context.stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return f"http://127.0.0.1:{runner.addresses[0][1]}/"


@when("a client reads {n:d} chunks of {size:d} bytes, {how}")
def step_read_chunks(context, n, size, how):
    async def read():
        url = await open_chunked(context, n, size)
        session = make_session("requests", SETTINGS)
        context.n_got, context.n_sent = 0, n * size
        async with asyncio.timeout(30.0), session.get(url) as response:
            if how == "in the callback":
                await read_in_callback(context, response)
            else:
                async for part in response.content.iter_any():
                    context.n_got += len(part)
                    await asyncio.sleep(0.001 if how == "slowly" else 0)
        await session.close()

    context.run(read())


async def read_in_callback(context, response):
    ended = asyncio.get_running_loop().create_future()

    def count(data):
        context.n_got += len(data)

    context.n_got += len(response.content.read_nowait())
    assert attach_handler(response.content, BodyHandler(count, ended.set_result))
    error = await ended
    assert error is None, error


@then("it got all of them")
def step_got_all(context):
    assert context.n_got == context.n_sent, (context.n_got, context.n_sent)
