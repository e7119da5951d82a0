"""Steps of pauses.feature."""

from types import SimpleNamespace

from behave import given, then, when

from features.decide.steps.common import SchedulerDriver, make_view, make_work
from lycheepost.bench.pauses import SCENARIOS, PauseRecord, Way, play, record_of
from lycheepost.bench.pauseworld import STEP_SECONDS, TICK_STEPS
from lycheepost.callers.forwardwork import continued_work
from lycheepost.core.ids import TargetId
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.pausecondition import check_condition
from lycheepost.decide.pauses import PauseGuard
from lycheepost.decide.rates import make_rates
from lycheepost.decide.readingengines import ReadingEngines
from lycheepost.decide.records import FinishKind
from lycheepost.decide.settings import SchedulerSettings

LONG_TOKENS = 9190
SHORT_TOKENS = 300
GAP_SECONDS = 0.4
TOKEN_SECONDS = 26e-6
STATUS_SECONDS = TICK_STEPS * STEP_SECONDS


def play_with_and_without(context, name, seeds):
    scenario = next(item for item in SCENARIOS if item.name == name)
    context.worlds = [play(scenario, Way.BOTH, seed) for seed in seeds]
    context.found = record_of(scenario, Way.BOTH, context.worlds)
    without = [play(scenario, Way.NONE, seed) for seed in seeds]
    context.without = record_of(scenario, Way.NONE, without)


def count_late(record: PauseRecord) -> float:
    n_short = record.short_late_share * record.n_short
    return (n_short + record.long_late_share * record.n_long) / count_all(record)


def count_all(record: PauseRecord) -> int:
    return record.n_short + record.n_long


@when('"{name}" is played with seed {seed:d}')
def step_play(context, name, seed):
    play_with_and_without(context, name, [seed])


@when('"{name}" is played with seeds {first:d} to {last:d}')
def step_play_seeds(context, name, first, last):
    play_with_and_without(context, name, range(first, last + 1))


@then("at most {most:d} in 100 short streams are late by a pause alone")
def step_short_paused(context, most):
    assert context.found.n_short > 100, context.found
    assert 100 * context.found.short_paused_share <= most, context.found


@then("without the guard at least {least:d} in 100 are")
def step_short_paused_without(context, least):
    assert 100 * context.without.short_paused_share >= least, context.without


@then("no more long prompts are late than without the guard, but for {share:d} in 100")
def step_long_late(context, share):
    found, without = context.found, context.without
    assert found.n_long > 50
    bound = without.long_late_share + share / 100
    assert found.long_late_share <= bound, (found, without)


@then("fewer responses are late than without the guard")
def step_fewer_late(context):
    found, without = count_late(context.found), count_late(context.without)
    assert found < without, (found, without)


@then("at most half as many responses are late as without the guard")
def step_half_late(context):
    found, without = count_late(context.found), count_late(context.without)
    assert found <= without / 2, (found, without)


@then("no more responses are late than without the guard, but for {share:d} in 100")
def step_late(context, share):
    found, without = count_late(context.found), count_late(context.without)
    assert found <= without + share / 100, (found, without)


@then("fewer responses are late by a pause alone than without the guard")
def step_fewer_paused(context):
    n_paused = [
        record.short_paused_share * record.n_short
        + record.long_paused_share * record.n_long
        for record in (context.found, context.without)
    ]
    assert n_paused[0] < n_paused[1], n_paused


@then(
    "there are {n:d} more reading engines at {b:d} s than at {a:d} s, "
    "and fewer at {c:d} s"
)
def step_followed(context, n, a, b, c):
    counts = context.worlds[0].n_reading_engines
    before, wave, after = (
        counts[min(len(counts), round(at / STATUS_SECONDS)) - 1] for at in (a, b, c)
    )
    assert wave >= before + n and after < wave, (before, wave, after)


@then("pauses do not count, and there are no reading engines")
def step_none_long(context):
    assert not any(context.worlds[0].n_reading_engines)
    for status in context.worlds[0].statuses():
        assert not status.is_on, status


@then("there are no reading engines at the end")
def step_none_at_end(context):
    for status in context.worlds[0].statuses():
        assert status.is_on and not status.n_reading_engines, status


@then("at most {n:d} engines are reading engines")
def step_at_most(context, n):
    counts = [count for world in context.worlds for count in world.n_reading_engines]
    assert 0 < max(counts) <= n, max(counts)


@given("reading engines of {n:d} for a demand of {few:d} and of {many:d}")
def step_two_beliefs(context, n, few, many):
    context.targets = [TargetId(f"target-{index}") for index in range(n)]
    context.fewer, context.more = (make_engines(context, n) for n in (few, many))


def make_engines(context, n_reading):
    """Return the reading engines after a long time of one demand."""
    engines = ReadingEngines()
    engines.replace(context.targets)
    for step in range(600):
        reading = engines.ordered[:n_reading]
        engines.update(reading.__contains__, 0, step * 0.1)
    return engines


@then("the fewer are among the more")
def step_nested(context):
    assert context.fewer.targets < context.more.targets, context.more.ordered


@when("an engine among the fewer leaves")
def step_leaves(context):
    context.before = context.fewer.targets
    context.gone = context.fewer.ordered[0]
    left = [name for name in context.targets if name != context.gone]
    context.fewer.replace(left)


@then("the fewer keep the others and gain one of the more")
def step_gained(context):
    gained = context.fewer.targets - context.before
    assert context.before - context.fewer.targets == {context.gone}
    assert len(gained) == 1 and gained <= context.more.targets, gained


@given("a gap objective of {gap:g} s and long prompts of {n:d} tokens")
def step_condition(context, gap, n):
    context.gap_seconds, context.long_tokens, context.is_met = gap, n, False


@when("an engine reads {rate:g} tokens a ms")
def step_rate(context, rate):
    condition = check_condition(
        context.gap_seconds, context.long_tokens, 0.001 / rate, context.is_met
    )
    context.is_met = condition.is_met


@then("pauses count: {answer}")
def step_counts(context, answer):
    assert context.is_met == (answer == "yes")


@when(
    "{n:d} requests with a gap objective of {gap:g} s are placed with and without "
    "the guard"
)
def step_place(context, n, gap):
    off = frozenset({Mechanism.PAUSE_GUARD})
    context.sent = [place(n, gap, switched_off) for switched_off in (frozenset(), off)]


def place(n, gap_seconds, switched_off):
    driver = SchedulerDriver(24, switched_off=switched_off)
    for index in range(n):
        is_long = index % 5 == 0
        driver.arrive(
            f"request-{index}",
            body=f"body-{index % 40}",
            prompt_tokens=LONG_TOKENS if is_long else SHORT_TOKENS,
            gap_seconds=gap_seconds,
        )
        driver.wait(0.02)
        if index >= 10:
            name = f"request-{index - 10}"
            driver.scheduler.first_token(name, driver.now_seconds, None)
    return driver.sent


@then("each goes to the same engine")
def step_same(context):
    assert len(context.sent[0]) > 100
    assert context.sent[0] == context.sent[1]


def read_long_prompts(context, seconds, token_seconds):
    """Let a guard see a long prompt and a short one every 0.1 s."""
    for _ in range(round(seconds / 0.1)):
        context.now_seconds += 0.1
        for n_tokens in (LONG_TOKENS, SHORT_TOKENS):
            work = make_work(
                "prompt",
                context.now_seconds,
                prompt_tokens=n_tokens,
                gap_seconds=GAP_SECONDS,
            )
            context.guard.observe(work, context.now_seconds)
        elapsed_seconds = 0.03 + LONG_TOKENS * token_seconds
        context.guard.note_first_token(elapsed_seconds, LONG_TOKENS)
        context.guard.update({}, context.now_seconds)


@given("a guard that is on")
def step_guard_on(context):
    context.guard = PauseGuard(make_rates(SchedulerSettings()), frozenset())
    context.now_seconds = 0.0
    read_long_prompts(context, 5.0, TOKEN_SECONDS)
    assert context.guard.is_on, context.guard.condition


@when("the speed doubles for {seconds:g} s")
def step_faster(context, seconds):
    read_long_prompts(context, seconds, TOKEN_SECONDS / 2)


@then("the guard is still on")
def step_still_on(context):
    assert context.guard.is_on, context.guard.condition


@then("the guard is off")
def step_off(context):
    assert not context.guard.is_on, context.guard.condition


def arrive(driver, name, n_tokens, objective_seconds=0.8):
    driver.arrive(
        name,
        levels=(),
        prompt_tokens=n_tokens,
        gap_seconds=GAP_SECONDS,
        objective_seconds=objective_seconds,
    )


@given("3 engines, of which two read a long prompt and the third runs streams")
def step_two_read(context):
    driver = SchedulerDriver(3)
    driver.views = {index: make_view(index, limit=64) for index in range(3)}
    driver.announce()
    for index in range(12):
        name = f"before-{index}"
        arrive(driver, name, LONG_TOKENS)
        driver.wait(0.25)
        driver.scheduler.first_token(name, driver.now_seconds, None)
        driver.scheduler.finish(name, driver.now_seconds, FinishKind.COMPLETE)
    for name in ("first", "second"):
        arrive(driver, name, 2 * LONG_TOKENS)
        driver.wait(0.02)
    for index in range(10):
        arrive(driver, f"stream-{index}", SHORT_TOKENS)
        driver.wait(0.02)
        driver.scheduler.first_token(f"stream-{index}", driver.now_seconds, None)
    reading = {driver.sent["first"], driver.sent["second"]}
    streams = {target for name, target in driver.sent.items() if "stream" in name}
    assert len(reading) == 2 and not reading & streams, driver.sent
    context.stream_engine = streams.pop()
    context.driver = driver


@when("a long prompt arrives that can wait for {seconds:g} s")
def step_long_arrives(context, seconds):
    context.name = f"prompt-{seconds:g}"
    arrive(context.driver, context.name, LONG_TOKENS, seconds)


@then("the stream waits")
def step_waits(context):
    assert context.name not in context.driver.sent, context.driver.sent
    assert context.name not in context.driver.refused


@then("it is sent beside the streams")
def step_sent(context):
    assert context.driver.sent.get(context.name) == context.stream_engine


@given("a stream with a gap objective")
def step_stream(context):
    context.work = make_work("stream", 0.0, gap_seconds=GAP_SECONDS)


@then("the work of its continuation has the same gap objective")
def step_continued(context):
    route = SimpleNamespace(gap_seconds=GAP_SECONDS, objective_seconds=0.8)
    continued = continued_work(context.work, route, 1.0)
    assert continued.gap_seconds == GAP_SECONDS
