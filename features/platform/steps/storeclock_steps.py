"""Steps of storeclock.feature."""

import random

from behave import then, when

from lycheepost.platform.storeclock import StoreClock

POLL_SECONDS = 0.8
OFFSET_SECONDS = 1234.5
SHORT_CALL_EVERY = 20


def play(what):
    """Return for each answer when it was sent for, given and dated, and its kind."""
    rng, clock = random.Random(7), StoreClock()
    now_seconds, shift_seconds, rate = 100.0, 0.0, 1.0
    found = []
    if "faster" in what:
        rate = 1.0001
    for number in range(400):
        if number == 200 and "back" in what:
            shift_seconds = -5.0
        if number == 200 and "ahead" in what:
            shift_seconds = 5.0
        is_short = number % SHORT_CALL_EVERY == 0
        travel_seconds = rng.uniform(0.001, 0.004)
        late_seconds = rng.uniform(0.0, 0.5) if "late" in what else 0.0
        sent = now_seconds
        given = sent + travel_seconds + (0.0 if is_short else POLL_SECONDS)
        received = given + travel_seconds + late_seconds
        stated = given * rate + OFFSET_SECONDS + shift_seconds
        dated = clock.answered_seconds(sent, received, stated)
        found.append((sent, given, dated, is_short, number))
        now_seconds = received
    return found


@when("400 answers of a store are read, {what}")
def step_read(context, what):
    context.found = play(what)


@then("none is dated after it was given, nor before its request was sent")
def step_true(context):
    # Clocks that drift apart are dated within the drift since the last short call.
    drift_seconds = 0.015
    wrong = [
        item
        for item in context.found
        if item[2] > item[1] + drift_seconds or item[2] < item[0] - 1e-6
    ]
    assert not wrong, wrong[:3]


@then("answers of long polls are dated at most {late:g} s before they were given")
def step_late(context, late):
    worst = max(
        given - dated for _, given, dated, is_short, _ in context.found if not is_short
    )
    assert worst <= late + 0.005, worst


@then("an answer that states no time is dated when its request was sent")
def step_unstated(context):
    assert StoreClock().answered_seconds(5.0, 6.0, 0.0) == 5.0


@when("a daemon makes long polls only, for {seconds:d} s")
def step_polls(context, seconds):
    clock, now_seconds, context.short = StoreClock(), 0.0, []
    while now_seconds < seconds:
        sent = now_seconds
        is_short = clock.wants_short_call(sent)
        now_seconds += 0.004 if is_short else POLL_SECONDS
        clock.answered_seconds(sent, now_seconds, now_seconds + OFFSET_SECONDS)
        if is_short:
            context.short.append(sent)


@then("every 60 s one of them or more is answered at once, and no more than 8 in all")
def step_renewed(context):
    gaps = [b - a for a, b in zip(context.short, context.short[1:], strict=False)]
    assert max(gaps) <= 60.0 and len(context.short) <= 8, context.short
