"""Steps of brokenanswers.feature."""

import asyncio
import contextlib
import json
import socket

import uvloop
from behave import given, then, when
from endless_steps import ALL_CLIENTS, CALL_SECONDS
from returns.result import Success

from lycheepost.decide.startverdict import StartAnswer
from lycheepost.platform import headers as names
from lycheepost.standin.rawheads import HeadForm, encode_form, encode_head

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
HEADERS = {
    "Content-Type": "application/json",
    names.ATTEMPT_ID: "a-1",
    names.SEAL: "0",
    names.TARGET: "i-1",
}
INTERIM = encode_head("103 Early Hints", {"Link": "</a>"})


@given("the event loop is {loop}")
def step_loop(context, loop):
    context.loop.close()
    context.loop = LOOPS[loop]()
    context.run = context.loop.run_until_complete
    context.results = []


def open_server(context, serve):
    """Return the address of a server."""
    listening = socket.socket()
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
    return json.dumps(ALL_CLIENTS[client_name][1]).encode()


@when("{client} is called at a server that answers in each invalid form")
def step_each(context, client):
    make = ALL_CLIENTS[client][0]
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
    make, _document = ALL_CLIENTS[client]
    body = document_of(client)
    data = encode_head("200 OK", HEADERS | {"Content-Length": str(len(body))}) + body
    if packets == "after interim heads":
        data = INTERIM * 3 + data
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
    make = ALL_CLIENTS["a request"][0]
    for form in (HeadForm.FOLDED_FIELD, HeadForm.INTERIM_FOLDED):
        data = encode_form(form, HEADERS, b"{}")
        address = open_server(context, writing(data, n))
        context.results.append((form, context.run(call(make, address))))
