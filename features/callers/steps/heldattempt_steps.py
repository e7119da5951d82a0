"""Steps of heldattempts.feature."""

import asyncio

from behave import given, then, when

from lycheepost.callers.heldattempts import AttemptResult, AttemptRun, HeldAttempts
from lycheepost.callers.reading import AttemptTrace
from lycheepost.callers.searches import Searches

N_TURNS = 10
"""Turns of the loop after which everything has happened that was due."""


async def settle():
    for _ in range(N_TURNS):
        await asyncio.sleep(0)


class Attempt:
    """An attempt that takes its turn to write as a part of its answer arrives."""

    def __init__(self, context):
        self.arrived = asyncio.Event()
        self.may_end = asyncio.Event()
        self.has_written = False
        self.has_ended = False
        self._held = context.held
        self._on_turn = lambda: context.searches.interrupt()
        self.run = AttemptRun(AttemptTrace(), context.held, self._serve)

    async def _serve(self, run):
        try:
            await self.arrived.wait()
            self._held.end_others(run.trace)
            self._on_turn()
            self.has_written = True
            await self.may_end.wait()
            return AttemptResult(None, "served")
        finally:
            self.has_ended = True


async def search(context):
    context.n_searches += 1
    raise ConnectionError("no target")


def make_searches(context):
    return Searches("request", context.held, lambda _end: search(context), lambda: None)


async def make_held(context):
    """Make an attempt whose target fell silent, after which its request goes on."""
    context.held = HeldAttempts()
    context.n_searches = 0
    context.searches = make_searches(context)
    context.stack.push_async_callback(context.held.end)
    context.silent = Attempt(context)
    await settle()
    context.silent.run.hold()
    assert await context.silent.run.wait() is None


@given("an attempt that is held, and a newer one")
def step_two(context):
    async def begin():
        await make_held(context)
        context.newer = Attempt(context)
        context.waiting = asyncio.ensure_future(context.newer.run.wait())
        context.stack.push_async_callback(context.newer.run.end)
        await settle()

    context.run(begin())


@when("parts of both answers arrive at once")
def step_at_once(context):
    async def arrive():
        context.silent.arrived.set()
        context.newer.arrived.set()
        await settle()
        await asyncio.wait({context.waiting}, timeout=0.0)

    context.run(arrive())


@then("only the held one writes")
def step_one_writes(context):
    assert context.silent.has_written
    assert not context.newer.has_written


@then("the newer one has ended")
def step_newer_ended(context):
    assert context.newer.has_ended
    assert not context.silent.has_ended


@given("an attempt that is held, and a search that has found no target")
def step_search(context):
    async def begin():
        await make_held(context)
        context.serving = asyncio.ensure_future(context.searches.run(search(context)))
        await settle()
        assert not context.serving.done()
        context.n_searches = 0

    context.run(begin())


@when("its target is silent once more, and goes on at once")
def step_go_on(context):
    async def go_on():
        context.silent.run.hold()
        context.silent.arrived.set()
        await settle()

    context.run(go_on())


@then("no search follows")
def step_no_search(context):
    assert context.n_searches == 0, context.n_searches


@then("its answer ends the request")
def step_ends(context):
    context.silent.may_end.set()
    context.run(asyncio.wait_for(context.serving, 1.0))


@when("the request ends, and its end is cancelled at once")
def step_end_cancelled(context):
    async def end():
        ending = asyncio.ensure_future(context.held.end())
        await asyncio.sleep(0)
        ending.cancel()
        await settle()

    context.run(end())


@then("the held one has ended")
def step_held_ended(context):
    assert context.silent.has_ended
