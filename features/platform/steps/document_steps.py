"""Steps of documents.feature."""

import asyncio
import json

import msgspec
import structlog
from behave import given, then, when
from multidict import CIMultiDict, CIMultiDictProxy
from returns.result import Failure, Success
from structlog.testing import capture_logs

from lycheepost.core.clock import FakeClock
from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import (
    CustomerId,
    Incarnation,
    ModelId,
    RequestId,
    SoftwareVersion,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.core.routing import KeyHolder, Prompt, PromptPart, RouteKind
from lycheepost.decide.promptlevels import CacheScope, prompt_levels
from lycheepost.generated.engine import CacheEvent, CacheEventKind
from lycheepost.platform import headers as names
from lycheepost.platform.cacheevents import _decode
from lycheepost.platform.dialect import ServerDialect
from lycheepost.platform.documents import decode_configuration, decode_weights
from lycheepost.platform.following import (
    MAX_LOGGED_CHARACTERS,
    MAX_UNUSABLE_LOGGED,
    ServerFollower,
)
from lycheepost.platform.registrations import decode_server
from lycheepost.platform.requestdecoding import decode_prompt
from lycheepost.platform.storewire import WireRows, encode_value
from lycheepost.ports.feed import ChangedRow
from lycheepost.state.targetlist import TargetList
from lycheepost.state.watch import TableUpdate
from lycheepost.targets.cachewatch import (
    CLEARED,
    CacheEventBatch,
    CacheSource,
    CacheWatch,
)
from lycheepost.targets.forwardcall import ForwardCall

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "a.example",
            "prefix": "/x/",
            "kind": "streaming",
            "timeout_ms": 5000,
            "target_latency_ms": 600,
            "priority": 1,
            "traffic_split": [
                {"service": "one", "weight": 90},
                {"service": "two", "weight": 10},
            ],
            "max_attempts": 2,
            "resumable": True,
            "target_gap_ms": 500,
            "a_new_field": 1,
        }
    ],
    "services": [
        {
            "name": "one",
            "health_path": "/h",
            "max_conns": 5,
            "engine": {
                "slots": 64,
                "kv_capacity_tokens": 1000,
                "models": [{"name": "m0"}],
            },
        },
        {"name": "two"},
        {"name": "keep", "kv_store_addr": "1.2.3.4:5", "zone": "z"},
    ],
    "tenants": [
        {"name": "t1", "api_keys": ["k1", "k2"], "priority": 2, "isolated": True}
    ],
}


@when("a configuration with all fields and some new ones is decoded")
def step_decode(context):
    context.found = decode_configuration(json.dumps(CONFIGURATION).encode()).unwrap()


@then("its routes, groups, keys and stores match the configuration")
def step_check(context):
    found = context.found
    (route,) = found.by_host["a.example"]
    assert route.kind is RouteKind.STREAM and route.is_repeatable
    assert route.timeout_seconds == 5.0 and route.objective_seconds == 0.6
    assert route.gap_seconds == 0.5 and route.max_runs == 2
    assert [(s.target_group, s.weight) for s in route.shares] == [
        ("one", 90),
        ("two", 10),
    ]
    assert set(found.groups) == {"one", "two"}
    assert found.groups[TargetGroupId("one")].engine.models == ("m0",)
    assert found.groups[TargetGroupId("two")].engine is None
    assert [store.address for store in found.kv_stores] == ["1.2.3.4:5"]
    sharing = f"{hash_bytes(msgspec.json.encode(['t1'])):016x}"
    holder = KeyHolder(CustomerId("t1"), 2, True, sharing)
    assert found.key_holders == {"k1": holder, "k2": holder}


ENTRY = {
    "service": "one",
    "address": "1.2.3.4:5",
    "zone": "z",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 1,
}


def make_entry(**changes):
    return json.dumps(ENTRY | changes).encode()


NESTED = b"[" * 100_000 + b"]" * 100_000

FAULTY = {
    ("configuration", "is no JSON"): b"{",
    ("configuration", "has no version"): b'{"routes":[],"services":[]}',
    ("configuration", "has an unknown kind"): json.dumps(
        CONFIGURATION | {"routes": [CONFIGURATION["routes"][0] | {"kind": "odd"}]}
    ).encode(),
    ("configuration", "is a list"): b"[]",
    ("server entry", "is no JSON"): b"\xff",
    ("server entry", "has no address"): json.dumps(
        {key: value for key, value in ENTRY.items() if key != "address"}
    ).encode(),
    ("server entry", "has slots of text"): make_entry(slots="many"),
    ("server entry", "has no slot"): make_entry(slots=0),
    ("server entry", "has no zone"): json.dumps(
        {key: value for key, value in ENTRY.items() if key != "zone"}
    ).encode(),
    ("server entry", "has an unknown state"): make_entry(state="asleep"),
    ("server entry", "has a name for an address"): make_entry(address="a.example:5"),
    ("server entry", "has a start of text"): make_entry(born="1783498657083"),
    ("server entry", "has a start with a point"): make_entry(born=1783498657083.0),
    ("server entry", "has a start before 1970"): make_entry(born=-5),
    ("server entry", "has a null start"): make_entry(born=None),
    ("server entry", "has models of text"): make_entry(models="m0"),
    ("server entry", "is nested without end"): make_entry()[:-1]
    + b',"more":'
    + NESTED
    + b"}",
    ("weights row", "is nested without end"): NESTED,
    ("weights row", "has no model"): b'{"version":2}',
    ("weights row", "has a version of text"): b'{"model":"m0","version":"x"}',
}


@when("a {row} that {fault} is decoded")
def step_faulty(context, row, fault):
    data = FAULTY[row, fault]
    match row:
        case "configuration":
            context.found = decode_configuration(data)
        case "server entry":
            context.found = decode_server("i-1", data)
        case "weights row":
            context.found = decode_weights(data)


@then("the decoder returns an error")
def step_fault(context):
    assert isinstance(context.found, Failure), context.found
    assert context.found.failure().reason


@when("a server entry with a start of {start} is decoded")
def step_entry_start(context, start):
    changes = {} if start == "nothing" else {"born": int(start)}
    context.found = decode_server("i-1", make_entry(**changes)).unwrap()


@then("its target started at {started}")
def step_started(context, started):
    expected = None if started == "nothing" else int(started)
    assert context.found.started_ms == expected


def make_update(rows, is_whole=False):
    return TableUpdate(rows, is_whole, 1.0, None)


@given("the entries of servers a, b and c are followed")
def step_followed(context):
    context.views = ()

    def on_views(views):
        context.views = views

    targets = TargetList(FakeClock(), on_views, lambda: 10.0)
    context.follower = ServerFollower(targets)
    rows = tuple(ChangedRow(name, make_entry()) for name in "abc")
    context.follower.take(make_update(rows, is_whole=True))
    step_usable(context, "a, b and c")


@when("one response reports that b leaves and holds unusable rows for c and d")
def step_unusable(context):
    rows = (
        ChangedRow("c", b"\xff\x00"),
        ChangedRow("d", b"[1]"),
        ChangedRow("b", make_entry(state="draining")),
    )
    silenced = structlog.get_config()["wrapper_class"]
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(0))
    context.add_cleanup(structlog.configure, wrapper_class=silenced)
    with capture_logs() as context.logs:
        context.follower.take(make_update(rows))
        for number in range(2 * MAX_UNUSABLE_LOGGED):
            name = f"x{number}-" + "x" * 2 * MAX_LOGGED_CHARACTERS
            context.follower.take(make_update((ChangedRow(name, b"y" * 5000),)))


@when("one response reports of b: {changes}")
def step_changes(context, changes):
    values = {"removed": None, "written": make_entry(), "unusable": b"[1]"}
    rows = tuple(ChangedRow("b", values[change]) for change in changes.split(", "))
    context.follower.take(make_update(rows))


@then("{names} may be used")
def step_usable(context, names):
    found = [view.target for view in context.views if view.state.value == "serving"]
    assert found == names.replace(" and ", ", ").split(", "), found


@then("unusable rows are logged in a bounded number of bounded lines")
def step_bounded(context):
    lines = [line for line in context.logs if "unusable entry" in line["event"]]
    assert [line["target"] for line in lines[:2]] == ["c", "d"]
    assert len(lines) == MAX_UNUSABLE_LOGGED
    assert all(len(line["target"]) <= MAX_LOGGED_CHARACTERS for line in lines)
    assert all(len(line["reason"]) <= MAX_LOGGED_CHARACTERS for line in lines)


@when("c writes a valid entry again")
def step_good_again(context):
    context.follower.take(make_update((ChangedRow("c", make_entry()),)))


@when("the store responds with a row that is not base64 between two valid ones")
def step_rows(context):
    rows = [
        {"key": "a", "value": encode_value(b"1"), "ver": 1},
        {"key": "b", "value": "=A=", "ver": 2},
        {"key": "c", "value": encode_value(b"3"), "ver": 3},
    ]
    body = json.dumps({"rows": rows, "ver": 3}).encode()
    answer = msgspec.json.decode(body, type=WireRows)
    context.rows = [row.to_change() for row in answer.rows]


@then("three rows are decoded and the middle one is empty")
def step_three(context):
    assert [row.value for row in context.rows] == [b"1", b"", b"3"], context.rows


@when("a response states weights {text}")
def step_states(context, text):
    call = ForwardCall(
        TargetId("i-1"), "1.2.3.4:5", RequestId("r"), "GET", "/", (), b"", 1.0,
        CustomerId(""),
    )  # fmt: skip
    head = ServerDialect().decode(call, 200, [(names.WEIGHTS, text)])
    context.found = head.weights_version


@then("the decoded weights version is {weights}")
def step_tells(context, weights):
    assert context.found == (None if weights == "nothing" else weights)


def decode_event(wire, is_store=False):
    body = b'{"boot_epoch":1,"next":9,"lost":false,"events":[%s]}' % wire.encode()
    return _decode(body, is_store).unwrap().events[0]


@when("the cache event {wire} is decoded")
def step_event(context, wire):
    context.event = decode_event(wire)


@then("it is {kind} with {n:d}")
def step_kind(context, kind, n):
    found = (context.event.kind.value, context.event.n_tokens)
    assert found == (kind, n), found


@when("a prompt comes with the length hint {hint}")
def step_hint(context, hint):
    headers = {names.MODEL: "m0", names.TOKENS: "150,60"}
    if hint != "nothing":
        headers[names.LENGTH_HINT] = hint
    context.prompt = decode_prompt(CIMultiDictProxy(CIMultiDict(headers)))


@then("its hint is {n:d} tokens")
def step_hint_tokens(context, n):
    assert context.prompt.hint_tokens == n, context.prompt


@when("the same part is named by a prompt and by an event of its scope")
def step_digests(context):
    prompt = Prompt(ModelId("m0"), 10, 1, (PromptPart("aa", 10),))
    scopes = [
        CacheScope(WeightsVersion(version), CustomerId(owner))
        for version, owner in (("2", ""), ("3", ""), ("2", "t1"))
    ]
    context.levels = [prompt_levels(scope, prompt)[0].digest for scope in scopes]
    context.event = decode_event('[7,"+","2:","aa",10,"m0"]')


@when("the same part is written by engines of two software versions")
def step_written(context):
    events = ('[7,"+","2:v1:","aa",10,"m0"]', '[8,"+","2:v1%3A1:","aa",10,"m0"]')
    context.in_store = [decode_event(event, is_store=True).digest for event in events]
    context.in_engine = [decode_event(event).digest for event in events]
    prompt = Prompt(ModelId("m0"), 10, 1, (PromptPart("aa", 10),))
    owner, weights = CustomerId(""), WeightsVersion("2")
    context.wanted = [
        prompt_levels(CacheScope(weights, owner, SoftwareVersion(version)), prompt)[0]
        for version in ("v1", "v1:1", "")
    ]


@then("a store holds it apart for each, and each engine for itself")
def step_apart(context):
    old, new, own = (level.digest for level in context.wanted)
    assert context.in_store == [old, new] and old != new
    assert context.in_engine == [own, own]


@then("both have one digest, and another scope has another")
def step_same(context):
    assert context.levels[0] == context.event.digest
    assert len(set(context.levels)) == 3


def make_source(address, boot="boot-1"):
    return CacheSource(TargetId("i-1"), Incarnation(boot), address)


class ScriptedEvents:
    """Returns the scripted pages, then blocks."""

    def __init__(self, answers):
        self.answers = answers

    async def read_events(self, address, since, is_store):
        if not self.answers:
            await asyncio.sleep(3600)
        return Success(self.answers.pop(0))


@given("an engine whose events are followed")
def step_followed(context):
    context.applied = []
    event = CacheEvent(sequence=1, kind=CacheEventKind.STORED, digest=5, n_tokens=9)
    context.event = event
    context.port = ScriptedEvents(
        [CacheEventBatch(1, 1, False, (event,)), CacheEventBatch(2, 1, False, (event,))]
    )
    context.watch = CacheWatch(
        context.port, lambda _a, got: context.applied.append(got)
    )


class CountedEvents:
    """Counts concurrent full reads, which start before the first event."""

    def __init__(self):
        self.n_running, self.max_running, self.full_reads = 0, 0, []

    async def read_events(self, address, since, is_store):
        if since > 0:
            await asyncio.sleep(3600)
        self.n_running += 1
        self.max_running = max(self.max_running, self.n_running)
        await asyncio.sleep(0.01)
        self.n_running -= 1
        self.full_reads.append(address)
        return Success(CacheEventBatch(1, 4000, False, ()))


@when("a daemon begins to follow {n:d} engines that keep thousands of events")
def step_begin(context, n):
    context.port = CountedEvents()
    watch = CacheWatch(context.port, lambda _a, _got: None)
    sources = [make_source(f"1.2.3.{index}:5") for index in range(n)]

    async def run():
        watch.follow(sources)
        await watch.start()
        async with asyncio.timeout(20):
            while len(context.port.full_reads) < n:
                await asyncio.sleep(0.01)
        await watch.stop()

    context.loop.run_until_complete(run())


@then("it reads them one after the other, each once")
def step_reads(context):
    assert context.port.max_running == 1
    assert len(set(context.port.full_reads)) == len(context.port.full_reads)


@when("it sends an event, restarts with another epoch and sends an event again")
def step_epoch(context):
    async def run():
        context.watch.follow([make_source("1.2.3.4:5")])
        await context.watch.start()
        async with asyncio.timeout(10):
            while len(context.applied) < 3:
                await asyncio.sleep(0.01)
        await context.watch.stop()

    context.loop.run_until_complete(run())


@then("its cache estimate is cleared between the two events")
def step_cleared(context):
    assert context.applied == [(context.event,), (CLEARED,), (context.event,)]


@when("the engine restarts under its name and sends one event")
def step_engine_restarts(context):
    """Report the second start while a poll of the first one is still pending."""
    context.sources = []
    port = RestartedEngine()
    watch = CacheWatch(port, lambda source, _got: context.sources.append(source))

    async def run():
        watch.follow([make_source("1.2.3.4:5", "boot-1")])
        await watch.start()
        async with asyncio.timeout(10):
            while len(context.sources) < 1:
                await asyncio.sleep(0.01)
            watch.follow([make_source("1.2.3.4:5", "boot-2")])
            while len(context.sources) < 2:
                await asyncio.sleep(0.01)
        await watch.stop()

    context.loop.run_until_complete(run())
    context.polled_since = port.polled_since


class RestartedEngine:
    """Returns one event to each read from the beginning and blocks all other reads."""

    def __init__(self):
        self.polled_since = []

    async def read_events(self, address, since, is_store):
        self.polled_since.append(since)
        if since > 0:
            await asyncio.sleep(3600)
        event = CacheEvent(sequence=9, kind=CacheEventKind.STORED, digest=5, n_tokens=9)
        return Success(CacheEventBatch(1, 9, False, (event,)))


@then("the event is applied to the new start, and was read from the beginning")
def step_new_start(context):
    assert [source.incarnation for source in context.sources] == ["boot-1", "boot-2"]
    assert context.polled_since.count(0) == 2
