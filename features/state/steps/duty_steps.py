"""Steps of duties that change hands."""

import asyncio

from behave import given, then, when
from claim_steps import use_virtual_time

from lycheepost.core.ids import DaemonId
from lycheepost.ports.table import Condition, Transaction, Write
from lycheepost.state.duties import DutyRunner
from lycheepost.state.leases import LeaseManager

PERIOD_SECONDS = 0.8


def make_runner(context, name, length, margin, watch):
    leases = LeaseManager(context.store, context.loop, DaemonId(name), length, margin)

    async def work(current):
        lease = current()
        if lease.is_held(context.loop.now_seconds()):
            context.worked.setdefault(name, context.loop.now_seconds())

    return DutyRunner(
        leases, "duty", lambda: True, work, PERIOD_SECONDS, context.loop, 3, watch
    )


@given(
    "a duty with a lease of {length:g} s and a margin of {margin:g},"
    " polled every {watch:g} s"
)
def step_duty(context, length, margin, watch):
    use_virtual_time(context)
    context.terms = (length, margin, watch)


@when("its holder dies, at eight different moments of its renewals")
def step_holder_dies(context):
    context.taken = [
        context.loop.run_until_complete(take_over(context, 10.0 + 0.6 * index))
        for index in range(8)
    ]


async def take_over(context, alive_seconds):
    """Return the time from the holder's death to the takeover of the duty."""
    context.worked = {}
    first, second = (make_runner(context, name, *context.terms) for name in "AB")
    await first.start()
    await asyncio.sleep(0.1)
    await second.start()
    await asyncio.sleep(alive_seconds)
    # The holder dies: it neither renews nor releases the lease.
    first._task.cancel()
    died_seconds = context.loop.now_seconds()
    await asyncio.sleep(20.0)
    await second.stop()
    return context.worked["B"] - died_seconds


@then("another daemon has the duty after at least {least:g} s and at most {most:g} s")
def step_taken(context, least, most):
    # The last renewal is up to one period plus jitter before the death.
    assert min(context.taken) >= least - 1.1 * PERIOD_SECONDS, context.taken
    assert max(context.taken) <= most, context.taken


def write_row(context, value):
    """Overwrite the duty's row."""
    (row,) = context.loop.run_until_complete(
        context.store.read(("lease/duty",))
    ).unwrap()
    condition = Condition("lease/duty", 0 if row is None else row.version)
    transaction = Transaction((condition,), (Write("lease/duty", value),))
    context.loop.run_until_complete(context.store.commit(transaction)).unwrap()


@given("a lease whose row cannot be decoded")
def step_unreadable(context):
    use_virtual_time(context)
    write_row(context, b'{"held_by": "another release"}')
    context.worked = {}


@when("a daemon is a candidate for its duty for {seconds:g} s")
def step_ready(context, seconds):
    context.runner = make_runner(context, "A", 3.6, 1.65, 0.7)
    context.closers.append(context.runner.stop)
    context.loop.run_until_complete(context.runner.start())
    context.loop.run_until_complete(asyncio.sleep(seconds))


@then("it has not done the duty's work")
def step_idle(context):
    assert context.worked == {}


@when("the row is removed")
def step_row_removed(context):
    write_row(context, None)
    context.removed_seconds = context.loop.now_seconds()


@then("it does the duty's work within {seconds:g} s")
def step_works(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))
    assert context.worked["A"] - context.removed_seconds <= seconds
