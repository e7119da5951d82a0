"""Steps of documents.feature."""

import asyncio
import json

from behave import given, then, when
from returns.result import Failure, Success

from lycheepost.core.ids import (
    CustomerId,
    ModelId,
    RequestId,
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
from lycheepost.platform.documents import (
    decode_configuration,
    decode_server,
    decode_weights,
)
from lycheepost.targets.cachewatch import CLEARED, CacheNews, CacheWatch
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


@then("its routes, groups, keys and stores are what it says")
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
    holder = KeyHolder(CustomerId("t1"), 2, True)
    assert found.key_holders == {"k1": holder, "k2": holder}


FAULTY = {
    ("configuration", "is no JSON"): b"{",
    ("configuration", "has no version"): b'{"routes":[],"services":[]}',
    ("configuration", "has an unknown kind"): json.dumps(
        CONFIGURATION | {"routes": [CONFIGURATION["routes"][0] | {"kind": "odd"}]}
    ).encode(),
    ("configuration", "is a list"): b"[]",
    ("server entry", "is no JSON"): b"\xff",
    ("server entry", "has no address"): b'{"service":"one"}',
    ("server entry", "has slots of text"): (
        b'{"service":"one","address":"1.2.3.4:5","slots":"many"}'
    ),
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


@then("the decoder tells a fault")
def step_fault(context):
    assert isinstance(context.found, Failure), context.found
    assert context.found.failure().reason


@when("an answer states weights {text}")
def step_states(context, text):
    call = ForwardCall(
        TargetId("i-1"), "1.2.3.4:5", RequestId("r"), "GET", "/", (), b"", 1.0,
        CustomerId(""),
    )  # fmt: skip
    head = ServerDialect().decode(call, 200, [(names.WEIGHTS, text)])
    context.found = head.weights_version


@then("it tells {weights}")
def step_tells(context, weights):
    assert context.found == (None if weights == "nothing" else weights)


def decode_event(wire):
    body = b'{"boot_epoch":1,"next":9,"lost":false,"events":[%s]}' % wire.encode()
    return _decode(body).unwrap().events[0]


@when("the cache event {wire} is decoded")
def step_event(context, wire):
    context.event = decode_event(wire)


@then("it is {kind} with {n:d}")
def step_kind(context, kind, n):
    found = (context.event.kind.value, context.event.n_tokens)
    assert found == (kind, n), found


@when("the same part is named by a prompt and by an event of its scope")
def step_digests(context):
    prompt = Prompt(ModelId("m0"), 10, 1, (PromptPart("aa", 10),))
    scopes = [
        CacheScope(WeightsVersion(version), CustomerId(owner))
        for version, owner in (("2", ""), ("3", ""), ("2", "t1"))
    ]
    context.levels = [prompt_levels(scope, prompt)[0].digest for scope in scopes]
    context.event = decode_event('[7,"+","2:","aa",10,"m0"]')


@then("both have one digest, and another scope has another")
def step_same(context):
    assert context.levels[0] == context.event.digest
    assert len(set(context.levels)) == 3


class ScriptedEvents:
    """Answers with what the scenario says, then holds for good."""

    def __init__(self, answers):
        self.answers = answers

    async def read_events(self, address, since):
        if not self.answers:
            await asyncio.sleep(3600)
        return Success(self.answers.pop(0))


@given("an engine whose events are followed")
def step_followed(context):
    context.told = []
    event = CacheEvent(sequence=1, kind=CacheEventKind.STORED, digest=5, n_tokens=9)
    context.event = event
    context.port = ScriptedEvents(
        [CacheNews(1, 1, False, (event,)), CacheNews(2, 1, False, (event,))]
    )
    context.watch = CacheWatch(context.port, lambda _a, got: context.told.append(got))


class CountedEvents:
    """Counts the whole reads that go on at once."""

    def __init__(self):
        self.n_now, self.most, self.whole = 0, 0, []

    async def read_events(self, address, since):
        if since > 0:
            await asyncio.sleep(3600)
        self.n_now += 1
        self.most = max(self.most, self.n_now)
        await asyncio.sleep(0.01)
        self.n_now -= 1
        self.whole.append(address)
        return Success(CacheNews(1, 4000, False, ()))


@when("a daemon begins to follow {n:d} engines that keep thousands of events")
def step_begin(context, n):
    context.port = CountedEvents()
    watch = CacheWatch(context.port, lambda _a, _got: None)
    addresses = [f"1.2.3.{index}:5" for index in range(n)]

    async def run():
        watch.follow(addresses)
        await watch.start()
        async with asyncio.timeout(20):
            while len(context.port.whole) < n:
                await asyncio.sleep(0.01)
        await watch.stop()

    context.loop.run_until_complete(run())


@then("it reads them one after the other, each once")
def step_reads(context):
    assert context.port.most == 1
    assert len(set(context.port.whole)) == len(context.port.whole)


@when("it tells two events, then comes back with another epoch")
def step_epoch(context):
    async def run():
        context.watch.follow(["1.2.3.4:5"])
        await context.watch.start()
        async with asyncio.timeout(10):
            while len(context.told) < 3:
                await asyncio.sleep(0.01)
        await context.watch.stop()

    context.loop.run_until_complete(run())


@then("its belief was cleared between them")
def step_cleared(context):
    assert context.told == [(context.event,), (CLEARED,), (context.event,)]
