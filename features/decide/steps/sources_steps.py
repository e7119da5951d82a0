"""Steps of sources.feature."""

from behave import given, then, when

from lycheepost.core.ids import PrefixDigest
from lycheepost.decide.records import PrefixLevel
from lycheepost.decide.sources import Keeper, KeptParts, Nearness
from lycheepost.generated.engine import CacheEvent, CacheEventKind

LEVELS = (
    PrefixLevel(PrefixDigest(1), 2520),
    PrefixLevel(PrefixDigest(2), 6300),
    PrefixLevel(PrefixDigest(3), 9190),
)
KEEPERS = (
    Keeper("near", Nearness.ENGINE_NEAR),
    Keeper("far", Nearness.ENGINE_FAR),
    Keeper("store", Nearness.STORE_NEAR),
)


def tell(context, name, kept):
    first = 0 if kept == "gap" else min(int(kept), 2496 if kept == "6272" else 2520)
    second = 3780 if kept == "gap" else int(kept) - first
    events = [
        CacheEvent(sequence=n, kind=CacheEventKind.STORED, digest=n, n_tokens=n_tokens)
        for n, n_tokens in ((1, first), (2, second))
        if n_tokens
    ]
    context.parts.observe(name, events)


@given("an engine that keeps {kept} tokens of a prompt")
def step_own(context, kept):
    context.parts = KeptParts()
    tell(context, "own", kept)


@given("another engine nearby that keeps {near}, one far off that keeps {far}")
def step_others(context, near, far):
    tell(context, "near", near)
    tell(context, "far", far)


@given("a store that keeps {kept}")
def step_store(context, kept):
    tell(context, "store", kept)


@when("the engine nearby tells that it dropped everything")
def step_dropped(context):
    dropped = [
        CacheEvent(sequence=n, kind=CacheEventKind.EVICTED, digest=n) for n in (1, 2)
    ]
    context.parts.observe("near", dropped)


@then("the engine copies from {name}")
def step_source(context, name):
    found = context.parts.choose("own", KEEPERS, LEVELS, "store")
    assert found == name, found
