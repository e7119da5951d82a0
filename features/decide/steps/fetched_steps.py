"""Steps of fetched.feature."""

from collections import Counter
from dataclasses import replace

from behave import given, then, when

from features.decide.steps.common import SchedulerDriver
from lycheepost.core.ids import (
    AvailabilityZone,
    Incarnation,
    ModelId,
    PrefixDigest,
    SoftwareVersion,
    TargetGroupId,
    TargetId,
)
from lycheepost.core.routing import (
    CallerLimits,
    EngineTraits,
    KvStore,
    RoutedGroup,
    make_route_table,
)
from lycheepost.decide.records import PrefixLevel
from lycheepost.decide.routes import fetch_token_seconds
from lycheepost.generated.engine import CacheEvent, CacheEventKind

TEMPLATE_TOKENS, OWN_TOKENS = 6000, 1000
FETCH_SECONDS = 4e-6
TEMPLATE = PrefixDigest(99)


def make_driver(n_targets):
    driver = SchedulerDriver(n_targets, prefill_seconds_per_token=25e-6)
    driver.views = {
        index: replace(view, fetch_token_seconds=FETCH_SECONDS, concurrency_limit=64)
        for index, view in driver.views.items()
    }
    driver.announce()
    return driver


@given("{n:d} targets, one of which caches a template that {who} keeps")
def step_cached(context, n, who):
    context.driver = make_driver(n)
    context.stored_tokens = TEMPLATE_TOKENS if who == "the store" else 0
    event = CacheEvent(
        sequence=1,
        kind=CacheEventKind.STORED,
        digest=TEMPLATE,
        n_tokens=TEMPLATE_TOKENS,
    )
    context.holder = TargetId("target-0")
    context.driver.scheduler.observe_cache_events(
        context.holder, Incarnation("boot-0-1"), (event,), context.driver.now_seconds
    )


@given("{n:d} target that caches nothing")
def step_empty(context, n):
    context.driver = make_driver(n)
    context.holder = TargetId("target-0")


def arrive(context, index, own_tokens, stored_tokens):
    levels = (
        PrefixLevel(TEMPLATE, TEMPLATE_TOKENS),
        PrefixLevel(PrefixDigest(1000 + index), TEMPLATE_TOKENS + own_tokens),
    )
    context.driver.arrive(
        f"request-{index}",
        levels=levels,
        prompt_tokens=TEMPLATE_TOKENS + own_tokens,
        stored_tokens={SoftwareVersion(""): stored_tokens},
    )


@when("{n:d} requests of the template come within 0.2 s")
def step_burst(context, n):
    for index in range(n):
        arrive(context, index, OWN_TOKENS, context.stored_tokens)
        context.driver.now_seconds += 0.2 / n


@then("no target got more than {n:d} of them")
def step_spread(context, n):
    counts = Counter(context.driver.sent.values())
    assert sum(counts.values()) >= 20, counts
    assert max(counts.values()) <= n, counts


@then("the target that caches it got {n:d} of them")
def step_holder(context, n):
    counts = Counter(context.driver.sent.values())
    assert counts[context.holder] == n, counts


@when("a request comes of which the store keeps all but {n:d} tokens")
def step_kept(context, n):
    arrive(context, 0, n, TEMPLATE_TOKENS)


@then("{n:d} tokens wait for prefill at the target")
def step_wait(context, n):
    found = context.driver.scheduler.under_way()[context.holder]
    assert found.queued_tokens == n, found


@given(
    "a store of {store:d} Mbit/s in zone a for engines of {engine:d} Mbit/s "
    "and {size:d} bytes a token"
)
def step_links(context, store, engine, size):
    model = ModelId("m")
    traits = EngineTraits(64, 1000, float(size), float(engine), (model,))
    group = RoutedGroup(TargetGroupId("g"), "/health", 10, traits)
    kept = KvStore("10.0.0.1:80", AvailabilityZone("a"), 1000, float(store))
    limits = CallerLimits(1, 1, 1.0, 1.0)
    context.engine = traits
    context.routes = make_route_table(1, (), (group,), limits, None, (kept,))


@when("a target in zone {zone} fetches")
def step_fetches(context, zone):
    zone = AvailabilityZone(zone)
    context.seconds = fetch_token_seconds(context.routes, zone, context.engine)


@then("it takes {us:g} us a token")
def step_takes(context, us):
    assert abs(context.seconds * 1e6 - us) < 1e-9, context.seconds
