"""Steps of burn.feature."""

from behave import given, then, when

from lycheepost.core.ids import CustomerId, DaemonId, ModelId
from lycheepost.generated.report import BurnCount, BurnSlot
from lycheepost.generated.settings import ObjectiveSettings
from lycheepost.report.burn import assess
from lycheepost.report.routes import make_objectives
from lycheepost.report.samples import (
    SLOT_SECONDS,
    EndKind,
    OnceState,
    Sample,
    make_recorder,
)

NOW = 1_700_000_100 // SLOT_SECONDS * SLOT_SECONDS
OBJECTIVES = ObjectiveSettings()
GOOD = {"ttft_seconds": 0.1, "mean_gap_seconds": 0.03, "end": EndKind.SUCCESS}
KINDS = {
    "a late first token": {"ttft_seconds": 0.31},
    "slow between tokens": {"mean_gap_seconds": 0.063},
    "refused": {"end": EndKind.REFUSED},
    "broken off": {"end": EndKind.FAILED},
    "an order nobody can tell": {"once": OnceState.UNKNOWN},
    "an order that ran twice": {"once": OnceState.DOUBLED},
    "the caller's fault": {"end": EndKind.CALLER_FAULT},
    "a caller that left": {"end": EndKind.CALLER_LEFT},
}


def make_sample(customer="c", model="m", **fields):
    return Sample(CustomerId(customer), ModelId(model), **(GOOD | fields))


@given("2 requests a second for 3 days that all succeed")
def given_days(context):
    context.bad_by_slot = {}
    context.slots = []
    context.per_slot = 2 * SLOT_SECONDS


@given("{bad:g}% of them have failed from {first:d} to {last:d} minutes ago")
def given_bad(context, bad, first, last):
    for index in range(864):
        start = NOW - (index + 1) * SLOT_SECONDS
        is_inside = last * 60 <= index * SLOT_SECONDS < first * 60
        n_failed = round(context.per_slot * bad / 100 * 100) / 100 if is_inside else 0
        # Fractions of a request are carried over to the next slot.
        total = context.bad_by_slot.get("sum", 0.0) + n_failed
        context.bad_by_slot["sum"] = total - int(total)
        count = BurnCount(
            customer="c",
            model="m",
            n_requests=context.per_slot,
            n_failed=int(total),
        )
        context.slots.append(
            BurnSlot(
                daemon_id="d",
                boot_id="b",
                start_wall_seconds=start,
                length_seconds=SLOT_SECONDS,
                counts=[count],
            )
        )


@given('{n:d} samples of which {n_bad:d} are "{kind}"')
def given_samples(context, n, n_bad, kind):
    recorder = getattr(context, "recorder", None)
    if recorder is None:
        recorder = make_recorder(DaemonId("d"), "b", OBJECTIVES)
        context.recorder = recorder
    for index in range(n):
        fields = KINDS[kind] if index < n_bad else {}
        recorder.record(make_sample(**fields), NOW - 1)
    context.slots = recorder.slots()


@given('no samples for customer "{customer}" but refusals of calls')
def given_refusals(context, customer):
    recorder = make_recorder(DaemonId("d"), "b", OBJECTIVES)
    sample = make_sample(
        customer, ttft_seconds=None, mean_gap_seconds=None, end=EndKind.REFUSED
    )
    recorder.record(sample, NOW - 1)
    context.slots = recorder.slots()


@when("the burn is assessed")
def when_assessed(context):
    context.pairs = assess(context.slots, make_objectives(OBJECTIVES), NOW)


def level_of(context, name):
    (pair,) = context.pairs
    return next(level for level in pair.levels if level.level.value == name)


@then('the alarm of "{name}" is "{alarm}"')
def then_alarm(context, name, alarm):
    level = level_of(context, name)
    assert level.alarm.value == alarm, level


@then('"{name}" has {n_bad:d} bad events of {n:d} and the other levels have none')
def then_bad(context, name, n_bad, n):
    for level in context.pairs[0].levels:
        window = level.windows[0]
        if level.level.value == name:
            assert (window.n_bad, window.n_events) == (n_bad, n), window
        else:
            assert window.n_bad == 0, level


@then("no level has a bad event")
def then_none_bad(context):
    levels = context.pairs[0].levels
    assert all(level.windows[0].n_bad == 0 for level in levels), levels


@then('"{name}" shows neither a burn rate nor a budget')
def then_silent(context, name):
    level = level_of(context, name)
    assert level.budget_left_share is None
    assert all(window.burn_rate is None for window in level.windows)


@given("a recorder that has seen {n:d} customers with {m:d} models")
def given_wide(context, n, m):
    context.recorder = make_recorder(DaemonId("d"), "b", OBJECTIVES)
    context.n_recorded = n * m
    for customer in range(n):
        for model in range(m):
            context.recorder.record(make_sample(f"c{customer}", f"m{model}"), NOW)


@when("{n:d} requests with other names follow")
def when_flood(context, n):
    context.n_recorded += n
    for index in range(n):
        context.recorder.record(make_sample("c1", f"made-up-{index}"), NOW)


@then("it holds at most {n:d} rows and has counted every request")
def then_bounded(context, n):
    assert context.recorder.status()["n_rows"] <= n
    (slot,) = context.recorder.slots()
    assert sum(count.n_requests for count in slot.counts) == context.n_recorded
