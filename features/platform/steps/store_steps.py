"""Steps of store.feature."""

from behave import given, then, when
from returns.result import Failure

from lycheepost.platform.models.storestandin import StoreStandin
from lycheepost.platform.settings import Endpoint
from lycheepost.platform.store import OWN_TABLE, StoreClient
from lycheepost.platform.storewire import WireRow, encode_value
from lycheepost.standin.rowstore import RowChange, RowStore


class ChangingStore(RowStore):
    """A store in which another daemon writes a row before each response."""

    def rows(self, table):
        self.put(table, "other", b"x")
        return super().rows(table)


def start(context, standin, n):
    rows = [RowChange(OWN_TABLE, f"r/{number:04}", b"x") for number in range(n)]
    standin.store.apply(rows)
    context.loop.run_until_complete(standin.start())
    context.closers.append(standin.stop)
    host, _, port = standin.url.rpartition("/")[2].rpartition(":")
    context.client = StoreClient(Endpoint(host, int(port)))
    context.loop.run_until_complete(context.client.start())
    context.closers.append(context.client.stop)
    context.last = f"r/{n - 1:04}"
    context.standin = standin


@given("a store with {n:d} rows")
def step_store(context, n):
    start(context, StoreStandin(), n)


@given("a store with {n:d} rows that changes at every call")
def step_changing(context, n):
    standin = StoreStandin()
    standin.store = ChangingStore()
    start(context, standin, n)


@when("the first and the last row are read together with one that is missing")
def step_read(context):
    keys = ("r/0000", context.last, "r/0000a")
    context.found = context.loop.run_until_complete(context.client.read(keys))


@then("the first two are found and the third is not")
def step_found(context):
    first, last, missing = context.found.unwrap()
    assert first.key == "r/0000" and last.key == context.last
    assert missing is None


@then("the read fails and gives the reason")
def step_fails(context):
    assert isinstance(context.found, Failure), context.found
    assert "moved" in context.found.failure().reason


@given("the feed holds rows of another part, one with the key of a known row")
def step_other_parts(context):
    context.standin.other_parts = [
        WireRow("r/0000", OWN_TABLE, "other", encode_value(b"y"), 1),
        WireRow("new", OWN_TABLE, "other", encode_value(b"y"), 1),
        WireRow("r/0001", OWN_TABLE, "other", "", 1, deleted=True),
    ]


@when("the changes since the start are read")
def step_changes(context):
    work = context.client.wait_changes(OWN_TABLE, 0, 0.0)
    context.found = context.loop.run_until_complete(work)


@then("they are those of the {n:d} rows")
def step_own_changes(context, n):
    rows = context.found.unwrap().rows
    assert [(row.key, row.value) for row in rows] == [
        (f"r/{number:04}", b"x") for number in range(n)
    ]
