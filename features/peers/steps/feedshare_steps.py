"""Steps of feedshare.feature."""

import asyncio
import os
import random

from behave import given, then, when
from feedcell import KEY, LARGE_FLEET_TIMES, SMALL_FLEET_TIMES, TABLE, Cell

from lycheepost.ports.feed import ChangedRow, Changes
from lycheepost.standin.virtualtime import VirtualTimeLoop
from lycheepost.state.feedmirror import FeedMirror

AGE_STEP_SECONDS = 0.1


def n_runs(n):
    return int(os.environ.get("LYCHEEPOST_RUNS", n))


async def follow_with_faults(loop, n, seed, wrong, is_tree=False):
    rng = random.Random(seed)
    history = [(loop.now_seconds(), 0)]

    def check(follower, seen):
        accepted = [number for at, number in history if at <= seen.confirmed_seconds]
        if int(follower.known.get(KEY, b"0")) < accepted[-1]:
            wrong.append(seed)

    cell = Cell(loop, n, rng, check, is_tree)
    await cell.start()
    for number in range(1, 40):
        await asyncio.sleep(rng.uniform(0.0, 0.8))
        cell.store.put(TABLE, KEY, str(number).encode())
        history.append((loop.now_seconds(), number))
        cell.network.delay_seconds = rng.choice((0.001, 0.001, 0.2, 2.0))
        if rng.random() < 0.2:
            cell.store.drop_history()
        if rng.random() < 0.2:
            cell.source = rng.choice(cell.names)
        if rng.random() < 0.2:
            cell.network.isolate(rng.choice(cell.names))
        if rng.random() < 0.3:
            cell.network.heal()
    cell.network.heal()
    cell.network.delay_seconds = 0.001
    await asyncio.sleep(30.0)
    await cell.stop()
    return all(int(follower.known[KEY]) == 39 for follower in cell.followers)


@when(
    "{n:d} daemons follow a store with faults through {runs:d} seeded runs of changes"
)
def step_faults(context, n, runs):
    run_seeds(context, n, range(n_runs(runs)))


@when("{n:d} daemons follow a store with faults through the seeds 33 and 2158")
def step_failed_seeds(context, n):
    run_seeds(context, n, (33, 2158))


@when("{n:d} daemons of a tree follow a store with faults through {runs:d} seeded runs")
def step_tree_faults(context, n, runs):
    run_seeds(context, n, range(n_runs(runs)), is_tree=True)


async def lose_store(loop, n, seconds):
    cell = Cell(loop, n, is_tree=True, times=LARGE_FLEET_TIMES)
    cell.store.put(TABLE, KEY, b"1")
    await cell.start()
    await asyncio.sleep(10.0)
    before = cell.n_calls
    for follower in cell.followers:
        follower.feed.is_cut = True
    await asyncio.sleep(seconds)
    n_calls = cell.n_calls - before
    for follower in cell.followers:
        follower.feed.is_cut = False
    cell.store.put(TABLE, KEY, b"2")
    await asyncio.sleep(2.5)
    n_behind = sum(item.known[KEY] != b"2" for item in cell.followers)
    await cell.stop()
    return n_calls, n_behind


@when("{n:d} daemons of a tree lose the store for {seconds:d} s")
def step_lose_store(context, n, seconds):
    loop = VirtualTimeLoop()
    work = lose_store(loop, n, seconds)
    context.n_calls, context.n_behind = loop.run_until_complete(work)
    loop.close()


@then("they ask it at most {most:d} times during the outage")
def step_lost_calls(context, most):
    assert 0 < context.n_calls <= most, context.n_calls


@then("all of them know a change {seconds:g} s after its return")
def step_none_behind(context, seconds):
    assert context.n_behind == 0, context.n_behind


async def remove_after_outage(loop, n, how, seconds, remove_after_seconds):
    """Return how long before a removal each daemon last knew the store to be away."""
    times = SMALL_FLEET_TIMES if n < 40 else LARGE_FLEET_TIMES
    ages = {}

    def note(follower, seen):
        if any(row.value is None for row in seen.rows):
            ages[id(follower)] = loop.now_seconds() - seen.outage_ended_seconds

    cell = Cell(loop, n, on_confirmed=note, is_tree=n > 1, times=times)
    cell.store.put(TABLE, KEY, b"1")
    await cell.start()
    await asyncio.sleep(10.0)
    for follower in cell.followers:
        follower.feed.is_cut, follower.feed.hangs = how == "away", how == "silent"
    await asyncio.sleep(seconds)
    for follower in cell.followers:
        follower.feed.is_cut = follower.feed.hangs = False
    await asyncio.sleep(remove_after_seconds)
    cell.store.put(TABLE, KEY, None)
    await asyncio.sleep(4.0)
    await cell.stop()
    return [ages.get(id(follower), float("inf")) for follower in cell.followers]


@when("{n:d} daemons of a tree lose a store that is {how} for {seconds:g} s")
def step_lose_store_how(context, n, how, seconds):
    context.outage = n, how, seconds


@when("a row is removed {seconds:g} s after its return")
def step_row_removed(context, seconds):
    loop = VirtualTimeLoop()
    work = remove_after_outage(loop, *context.outage, seconds)
    context.ages_seconds = loop.run_until_complete(work)
    loop.close()


@then("all of them know that it was away until at most {most:g} s before the removal")
def step_outage_known(context, most):
    assert max(context.ages_seconds) <= most, sorted(context.ages_seconds)


def run_seeds(context, n, seeds, is_tree=False):
    context.wrong, context.ended = [], []
    for seed in seeds:
        loop = VirtualTimeLoop()
        work = follow_with_faults(loop, n, seed, context.wrong, is_tree)
        context.ended.append(loop.run_until_complete(work))
        loop.close()


@then("each of them knows the newest rows at the end")
def step_newest(context):
    assert all(context.ended), [i for i, ok in enumerate(context.ended) if not ok]


@then("no state was assumed confirmed that was not")
def step_true(context):
    assert context.wrong == [], sorted(set(context.wrong))


async def follow_calmly(loop, n, seconds):
    cell = Cell(loop, n)
    await cell.start()
    await asyncio.sleep(seconds)
    await cell.stop()
    return cell.n_calls


@when("{n:d} daemons follow a calm store for {seconds:d} s")
def step_calm(context, n, seconds):
    counts = []
    for number in (n, 1):
        loop = VirtualTimeLoop()
        counts.append(loop.run_until_complete(follow_calmly(loop, number, seconds)))
        loop.close()
    context.n_calls, context.n_alone = counts


@then("the store is asked at most {most:g} times as often as by one daemon alone")
def step_asked(context, most):
    assert context.n_calls <= most * context.n_alone, (context.n_calls, context.n_alone)


async def confirmed_ages(loop, since_seconds, seconds):
    """Return how long ago a new daemon's data was confirmed, at many times."""
    cell = Cell(loop, 1)
    await cell.start()
    await asyncio.sleep(since_seconds)
    ages = []
    while len(ages) < seconds / AGE_STEP_SECONDS:
        confirmed_seconds = cell.followers[0].watch.confirmed_seconds
        ages.append(loop.now_seconds() - confirmed_seconds)
        await asyncio.sleep(AGE_STEP_SECONDS)
    await cell.stop()
    return ages


@when("a daemon has just started before a calm store")
def step_just_started(context):
    context.loop = VirtualTimeLoop()


@then(
    "from {since:g} s on its data was confirmed at most {age:g} s ago,"
    " for {seconds:d} s"
)
def step_ages(context, since, age, seconds):
    work = confirmed_ages(context.loop, since, seconds)
    ages = context.loop.run_until_complete(work)
    context.loop.close()
    assert max(ages) <= age, [round(item, 2) for item in ages[:20]]


@given("{n:d} daemons that follow a calm store")
def step_cell(context, n):
    context.loop = VirtualTimeLoop()
    context.cell = Cell(context.loop, n)
    context.cell.store.put(TABLE, "target", b"here")
    context.loop.run_until_complete(context.cell.start())
    wait(context, 10.0)


def wait(context, seconds):
    context.loop.run_until_complete(asyncio.sleep(seconds))


@when("the daemon that is asked {fault}")
def step_fault(context, fault):
    cell = context.cell
    first = cell.followers[0]
    match fault:
        case "goes on as before":
            pass
        case "dies":
            context.loop.run_until_complete(first.stop())
            cell.network.isolate(cell.source)
        case "is cut off from the store":
            first.feed.is_cut = True
        case "is slow to receive and answer":
            cell.network.delay_seconds = 0.7


@when("a row changes")
def step_row(context):
    context.cell.store.put(TABLE, "target", b"leaving")


@then("every other daemon knows the row within {seconds:g} s")
def step_knows(context, seconds):
    wait(context, seconds)
    others = context.cell.followers[1:]
    assert all(item.known["target"] == b"leaving" for item in others)
    context.loop.run_until_complete(context.cell.stop())


@given("a copy of a table with the changes of {n:d} answers")
def step_copy(context, n):
    context.mirror = FeedMirror()
    context.mirror.apply(Changes((), 1, is_whole=True), None, 0.0)
    for version in range(2, n + 2):
        row = ChangedRow(f"row-{version % 7}", str(version).encode())
        context.mirror.apply(Changes((row,), version), version - 1, 0.0)


@when("an answer is applied that starts after a later version")
def step_gap(context):
    version = context.mirror.version
    context.mirror.apply(Changes((), version + 9), version + 8, 0.0)


@when("it is asked for the changes after version {after:d}")
def step_after(context, after):
    context.changes = context.mirror.changes_after(after)
    context.after = after


@then("it returns all rows, marked as the whole table")
def step_whole(context):
    assert context.changes.is_whole and len(context.changes.rows) == 7


@then("it returns the changes since then")
def step_since(context):
    assert not context.changes.is_whole
    assert len(context.changes.rows) == context.mirror.version - context.after


@then("it returns nothing")
def step_nothing(context):
    assert context.changes is None
