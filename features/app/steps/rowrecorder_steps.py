"""Steps of rowrecorder.feature."""

import asyncio

from behave import given, then, when
from returns.result import Failure, Success

from lycheepost.app.rowrecorder import RowRecorder
from lycheepost.ports.table import TableUnavailable
from lycheepost.standin.virtualtime import VirtualTimeLoop

CALL_SECONDS = 0.004


class FakeRow:
    """A row whose store may be away.

    Attributes:
        away_until: When the store answers again, by the loop's clock.
    """

    def __init__(self, loop):
        self.loop = loop
        self.value = ""
        self.n_reads = self.n_writes = 0
        self.away_until = 0.0

    def is_away(self):
        return self.loop.time() < self.away_until

    async def read(self):
        self.n_reads += 1
        await asyncio.sleep(CALL_SECONDS)
        return Failure(TableUnavailable("away")) if self.is_away() else self.found()

    def found(self):
        return Success(self.value)

    async def write(self, value):
        self.n_writes += 1
        await asyncio.sleep(CALL_SECONDS)
        if self.is_away():
            return Failure(TableUnavailable("away"))
        self.value = value
        return Success(None)


def row_of(context):
    if "row_loop" not in context:
        context.row_loop = VirtualTimeLoop()
        context.fake_row = FakeRow(context.row_loop)
    return context.fake_row


def pass_time(context, seconds):
    context.row_loop.run_until_complete(asyncio.sleep(seconds))


@given("the row holds {value}")
def step_holds(context, value):
    row_of(context).value = value


@given("the store is away for {seconds:g} s")
@when("the store is away for {seconds:g} s from now on")
def step_away(context, seconds):
    row_of(context).away_until = context.row_loop.time() + seconds


def start(context, is_first_start):
    row = row_of(context)
    context.told, context.tried_seconds = [], []
    began_seconds = context.row_loop.time()
    context.recorder = RowRecorder(
        "test",
        row,
        "",
        is_first_start,
        lambda: context.tried_seconds.append(context.row_loop.time() - began_seconds),
    )
    context.recorder.subscribe(context.told.append)
    context.add_cleanup(end, context.row_loop, context.recorder)
    context.row_loop.run_until_complete(context.recorder.start())
    pass_time(context, 2 * CALL_SECONDS)


def end(loop, recorder):
    loop.run_until_complete(recorder.stop())
    loop.run_until_complete(asyncio.sleep(0.0))
    loop.close()


@when("a daemon starts for the first time")
def step_first(context):
    start(context, True)


@when("a daemon starts")
def step_start(context):
    start(context, False)


@when("it records {value}")
def step_record(context, value):
    context.recorder.record(value)


@when("{seconds:g} s go by")
def step_pass(context, seconds):
    pass_time(context, seconds)


@then("requests have waited {seconds:g} s for the record")
def step_waited(context, seconds):
    [tried_seconds] = context.tried_seconds
    assert tried_seconds <= seconds + 2 * CALL_SECONDS, tried_seconds


@then("it was told {value}")
def step_told(context, value):
    assert context.told == [value], context.told


@then("the row holds {value}")
def step_row_holds(context, value):
    assert context.fake_row.value == value, context.fake_row.value


@then("the row was read {n_reads:d} times and written {n_writes:d} times")
def step_calls(context, n_reads, n_writes):
    row = context.fake_row
    assert (row.n_reads, row.n_writes) == (n_reads, n_writes), (
        row.n_reads,
        row.n_writes,
    )
