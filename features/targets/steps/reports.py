"""Steps on reports of engines."""

import asyncio
from collections import Counter, defaultdict
from types import SimpleNamespace

import aiohttp
from bed import SETTINGS, wait_until
from behave import given, then, when

from lycheepost.core.clock import SystemClock
from lycheepost.core.ids import TargetId
from lycheepost.generated.configuration import Target
from lycheepost.generated.engine import (
    CacheEvent,
    CacheEventKind,
    CacheEvents,
    EngineHealthState,
)
from lycheepost.generated.settings import TargetSettings
from lycheepost.standin.engine import EngineStandinSettings, make_engine
from lycheepost.standin.enginetiming import make_speeds
from lycheepost.targets.control import make_control_client
from lycheepost.targets.observe import (
    EventCursor,
    ObserverCallbacks,
    make_target_observer,
)
from lycheepost.targets.pollplan import PollPlan, PollSettings, ReportKind

FAST = TargetSettings(
    load_poll_seconds=0.05,
    health_poll_seconds=0.05,
    events_poll_seconds=0.05,
    poll_calls_per_second=1000,
)


def start_engine(context, gap_share=0.0, load_lag_seconds=0.0):
    timing = make_speeds(
        event_loss_share=gap_share, event_lag_seconds=0.02, iteration_seconds=0.001
    )
    settings = EngineStandinSettings(
        timing=timing, restart_seconds=0.1, load_lag_seconds=load_lag_seconds
    )
    context.engine = make_engine(settings)
    context.run(context.engine.start())
    context.stack.push_async_callback(context.engine.stop)
    context.first_boot = context.engine.boot_id


@given("an engine that loses half of its cache events")
def given_gaps(context):
    start_engine(context, gap_share=0.5)


@given("an engine that loses no cache events")
def given_no_gaps(context):
    start_engine(context)


@given("an engine whose load reports are {seconds:g} seconds old")
def given_lag(context, seconds):
    start_engine(context, load_lag_seconds=seconds)


@given("an engine's address that accepts connections and resets them")
def given_dead_end(context):
    async def refuse(reader, writer):
        await reader.read(1)
        writer.transport.abort()

    server = context.run(asyncio.start_server(refuse, "127.0.0.1", 0))
    context.stack.callback(server.close)
    context.engine = SimpleNamespace(
        url=f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    )


@when("it is observed for a moment")
def when_observed(context):
    observe(context)
    context.run(wait_until(lambda: context.seen["unanswered"]))


@then("the health calls without a response are told")
def then_unanswered(context):
    assert set(context.seen["unanswered"]) == {"t"}


@then("no signal of its state is")
def then_no_signal(context):
    assert not context.seen["signals"]


def observe(context):
    context.seen = defaultdict(list)
    clock = SystemClock()
    callbacks = ObserverCallbacks(
        on_signal=lambda target, signal: context.seen["signals"].append(signal),
        on_load=lambda report: context.seen["loads"].append(
            (clock.now_seconds(), report)
        ),
        on_events=lambda target, boot, events: context.seen[boot].extend(events),
        on_unanswered=lambda target: context.seen["unanswered"].append(target),
    )
    control = make_control_client(SETTINGS)
    context.observer = make_target_observer(FAST, control, clock, callbacks)
    target = Target(
        target="t", target_group="g", availability_zone="z", url=context.engine.url
    )
    context.observer.replace_targets([target])
    for component in (control, context.observer):
        context.run(component.start())
        context.stack.push_async_callback(component.stop)


async def run_prompts(engine, n, text):
    async with aiohttp.ClientSession() as session:
        for index in range(n):
            body = {"prompt": f"{text} {index}", "max_tokens": 1}
            url = f"{engine.url}/v1/completions"
            async with session.post(url, json=body) as answer:
                assert answer.status == 200


@when("an observer polls it while {n:d} prompts run")
def when_observed(context, n):
    observe(context)
    context.run(run_prompts(context.engine, n, "prompt"))
    context.run(asyncio.sleep(0.3))


@when("the engine crashes, comes back and runs {n:d} prompts")
def when_crashed(context, n):

    async def crash():
        context.engine.crash()
        await wait_until(lambda: context.engine.boot_id != context.first_boot)

    context.run(crash())
    context.run(asyncio.sleep(0.2))
    context.run(run_prompts(context.engine, n, "again"))
    context.run(wait_until(lambda: len(context.seen[context.engine.boot_id]) >= n))


@then("the observed events are in order, each once")
def then_order(context):
    sequences = [event.sequence for event in context.seen[context.first_boot]]
    assert sequences == sorted(set(sequences)) and sequences


@then("the number of lost events is the number missing between them")
def then_lost(context):
    sequences = [event.sequence for event in context.seen[context.first_boot]]
    lost = context.observer.status()["n_events_lost"]
    assert lost == sequences[-1] - len(sequences) > 0, (lost, sequences)


@then("the observer has passed on the new incarnation's events from the first")
def then_new_incarnation(context):
    sequences = [event.sequence for event in context.seen[context.engine.boot_id]]
    assert sequences == [1, 2], sequences
    assert [event.sequence for event in context.seen[context.first_boot]]


def events_of(boot_id, first, last):
    events = [
        CacheEvent(sequence=number, kind=CacheEventKind.STORED, digest=number)
        for number in range(first, last + 1)
    ]
    return CacheEvents(boot_id=boot_id, events=events)


@given("cache events 1 to 5 of one incarnation were read")
def given_cursor(context):
    context.cursor = EventCursor()
    assert len(context.cursor.advance(events_of("a", 1, 5))) == 5


@when('the response to "after 5" has events 6 to 8 of another incarnation')
def when_other_incarnation(context):
    context.taken = context.cursor.advance(events_of("b", 6, 8))


@then("none of them is returned, and a read from the start returns all 8")
def then_from_start(context):
    assert context.taken is None and context.cursor.sequence == 0
    assert len(context.cursor.advance(events_of("b", 1, 8))) == 8
    assert context.cursor.n_lost == 0


@then("the observer reports the new boot id")
def then_new_boot(context):
    assert context.observer.incarnations() == {"t": context.engine.boot_id}


@then("the load reports were measured at least {seconds:g} seconds before they arrived")
def then_measured(context, seconds):
    # The first reports arrive before the engine has a history of that length.
    context.seen["loads"].clear()
    context.run(asyncio.sleep(2 * seconds))
    arrived, report = context.seen["loads"][-1]
    assert arrived - report.measured_seconds >= seconds


@when("the engine is {state} and an observer polls it")
def when_state(context, state):
    if state == "stopped":
        context.run(context.engine.stop())
    else:
        context.engine.orders.state = EngineHealthState(state)
    observe(context)
    context.run(wait_until(lambda: context.seen["signals"]))


@then('the signal of its state is "{signal}"')
def then_signal(context, signal):
    assert context.seen["signals"][-1].state.value == signal


@when(
    "a plan with {budget:d} calls a second polls {n_targets:d} targets, "
    "{n_in_use:d} in use, for {seconds:d} seconds"
)
def when_planned(context, budget, n_targets, n_in_use, seconds):
    periods = dict.fromkeys(ReportKind, 1.0) | {ReportKind.EVENTS: 0.5}
    targets = [TargetId(f"t{index}") for index in range(n_targets)]
    context.in_use = set(targets[:n_in_use])
    plan = PollPlan(PollSettings(periods, budget), context.in_use.__contains__, 1)
    plan.replace_targets(targets, 0.0)
    context.targets = targets
    context.seconds = seconds
    context.asked = defaultdict(list)
    for step in range(seconds * 20):
        for poll in plan.take_due(step / 20):
            context.asked[poll].append(step / 20)


@then("it polls at most {most:d} times a second")
def then_budget(context, most):
    # The first periods spread the polls of the fleet; the rate is checked after them.
    half = context.seconds / 2
    n_late = Counter()
    for times in context.asked.values():
        n_late["calls"] += sum(time >= half for time in times)
    assert n_late["calls"] <= most * half, n_late["calls"] / half


@then("each target in use is polled for each report at least every {period:g} seconds")
def then_in_use(context, period):
    check_period(context, context.in_use, period, set(ReportKind))


@then("each other target is polled for its health at least every {idle:g} seconds")
def then_idle(context, idle):
    others = set(context.targets) - context.in_use
    check_period(context, others, idle, {ReportKind.HEALTH})


def check_period(context, targets, period, kinds):
    if period > context.seconds:
        return
    asked = {target: set() for target in targets}
    for poll, times in context.asked.items():
        if poll.target in targets and poll.kind in kinds:
            asked[poll.target].add(poll.kind)
            gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
            assert max(gaps) <= period, (poll, max(gaps))
    assert all(found == kinds for found in asked.values())
