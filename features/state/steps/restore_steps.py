"""Steps of restores.feature."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from behave import then, when
from holder_steps import ORDER_SECONDS, Machine, Run, make_notify
from returns.result import Failure

from lycheepost.ports.table import OutcomeUnknown, Transaction, Write
from lycheepost.standin.table import make_table_model
from lycheepost.standin.tableclient import TableClient
from lycheepost.standin.virtualtime import VirtualTimeLoop

NAMES = ("A", "B", "C", "D")
AFTER_SECONDS = 25.0
CALL_SECONDS = 1.0


@dataclass
class Path:
    """A daemon's way to the table: frozen with its daemon, or cut."""

    client: TableClient
    running: asyncio.Event = field(default_factory=asyncio.Event)
    is_cut: bool = False

    def __post_init__(self):
        self.running.set()

    @property
    def era(self):
        return self.client.era

    async def read(self, keys):
        return await self.pass_on(self.client.read, keys)

    async def commit(self, transaction):
        return await self.pass_on(self.client.commit, transaction)

    async def pass_on(self, call, argument):
        await self.running.wait()
        if self.is_cut:
            await asyncio.sleep(CALL_SECONDS)
            return Failure(OutcomeUnknown("cut off"))
        answer = await call(argument)
        await self.running.wait()
        return answer


class RestoredMachine(Machine):
    """A daemon with its own path to the table; a frozen one sends no order."""

    def __init__(self, run, name, table, loop, notify):
        self.path = Path(TableClient(table, loop))
        super().__init__(run, name, self.path, loop, notify)

    async def order(self):
        while True:
            await asyncio.sleep(ORDER_SECONDS)
            await self.path.running.wait()
            self.send_order()


class Play:
    """Four daemons and a table that is restored."""

    def __init__(self, run, loop, waits):
        self.run, self.loop, self.waits = run, loop, waits
        self.rng = random.Random(run.seed)
        self.table = make_table_model(loop, 1e9, 1e9)
        self.first_copy = self.table.copy()
        self.machines = {}
        self.notify = make_notify(self.machines, loop, run.seed, NAMES)

    async def start(self, name):
        machine = RestoredMachine(self.run, name, self.table, self.loop, self.notify)
        if not self.waits:
            machine.leases._earlier_eras_seconds = lambda era: 0.0
        self.machines[name] = machine
        await machine.start()

    def holder(self):
        held = [item for item in self.machines.values() if item.holds()]
        return held[0] if held else self.machines["A"]

    async def write_rows(self, n):
        for number in range(n):
            row = Write(f"other/{number}", b"x")
            await self.table.commit(Transaction((), (row,)))

    async def restore(self, copy):
        self.table.faults.is_down = True
        await asyncio.sleep(self.rng.choice((0.0, 0.3, 1.0, 3.0)))
        self.table.restore(copy)
        self.table.faults.is_down = False

    async def play(self, case):
        for name in NAMES:
            await self.start(name)
        await asyncio.sleep(self.rng.uniform(4.0, 9.0))
        copy = self.table.copy()
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        await self.disturb(case, copy)
        self.run.ended_seconds = self.loop.now_seconds()
        await asyncio.sleep(AFTER_SECONDS)
        for machine in self.machines.values():
            machine.kill()

    async def disturb(self, case, copy):
        holder, rng = self.holder(), self.rng
        match case:
            case "nothing else happens":
                await self.restore(copy)
            case "the holder is killed":
                holder.kill()
                await asyncio.sleep(rng.uniform(0.0, 9.0))
                await self.restore(copy)
                await self.start(holder.name)
            case "the holder is terminated":
                await holder.stop()
                await asyncio.sleep(rng.uniform(0.0, 9.0))
                await self.restore(copy)
                await self.start(holder.name)
            case "the holder is frozen":
                holder.path.running.clear()
                await asyncio.sleep(rng.uniform(0.0, 9.0))
                await self.restore(copy)
                await asyncio.sleep(rng.uniform(0.0, 9.0))
                holder.path.running.set()
            case "the holder is cut off":
                holder.path.is_cut = True
                await asyncio.sleep(rng.uniform(0.0, 1.5))
                await self.restore(copy)
                await asyncio.sleep(rng.uniform(0.0, 9.0))
                holder.path.is_cut = False
            case "half of the daemons are cut off":
                for name in NAMES[:2]:
                    self.machines[name].path.is_cut = True
                await asyncio.sleep(rng.uniform(0.0, 6.0))
                await self.restore(copy)
                await asyncio.sleep(rng.uniform(0.0, 9.0))
                for name in NAMES[:2]:
                    self.machines[name].path.is_cut = False
            case "the store is restored twice":
                await self.restore(copy)
                await asyncio.sleep(rng.uniform(0.0, 9.0))
                await self.restore(copy)
            case "the counter is far behind":
                await self.write_rows(500)
                await self.restore(copy)
            case "the counter passes what daemons knew":
                await self.restore(copy)
                await self.write_rows(rng.randint(1, 30))
            case "writes under way are performed late":
                faults = self.table.faults
                faults.n_late_writes, faults.late_seconds = 4, rng.uniform(0.5, 9.0)
                await asyncio.sleep(rng.uniform(0.0, 2.0))
                await self.restore(copy)
            case "the copy is from before the first start":
                await self.restore(self.first_copy)
            case "all daemons are restarted":
                for machine in self.machines.values():
                    machine.kill()
                await self.restore(rng.choice((copy, self.first_copy)))
                for name in NAMES:
                    await self.start(name)
            case _:
                raise ValueError(case)


def make_plays(context, n, case, waits):
    context.runs = []
    for seed in range(n):
        loop = VirtualTimeLoop()
        run = Run(seed)
        loop.run_until_complete(Play(run, loop, waits).play(case))
        loop.close()
        context.runs.append(run)


@when("the store is restored {n:d} times: {case}")
def step_restored(context, n, case):
    make_plays(context, n, case, waits=True)


@when("the store is restored {n:d} times without a wait: {case}")
def step_without_wait(context, n, case):
    make_plays(context, n, case, waits=False)


def find_lower(run):
    return [
        (one, other)
        for one, other in itertools.pairwise(run.orders)
        if other[2] < one[2]
    ]


@then("no fencing number is lower than one before")
def step_rising(context):
    for run in context.runs:
        assert not find_lower(run), (run.seed, find_lower(run)[0])


@then("the duty is held again within {seconds:g} s")
def step_held_again(context, seconds):
    for run in context.runs:
        after = [at for at, _, _ in run.orders if at > run.ended_seconds]
        assert after and after[0] - run.ended_seconds <= seconds, (run.seed, after[:1])


@then("an order is out of turn")
def step_harm(context):
    found = [
        (one, other)
        for run in context.runs
        for one, other in itertools.pairwise(run.orders)
        if one[1] != other[1] and other[0] - one[0] < 3.0
    ]
    assert found
