"""Steps of uneven.feature."""

import heapq
import random
from collections import Counter
from dataclasses import replace

import msgspec
from behave import given, then, when

from features.decide.steps.common import SchedulerDriver, make_view
from lycheepost.core.ids import Incarnation, TargetId
from lycheepost.decide.load import SHARED_WINDOW_TOKENS
from lycheepost.decide.machinestates import MachineState, StatedState, StateNews
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.peerloads import NO_LOAD
from lycheepost.decide.records import FinishKind
from lycheepost.decide.slow import Slowness
from lycheepost.decide.targetrates import (
    DurationRatio,
    TargetRates,
    Unevenness,
    needs_target_rates,
)
from lycheepost.generated.messages import LoadNews
from lycheepost.peers.wire import WireCounts, decode_message, encode_message

PROMPT_TOKENS = 2_000
READ_SECONDS = 0.1
USUAL_PERCENT = 100
TARGET_0 = TargetId("target-0")


class Readers:
    """Targets that read one prompt after another, before one scheduler.

    Args:
        speeds: How fast each target reads, 1 being usual.
        off: Disabled mechanisms.
    """

    def __init__(self, speeds, off=frozenset()):
        self.driver = SchedulerDriver(len(speeds), switched_off=off)
        self.driver.announce()
        self.speeds = {
            TargetId(f"target-{index}"): speed for index, speed in enumerate(speeds)
        }
        self.busy = frozenset()
        self.states_every_response = False
        self.rng = random.Random(5)
        self.free_at = dict.fromkeys(self.speeds, 0.0)
        self.ending = []
        self.sent_to = []
        self.first_token_seconds = []
        for target in self.speeds:
            self.driver.scheduler.set_peer_load(
                target, NO_LOAD, self.driver.now_seconds
            )

    def seconds_to_read(self, target):
        noise = self.rng.lognormvariate(0.0, 0.3)
        slower = 3.0 if target in self.busy else 1.0
        return READ_SECONDS * noise * slower / self.speeds[target]

    def start_sent(self):
        now_seconds = self.driver.now_seconds
        for name, target in self.driver.sent.items():
            start = max(now_seconds, self.free_at[target])
            self.free_at[target] = start + self.seconds_to_read(target)
            heapq.heappush(self.ending, (self.free_at[target], name, target))
            self.sent_to.append((now_seconds, target))
        self.driver.sent.clear()

    def run_to(self, end_seconds):
        driver = self.driver
        while self.ending and self.ending[0][0] <= end_seconds:
            driver.now_seconds, name, target = heapq.heappop(self.ending)
            arrived_seconds = driver.works[name].arrived_seconds
            self.first_token_seconds.append(driver.now_seconds - arrived_seconds)
            driver.scheduler.first_token(name, driver.now_seconds, 0)
            self.state_speed(target)
            driver.note(
                driver.scheduler.finish(name, driver.now_seconds, FinishKind.COMPLETE)
            )
            self.start_sent()
        driver.now_seconds = end_seconds
        driver.note(driver.scheduler.tick(end_seconds))
        self.start_sent()

    def state_speed(self, target):
        if self.states_every_response:
            percent = USUAL_PERCENT / self.speeds[target]
            state(self.driver, target, percent * (3 if target in self.busy else 1))

    def play(self, seconds, load, change=None):
        per_second = load * sum(self.speeds.values()) / READ_SECONDS
        end_seconds = self.driver.now_seconds + seconds
        while self.driver.now_seconds < end_seconds:
            next_seconds = self.driver.now_seconds + self.rng.expovariate(per_second)
            while self.driver.now_seconds + 0.02 < next_seconds:
                self.run_to(self.driver.now_seconds + 0.02)
                if change is not None:
                    change(self)
            self.run_to(next_seconds)
            self.arrive()

    def arrive(self):
        name = f"played-{len(self.driver.works)}"
        self.driver.arrive(
            name, prompt_tokens=PROMPT_TOKENS, first_token_timeout_seconds=20.0
        )
        self.start_sent()

    def p90_seconds(self):
        return sorted(self.first_token_seconds)[
            int(0.9 * len(self.first_token_seconds))
        ]

    def condition(self):
        return group_status(self.driver)["target_rates"]


def group_status(driver):
    driver.scheduler.tick(driver.now_seconds)
    (status,) = driver.scheduler.status()["groups"].values()
    return status


def ratio_of(driver, target):
    return group_status(driver)["targets"][target]["rate_ratio"]


def state(driver, target, percent):
    index = int(target.rpartition("-")[2])
    driver.scheduler.observe_machine_state(
        target, driver.views[index].incarnation, percent, driver.now_seconds
    )


@given("{n:d} targets of which {n_fast:d} read {speed:g} times as fast")
def step_readers(context, n, n_fast, speed):
    context.speeds = [speed] * n_fast + [1.0] * (n - n_fast)
    context.readers = Readers(context.speeds)
    off = frozenset({Mechanism.TARGET_RATES, Mechanism.MACHINE_STATES})
    context.without = Readers(context.speeds, off)


@when("they are sent {percent:d} in 100 of what they can read for {seconds:d} seconds")
def step_play(context, percent, seconds):
    for readers in (context.readers, context.without):
        readers.play(seconds, percent / 100)
    context.percent = percent


@when("all read equally fast and are sent the same for {seconds:d} seconds")
def step_recover(context, seconds):
    readers = context.readers
    readers.speeds = dict.fromkeys(readers.speeds, 1.0)
    readers.play(seconds, context.percent / 100)


@when("{n:d} of them, changing every {ms:d} ms, take 3 times as long and state it")
def step_swing(context, n, ms):
    for readers in (context.readers, context.without):
        readers.states_every_response = True
        rng = random.Random(9)
        changes = {"next": 0.0}

        def change(readers, rng=rng, changes=changes):
            if readers.driver.now_seconds >= changes["next"]:
                changes["next"] = readers.driver.now_seconds + ms / 1000
                readers.busy = frozenset(rng.sample(sorted(readers.speeds), n))

        readers.play(60, 0.5, change)


@then("the rates of each target are {use}")
def step_use(context, use):
    driver = context.readers.driver if "readers" in context else context.driver
    condition = group_status(driver)["target_rates"]
    assert condition["is_met"] == (use == "in use"), condition


@then("the fast targets' ratio is at most {bound:g} of the others'")
def step_fast_ratio(context, bound):
    targets = group_status(context.readers.driver)["targets"]
    fast = [
        targets[name]["rate_ratio"]
        for name, speed in context.readers.speeds.items()
        if speed > 1.0
    ]
    others = [
        targets[name]["rate_ratio"]
        for name, speed in context.readers.speeds.items()
        if speed == 1.0
    ]
    assert max(fast) <= bound * min(others), (fast, others)


def percent_of(sent_to, targets):
    counts = Counter(target in targets for _, target in sent_to)
    return 100 * counts[True] / counts.total()


@then("the fast targets get between {low:d} and {high:d} in 100 of the requests")
def step_fast_share(context, low, high):
    readers = context.readers
    fast = {name for name, speed in readers.speeds.items() if speed > 1.0}
    percent = percent_of(readers.sent_to, fast)
    assert low <= percent <= high, percent


@then("9 in 10 first tokens take at most {bound:g} of the time without {what}")
def step_p90(context, bound, what):
    ours, without = context.readers.p90_seconds(), context.without.p90_seconds()
    assert ours <= bound * without, (ours, without)


@then("each request goes where it goes without target rates")
def step_same(context):
    assert context.readers.sent_to == context.without.sent_to


@then(
    "the slow target gets at least {percent:d} in 100 of the requests in the last "
    "{seconds:d} seconds"
)
def step_back(context, percent, seconds):
    readers = context.readers
    since_seconds = readers.driver.now_seconds - seconds
    late = [item for item in readers.sent_to if item[0] >= since_seconds]
    assert percent_of(late, {TARGET_0}) >= percent, percent_of(late, {TARGET_0})


@when(
    "a target was measured {n:d} times as {ratio:d} times slower and then not for "
    "{seconds:d} seconds"
)
def step_not_measured(context, n, ratio, seconds):
    measured, rates = DurationRatio(), TargetRates(is_enabled=True)
    for _ in range(n):
        measured.observe(ratio)
    context.values = [measured.value()]
    for second in range(seconds + 1):
        rates.update([measured], float(second))
    context.values.append(measured.value())


@when("a ratio of {ratio:g} becomes known of a target of slowness {before:g}")
def step_known(context, ratio, before):
    context.slowness = Slowness(before)
    context.slowness.remove_explained(ratio)


@then("its slowness is {after:g}")
def step_slowness(context, after):
    assert abs(context.slowness.value - after) < 1e-9, context.slowness


@then("its ratio has fallen from above {high:g} to below {low:g}")
def step_fallen(context, high, low):
    before, after = context.values
    assert before > high and after < low, context.values


@given("without {name} a scheduler before {n:d} targets")
def step_without(context, name, n):
    off = frozenset({Mechanism(name)})
    context.driver = SchedulerDriver(n, switched_off=off)
    context.driver.announce()


def figures_of(text):
    return [int(word) for word in text.replace(" and ", ",").split(",")]


@when("target 0 states {first:d} and the others state {others}")
def step_state(context, first, others):
    for index, percent in enumerate([first, *figures_of(others)]):
        state(context.driver, TargetId(f"target-{index}"), percent)


@when("the scheduler's next second comes")
def step_second(context):
    context.driver.wait(1.1)


@when("peers tell that target 0 usually states {first:d} and the others {percent:d}")
def step_peers(context, first, percent):
    driver = context.driver
    for index in driver.views:
        usual = first if index == 0 else percent
        told = StatedState(TargetId(f"target-{index}"), usual, usual, 0.1)
        driver.scheduler.observe_peer_state(told, driver.now_seconds)


@then("the ratio of target 0 is between {low:g} and {high:g}")
def step_ratio(context, low, high):
    assert low <= ratio_of(context.driver, TARGET_0) <= high, ratio_of(
        context.driver, TARGET_0
    )


def load_of(driver, target):
    return driver.scheduler._group_by_target[target].placement.loads[target]


@then("target 0 may have between {low:g} and {high:g} times the usual tokens waiting")
def step_window(context, low, high):
    tokens = load_of(context.driver, TARGET_0).window_tokens(context.driver.now_seconds)
    assert low <= tokens / SHARED_WINDOW_TOKENS <= high, tokens


@when("{n:d} requests of {n_tokens:d} tokens arrive at once")
def step_burst(context, n, n_tokens):
    driver = context.driver
    for target in map(TargetId, group_status(driver)["targets"]):
        driver.scheduler.set_peer_load(target, NO_LOAD, driver.now_seconds)
    for index in range(n):
        driver.arrive(f"burst-{index}", prompt_tokens=n_tokens)


@then("targets {targets} have {n:d} of them")
def step_have(context, targets, n):
    counts = Counter(context.driver.sent.values())
    names = [f"target-{index}" for index in figures_of(targets)]
    assert sum(counts[name] for name in names) == n, counts


@when("{n:d} requests of one prefix arrive at once")
def step_hot(context, n):
    for index in range(n):
        context.driver.arrive(f"hot-{index}", body="hot")


@then("target 0 has at most {n:d} of them")
def step_at_most(context, n):
    counts = Counter(context.driver.sent.values())
    assert 0 < counts[TARGET_0] <= n, counts


@when("target 0 starts again under its name")
def step_restart(context):
    driver = context.driver
    context.earlier = driver.views[0].incarnation
    driver.views[0] = replace(make_view(0), incarnation=Incarnation("later"))
    driver.announce()


@then("a figure of its earlier incarnation is ignored")
def step_earlier(context):
    driver = context.driver
    driver.scheduler.observe_machine_state(
        TARGET_0, context.earlier, 800, driver.now_seconds
    )
    assert not load_of(driver, TARGET_0).machine_state.is_known()


@when("a target states {usual:d} five times and then {last:d}")
def step_five_and(context, usual, last):
    step_five(context, usual)
    context.state.observe(last, context.now_seconds)


@when("a target states {usual:d} five times")
def step_five(context, usual):
    context.state = MachineState()
    context.now_seconds = 100.0
    for index in range(5):
        context.state.observe(usual, context.now_seconds - 0.05 * (5 - index))


@when("a peer tells that it stated {percent:d}, {ms:d} ms before")
def step_told(context, percent, ms):
    told = StatedState(TARGET_0, percent, USUAL_PERCENT, ms / 1000)
    context.state.observe_peer(told, context.now_seconds)


@then("work there is expected to take {ratio:g} of its usual time {ms:d} ms later")
def step_expected(context, ratio, ms):
    found = context.state.momentary_ratio(context.now_seconds + ms / 1000)
    assert abs(found - ratio) < 1e-6, found


@when("load news without speeds is read")
def step_old_news(context):
    frame = msgspec.msgpack.decode(encode_message(LoadNews(loads=[])))
    body = msgspec.msgpack.decode(frame["body"])
    del body["speeds"]
    frame["body"] = msgspec.msgpack.encode(body)
    context.message = decode_message(msgspec.msgpack.encode(frame), WireCounts())


@then("it names no speeds")
def step_no_speeds(context):
    assert context.message.speeds == []


@when("the news are taken after each of {figures}")
def step_figures(context, figures):
    news, machine_state = StateNews(), MachineState()
    context.told = []
    for index, percent in enumerate(figures_of(figures)):
        machine_state.observe(percent, index + 1.0)
        news.note(TARGET_0, machine_state)
        context.told += [[item.percent for item in news.take(index + 1.0)]]


@then("the news in turn are {what}")
def step_told_what(context, what):
    words = what.replace(" and ", ",").split(",")
    expected = [[] if word.strip() == "nothing" else [float(word)] for word in words]
    assert context.told == expected, context.told


@when("{n:d} targets state their first figure at once")
def step_many(context, n):
    news = StateNews()
    for index in range(n):
        machine_state = MachineState()
        machine_state.observe(100 + index, 1.0)
        news.note(TargetId(f"target-{index}"), machine_state)
    context.told = news.take(1.0)


@then("peers are told the figures of {n:d}")
def step_n_told(context, n):
    assert len(context.told) == n, len(context.told)


@when(
    "the slowest quarter takes {factor:g} times as long, errors alone make {noise:g}, "
    "and rates are {before}"
)
def step_condition(context, factor, noise, before):
    uneven = Unevenness(12, factor, noise)
    context.condition = needs_target_rates(uneven, before == "in use")


@then("rates of each target come {after}")
def step_after(context, after):
    assert context.condition.is_met == (after == "in use"), context.condition
