"""Steps of erarecorder.feature."""

import asyncio
import re
from dataclasses import dataclass, field

from behave import given, then, when
from returns.result import Failure

from lycheepost.app.erarecorder import EraRecorder
from lycheepost.core.clock import FakeClock
from lycheepost.core.ids import StoreEra
from lycheepost.ports.table import Row, TableUnavailable
from lycheepost.standin.table import make_table_model
from lycheepost.standin.tableclient import TableClient
from lycheepost.standin.virtualtime import run_virtual
from lycheepost.state.settledera import SettledEraRow

REWRITE_SECONDS = 2.0
REPORT_SECONDS = 1.0
KEY = "settled-era"


@dataclass
class World:
    """The store, its restores and the daemons of a scenario.

    Attributes:
        restores: When the store is restored, and the time of the copy.
        away: From when to when the store answers no read.
    """

    restores: list = field(default_factory=lambda: [(0.0, 0.0)])
    others: list = field(default_factory=list)
    away: tuple = (0.0, 0.0)
    row: bytes | None = None
    model: object = field(default_factory=make_table_model)
    n_calls: int = 0
    began_seconds: float = 0.0

    def now_seconds(self):
        return asyncio.get_running_loop().time() - self.began_seconds


@dataclass
class Table(TableClient):
    """A client that counts calls, and gets no answers while the store is away."""

    world: World = None

    async def read(self, keys):
        self.world.n_calls += 1
        start, end = self.world.away
        if start <= self.world.now_seconds() < end:
            return Failure(TableUnavailable("away"))
        return await super().read(keys)


@dataclass
class Daemon:
    """One daemon's recorder and what it reported, with times."""

    recorder: EraRecorder
    client: Table
    settled: list = field(default_factory=list)
    read: list = field(default_factory=list)


def make_daemon(world, is_first_start=False):
    client = Table(world.model, FakeClock(), world=world)
    daemon = Daemon(None, client)
    daemon.recorder = EraRecorder(
        SettledEraRow(client),
        REWRITE_SECONDS,
        is_first_start,
        lambda era: daemon.settled.append((world.now_seconds(), era)),
        lambda: daemon.read.append(world.now_seconds()),
    )
    return daemon


def begin(daemon):
    era = StoreEra(daemon.client.model.n_restores)
    daemon.client._note_response()
    daemon.recorder.note_first(era)


async def run_others(world, daemons):
    """Start the other daemons at their times."""
    for start_seconds in sorted(set(world.others)):
        await asyncio.sleep(max(0.0, start_seconds - world.now_seconds()))
        for other in world.others:
            if other == start_seconds:
                daemon = make_daemon(world)
                begin(daemon)
                daemons.append(daemon)


async def run_restores(world, daemons):
    """Restore the store at the given times; the running daemons see it at once."""
    copies = {}
    moments = sorted({at for pair in world.restores for at in pair})
    for at_seconds in moments:
        await asyncio.sleep(at_seconds - world.now_seconds())
        copies[at_seconds] = world.model.copy()
        for restored_seconds, copied_seconds in world.restores:
            if restored_seconds == at_seconds:
                world.model.restore(copies[copied_seconds])
                for daemon in daemons:
                    daemon.client._note_response()
                    daemon.recorder.note_restored(StoreEra(world.model.n_restores))


async def play(world, start_seconds, is_first_start):
    world.began_seconds = asyncio.get_running_loop().time()
    if world.row is not None:
        world.model.rows[KEY] = Row(KEY, world.row, 1)
    daemons = []
    # Those that run before the restore do so at time 0, before it.
    tasks = [asyncio.ensure_future(run_others(world, daemons))]
    await asyncio.sleep(0)
    tasks.append(asyncio.ensure_future(run_restores(world, daemons)))
    await asyncio.sleep(start_seconds)
    daemon = make_daemon(world, is_first_start)
    begin(daemon)
    await asyncio.sleep(2 * REWRITE_SECONDS)
    for task in tasks:
        task.cancel()
    for other in (*daemons, daemon):
        await other.recorder.stop()
    return daemon


def run(context, start_seconds, is_first_start=False):
    context.start_seconds = start_seconds
    context.world.model = make_table_model()
    context.daemon = run_virtual(play(context.world, start_seconds, is_first_start))


def world_of(context):
    if not hasattr(context, "world"):
        context.world = World()
    return context.world


@given("another daemon that {other}")
def step_other(context, other):
    started = re.fullmatch(r"started at (.*) s", other)
    if started:
        world_of(context).others = [float(started.group(1))]
    else:
        world_of(context).others = [0.0] if other == "ran before the restore" else []


@given("{n:d} daemons that ran before the restore")
def step_others(context, n):
    world_of(context).others = [0.0] * n


@given("a second restore at {at:g} s")
def step_second(context, at):
    world_of(context).restores.append((at, at))


@given("a second restore at {at:g} s from a copy of {copied:g} s")
def step_second_copy(context, at, copied):
    world_of(context).restores.append((at, copied))


@given("the store is away from {start:g} s to {end:g} s for all but the era")
def step_away(context, start, end):
    world_of(context).away = (start, end)


@given("the store's row of settled eras is damaged")
def step_damaged(context):
    world_of(context).row = b"{"


@when("a daemon starts at {start:g} s")
def step_starts(context, start):
    world_of(context)
    run(context, start)


@when("a fleet starts for the first time at {start:g} s")
def step_first_start(context, start):
    world_of(context)
    run(context, start, is_first_start=True)


@when("{seconds:g} s have passed")
def step_pass(context, seconds):
    run(context, seconds)


@when("a daemon starts at a store that was never restored")
def step_never(context):
    world_of(context).restores = []
    run(context, 1.0)


@then("it reports the era as {state}, and reports that it has read")
def step_reports(context, state):
    daemon = context.daemon
    before_seconds = context.start_seconds + REPORT_SECONDS
    late = [at for at in daemon.read if at >= before_seconds]
    assert not late, (daemon.read, before_seconds)
    assert len(daemon.read) == 1, daemon.read
    early = [era for at, era in daemon.settled if at < before_seconds]
    assert bool(early) == (state == "settled"), daemon.settled


@then("it reports that it has read before {at:g} s")
def step_read_before(context, at):
    assert len(context.daemon.read) == 1 and context.daemon.read[0] < at


@then("it reports the era as settled before {at:g} s")
def step_settled_before(context, at):
    assert context.daemon.settled and context.daemon.settled[0][0] < at


@then("the store's row names era {era:d}")
def step_row(context, era):
    assert context.world.model.rows[KEY].value == str(era).encode()


@then("it was written {n:d} time")
def step_written(context, n):
    assert context.world.model.n_rows_written == n, context.world.model.n_rows_written


@then("it has made no calls, and reports that it has read")
def step_no_calls(context):
    assert context.world.n_calls == 0
    assert len(context.daemon.read) == 1
