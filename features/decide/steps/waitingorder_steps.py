"""Steps of waitingorder.feature."""

import random
import re
from collections import Counter

import structlog
from behave import given, then, when

from features.decide.steps.common import GROUP, SchedulerDriver, make_view, make_work
from lycheepost.callers.orderlog import OrderLog
from lycheepost.decide.peerloads import DaemonLoad
from lycheepost.decide.queueing import FairQueue
from lycheepost.decide.records import Priority
from lycheepost.decide.waitingorder import OrderCondition, WaitingOrder, return_seconds

TOKEN_SECONDS = 1 / 40_000
SHORT_TOKENS, LONG_TOKENS = 800, 9_000
URGENT_SECONDS, RELAXED_SECONDS = 0.4, 0.8
SECONDS = re.compile(r"([\d.]+) s|none")


def short(**changes):
    return {
        "levels": (),
        "prompt_tokens": SHORT_TOKENS,
        "objective_seconds": URGENT_SECONDS,
        "priority": Priority.INTERACTIVE,
        "rank": 0,
    } | changes


def long(**changes):
    return {
        "levels": (),
        "prompt_tokens": LONG_TOKENS,
        "objective_seconds": RELAXED_SECONDS,
        "rank": 4,
    } | changes


class Driver(SchedulerDriver):
    """A scheduler before one target whose backlog peers report."""

    def __init__(self, **settings):
        super().__init__(1, prefill_seconds_per_token=TOKEN_SECONDS, **settings)
        self.views[0] = make_view(0, limit=64)
        self.announce()
        self.group = self.scheduler._groups[GROUP]
        self.report(0)
        for index in range(4):
            self.observe(f"seen-short-{index}", short())
            self.observe(f"seen-long-{index}", long())

    def observe(self, name, fields):
        work = make_work(name, self.now_seconds, **fields)
        order = self.group.waiting.order
        order.observe(work, work.prompt_tokens, self.now_seconds)

    def report(self, tokens, n_running=0):
        load = DaemonLoad(tokens, n_running, 0, 0)
        for target in self.group.placement.loads:
            self.scheduler.set_peer_load(target, load, self.now_seconds)

    def is_waiting(self, name):
        return name not in self.sent and name not in self.refused


@given("kinds of requests with objectives of {text}")
def step_kinds(context, text):
    is_off = text.endswith(", and no slack_order")
    context.order = WaitingOrder(is_off)
    context.found = [float(m[1] or "inf") for m in SECONDS.finditer(text)]
    assert context.found
    for rank, seconds in enumerate(context.found):
        work = make_work(f"kind-{rank}", 0.0, objective_seconds=seconds, rank=rank)
        context.order.observe(work, 100, 0.0)


@when("for {seconds:d} s only requests with an objective of {objective:g} s come")
def step_only(context, seconds, objective):
    for now_seconds in range(seconds):
        work = make_work("later", 0.0, objective_seconds=objective, rank=1)
        context.order.observe(work, 100, float(now_seconds))


@then("the order is {way}")
def step_order(context, way):
    assert context.order.is_used == (way == "by slack"), context.order.condition
    assert context.order.condition.reason


@given("a target with a long request and 3 that wait, of other customers")
def step_long_wait(context):
    context.driver = driver = Driver()
    for index in range(4):
        driver.arrive(f"long-{index}", customer=f"other-{index}", **long())
    assert list(driver.sent) == ["long-0"], driver.sent
    assert driver.group.n_waiting == 3


@given("a target with a backlog beyond the urgent objective")
def step_beyond(context):
    context.driver = Driver()
    context.driver.report(int(1.2 * URGENT_SECONDS / TOKEN_SECONDS))


@given("a target without a free slot")
def step_no_slot(context):
    context.driver = Driver()
    context.driver.report(0, n_running=64)


@given("a target with a backlog, and long requests with the tightest objective")
def step_long_tight(context):
    context.driver = driver = Driver()
    for index in range(4):
        fields = long(objective_seconds=URGENT_SECONDS - 0.01, rank=0)
        driver.observe(f"tight-{index}", fields)
    driver.report(5_000)


@given("a target with a backlog, and a customer far over its share")
def step_over_share(context):
    context.driver = driver = Driver()
    shares = driver.group.waiting.shares
    for index in range(200):
        shares.observe("greedy", 10.0, driver.now_seconds)
        shares.observe(f"customer-{index % 4}", 0.01, driver.now_seconds)
    driver.group.waiting.update(driver.now_seconds)
    assert not shares.is_within_share("greedy")
    driver.report(5_000)


@when("a short urgent request comes")
def step_short_comes(context):
    context.driver.arrive("new", customer="new", **short())


@when("a long urgent request comes")
def step_long_comes(context):
    fields = long(objective_seconds=URGENT_SECONDS - 0.01, rank=0)
    context.driver.arrive("new", customer="new", **fields)


@when("a short urgent request of that customer comes")
def step_greedy_comes(context):
    fields = short(first_token_timeout_seconds=30.0)
    context.driver.arrive("new", customer="greedy", **fields)


@then("it is sent at once")
def step_sent(context):
    assert "new" in context.driver.sent


@then("the urgent one waits")
def step_waits(context):
    driver = context.driver
    assert driver.is_waiting("new"), (driver.sent, driver.refused)


@given("waiting requests of a customer over its share and of another")
def step_two_customers(context):
    context.queue = queue = FairQueue()
    for index in range(6):
        customer = "greedy" if index < 4 else "other"
        work = make_work(f"{customer}-{index}", float(index), customer=customer)
        waiting = queue.make_waiting(work, 1.0, float(index))
        waiting.place_seconds = float(index)
        queue.push(waiting)


@then("the other's go first, though they came later")
def step_other_first(context):
    found = context.queue.in_place_order(6, lambda customer: customer == "other")
    names = [waiting.work.customer for waiting in found]
    assert names == ["other"] * 2 + ["greedy"] * 4, names


@given("two requests that wait: {first}, and {second}")
def step_two(context, first, second):
    order = WaitingOrder(False)
    for fields in (short(), long()):
        for _ in range(20):
            work = make_work("seen", 0.0, **fields)
            order.observe(work, work.prompt_tokens, 100.0)
    assert order.is_used
    context.places = {}
    for text in (first, second):
        fields = long() if "long" in text else short()
        if "huge" in text:
            fields = long(prompt_tokens=100 * LONG_TOKENS)
        fields["objective_seconds"] = URGENT_SECONDS
        if found := re.search(r"objective of ([\d.]+)", text):
            fields["objective_seconds"] = float(found[1])
        if found := re.search(r"rank (\d)", text):
            fields["rank"] = int(found[1])
        else:
            fields["rank"] = 0
        work = make_work(text, 99.0 if "1 s old" in text else 100.0, **fields)
        context.places[text] = order.place_seconds(work, work.prompt_tokens)


@then("{first} is the first of them")
def step_first(context, first):
    others = [place for text, place in context.places.items() if text != first]
    assert context.places[first] < min(others), context.places


@given("{n:d} callers that are refused with a wait of {wait:g} s and {left:g} s left")
def step_refused(context, n, wait, left):
    rng = random.Random(1)
    context.returns = [return_seconds(wait, left, rng.random()) for _ in range(n)]


@then("all come back within {last:g} s, and no tenth of that time has more than {n:d}")
def step_spread(context, last, n):
    assert min(context.returns) > 0.0 and max(context.returns) <= last
    tenths = Counter(int(seconds / last * 10 - 1e-9) for seconds in context.returns)
    assert max(tenths.values()) <= n, tenths


@then("the status names the order, why, 1 ahead and who waits")
def step_status(context):
    order = context.driver.group.waiting.status()["order"]
    assert order["is_by_slack"], order
    assert order["reason"] == "objectives from 0.400 s to 0.800 s", order
    assert order["n_ahead"] == 1, order
    assert order["waiting_by_priority"] == {"normal": 3}, order


@when("the order of a group goes to slack, stays, and goes back")
def step_logged(context):
    log = OrderLog()
    with structlog.testing.capture_logs() as context.lines:
        for is_met in (False, True, True, False, False):
            log.update({GROUP: OrderCondition(is_met, f"met: {is_met}")})


@then("2 lines name the group, the order and the reason")
def step_lines(context):
    found = [(x["target_group"], x["order"], x["reason"]) for x in context.lines]
    assert found == [
        (GROUP, "slack", "met: True"),
        (GROUP, "virtual time", "met: False"),
    ], found
