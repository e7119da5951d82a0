"""Steps of randomadmission.feature."""

import random
from collections import Counter

from behave import given, then, when

from features.decide.steps.common import SchedulerDriver, make_view
from lycheepost.core.ids import DaemonId, TargetId
from lycheepost.decide.peerloads import PeerLoads
from lycheepost.decide.randomadmission import RandomAdmission

TARGET = TargetId("target-0")
PROMPT_TOKENS = 4000
READ_TOKENS_A_SECOND = 40_000
EXCHANGE_SECONDS = 0.03


@given(
    "{n:d} daemons with {count:d} waiting requests each at {n_targets:d} full targets"
)
def step_waiting(context, n, count, n_targets):
    context.drivers = [
        SchedulerDriver(n_targets, max_tries=6, admit_wait_share=0.9) for _ in range(n)
    ]
    context.peers = [PeerLoads() for _ in range(n)]
    context.order = {TargetId(f"target-{index}"): [] for index in range(n_targets)}
    for driver in context.drivers:
        driver.views = {index: make_view(index, limit=64) for index in range(n_targets)}
        driver.announce()
    for index in range(count):
        for number, driver in enumerate(context.drivers):
            arrive(context, driver, number, f"{number}-{index}")
            exchange_loads(context)


def arrive(context, driver, number, name):
    before = set(driver.sent)
    driver.arrive(
        name, levels=(), prompt_tokens=PROMPT_TOKENS, first_token_timeout_seconds=60.0
    )
    note_sent(context, number, before)


def note_sent(context, number, before):
    driver = context.drivers[number]
    for name in driver.sent:
        if name not in before:
            context.order[driver.sent[name]].append((number, name))


def exchange_loads(context):
    """Exchange the load of all daemons as of one point in time."""
    now_seconds = context.drivers[0].now_seconds
    for number, driver in enumerate(context.drivers):
        loads = driver.scheduler.under_way()
        for index, peers in enumerate(context.peers):
            if index != number:
                peers.observe(DaemonId(str(number)), loads, now_seconds)
                waiting = driver.scheduler.waiting_groups()
                peers.note_waiting(DaemonId(str(number)), waiting)
    for number, driver in enumerate(context.drivers):
        peers, before = context.peers[number], set(driver.sent)
        for target in context.order:
            load = peers.at(target, now_seconds)
            driver.scheduler.set_peer_load(target, load, now_seconds)
        driver.scheduler.draw_admission(
            lambda group, peers=peers: peers.n_waiting(group, now_seconds), now_seconds
        )
        driver.note(driver.scheduler.dispatch_waiting(now_seconds))
        note_sent(context, number, before)


@when(
    "the targets read their prompts for {seconds:d} s, and load is exchanged each 30 ms"
)
def step_read(context, seconds):
    context.waiting, context.n_idle = [], 0
    left = dict.fromkeys(context.order, PROMPT_TOKENS)
    for _ in range(round(seconds / EXCHANGE_SECONDS)):
        for target, waiting in context.order.items():
            context.n_idle += not waiting
            context.waiting.append(PROMPT_TOKENS * len(waiting))
            left[target] -= READ_TOKENS_A_SECOND * EXCHANGE_SECONDS
            if waiting and left[target] <= 0:
                number, name = waiting.pop(0)
                driver = context.drivers[number]
                driver.scheduler.first_token(name, driver.now_seconds, None)
                left[target] = PROMPT_TOKENS
        for driver in context.drivers:
            driver.now_seconds += EXCHANGE_SECONDS
        exchange_loads(context)


@then("a target had at most {most:d} prompt tokens waiting in the mean")
def step_mean(context, most):
    mean = sum(context.waiting) / len(context.waiting)
    assert 0 < mean <= most, mean


@then("the targets were idle for at most {share:d} in 100 of the time")
def step_idle(context, share):
    assert 100 * context.n_idle <= share * len(context.waiting), context.n_idle


@given("1 daemon that admits at random to {n:d} free slots with {others:d} others")
def step_alone(context, n, others):
    context.admission = RandomAdmission(random.Random(1))
    context.admission.draw({TARGET: float(n)}, 1 + others)


@then("it may send {n:d} requests")
def step_may(context, n):
    for _ in range(n):
        assert context.admission.may_take(TARGET)
        context.admission.note_taken(TARGET)


@given(
    "{n:d} daemons that each admit at random to {slots:d} free slots {count:d} times"
)
def step_draws(context, n, slots, count):
    context.taken, context.n_slots = Counter(), slots * count
    for daemon in range(n):
        admission = RandomAdmission(random.Random(daemon))
        for _ in range(count):
            admission.draw({TARGET: float(slots)}, n)
            while admission.may_take(TARGET):
                admission.note_taken(TARGET)
                context.taken[daemon] += 1


@then("all of them together took the free slots {least:g} to {most:g} times")
def step_taken(context, least, most):
    share = sum(context.taken.values()) / context.n_slots
    assert least <= share <= most, share
