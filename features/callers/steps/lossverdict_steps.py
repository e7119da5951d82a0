"""Steps of lossverdicts.feature."""

import asyncio
import contextlib

from behave import given, then, when

from lycheepost.callers.lossverdicts import LossVerdicts

ANSWER_SECONDS = 0.02


@given("a target that {state}")
def step_target(context, state):
    context.is_same = {"was lost": False, "is still the same": True}[state]
    context.n_asked = 0
    context.n_counted = 0

    async def ask():
        context.n_asked += 1
        await asyncio.sleep(ANSWER_SECONDS)
        return context.is_same

    context.ask = ask


@when("{n:d} requests ask whether it was lost")
def step_ask(context, n):
    async def run():
        verdicts = LossVerdicts()
        asked = (verdicts.is_lost("start", context.ask) for _ in range(n))
        return await asyncio.gather(*asked)

    context.found = asyncio.run(run())


@then("all learn that it was, and it was asked once")
def step_all(context):
    assert all(context.found) and context.n_asked == 1, context.n_asked


@when("a request is cancelled while it asks whether it was lost")
def step_cancel(context):
    def count():
        context.n_counted += 1

    async def request(verdicts):
        try:
            await verdicts.is_lost("start", context.ask)
        except asyncio.CancelledError:
            verdicts.count_later("start", context.ask, count)
            raise

    async def run():
        task = asyncio.create_task(request(LossVerdicts()))
        await asyncio.sleep(ANSWER_SECONDS / 2)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await asyncio.sleep(3 * ANSWER_SECONDS)

    asyncio.run(run())


@then("the loss is counted afterwards")
def step_counted(context):
    assert context.n_counted == 1, context.n_counted


@then("no loss is counted afterwards")
def step_not_counted(context):
    assert context.n_counted == 0, context.n_counted
