"""Steps of adoption.feature."""

import asyncio
import os
import random

from behave import then, when
from returns.result import Failure, Success

from lycheepost.core.routing import CallerLimits, make_route_table
from lycheepost.ports.feed import ChangedRow, Changes, HistoryGone
from lycheepost.ports.table import OutcomeUnknown, TableUnavailable
from lycheepost.standin.rowstore import RowStore
from lycheepost.standin.virtualtime import VirtualTimeLoop
from lycheepost.state.routing import RoutingManager
from lycheepost.state.watch import Watch

LIMITS = CallerLimits(1, 1, 1.0, 1.0)
TABLE = "op"


def n_runs(n):
    return int(os.environ.get("LYCHEEPOST_RUNS", n))


def make_table(version):
    return make_route_table(version, (), (), LIMITS, None, ())


@when("tables come from store and peers in {n:d} seeded orders")
def step_orders(context, n):
    context.steps = []
    for seed in range(n_runs(n)):
        rng = random.Random(seed)
        manager = RoutingManager()
        highest, before = 0, 0
        for _ in range(30):
            version = rng.randint(1, 20)
            source = rng.choice(("store", "peer"))
            manager.adopt(make_table(version), source)
            highest = max(highest, version)
            confirmed = manager.confirmed_seconds
            confirmed_version = rng.randint(1, 20)
            manager.confirm(confirmed_version, rng.uniform(0.0, 100.0))
            has_changed = manager.confirmed_seconds != confirmed
            found = manager.table.version
            context.steps.append(
                (seed, before, found, highest, confirmed_version, has_changed)
            )
            before = found


@then("the version in force never decreases and is the highest one received")
def step_upward(context):
    for seed, before, found, highest, _confirmed_version, _changed in context.steps:
        assert found >= before and found == highest, seed


@then("a confirmation counts only for the version in force")
def step_confirmed(context):
    for seed, _before, found, _highest, confirmed_version, has_changed in context.steps:
        assert not has_changed or confirmed_version == found, seed


class FaultyFeed:
    """A feed over a row store that fails and drops history, as seeded."""

    def __init__(self, store, rng, clock):
        self.store, self.rng, self.clock = store, rng, clock

    async def read_table(self, table):
        return await self.answer(
            [ChangedRow(row.key, row.value) for row in self.store.rows(table)]
        )

    async def wait_changes(self, table, after, wait_seconds):
        if after < self.store.oldest_version:
            return Failure(HistoryGone("gone"))
        rows = await self.store.wait_changes(table, after, wait_seconds)
        if after < self.store.oldest_version:
            return Failure(HistoryGone("gone"))
        return await self.answer([ChangedRow(row.key, row.value) for row in rows])

    async def answer(self, rows):
        version = self.store.version
        await asyncio.sleep(self.rng.choice((0.001, 0.3)))
        match self.rng.randrange(8):
            case 0:
                return Failure(TableUnavailable("down"))
            case 1:
                return Failure(OutcomeUnknown("lost"))
        return Success(Changes(tuple(rows), version))


async def follow(seed, loop, wrong):
    rng = random.Random(seed)
    store = RowStore()
    known = {}
    history = [(loop.now_seconds(), 0)]

    def on_update(seen):
        if seen.is_whole:
            known.clear()
        for row in seen.rows:
            known[row.key] = row.value
        # All changes accepted before the confirmed time must be known.
        accepted = [n for at, n in history if at <= seen.confirmed_seconds]
        if int(known.get("config", b"0")) < accepted[-1]:
            wrong.append(seed)

    watch = Watch(
        FaultyFeed(store, rng, loop), TABLE, loop, lambda: 1.0, on_update, seed
    )
    await watch.start()
    for number in range(1, 40):
        await asyncio.sleep(rng.uniform(0.0, 0.8))
        store.put(TABLE, "config", str(number).encode())
        history.append((loop.now_seconds(), number))
        if rng.random() < 0.2:
            store.drop_history()
    await asyncio.sleep(30.0)
    await watch.stop()
    return int(known["config"]) == 39


@when("a store with faults is followed through {n:d} seeded runs of changes")
def step_followed(context, n):
    context.wrong = []
    context.ended = []
    for seed in range(n_runs(n)):
        loop = VirtualTimeLoop()
        context.ended.append(loop.run_until_complete(follow(seed, loop, context.wrong)))
        loop.close()


@then("each watch knows the newest rows at the end")
def step_newest(context):
    assert all(context.ended), [i for i, ok in enumerate(context.ended) if not ok]


@then("what it reported as confirmed was true at that time")
def step_true(context):
    assert context.wrong == [], sorted(set(context.wrong))
