"""Steps on streams."""

import asyncio
import socket
import time

import aiohttp
from bed import open_bed, parse_fault, read_directly, wait_until
from behave import given, then, when

from lycheepost.standin.engine import make_engine
from lycheepost.standin.enginerun import RunState
from lycheepost.standin.enginesettings import EngineStandinSettings
from lycheepost.standin.enginetiming import make_speeds
from lycheepost.targets.calls import CHAT_PATH, COMPLETION_PATH


@given("an engine and a relay in front of it")
def given_bed(context):
    context.bed = context.run(open_bed(context.stack))


@given("the engine generates without a pause")
def given_fast_engine(context):
    timing = make_speeds(iteration_seconds=0.0)
    context.bed = context.run(open_bed(context.stack, timing=timing, max_tokens=20000))


@given("a second engine")
def given_second(context):
    context.bed.second = make_engine(EngineStandinSettings())
    context.run(context.bed.second.start())
    context.stack.push_async_callback(context.bed.second.stop)


@given('the engine\'s next answer shows "{fault}"')
def given_fault(context, fault):
    context.bed.engine.faults.add(parse_fault(fault))


@given('the engine\'s next resumes show "{fault}"')
def given_resume_fault(context, fault):
    if fault != "none":
        context.bed.engine.resume_faults.add(parse_fault(fault), 9)


@given("the engine has stopped")
def given_stopped(context):
    context.run(context.bed.engine.stop())


@given('the engine holds the weights "{weights}"')
def given_weights(context, weights):
    context.bed.engine.orders.weights_version = weights


@when("a caller asks for {n:d} tokens over a relay")
def when_relay(context, n):
    run_bounded(context, fetch(context.bed, n, "no"))


@when("a caller asks for {n:d} tokens piece by piece")
def when_direct(context, n):
    run_bounded(context, read_directly(context.bed, n))


@when("a caller asks for {n:d} tokens of a {kind}, to be continued elsewhere")
def when_elsewhere(context, n, kind):
    context.bed.path = CHAT_PATH if kind == "chat" else COMPLETION_PATH
    run_bounded(context, fetch(context.bed, n, "yes"))


def run_bounded(context, reading):
    """Read an answer with a time-out, so that a test fails instead of hanging."""
    context.run(asyncio.wait_for(reading, 15))


async def fetch(bed, n_tokens, elsewhere):
    bed.raw, bed.error, bed.outcome = b"", None, None
    started = time.monotonic()
    async with aiohttp.ClientSession() as session:
        async with session.get(f"{bed.url}/{n_tokens}/{elsewhere}") as response:
            try:
                async for data in response.content.iter_any():
                    bed.raw += data
            except aiohttp.ClientError:
                pass
    bed.seconds = time.monotonic() - started


@when("a caller leaves after {n:d} tokens of {of:d}")
def when_leaves(context, n, of):
    bed = context.bed

    async def leave():
        async with aiohttp.ClientSession() as session:
            async with session.get(f"{bed.url}/{of}/no") as response:
                async for data in response.content.iter_any():
                    bed.raw += data
                    if bed.raw.count(b"\n\n") > n:
                        return

    context.run(leave())


@when("a caller reads nothing of {n:d} tokens for a second")
def when_slow(context, n):
    bed = context.bed
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    context.stack.callback(sock.close)

    async def ask():
        host, _, port = bed.url.removeprefix("http://").partition(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (host, int(port)))
        head = f"GET /{n}/no HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        await loop.sock_sendall(sock, head.encode())
        await wait_until(lambda: bed.engine.records)
        await wait_until(lambda: bed.engine.records[0].state is RunState.COMPLETE)
        await asyncio.sleep(1.0)

    context.sock = sock
    context.run(ask())


@then("the relay buffers less than {n:d} bytes for it")
def then_bounded(context, n):
    buffered = context.bed.transport.get_write_buffer_size()
    assert 0 < buffered < n, buffered


@then("the caller then reads all {n:d} tokens")
def then_reads_all(context, n):
    async def read():
        data = b""
        while more := await context.loop.sock_recv(context.sock, 1 << 20):
            data += more
        return data

    data = context.run(asyncio.wait_for(read(), 20))
    assert data.count(b"\nid: ") + data.count(b"\r\nid: ") >= n, data[-300:]
    assert data.count(b'"content":" ') == n, data.count(b'"content":" ')
    assert b"data: [DONE]" in data
    assert data.endswith(b"0\r\n\r\n"), data[-20:]


@when("the engine's open connections go silent and {seconds:g} seconds pass")
def when_frozen(context, seconds):
    context.bed.engine.freeze()
    context.run(asyncio.sleep(seconds))


@then("the caller has the complete answer, numbered without a gap")
def then_whole(context):
    words, numbers, is_done = context.bed.received()
    assert words == context.bed.expected(12), (words, context.bed.outcome)
    assert numbers == list(range(1, len(numbers) + 1)), numbers
    assert is_done
    n_openings = context.bed.raw.count(b'"role"')
    assert n_openings == (context.bed.path == CHAT_PATH), n_openings


@then("the engine ran {n:d} request")
def then_ran(context, n):
    assert len(context.bed.engine.records) == n


@then('the relay reports "{error}"')
def then_reports(context, error):
    found = type(context.bed.outcome.error).__name__
    assert found == error, context.bed.outcome


@then("the caller has the first {n:d} tokens of its own answer and no end")
def then_prefix(context, n):
    words, numbers, is_done = context.bed.received()
    assert words == context.bed.expected(12)[:n], words
    assert numbers == list(range(1, len(numbers) + 1))
    assert not is_done
    assert context.bed.outcome.error.n_tokens == n


@then('the call fails with "{error}", run "{execution}"')
def then_fails(context, error, execution):
    found = context.bed.error
    assert type(found).__name__ == error, (found, context.bed.outcome)
    assert found.execution.value == execution
    assert context.bed.raw == b""


@then("it failed within {n:g} seconds instead of {bound:g}")
def then_early(context, n, bound):
    assert context.bed.seconds < n, context.bed.seconds


@then("the usage is {n:d} tokens")
def then_usage(context, n):
    assert context.bed.outcome.usage.completion_tokens == n, context.bed.outcome
    assert b'"completion_tokens":%d' % n in context.bed.raw


@then("the engine's request is cancelled before its end")
def then_cancelled(context):
    record = context.bed.engine.records[0]
    context.run(wait_until(lambda: record.state is RunState.CANCELLED))
    assert record.n_tokens < 4000
