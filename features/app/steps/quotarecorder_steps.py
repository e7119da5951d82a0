"""Steps of quotarecorder.feature."""

import asyncio
import random
from dataclasses import dataclass, field

from behave import given, then, when
from returns.result import Failure, Success

from lycheepost.app.quotarecorder import QuotaRecorder
from lycheepost.core.ids import CustomerId, DaemonId
from lycheepost.core.quotas import Quota, QuotaTolerance, QuotaUnit
from lycheepost.decide.fleetquota import FleetQuotas, QuotaUpdate
from lycheepost.ports.table import Committed, Row, TableUnavailable
from lycheepost.standin.virtualtime import run_virtual
from lycheepost.state.quotarows import QuotaRows, decode_record

CUSTOMER = CustomerId("one")
PEER = DaemonId("peer")
UNITS = 500.0
STEP_SECONDS = 0.05


@dataclass
class FakeTable:
    """One row, the times at which it was written, and an outage."""

    value: bytes | None = None
    written_seconds: list[float] = field(default_factory=list)
    away_until_seconds: float = 0.0
    now_seconds: float = 0.0

    def is_away(self):
        return self.now_seconds < self.away_until_seconds

    async def read(self, keys):
        if self.is_away():
            return Failure(TableUnavailable("away"))
        if self.value is None:
            return Success((None,))
        return Success((Row(keys[0], self.value, 1),))

    async def commit(self, transaction):
        if self.is_away():
            return Failure(TableUnavailable("away"))
        [write] = transaction.writes
        self.value = write.value
        self.written_seconds.append(self.now_seconds)
        return Success(Committed((1,)))


@dataclass
class Daemon:
    """A daemon with one peer, on a clock that all daemons of a scenario share."""

    table: FakeTable
    rate: float
    start: int
    is_switched_off: bool
    n_reads: int = 0

    def __post_init__(self):
        now_seconds = self.table.now_seconds
        started_seconds = now_seconds - (60.0 if self.start == 1 else 0.0)
        self.quotas = FleetQuotas(self.start, started_seconds)
        self.quotas.set_tolerance(QuotaTolerance(0.1, 10_000.0, 8.0))
        self.quotas.set_fleet(77)
        quota = Quota(QuotaUnit.TOKENS, self.rate, self.rate, 1.0)
        self.quotas.set_quotas({CUSTOMER: quota}, now_seconds)
        self.recorder = QuotaRecorder(
            self.quotas,
            QuotaRows(self.table),
            self.table_clock(),
            random.Random(1).random,
            self.note_read,
            self.is_switched_off,
        )

    def note_read(self):
        self.n_reads += 1

    def table_clock(self):
        table = self.table

        class Clock:
            def now_seconds(self):
                return table.now_seconds

        return Clock()

    def meet_peer(self):
        now_seconds = self.table.now_seconds
        self.quotas.set_entry([PEER], now_seconds)
        self.quotas.receive(PEER, QuotaUpdate(9, True, False, False, {}), now_seconds)

    async def run(self, factor, seconds, meets_peer=True):
        """Ask for ``factor`` times the quota; return the units admitted."""
        admitted = owed = 0.0
        for _ in range(round(seconds / STEP_SECONDS)):
            await asyncio.sleep(STEP_SECONDS)
            self.table.now_seconds += STEP_SECONDS
            if meets_peer:
                self.meet_peer()
            owed += factor * self.rate * STEP_SECONDS
            while owed >= UNITS:
                owed -= UNITS
                waits = self.quotas.take(CUSTOMER, UNITS, self.table.now_seconds)
                admitted += UNITS * (waits is None)
        return admitted


def play(context, *steps):
    """Run each step of the current daemon in virtual time, with its recorder."""

    async def run():
        await context.daemon.recorder.start()
        found = [await step for step in steps]
        await context.daemon.recorder.stop()
        return found

    return run_virtual(run())


@given(
    "a daemon whose customer asks for {factor:g} times its quota of {rate:d} units"
    " a second"
)
def step_daemon(context, factor, rate, is_switched_off=False):
    context.fake_table = FakeTable()
    context.factor = factor
    context.daemon = Daemon(context.fake_table, rate, 1, is_switched_off)


@given(
    "a daemon without the record, whose customer asks for {factor:g} times its quota"
    " of {rate:d} units a second"
)
def step_without(context, factor, rate):
    step_daemon(context, factor, rate, is_switched_off=True)


@when("it runs for {seconds:g} s and is killed")
@when("it runs for {seconds:g} s")
def step_runs(context, seconds):
    play(context, context.daemon.run(context.factor, seconds))
    context.ran_seconds = seconds


@when("it runs for {seconds:g} s while the store is away for {away:g} s")
def step_runs_away(context, seconds, away):
    context.fake_table.away_until_seconds = away
    step_runs(context, seconds)


@when("its customer asks for nothing for {seconds:d} s")
def step_quiet(context, seconds):
    play(context, context.daemon.run(0.0, seconds))
    context.quiet_until_seconds = context.fake_table.now_seconds


@when("{seconds:d} more seconds go by")
def step_more(context, seconds):
    play(context, context.daemon.run(0.0, seconds))


@when("one without the record starts")
def step_starts_without(context):
    step_starts(context, is_switched_off=True)


@when("another one starts")
def step_starts(context, is_switched_off=False):
    rate = context.daemon.rate
    context.daemon = Daemon(context.fake_table, rate, 2, is_switched_off)
    [context.left, context.admitted] = play(
        context, read_left(context.daemon), context.daemon.run(5.0, 0.5, False)
    )


async def read_left(daemon):
    """Return what is left once the record was read."""
    while not daemon.n_reads:
        await asyncio.sleep(0.001)
    return daemon.quotas.left(CUSTOMER)


@when("another one starts while the store is away for {seconds:g} s")
def step_starts_away(context, seconds):
    table = context.fake_table
    table.away_until_seconds = table.now_seconds + seconds
    context.daemon = Daemon(table, context.daemon.rate, 2, False)
    [context.left, _] = play(
        context, read_left(context.daemon), context.daemon.run(0.0, 2.0, False)
    )


@then("the table was written at most {n:d} times a second")
def step_written_rate(context, n):
    n_writes = len(context.fake_table.written_seconds)
    assert 0 < n_writes <= n * context.ran_seconds, n_writes


@then("the table was written {n:d} times")
def step_written(context, n):
    assert len(context.fake_table.written_seconds) == n, (
        context.fake_table.written_seconds
    )


@then("the new daemon has less than {units:d} units left")
def step_less(context, units):
    assert context.left < units, context.left


@then("the new daemon has more than {units:d} units left")
def step_more_left(context, units):
    assert context.left > units, context.left


@then("it admits at most the {units:d} units that are refilled in its first 0.5 s")
def step_admits(context, units):
    assert 0.0 < context.admitted <= units, context.admitted


@then("the last record is empty and was written before these")
def step_empty(context):
    assert decode_record(context.fake_table.value) == {}
    last_seconds = context.fake_table.written_seconds[-1]
    assert last_seconds <= context.quiet_until_seconds, last_seconds


@then("requests wait for the first attempt only")
def step_first_attempt(context):
    assert context.daemon.n_reads == 1
    assert context.left > 0.0


@then("2 s later the record is in force")
def step_in_force(context):
    meter = context.daemon.quotas._meters[CUSTOMER]
    assert meter.recorded is not None
    assert meter.pass_share() < 0.5, meter.pass_share()


@then("the last record holds the customer")
def step_holds(context):
    assert CUSTOMER in decode_record(context.fake_table.value)


@when("a record of {text} is read")
def step_read(context, text):
    context.record = decode_record(b"" if text == "nothing" else text.encode())


@then("it is empty")
def step_is_empty(context):
    assert context.record == {}, context.record
