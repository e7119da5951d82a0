"""Steps of runningtime.feature."""

import asyncio
import time

import uvloop
from behave import given, then, when

from lycheepost.app.ticker import Ticker
from lycheepost.utils.runningtime import running_timeout

LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
MOST_SECONDS = 5.0


@given("a time-out of {seconds:g} s on {loop}")
def step_timeout(context, seconds, loop):
    context.make_loop = LOOPS[loop]
    context.seconds = seconds
    context.tick_seconds = None


@given("a timer that fires each {seconds:g} s")
def step_timer(context, seconds):
    context.tick_seconds = seconds


async def play(context, blocks, comes_seconds):
    """Wait for an event while the loop is blocked; return how the wait ended.

    Args:
        context: The length of the time-out.
        blocks: When each blocking begins, and its length.
        comes_seconds: When the event comes; None for never.
    """
    loop = asyncio.get_running_loop()
    event = asyncio.Event()
    if context.tick_seconds is not None:
        ticker = Ticker(lambda: None, context.tick_seconds)
        await ticker.start()
    for at_seconds, block_seconds in blocks:
        loop.call_later(at_seconds, time.sleep, block_seconds)
    if comes_seconds is not None:
        loop.call_later(comes_seconds, event.set)
    begin_seconds = time.monotonic()
    try:
        async with asyncio.timeout(MOST_SECONDS), running_timeout("x", context.seconds):
            await event.wait()
        return True, time.monotonic() - begin_seconds
    except TimeoutError:
        return False, time.monotonic() - begin_seconds
    finally:
        if context.tick_seconds is not None:
            await ticker.stop()


def run(context, blocks=(), comes_seconds=None):
    loop = context.make_loop()
    try:
        context.is_in_time, context.took_seconds = loop.run_until_complete(
            play(context, blocks, comes_seconds)
        )
    finally:
        loop.close()


@when(
    "the loop is blocked for {block:g} s from {at_seconds:g} s on, and what is waited"
    " for comes {later:g} s after"
)
def step_comes(context, block, at_seconds, later):
    run(context, [(at_seconds, block)], at_seconds + block + later)


@when("the loop is blocked for {block:g} s from {at_seconds:g} s on, and nothing comes")
def step_blocked(context, block, at_seconds):
    run(context, [(at_seconds, block)])


@when("the loop is blocked for {block:g} s of each {every:g} s, and nothing comes")
def step_again(context, block, every):
    run(context, [(0.02 + number * every, block) for number in range(9)])


@when("nothing comes")
def step_nothing(context):
    run(context)


@then("it is in time")
def step_in_time(context):
    assert context.is_in_time, context.took_seconds


@then("it ends after {least:g} s to {most:g} s")
def step_ends(context, least, most):
    assert not context.is_in_time
    assert least - 0.005 <= context.took_seconds <= most, context.took_seconds
