"""Steps of endless.feature: connections whose reads take long to parse."""

import asyncio
import itertools
from unittest import mock

from behave import given, then, when

from lycheepost.utils import boundedreads
from lycheepost.utils.boundedreads import BoundedHandler, SlowReads

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BUFFER_BYTES = 65536
MAX_TURNS = 20_000


class FakeTransport(asyncio.Transport):
    """A connection whose peer has sent all that it will."""

    def __init__(self):
        super().__init__()
        self.n_resumed = 0
        self.is_closed = False

    def pause_reading(self):
        pass

    def resume_reading(self):
        self.n_resumed += 1

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    abort = close


class ParsingClock:
    """A clock that advances only by what parsing takes; stands in for ``time``."""

    def __init__(self, context, seconds_per_byte):
        self._context = context
        self._seconds_per_byte = seconds_per_byte

    def monotonic(self):
        return n_parsed(self._context) * self._seconds_per_byte


@given("a clock by which {n_bytes:d} bytes of chunks are parsed in {milliseconds:g} ms")
def step_clock(context, n_bytes, milliseconds):
    context.connections = []
    clock = ParsingClock(context, milliseconds / 1000.0 / n_bytes)
    patch = mock.patch.object(boundedreads, "time", clock)
    patch.start()
    context.add_cleanup(patch.stop)


def pieces_of(n_bytes):
    """Return numbered pieces of 9 bytes whose chunks have so many bytes."""
    return [f"{number:09d}".encode() for number in range(n_bytes // 14)]


class Connection:
    """One connection with a response that is being read."""

    def __init__(self, loop, slow_reads):
        self.handler = BoundedHandler(loop, "test", slow_reads)
        self.transport = FakeTransport()
        self.read = b""
        self.task = None

    async def begin(self):
        self.handler.connection_made(self.transport)
        self.handler.set_response_params(read_bufsize=BUFFER_BYTES)
        self.handler.data_received(HEAD)
        _message, self.body = await self.handler.read()

    async def read_all(self):
        async for part in self.body.iter_any():
            self.read += part


@when("{n:d} connections get {n_bytes:d} bytes of chunks of 9 bytes each, {end}")
def step_get(context, n, n_bytes, end):
    context.pieces = pieces_of(n_bytes)
    data = b"".join(b"9\r\n%b\r\n" % piece for piece in context.pieces)

    async def play():
        loop = asyncio.get_running_loop()
        slow_reads = SlowReads(loop)
        context.connections = []
        for _ in range(n):
            connection = Connection(loop, slow_reads)
            await connection.begin()
            context.connections.append(connection)
        for connection in context.connections:
            if end != "and are closed unread":
                connection.task = loop.create_task(connection.read_all())
            connection.handler.data_received(data)
            if end != "and stay open":
                connection.transport.close()
                connection.handler.connection_lost(None)
        context.parsed = [n_parsed(context)]
        while context.parsed[-1] < n * 9 * len(context.pieces):
            await asyncio.sleep(0)
            context.parsed.append(n_parsed(context))
            if len(context.parsed) > MAX_TURNS or end == "and are closed unread":
                break
        await asyncio.sleep(0)
        for connection in context.connections:
            if connection.task is not None:
                connection.task.cancel()

    context.slow_loop = asyncio.new_event_loop()
    context.add_cleanup(context.slow_loop.close)
    context.slow_loop.run_until_complete(play())


def n_parsed(context):
    return sum(connection.body.total_bytes for connection in context.connections)


@then("at most {n_bytes:d} bytes of them were parsed in each turn after the first")
def step_turns(context, n_bytes):
    turns = [after - before for before, after in itertools.pairwise(context.parsed)]
    assert turns[1:] and max(turns[1:]) <= n_bytes, turns[:60]


@then("all bytes were read in order")
def step_all_read(context):
    expected = b"".join(context.pieces)
    for connection in context.connections:
        assert connection.read == expected, (len(connection.read), len(expected))


@then("each connection was resumed at most {n:d} times")
def step_resumed(context, n):
    for connection in context.connections:
        assert connection.transport.n_resumed <= n, connection.transport.n_resumed


@when("their readers give them up")
def step_give_up(context):
    async def give_up():
        for connection in context.connections:
            connection.handler.close()

    context.slow_loop.run_until_complete(give_up())


@then("all of them have ended")
def step_ended(context):
    for connection in context.connections:
        assert connection.handler._connection_lost_called
        assert not connection.handler.connected
