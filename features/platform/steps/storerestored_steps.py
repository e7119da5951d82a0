"""Steps of storerestored.feature."""

import asyncio
import itertools

from behave import given, then, when
from deployment import make_configuration
from request_steps import start

from lycheepost.platform.store import OWN_TABLE

WEIGHTS_SECONDS = 0.5
OUTAGE_SECONDS = 0.4
REWRITTEN = ("op", "servers")
APPLY_SECONDS = 2.0
"""The platform's bound for a configuration that was written."""
NOWHERE = "http://127.0.0.1:9"


def run(context, work):
    return context.loop.run_until_complete(work)


async def publish_often(context):
    for version in itertools.count(2):
        context.version = version
        context.deployment.publish_weights(version)
        await asyncio.sleep(WEIGHTS_SECONDS)


async def restore(context, copy, away_seconds=OUTAGE_SECONDS):
    store = context.deployment.store.store
    store.faults.is_down = True
    await asyncio.sleep(away_seconds)
    before = {table: store.rows(table) for table in REWRITTEN}
    store.restore(copy)
    for table, rows in before.items():
        store.write_again(table, rows)
    store.faults.is_down = False


def holder_index(context):
    for index, daemon in enumerate(context.deployment.daemons):
        if daemon.duty_status()["is_held"]:
            return index
    raise AssertionError("no daemon holds the duty")


async def kill_holder(context):
    """End the holder without its release of the lease."""
    index = holder_index(context)
    daemon = context.deployment.daemons.pop(index)
    context.deployment.nodes.pop(index)
    daemon.store.base = NOWHERE
    await daemon.stop()


def begin_fleet(context, n, **options):
    """Start the daemons after a copy of a store that they have not written to."""
    start(context, n_daemons=0, is_configured=False, **options)
    deployment = context.deployment
    deployment.configure(make_configuration())
    context.first_copy = deployment.store.store.copy()

    async def begin():
        for _ in range(n):
            await deployment.add_daemon(is_first_start=True)
        await deployment.until(deployment.all_ready)

    run(context, begin())


@given("a deployment with {n:d} daemons that started for the first time")
def step_first_fleet(context, n):
    begin_fleet(context, n)
    context.before = own_rows(context)


def own_rows(context):
    """Return the values of the daemons' rows and of their shared keys."""
    rows = context.deployment.store.store.rows(OWN_TABLE)
    return {
        row.key: row.value
        for row in rows
        if row.key == "peer-keys" or row.key.startswith("member/")
    }


@then("within {seconds:g} s the store holds the same keys and the rows of both daemons")
def step_same_rows(context, seconds):
    assert len(context.before) == 3, context.before

    async def is_written():
        return own_rows(context) == context.before

    run(context, context.deployment.until(is_written, within_seconds=seconds))


@when("all daemons are killed and the store comes back from a copy before their start")
def step_all_killed(context):
    deployment = context.deployment

    async def kill():
        for daemon in deployment.daemons:
            daemon.store.base = NOWHERE
            await daemon.stop()
        deployment.daemons.clear()
        deployment.nodes.clear()
        await restore(context, context.first_copy)

    run(context, kill())


@when("{n:d} more daemon starts")
@when("{n:d} more daemons start")
def step_start(context, n):
    async def begin():
        for _ in range(n):
            await context.deployment.add_daemon()

    run(context, begin())


@given("{n:d} daemons and {engines:d} engines whose weights change twice a second")
def step_fleet(context, n, engines):
    begin_fleet(context, n, n_engines=engines)
    deployment = context.deployment
    context.publisher = context.loop.create_task(publish_often(context))
    engine = deployment.group("llm")[0]

    async def is_ordered():
        return len(engine.state.orders) >= 3

    run(context, deployment.until(is_ordered, within_seconds=20))


@when("the store is away for {away:g} s and comes back from a copy {age:g} s old")
def step_away(context, away, age):
    async def play():
        copy = context.deployment.store.store.copy()
        await asyncio.sleep(age - away)
        await restore(context, copy, away)

    run(context, play())


@when(
    "the holder is killed and {seconds:g} s later the store comes back from a copy"
    " before it"
)
def step_killed(context, seconds):
    async def play():
        copy = context.deployment.store.store.copy()
        await kill_holder(context)
        await asyncio.sleep(seconds)
        await restore(context, copy)

    run(context, play())


@when("the store comes back at once from a copy before the first start of the daemons")
def step_first_start(context):
    run(context, restore(context, context.first_copy, 0.0))


@when("the store comes back twice from copies before the death of the holder")
def step_twice(context):
    async def play():
        copy = context.deployment.store.store.copy()
        await kill_holder(context)
        await asyncio.sleep(7.0)
        await restore(context, copy)
        await asyncio.sleep(1.0)
        await restore(context, copy)

    run(context, play())


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    run(context, asyncio.sleep(seconds))
    context.publisher.cancel()


def orders_of(engine):
    """Return time, holder and fencing number of each order, in order of arrival."""
    return [
        (at_seconds, order["holder"], order["fence"])
        for at_seconds, order in zip(
            engine.state.order_seconds, engine.state.orders, strict=True
        )
    ]


def pairs(context):
    for engine in context.deployment.group("llm"):
        yield from itertools.pairwise(orders_of(engine))


@then("no engine got a lower fencing number after a higher one")
def step_rising(context):
    lower = [(a, b) for a, b in pairs(context) if b[2] < a[2]]
    assert not lower, lower


@then("no fencing number belongs to two holders")
def step_one_holder(context):
    holders = {}
    for engine in context.deployment.group("llm"):
        for _, holder, number in orders_of(engine):
            holders.setdefault(number, set()).add(holder)
    doubled = {number: names for number, names in holders.items() if len(names) > 1}
    assert not doubled, doubled


@then("orders of two holders are at least {seconds:g} s apart")
def step_apart(context, seconds):
    close = [
        (a, b) for a, b in pairs(context) if a[1] != b[1] and b[0] - a[0] < seconds
    ]
    assert not close, close


@then("all engines soon hold the newest weights")
def step_newest(context):
    deployment = context.deployment

    async def is_done():
        versions = {engine.state.version for engine in deployment.group("llm")}
        return versions == {context.version}

    run(context, deployment.until(is_done))


@when("the operator removes a key, and the store comes back from a copy before that")
def step_key_removed(context):
    deployment = context.deployment
    store = deployment.store.store

    async def play():
        copy = store.copy()
        deployment.configure(make_configuration(2, keys=("k-one",)))
        await asyncio.sleep(OUTAGE_SECONDS)
        servers = store.rows("servers")
        store.restore(copy)
        store.write_again("servers", servers)

    run(context, play())


@when("{n:d} more daemon starts before the operator has written again")
def step_start_early(context, n):
    step_start(context, n)


@when("a client asks the new daemon with the removed key for {seconds:g} s")
def step_ask_removed(context, seconds):
    context.answers = run(context, ask_for(context, "k-two", seconds))


async def ask_for(context, key, seconds):
    """Send look-ups to the last daemon, one after the other; return the statuses."""
    deployment = context.deployment
    until_seconds = context.loop.time() + seconds
    statuses = []
    while context.loop.time() < until_seconds:
        statuses.append(await ask_last(deployment, key))
        await asyncio.sleep(0.02)
    return statuses


async def ask_last(deployment, key):
    index = len(deployment.daemons) - 1
    answer = await deployment.ask(
        "GET", "/look/1", deployment.headers(key), index=index
    )
    return answer.status


@then("none of its requests ran")
def step_none_ran(context):
    assert context.answers and set(context.answers) == {503}, set(context.answers)
    assert not context.deployment.runs()


@when("the operator has written again")
def step_rewritten(context):
    context.deployment.configure(make_configuration(2, keys=("k-one",)))


@then("the new daemon soon refuses the key, and serves the other one")
def step_refuses_key(context):
    deployment = context.deployment

    async def is_refused():
        return await ask_last(deployment, "k-two") == 401

    run(context, deployment.until(is_refused, within_seconds=APPLY_SECONDS))
    assert run(context, ask_last(deployment, "k-one")) == 200


@when("{seconds:g} s have passed and {n:d} more daemon starts")
def step_start_later(context, seconds, n):
    run(context, asyncio.sleep(seconds))
    step_start(context, n)


@then("the first answer of the new daemon to a key is a success")
def step_first_answer(context):
    assert run(context, ask_last(context.deployment, "k-one")) == 200
