"""Steps of brokenanswers.feature."""

import asyncio
import contextlib
import json
import socket

import uvloop
from behave import given, then, when
from endless_steps import ALL_CLIENTS, CALL_SECONDS, forward
from returns.result import Success

from lycheepost.commands.statuspages import fetch_all
from lycheepost.decide.startverdict import StartAnswer
from lycheepost.operators.client import ApiConnection, call_api
from lycheepost.platform import headers as names
from lycheepost.platform.dialect import ServerDialect
from lycheepost.standin.rawbodies import EarlyEnd, answer_early
from lycheepost.standin.rawheads import HeadForm, encode_chunk, encode_form, encode_head
from lycheepost.standin.resets import RESET_ON_CLOSE

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
SIZES = {"1 kB": 1_000, "300 kB": 300_000, "3 MB": 3_000_000, "20 MB": 20_000_000}
HEADERS = {
    "Content-Type": "application/json",
    names.ATTEMPT_ID: "a-1",
    names.SEAL: "0",
    names.TARGET: "i-1",
}
INTERIM = encode_head("103 Early Hints", {"Link": "</a>"})


class Sessionless:
    """A client that opens a session for each call."""

    async def start(self):
        """Do nothing."""

    async def stop(self):
        """Do nothing."""


def call_operators(address):
    connection = ApiConnection(f"http://{address}", "lpo-key")
    return Sessionless(), lambda: call_api(connection, "GET", "/v1/plans")


def read_status(address):
    async def read():
        [page] = await fetch_all([address], Success)
        return page

    return Sessionless(), read


CLIENTS = ALL_CLIENTS | {
    "an operator's call": (call_operators, {}),
    "a status page": (read_status, {}),
}
FOLDED_TRAILER = b"0\r\nX-More: more\r\n X-Folded: folded\r\n\r\n"
UNREAD_BYTES = 16 * 1024
EARLY_PAUSE_SECONDS = 0.05
SLOW_PAUSE_SECONDS = 0.002


@given("the event loop is {loop}")
def step_loop(context, loop):
    context.loop.close()
    context.loop = LOOPS[loop]()
    context.run = context.loop.run_until_complete
    context.results = []


def open_server(context, serve, unread_bytes=UNREAD_BYTES):
    """Return the address of a server.

    Its system takes as many bytes that are unread, twice as many on Linux.
    """
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, unread_bytes)
    listening.bind(("127.0.0.1", 0))
    tasks = set()

    async def track(reader, writer):
        tasks.add(asyncio.current_task())
        try:
            await serve(reader, writer)
        finally:
            writer.transport.abort()

    async def close():
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    server = context.run(asyncio.start_server(track, sock=listening))
    context.stack.push_async_callback(close)
    return f"127.0.0.1:{listening.getsockname()[1]}"


async def end(writer):
    """Close a connection once its bytes have left."""
    writer.close()
    await writer.wait_closed()


def answering(respond):
    """Return a handler of connections that reads one request and calls ``respond``."""

    async def serve(reader, writer):
        # The client may give the connection up at any moment.
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            await respond(reader, writer)

    return serve


def writing(data, n_piece_bytes=None):
    async def respond(_reader, writer):
        for start in range(0, len(data), n_piece_bytes or len(data)):
            writer.write(data[start : start + (n_piece_bytes or len(data))])
            if n_piece_bytes:
                await asyncio.sleep(0)
        await end(writer)

    return answering(respond)


async def call(make, address):
    client, read = make(address)
    await client.start()
    try:
        async with asyncio.timeout(CALL_SECONDS):
            return await read()
    except TimeoutError:
        return None
    finally:
        await client.stop()


def document_of(client_name):
    return json.dumps(CLIENTS[client_name][1]).encode()


@when("{client} is called at a server that answers in each invalid form")
def step_each(context, client):
    make = CLIENTS[client][0]
    for form in HeadForm:
        data = encode_form(form, HEADERS, document_of(client))
        address = open_server(context, writing(data))
        context.results.append((form, context.run(call(make, address))))


@then("each call ended with an error")
def step_errors(context):
    assert context.results
    wrong = [(form, found) for form, found in context.results if not is_error(found)]
    assert not wrong, wrong


def is_error(result):
    is_answer = isinstance(result, Success | bytes) or result is StartAnswer.SAME
    return result is not None and not is_answer


@when("{client} is called at a server that answers soundly, {packets}")
def step_sound(context, client, packets):
    make, _document = CLIENTS[client]
    body = document_of(client)
    data = encode_head("200 OK", HEADERS | {"Content-Length": str(len(body))}) + body
    if packets == "after interim heads":
        data = INTERIM * 3 + data
    if packets == "with a folded trailer":
        chunked = HEADERS | {"Transfer-Encoding": "chunked"}
        data = encode_head("200 OK", chunked) + encode_chunk(body) + FOLDED_TRAILER
    n_piece_bytes = 1 if packets == "byte by byte" else None
    address = open_server(context, writing(data, n_piece_bytes))
    context.results.append((packets, context.run(call(make, address))))


@then("the call ended with an answer")
def step_answer(context):
    [(_what, result)] = context.results
    is_answer = isinstance(result, Success | bytes) or result is StartAnswer.SAME
    assert is_answer, result


@when(
    "a request is called at a server that sends a folded line in pieces of {n:d} bytes"
)
def step_pieces(context, n):
    make = CLIENTS["a request"][0]
    for form in (HeadForm.FOLDED_FIELD, HeadForm.INTERIM_FOLDED):
        data = encode_form(form, HEADERS, b"{}")
        address = open_server(context, writing(data, n))
        context.results.append((form, context.run(call(make, address))))


def make_upload(n_bytes):
    """Return what makes a client, and a call that sends a body through it."""
    make, _document = forward(ServerDialect(), body=b"b" * n_bytes)
    return make


@when("a request of {size} is answered early, and its connection ends by {end}")
def step_early(context, size, end):
    end_upload(context, SIZES[size], 0, EarlyEnd(end))


@when("a request of {size} is half read and answered, and its connection ends by {end}")
def step_half_read(context, size, end):
    end_upload(context, SIZES[size], SIZES[size] // 2, EarlyEnd(end))


def end_upload(context, n_bytes, n_read_bytes, end):
    """Answer a request of which some bytes of the body have been read."""

    async def respond(reader, writer):
        await reader.readexactly(n_read_bytes)
        transport = writer.transport
        await answer_early(transport, HEADERS, b"part", end, EARLY_PAUSE_SECONDS)

    address = open_server(context, answering(respond))
    make = make_upload(n_bytes)
    context.results.append((end, context.run(call(make, address))))


@when("a server leaves 100 kB of a request unread, answers, ends its stream and resets")
def step_partly_unread(context):
    async def respond(reader, writer):
        await reader.readexactly(200_000)
        writer.transport.pause_reading()
        # By then the system has taken the rest.
        await asyncio.sleep(EARLY_PAUSE_SECONDS)
        end = EarlyEnd.END_OF_STREAM
        await answer_early(writer.transport, HEADERS, b"part", end, EARLY_PAUSE_SECONDS)

    address = open_server(context, answering(respond), unread_bytes=1_000_000)
    context.results.append(("unread", context.run(call(make_upload(300_000), address))))


@when("{n:d} answers without length arrive together with an end of stream and a reset")
def step_with_reset(context, n):
    listening = socket.create_server(("127.0.0.1", 0))
    listening.setblocking(False)
    context.stack.callback(listening.close)

    async def serve():
        loop = asyncio.get_running_loop()
        for _ in range(n):
            connection, _address = await loop.sock_accept(listening)
            await loop.sock_recv(connection, 65536)
            # The client's loop reads nothing before all of it has arrived.
            connection.send(encode_head("200 OK", HEADERS) + b"part")
            connection.shutdown(socket.SHUT_WR)
            linger = socket.SO_LINGER
            connection.setsockopt(socket.SOL_SOCKET, linger, RESET_ON_CLOSE)
            connection.close()

    async def call_all():
        serving = asyncio.create_task(serve())
        make = make_upload(2)
        address = f"127.0.0.1:{listening.getsockname()[1]}"
        for number in range(n):
            context.results.append((number, await call(make, address)))
        await serving

    context.run(call_all())


@when("a request of {size} is read {pace} and answered without length or chunks")
def step_read(context, size, pace):
    n_bytes = SIZES[size]

    async def respond(reader, writer):
        n_left = n_bytes
        while n_left:
            n_left -= len(await reader.read(min(n_left, 64 * 1024)))
            if pace == "slowly":
                await asyncio.sleep(SLOW_PAUSE_SECONDS)
        writer.write(encode_head("200 OK", HEADERS) + b"whole")
        await end(writer)

    address = open_server(context, answering(respond))
    make = make_upload(n_bytes)
    context.results.append((size, context.run(call(make, address))))
