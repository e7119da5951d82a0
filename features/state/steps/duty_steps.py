"""Steps of duties that change hands."""

import asyncio

from behave import given, then, when
from claim_steps import use_virtual_time

from lycheepost.core.ids import DaemonId
from lycheepost.state.duties import DutyRunner
from lycheepost.state.leases import LeaseKeeper

PERIOD_SECONDS = 0.8


def make_runner(context, name, length, margin, watch):
    leases = LeaseKeeper(context.store, context.loop, DaemonId(name), length, margin)

    async def work(current):
        lease = current()
        if lease.is_held(context.loop.now_seconds()):
            context.worked.setdefault(name, context.loop.now_seconds())

    return DutyRunner(
        leases, "duty", lambda: True, work, PERIOD_SECONDS, context.loop, 3, watch
    )


@given(
    "a duty with a lease of {length:g} s and a margin of {margin:g},"
    " looked at every {watch:g} s"
)
def step_duty(context, length, margin, watch):
    use_virtual_time(context)
    context.worked = {}
    context.runners = [
        make_runner(context, name, length, margin, watch) for name in "AB"
    ]


@when("its holder has renewed for {seconds:g} s and dies")
def step_dies(context, seconds):
    first, second = context.runners

    async def run():
        await first.start()
        await asyncio.sleep(0.1)
        await second.start()
        await asyncio.sleep(seconds)
        # Dies: it neither renews nor releases.
        first._task.cancel()
        context.died_seconds = context.loop.now_seconds()
        await asyncio.sleep(20.0)
        await second.stop()

    context.loop.run_until_complete(run())


@then("another daemon has the duty after at least {least:g} s and at most {most:g} s")
def step_taken(context, least, most):
    taken_seconds = context.worked["B"] - context.died_seconds
    # The last renewal lies up to one period and its jitter before the death.
    assert least - 1.1 * PERIOD_SECONDS <= taken_seconds <= most, taken_seconds
