"""Steps of awaiting.feature."""

import asyncio
import itertools

from behave import given, then, when
from returns.result import Success

from lycheepost.callers.awaiting import await_headers

WAIT_SECONDS = 0.01


class CountedAnswer:
    """Counts how often it is closed."""

    def __init__(self):
        self.n_closed = 0

    def close(self):
        self.n_closed += 1


async def hold_through(answer, gate):
    """Return the response despite a cancellation, as an attempt that has just ended."""
    try:
        await gate.wait()
    except asyncio.CancelledError:
        return Success(answer)
    return Success(answer)


@given("an attempt whose response arrives as its caller {what}")
def step_moment(context, what):
    context.answer = CountedAnswer()
    context.what = what


@given("an attempt whose response arrives in time")
def step_in_time(context):
    context.answer = CountedAnswer()
    context.what = "waits"


async def wait(context):
    gate = asyncio.Event()
    send = hold_through(context.answer, gate)
    waiting = asyncio.ensure_future(
        await_headers(send, itertools.repeat(WAIT_SECONDS), lambda: None)
    )
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    if context.what == "leaves":
        gate.set()
        waiting.cancel()
    elif context.what == "is answered elsewhere":
        await asyncio.sleep(2 * WAIT_SECONDS)
        waiting.cancel()
    elif context.what == "waits":
        gate.set()
    try:
        context.got = await waiting
    except asyncio.CancelledError:
        context.got = None
    for _ in range(5):
        await asyncio.sleep(0)


@when("its response headers are awaited")
def step_wait(context):
    asyncio.run(wait(context))


@then("its response is closed")
def step_closed(context):
    assert context.got is None
    assert context.answer.n_closed == 1, context.answer.n_closed


@then("its response is open and is returned")
def step_open(context):
    assert context.got.unwrap() is context.answer
    assert context.answer.n_closed == 0
