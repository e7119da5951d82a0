"""Steps of holders.feature."""

import asyncio
import math
import os
import random
from dataclasses import dataclass, field

from behave import then, when

from lycheepost.core.ids import DaemonId
from lycheepost.standin.table import make_table_model
from lycheepost.standin.virtualtime import VirtualTimeLoop
from lycheepost.state.duties import DutyRunner
from lycheepost.state.leases import LeaseManager

LENGTH_SECONDS, MARGIN_SECONDS, REST_SECONDS = 3.6, 1.65, 3.3
PERIOD_SECONDS, MAX_POLL_SECONDS = 0.8, 0.7
ORDER_SECONDS = 0.1
NAMES = ("A", "B", "C")


@dataclass
class Run:
    """Result of one seeded run: time, holder and fencing number of each order."""

    seed: int
    orders: list = field(default_factory=list)
    ended_seconds: float = 0.0
    reads_per_second: float = 0.0


class Machine:
    """One daemon that sends orders continuously while it holds the lease."""

    def __init__(self, run, name, table, clock, notify=lambda name, report: None):
        self.run, self.name, self.clock = run, name, clock
        leases = LeaseManager(
            table, clock, DaemonId(name), LENGTH_SECONDS, MARGIN_SECONDS, REST_SECONDS
        )
        self.leases = leases
        self.current = None
        self.runner = DutyRunner(
            leases,
            "weights",
            lambda: True,
            self.work,
            PERIOD_SECONDS,
            clock,
            run.seed,
            MAX_POLL_SECONDS,
            lambda: self.last_order_seconds,
            on_held=lambda lease: notify(
                name, lambda other: other.note_renewed("weights", lease.version)
            ),
            on_released=lambda _: notify(
                name, lambda other: other.note_released("weights")
            ),
        )
        self.last_order_seconds = -math.inf
        self.task = None

    async def work(self, current):
        self.current = current

    async def start(self):
        await self.runner.start()
        self.task = asyncio.ensure_future(self.order())

    async def order(self):
        while True:
            await asyncio.sleep(ORDER_SECONDS)
            self.send_order()

    def send_order(self):
        if self.current is None:
            return
        try:
            lease = self.current()
        except RuntimeError:
            return
        now_seconds = self.clock.now_seconds()
        if lease.is_held(now_seconds):
            number = lease.fencing_number
            self.last_order_seconds = now_seconds
            self.run.orders.append((now_seconds, self.name, number))

    def holds(self):
        return self.runner._lease is not None

    def kill(self):
        self.task.cancel()
        self.runner._task.cancel()

    async def stop(self):
        self.task.cancel()
        await self.runner.stop()


def set_random_fault(rng, faults):
    faults.clear()
    match rng.randrange(6):
        case 0:
            faults.n_lost_answers = rng.randint(1, 3)
        case 1:
            faults.n_late_writes = rng.randint(1, 2)
            faults.late_seconds = rng.uniform(0.5, 6.0)
        case 2:
            faults.delay_seconds = rng.uniform(0.05, 0.6)
        case 3:
            faults.is_down = True


def make_notify(machines, loop, seed, names=NAMES):
    """Return a function that delivers a holder's report late, or not at all."""
    rng = random.Random(seed)

    def notify(name, report):
        for other in names:
            if other == name or rng.random() < 0.2:
                continue
            delay_seconds = rng.choice((0.001, 0.001, 0.3, 2.0))
            loop.call_later(delay_seconds, lambda to=other: report(machines[to].leases))

    return notify


async def run_with_faults(run, loop, seconds, reports_renewals=False):
    rng = random.Random(run.seed)
    table = make_table_model(loop)
    machines = {}
    notify = (
        make_notify(machines, loop, run.seed)
        if reports_renewals
        else lambda name, report: None
    )
    for name in NAMES:
        machines[name] = Machine(run, name, table, loop, notify)
    for machine in machines.values():
        await machine.start()
    end_seconds = loop.now_seconds() + seconds
    while loop.now_seconds() < end_seconds:
        await asyncio.sleep(rng.uniform(0.2, 4.0))
        set_random_fault(rng, table.faults)
        name = rng.choice(NAMES)
        if rng.random() < 0.5:
            machines[name].kill()
        else:
            await machines[name].stop()
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        machines[name] = Machine(run, name, table, loop, notify)
        await machines[name].start()
    for machine in machines.values():
        machine.kill()


@when("{n:d} seeded runs of {seconds:d} s are made with three daemons")
def step_runs(context, n, seconds):
    make_runs(context, range(int(os.environ.get("LYCHEEPOST_RUNS", n))), seconds)


@when("the seeded run {seed:d} of {seconds:d} s is made with three daemons")
def step_seed(context, seed, seconds):
    make_runs(context, (seed,), seconds)


@when(
    "{n:d} seeded runs of {seconds:d} s are made with three daemons "
    "that report renewals to each other"
)
def step_reporting_runs(context, n, seconds):
    seeds = range(int(os.environ.get("LYCHEEPOST_RUNS", n)))
    make_runs(context, seeds, seconds, reports_renewals=True)


def count_reads(table):
    """Return a list that gets an entry with each read of the table."""
    reads, read = [], table.read

    async def counted(keys):
        reads.append(keys)
        return await read(keys)

    table.read = counted
    return reads


async def lose_holder(run, loop):
    table = make_table_model(loop)
    reads = count_reads(table)
    machines = {}

    def notify(name, report):
        for other in NAMES:
            if other != name:
                loop.call_later(0.001, lambda to=other: report(machines[to].leases))

    for name in NAMES:
        machines[name] = Machine(run, name, table, loop, notify)
        await machines[name].start()
    await asyncio.sleep(4.0)
    reads.clear()
    await asyncio.sleep(20.0)
    run.reads_per_second = len(reads) / 20.0
    holder = next(item for item in machines.values() if item.holds())
    holder.kill()
    run.ended_seconds = loop.now_seconds()
    await asyncio.sleep(10.0)
    for machine in machines.values():
        machine.kill()


@when("the holder among three daemons that report renewals to each other dies")
def step_lose_holder(context):
    loop = VirtualTimeLoop()
    context.run = Run(0)
    loop.run_until_complete(lose_holder(context.run, loop))
    loop.close()


@then("another daemon sends orders within {seconds:g} s")
def step_taken_over(context, seconds):
    run = context.run
    after = [at for at, _, _ in run.orders if at > run.ended_seconds]
    assert after and after[0] - run.ended_seconds <= seconds, after[:1]


@then("while it lived the lease was read less than once in {seconds:g} s")
def step_reads(context, seconds):
    assert context.run.reads_per_second < 1.0 / seconds, context.run.reads_per_second


def make_runs(context, seeds, seconds, reports_renewals=False):
    context.runs = []
    for seed in seeds:
        loop = VirtualTimeLoop()
        run = Run(seed)
        loop.run_until_complete(run_with_faults(run, loop, seconds, reports_renewals))
        loop.close()
        context.runs.append(run)


@then("orders of different holders are at least {least:g} s apart in each")
def step_apart(context, least):
    for run in context.runs:
        for (before, one, _), (after, other, _) in zip(
            run.orders, run.orders[1:], strict=False
        ):
            assert one == other or after - before >= least, (
                run.seed,
                one,
                other,
                before,
                after,
            )


@then("each fencing number has one holder")
def step_numbers(context):
    for run in context.runs:
        holders = {}
        for _, name, number in run.orders:
            assert holders.setdefault(number, name) == name, (run.seed, number)


@then("in most runs the duty changed hands several times")
def step_changed(context):
    counts = [
        sum(a[1] != b[1] for a, b in zip(run.orders, run.orders[1:], strict=False))
        for run in context.runs
    ]
    assert sorted(counts)[len(counts) // 2] >= 2, counts


async def stop_in_turn(run, loop, gap_seconds, seconds):
    table = make_table_model(loop)
    machines = {name: Machine(run, name, table, loop) for name in NAMES}
    for machine in machines.values():
        await machine.start()
    await asyncio.sleep(2.0)
    for index in range(int(seconds / gap_seconds)):
        name = NAMES[index % len(NAMES)]
        holders = [item for item in NAMES if machines[item].holds()]
        # The holder of the lease is stopped, also during its pause.
        name = holders[0] if holders else name
        await machines[name].stop()
        await asyncio.sleep(gap_seconds)
        machines[name] = Machine(run, name, table, loop)
        await machines[name].start()
    for machine in machines.values():
        machine.kill()
    run.ended_seconds = loop.now_seconds()


@when("three daemons are stopped in turn, one each {gap:g} s, for {seconds:g} s")
def step_roll(context, gap, seconds):
    loop = VirtualTimeLoop()
    run = Run(0)
    loop.run_until_complete(stop_in_turn(run, loop, gap, seconds))
    loop.close()
    context.runs = [run]


@then("no {seconds:g} s pass without an order")
def step_ordered(context, seconds):
    (run,) = context.runs
    times = [*(at for at, _, _ in run.orders), run.ended_seconds]
    gaps = [after - at for at, after in zip(times, times[1:], strict=False)]
    assert max(gaps) <= seconds, max(gaps)
