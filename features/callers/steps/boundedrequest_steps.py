"""Steps of boundedrequests.feature."""

import asyncio
import dataclasses
import gc
import time

from aiohttp import web
from behave import given, then, when
from returns.result import Failure, Success

from lycheepost.app.earlysockets import open_socket
from lycheepost.app.listeners import make_caller_account, make_listener
from lycheepost.app.rawlistener import RawListener
from lycheepost.callers.body import read_body
from lycheepost.callers.boundedrequests import BoundedRequestHandler
from lycheepost.callers.clientaccount import ClientAccount, HeadBounds
from lycheepost.callers.refusals import BodyRefused
from lycheepost.decide.clientlimits import (
    CONNECTION_BYTES,
    RECEIVE_BUFFER_BYTES,
    make_client_limits,
)
from lycheepost.generated.settings import LimitSettings
from lycheepost.platform.settings import Endpoint
from lycheepost.utils.runningtime import note_timer

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
WAIT_SECONDS = 20.0
SETTLE_SECONDS = 0.1
LARGE_BYTES = 200_000
LISTENER_QUEUE = 64


def request_of(body, kind="with length", chunk=300):
    if kind == "with length":
        return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chunks = [body[start : start + chunk] for start in range(0, len(body), chunk)]
    framed = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in chunks)
    return CHUNKED + framed + b"0\r\n\r\n"


SENT = {
    "a head of 30000 bytes": HEAD + (b"X-A: " + b"a" * 994 + b"\r\n") * 30,
    "a head of 60000 bytes": HEAD + (b"X-A: " + b"a" * 994 + b"\r\n") * 60,
    "empty lines": b"\r\n" * LARGE_BYTES,
    "a head that stops": HEAD,
    "no protocol": b"\x16\x03\x01" + b"\x00" * LARGE_BYTES,
    "a chunk that is no chunk": CHUNKED + b"5\r\nabcde\r\nzz\r\n",
    "a chunk extension": CHUNKED + b"5;a=" + b"a" * LARGE_BYTES,
    "trailers": CHUNKED + b"0\r\n" + (b"X-A: " + b"a" * 994 + b"\r\n") * 100,
    "half of a body": HEAD + b"Content-Length: 9000\r\n\r\n" + b"a" * 4500,
    "half of a second body": (
        HEAD
        + b"Content-Length: 9000\r\n\r\n"
        + b"a" * 9000
        + HEAD
        + b"Content-Length: 90000\r\n\r\n"
        + b"a" * 45000
    ),
}


class Listener:
    """A listener that answers with the length of each body, once it may."""

    def __init__(self, bounds, max_connections=None):
        limits = make_client_limits()
        if max_connections is not None:
            limits = dataclasses.replace(limits, max_connections=max_connections)
        self.account = ClientAccount(limits)
        self.account.get_head_bounds = lambda: bounds
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self._socket = open_socket(
            Endpoint("127.0.0.1", 0), LISTENER_QUEUE, RECEIVE_BUFFER_BYTES
        )
        self.port = self._socket.getsockname()[1]
        self._listener = RawListener("test", self._handle, self._socket, self.account)

    async def start(self):
        await self._listener.start()

    async def stop(self):
        await self._listener.stop()

    async def _handle(self, request):
        n_bytes = 0
        try:
            while part := await request.content.readany():
                n_bytes += len(part)
        except BodyRefused as error:
            return web.Response(status=error.refusal.status)
        await self.may_answer.wait()
        return web.Response(text=f"{n_bytes}!")


class CallersListener:
    """A listener of the callers' API that reads bodies as the API does."""

    def __init__(self, **limits):
        self.limits = LimitSettings(**limits)
        self.account = make_caller_account(self.limits)
        routes = [web.post("/", self._handle)]
        self._listener = make_listener(
            "test", routes, "127.0.0.1", 0, self.limits, self.account, None
        )

    @property
    def port(self):
        return self._listener.port

    async def start(self):
        await self._listener.start()

    async def stop(self):
        await self._listener.stop()

    async def _handle(self, request):
        match await read_body(request, self.limits):
            case Success(body):
                return web.Response(text=f"{len(body)}!")
            case Failure(error):
                return web.Response(status=error.status, text="!")


def start(context, bounds=HeadBounds(), max_connections=None):  # noqa: B008
    async def begin():
        context.listener = Listener(bounds, max_connections)
        await context.listener.start()
        context.stack.push_async_callback(context.listener.stop)
        context.streams = []

    context.run(begin())


def start_callers(context, **limits):
    async def begin():
        context.listener = CallersListener(**limits)
        await context.listener.start()
        context.stack.push_async_callback(context.listener.stop)
        context.streams = []

    context.run(begin())


@given(
    "a listener of the callers' API that allows {seconds:g} s for a head of"
    " {n_bytes:d} bytes"
)
def step_callers(context, seconds, n_bytes):
    start_callers(context, head_seconds=seconds, head_bytes=n_bytes)


@given("a listener of the callers' API on a VM of {memory:d} MB")
def step_callers_small(context, memory):
    start_callers(context, memory_mebibytes=memory)


@then("it is answered {status:d}")
def step_answered(context, status):
    assert context.answers.split(b" ")[1] == b"%d" % status, context.answers


async def connect(context):
    streams = await asyncio.open_connection("127.0.0.1", context.listener.port)
    context.streams.append(streams)
    return streams


async def send_all(context, data):
    """Send while reading, and return what was answered until the end or a pause."""
    reader, writer = await connect(context)
    writer.write(data)
    try:
        async with asyncio.timeout(WAIT_SECONDS):
            found = await read_answers(context, reader)
        if reader.at_eof():
            writer.close()
        return found
    except OSError:
        return b""


async def read_answers(context, reader):
    found = b""
    while part := await reader.read(65536):
        found += part
        if found.count(b"!") == context.n_answers:
            return found
    return found


@given("a listener")
def step_listener(context):
    start(context)


@given("a listener that allows {seconds:g} s for a head of {n_bytes:d} bytes")
def step_bounded(context, seconds, n_bytes):
    start(context, HeadBounds(n_bytes, seconds))


@given("a listener for {n:d} connections")
def step_few(context, n):
    start(context, max_connections=n)


@when("a client sends {n:d} requests with bodies of {n_bytes:d} bytes {kind} at once")
def step_ahead(context, n, n_bytes, kind):
    context.n_answers = n
    data = request_of(b"a" * n_bytes, kind) * n
    context.answers = context.run(send_all(context, data))


@when(
    "a client sends {n:d} requests with bodies of {n_bytes:d} bytes"
    " while none is answered"
)
def step_unanswered(context, n, n_bytes):
    context.n_answers = n
    context.listener.may_answer.clear()

    async def play():
        _reader, writer = await connect(context)
        writer.write(request_of(b"a" * n_bytes) * n)
        await asyncio.sleep(SETTLE_SECONDS)

    context.run(play())


@when("the listener answers")
def step_answer(context):
    context.listener.may_answer.set()
    reader, _writer = context.streams[-1]
    context.answers = context.run(read_answers(context, reader))


@when("the client sends one more request with a body of {n_bytes:d} bytes")
def step_one_more(context, n_bytes):
    context.n_answers = 1
    reader, writer = context.streams[-1]

    async def play():
        writer.write(request_of(b"a" * n_bytes))
        async with asyncio.timeout(WAIT_SECONDS):
            return await read_answers(context, reader)

    context.answers = context.run(play())


@when("a body of {n_bytes:d} bytes is sent in chunks of {chunk:d}")
def step_chunks(context, n_bytes, chunk):
    context.n_answers = 1
    data = request_of(b"a" * n_bytes, "in chunks", chunk)
    context.answers = context.run(send_all(context, data))


@then("it gets {n:d} answers with the length {n_bytes:d}")
def step_answers(context, n, n_bytes):
    expected = b"\r\n%d!" % n_bytes
    assert context.answers.count(b"HTTP/1.1 200") == n, context.answers[-500:]
    assert context.answers.count(expected) == n, context.answers[-500:]


def held_bytes(context):
    context.run(asyncio.sleep(SETTLE_SECONDS))
    return context.listener.account.all_bytes.held_bytes


@then("the listener holds what one idle connection takes")
def step_idle(context):
    assert held_bytes(context) == CONNECTION_BYTES, held_bytes(context)


@then("the listener holds nothing")
def step_nothing(context):
    assert held_bytes(context) == 0, held_bytes(context)


@when("a request with an upgrade is sent and {n_bytes:d} bytes after it")
def step_upgrade(context, n_bytes):
    upgrade = b"Upgrade: websocket\r\nConnection: upgrade\r\n\r\n"
    play_refused(context, HEAD + upgrade + b"a" * n_bytes)


@when("a client sends: {what}")
def step_send(context, what):
    play_refused(context, SENT[what])


def play_refused(context, data):
    context.n_answers = -1

    async def play():
        sending = asyncio.ensure_future(send_all(context, data))
        while not sending.done():
            await asyncio.sleep(0.05)
            context.listener.account.refuse_late_heads()
        return sending.result()

    context.answers = context.run(play())


@then("it is answered {status:d} and its connection is closed")
def step_refused(context, status):
    context.run(asyncio.sleep(SETTLE_SECONDS))
    # The answer may be lost as a reset while the client still sends.
    if context.answers:
        assert context.answers.split(b" ")[1] == b"%d" % status, context.answers
    assert len(context.listener.account._waits) == 0


@when("a client has sent half of a head and the process stands still for {seconds:g} s")
def step_stall(context, seconds):
    async def play():
        _reader, writer = await connect(context)
        writer.write(HEAD)
        await asyncio.sleep(SETTLE_SECONDS)
        return asyncio.get_running_loop().time()

    async def go_on(due_seconds):
        note_timer(due_seconds)

    due_seconds = context.run(play())
    time.sleep(seconds)
    context.run(go_on(due_seconds))


@when("the late heads are refused")
def step_late(context):
    async def refuse():
        context.listener.account.refuse_late_heads()

    context.run(refuse())


@then("the connection is still open")
def step_open(context):
    assert len(context.listener.account._waits) == 1


@when("{n:d} clients connect and the first of them has a request served")
def step_connect(context, n):
    async def play():
        context.listener.may_answer.clear()
        for _ in range(n):
            await connect(context)
            await asyncio.sleep(0.01)
        context.streams[0][1].write(request_of(b""))
        await asyncio.sleep(SETTLE_SECONDS)

    context.run(play())


@when("{n:d} more clients connect")
def step_more(context, n):
    async def play():
        for _ in range(n):
            await connect(context)
        await asyncio.sleep(SETTLE_SECONDS)

    context.run(play())


@then(
    "the connections of clients {first:d} to {last:d} are closed"
    " and all others are open"
)
def step_closed(context, first, last):
    closed = [
        number
        for number, (reader, _) in enumerate(context.streams, 1)
        if reader.at_eof() or reader.exception() is not None
    ]
    assert closed == list(range(first, last + 1)), closed


@when("the request of the first client ends")
def step_end(context):
    context.n_answers = 1
    context.listener.may_answer.set()
    context.answers = context.run(read_answers(context, context.streams[0][0]))


@when("{n:d} clients send {what} and leave while the collector is off")
def step_leave(context, n, what):
    async def play():
        for _ in range(n):
            _reader, writer = await connect(context)
            writer.write(SENT[what])
            await asyncio.sleep(0.02)
            writer.transport.abort()
        context.streams.clear()
        await asyncio.sleep(SETTLE_SECONDS)

    gc.collect()
    gc.disable()
    context.add_cleanup(gc.enable)
    context.run(play())


@then("no connection of the listener is left in memory")
def step_freed(context):
    left = [item for item in gc.get_objects() if type(item) is BoundedRequestHandler]
    assert not left, len(left)
