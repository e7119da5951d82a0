"""Steps of lossverdicts.feature."""

import asyncio
import contextlib

from behave import given, then, when

from lycheepost.callers.lossverdicts import FIRST_REPEAT_SECONDS, LossVerdicts
from lycheepost.core.starts import StartVerdict

ANSWER_SECONDS = 0.02
VERDICTS = {
    "was lost": StartVerdict.ENDED,
    "is still the same": StartVerdict.SAME,
    "no one can judge": StartVerdict.UNKNOWN,
}


def set_verdict(context, state):
    context.verdict = VERDICTS[state]


@given("a target that {state}")
def step_target(context, state):
    set_verdict(context, state)
    context.n_asked = 0
    context.n_counted = 0

    async def ask():
        context.n_asked += 1
        await asyncio.sleep(ANSWER_SECONDS)
        return context.verdict

    context.ask = ask


@when("{n:d} requests ask whether it was lost")
def step_ask(context, n):
    async def run():
        verdicts = LossVerdicts()
        asked = (verdicts.ask("start", context.ask) for _ in range(n))
        return await asyncio.gather(*asked)

    context.found = asyncio.run(run())


@then("all learn that it was, and it was asked once")
def step_all(context):
    assert set(context.found) == {StartVerdict.ENDED}, context.found
    assert context.n_asked == 1, context.n_asked


@when("a request is cancelled while it asks whether it was lost")
def step_cancel(context):
    def count():
        context.n_counted += 1

    async def request(verdicts):
        try:
            await verdicts.ask("start", context.ask)
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


def count_later(context, verdicts):
    def count():
        context.n_counted += 1

    verdicts.count_later("start", context.ask, count)


@when("its loss is to be counted, and it turns out that it {state}")
def step_turns_out(context, state):
    async def run():
        count_later(context, LossVerdicts())
        await asyncio.sleep(3 * ANSWER_SECONDS)
        assert context.n_asked == 1 and not context.n_counted
        set_verdict(context, state)
        await asyncio.sleep(FIRST_REPEAT_SECONDS + 3 * ANSWER_SECONDS)

    asyncio.run(run())


@when("its loss is to be counted, and the daemon stops")
def step_stops(context):
    async def run():
        verdicts = LossVerdicts()
        count_later(context, verdicts)
        await asyncio.sleep(3 * ANSWER_SECONDS)
        await verdicts.stop()
        context.n_left = len(asyncio.all_tasks()) - 1

    asyncio.run(run())


@then("no question is left")
def step_none_left(context):
    assert context.n_left == 0, context.n_left
