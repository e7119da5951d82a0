"""Steps of storeera.feature."""

import asyncio

from aiohttp import web
from behave import given, then, when
from returns.result import Failure, Success

from lycheepost.platform.models.storestandin import StoreStandin
from lycheepost.platform.settings import Endpoint
from lycheepost.platform.store import OWN_TABLE, StoreClient
from lycheepost.platform.storeera import ERA_HEADER
from lycheepost.ports.feed import HistoryGone
from lycheepost.ports.table import (
    ABSENT_VERSION,
    Condition,
    TableConflict,
    TableRestored,
    Transaction,
    Write,
)

KEY = "row"


class FixedEraStandin(StoreStandin):
    """States one value of the header; None for no header."""

    header: str | None = None

    def _with_era(self, answer: web.StreamResponse) -> web.StreamResponse:
        if self.header is not None:
            answer.headers[ERA_HEADER] = self.header
        return answer


def run(context, work):
    return context.loop.run_until_complete(work)


def start(context, standin):
    context.standin = standin
    standin.store.put("servers", "first", b"x")
    run(context, standin.start())
    context.closers.append(standin.stop)
    host, _, port = standin.url.rpartition("/")[2].rpartition(":")
    context.client = StoreClient(Endpoint(host, int(port)))
    run(context, context.client.start())
    context.closers.append(context.client.stop)


def write(context, version):
    transaction = Transaction((Condition(KEY, version),), (Write(KEY, b"own"),))
    return run(context, context.client.commit(transaction))


@given("a client of the store that has read the servers' table")
def step_read(context):
    start(context, StoreStandin())
    context.copy = context.standin.store.copy()
    context.standin.store.put("servers", "second", b"x")
    context.version = (
        run(context, context.client.read_table("servers")).unwrap().version
    )


@given("a client of the store that has written a row")
def step_written(context):
    start(context, StoreStandin())
    context.copy = context.standin.store.copy()
    context.version = write(context, ABSENT_VERSION).unwrap().versions[0]


@given("a client of a store whose era is {header}")
def step_unusable(context, header):
    standin = FixedEraStandin()
    standin.header = header
    start(context, standin)


@given("a client of a store that states no era")
def step_no_era(context):
    start(context, FixedEraStandin())


def restore_and_pass(context):
    store = context.standin.store
    store.restore(context.copy)
    for number in range(5):
        store.put("servers", f"later-{number}", b"x")


@when("the store is restored and has passed the client's version again")
def step_passed(context):
    restore_and_pass(context)
    context.found = run(
        context, context.client.wait_changes("servers", context.version, 0.1)
    )


@when("the store is restored and changes while the client waits for changes")
def step_held(context):
    async def play():
        call = asyncio.ensure_future(
            context.client.wait_changes("servers", context.version, 1.0)
        )
        await asyncio.sleep(0.1)
        restore_and_pass(context)
        return await call

    context.found = run(context, play())


@then("the client is told to read the whole table")
def step_gone(context):
    assert isinstance(context.found, Failure), context.found
    assert isinstance(context.found.failure(), HistoryGone), context.found


@then("a later call returns the changes after that")
def step_later(context):
    version = run(context, context.client.read_table("servers")).unwrap().version
    context.standin.store.put("servers", "last", b"x")
    found = run(context, context.client.wait_changes("servers", version, 0.1))
    assert [row.key for row in found.unwrap().rows] == ["last"], found


@when("the store is restored and another daemon's row gets the same version")
def step_same(context):
    store = context.standin.store
    store.restore(context.copy)
    store.put(OWN_TABLE, KEY, b"another's")


@when("the client has seen a response since")
def step_seen(context):
    run(context, context.client.read((KEY,))).unwrap()


@then("its next conditional write is a conflict, without a call")
def step_conflict(context):
    n_calls = context.client.n_calls
    outcome = write(context, context.version)
    assert isinstance(outcome.failure(), TableConflict), outcome
    assert outcome.failure().keys == (KEY,)
    assert context.client.n_calls == n_calls


@then("its next conditional write fails as made across a restore")
def step_across(context):
    outcome = write(context, context.version)
    assert isinstance(outcome.failure(), TableRestored), outcome


@when(
    "the store is restored while a read's response is on its way and another call ends"
)
def step_late(context):
    async def play():
        faults = context.standin.store.faults
        faults.answer_delay_seconds = 0.3
        read = asyncio.ensure_future(context.client.read((KEY,)))
        await asyncio.sleep(0.1)
        faults.answer_delay_seconds = 0.0
        context.standin.store.restore(context.copy)
        await context.client.read((KEY,))
        return await read

    context.found = run(context, play())


@then("the read fails as made across a restore")
def step_read_across(context):
    assert isinstance(context.found.failure(), TableRestored), context.found


@when("it reads twice")
def step_twice(context):
    context.found = [run(context, context.client.read((KEY,))) for _ in range(2)]


@then("both reads succeed and the era is 0")
def step_both(context):
    assert all(isinstance(found, Success) for found in context.found), context.found
    assert context.client.era.era == 0
