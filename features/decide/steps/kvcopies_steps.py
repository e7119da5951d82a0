"""Steps of kvcopies.feature."""

import random
from collections import Counter

from behave import given, then, when

from lycheepost.core.ids import (
    AvailabilityZone,
    CustomerId,
    Incarnation,
    ModelId,
    WeightsVersion,
)
from lycheepost.core.routing import (
    CallerLimits,
    KvStore,
    Prompt,
    PromptPart,
    make_route_table,
)
from lycheepost.decide.kvstorecontents import KvStoreContents
from lycheepost.decide.promptlevels import CacheScope, prompt_levels
from lycheepost.decide.routes import choose_kv_store
from lycheepost.generated.engine import CacheEvent, CacheEventKind
from lycheepost.targets.cachewatch import CLEARED

STORE = "10.0.0.1:8080"
BOOT = Incarnation(STORE)
NOBODY = CustomerId("")


def levels_of(template, own, weights="1"):
    parts = [PromptPart(template, 6300)] if template else []
    parts.append(PromptPart(own, 2900))
    prompt = Prompt(ModelId("m"), 9200, 10, tuple(parts))
    return prompt_levels(CacheScope(WeightsVersion(weights), NOBODY), prompt)


def stored(number, level, kind=CacheEventKind.STORED):
    return CacheEvent(
        sequence=number, kind=kind, digest=level.digest, n_tokens=level.end_tokens
    )


@given("{n:d} templates of 6300 tokens before prompts with 2900 tokens of their own")
def step_templates(context, n):
    context.templates = [f"template-{index}" for index in range(n)]
    context.copies = KvStoreContents()


@when("{n:d} prompts come in 10 s, and the store reports 0.6 s late what it was sent")
def step_many(context, n):
    rng = random.Random(1)
    late, number, context.n_sent, context.kept = [], 0, 0, set()
    for index in range(n):
        now_seconds = 10.0 * index / n
        due = [item for item in late if item[0] <= now_seconds]
        late = [item for item in late if item[0] > now_seconds]
        for _, levels in due:
            for level in levels:
                number += 1
                context.copies.observe(STORE, BOOT, (stored(number, level),))
                context.kept.add(level.digest)
        levels = levels_of(rng.choice(context.templates), f"own-{index}")
        if context.copies.should_send(STORE, levels, now_seconds):
            context.n_sent += 1
            late.append((now_seconds + 0.6, levels))


@then("no more than {n:d} prompts were sent to the store")
def step_at_most(context, n):
    assert 0 < context.n_sent <= n, context.n_sent


@then("every template is kept there")
def step_all_kept(context):
    wanted = {levels_of(name, "x")[0].digest for name in context.templates}
    assert wanted <= context.kept


@given("a store that keeps template a")
def step_keeps(context):
    step_silent(context)
    context.level = levels_of("a", "x")[0]
    context.copies.observe(STORE, BOOT, (stored(1, context.level),))


@given("a store that reports no events")
def step_silent(context):
    context.copies, context.n_sent = KvStoreContents(), 0


def send(context, template, now_seconds, weights="1"):
    levels = levels_of(template, f"own-{now_seconds}", weights)
    is_sent = context.copies.should_send(STORE, levels, now_seconds)
    context.n_sent += is_sent
    return is_sent


@then("a prompt of template a is not sent")
def step_not_sent(context):
    assert not send(context, "a", 5.0)


@then("a prompt of template a is sent")
def step_sent(context):
    assert send(context, "a", 6.0)


@when("the store drops template a")
def step_drops(context):
    event = stored(2, context.level, CacheEventKind.EVICTED)
    context.copies.observe(STORE, BOOT, (event,))


@when("the store restarts empty")
def step_restarts(context):
    context.copies.observe(STORE, BOOT, (CLEARED,))


@when("prompts of template a come every 0.1 s for 3.05 s")
def step_every(context):
    for index in range(31):
        send(context, "a", 0.1 * index)


@when("a prompt without a shared part comes")
def step_unshared(context):
    send(context, "", 1.0)


@when("a prompt of template a comes under other weights")
def step_other_weights(context):
    send(context, "a", 1.0, weights="2")


@then("{n:d} prompts were sent to the store")
def step_n_sent(context, n):
    assert context.n_sent == n, context.n_sent


def make_table(n_stores):
    stores = tuple(
        KvStore(f"10.0.0.{index}:80", AvailabilityZone("a"), 1000)
        for index in range(n_stores)
    )
    return make_route_table(1, (), (), CallerLimits(1, 1, 1.0, 1.0), None, stores)


def choose_all(table, albums, own="x"):
    return {album: choose_kv_store(table, levels_of(album, own)) for album in albums}


@given("{n_stores:d} stores and {n_albums:d} albums")
def step_albums(context, n_stores, n_albums):
    context.routes = make_table(n_stores)
    context.albums = [f"album-{index}" for index in range(n_albums)]


@when("the store of each album is chosen")
def step_choose(context):
    context.chosen = choose_all(context.routes, context.albums)


@then("each store has between {least:d} and {most:d} in 100 of them")
def step_divided(context, least, most):
    counts = Counter(context.chosen.values())
    assert len(counts) == len(context.routes.kv_stores), counts
    for count in counts.values():
        assert least <= 100 * count / len(context.albums) <= most, counts


@then("prompts of one album have one store")
def step_one_store(context):
    assert choose_all(context.routes, context.albums, "y") == context.chosen


@when("one store is gone")
def step_store_gone(context):
    context.gone = context.routes.kv_stores[-1].address
    left = make_table(len(context.routes.kv_stores) - 1)
    context.left = choose_all(left, context.albums)


@then("only its albums have another store")
def step_moved(context):
    for album, store in context.chosen.items():
        assert store == context.gone or context.left[album] == store
