"""Steps of peerloads.feature."""

import random
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from features.decide.steps.common import SchedulerDriver, make_view
from lycheepost.core.ids import DaemonId, TargetId
from lycheepost.decide.peerloads import (
    MAX_AGE_SECONDS,
    NO_LOAD,
    DaemonLoad,
    PeerLoads,
    find_changes,
)


@given("{n:d} daemons before {n_targets:d} targets that exchange their load")
def step_daemons(context, n, n_targets):
    context.drivers = [SchedulerDriver(n_targets) for _ in range(n)]
    context.peers = [PeerLoads() for _ in range(n)]
    context.told = {}
    for driver in context.drivers:
        driver.views = {index: make_view(index, limit=64) for index in range(n_targets)}
        driver.announce()


def send_load(context, number):
    """Send one daemon's load to the others."""
    driver = context.drivers[number]
    loads = driver.scheduler.under_way()
    for index, peers in enumerate(context.peers):
        if index == number:
            continue
        other = context.drivers[index]
        peers.observe(DaemonId(str(number)), loads, other.now_seconds)
        context.told.setdefault(index, {})[number] = loads
        changed = peers.take_changed(other.now_seconds)
        for target in {view.target for view in other.views.values()}:
            load = sum_of(context.told[index].values(), target)
            assert load == peers.at(target, other.now_seconds), (target, load)
            known = other.scheduler._group_by_target[target].placement.loads[target]
            assert target in changed or load == known.peers_load, (target, load)
            other.scheduler.set_peer_load(target, load, other.now_seconds)


def sum_of(reports, target):
    """Return the total load of several reports at a target."""
    found = [report.get(target, NO_LOAD) for report in reports]
    return DaemonLoad(
        sum(load.queued_tokens for load in found),
        sum(load.n_running for load in found),
        sum(load.n_streams for load in found),
        sum(load.held_tokens for load in found),
    )


@when("each daemon gets {count:d} requests, one at a time in turn")
def step_requests(context, count):
    for index in range(count):
        for number, driver in enumerate(context.drivers):
            driver.arrive(f"{number}-{index}")
            send_load(context, number)


@then("the busiest target has at most {ratio:g} times the mean")
def step_spread(context, ratio):
    sent = Counter(
        target for driver in context.drivers for target in driver.sent.values()
    )
    mean = sum(sent.values()) / len(context.drivers[0].views)
    assert max(sent.values()) <= ratio * mean, sent


@when("the first daemon has {count:d} requests and dies")
def step_dies(context, count):
    for index in range(count):
        context.drivers[0].arrive(f"r-{index}")
    send_load(context, 0)
    context.drivers[1].now_seconds += 2.0


@then("the second counts none of them a moment later")
def step_none(context):
    now_seconds = context.drivers[1].now_seconds
    peers = context.peers[1]
    assert not peers.is_known(now_seconds)
    assert peers.at(TargetId("target-0"), now_seconds).n_running == 0


def waiting_tokens(context):
    """Return the prompt tokens that wait at each target, of all daemons."""
    waiting = Counter()
    for driver in context.drivers:
        for target, load in driver.scheduler.under_way().items():
            waiting[target] += load.queued_tokens
    return waiting


@then("no target has more than {most:d} prompt tokens waiting")
def step_bounded(context, most):
    context.waiting = waiting_tokens(context)
    assert max(context.waiting.values()) <= most, context.waiting


@then("the rest waits at the daemons")
def step_rest(context):
    n_sent = sum(len(driver.sent) for driver in context.drivers)
    n_refused = sum(len(driver.refused) for driver in context.drivers)
    n_asked = sum(len(driver.works) for driver in context.drivers)
    assert n_sent + n_refused < n_asked, (n_sent, n_refused, n_asked)


@when("a target has read all of its prompts")
def step_read(context):
    context.read = TargetId("target-0")
    for driver in context.drivers:
        for name, target in driver.sent.items():
            if target == context.read:
                driver.scheduler.first_token(name, driver.now_seconds, None)
    for number in range(len(context.drivers)):
        send_load(context, number)


@then("some of what waited goes there at once")
def step_goes(context):
    for driver in context.drivers:
        driver.note(driver.scheduler.dispatch_waiting(driver.now_seconds))
    assert waiting_tokens(context)[context.read] > 0


@given("a daemon before {n:d} targets of which {n_old:d} cost {seconds:g} s more")
def step_old(context, n, n_old, seconds):
    context.driver = SchedulerDriver(n)
    context.old = [f"target-{index}" for index in range(n_old)]
    context.driver.views = {
        index: replace(
            make_view(index, limit=64),
            penalty_seconds=seconds if index < n_old else 0.0,
        )
        for index in range(n)
    }
    context.driver.announce()
    context.n_asked = 0


@when("it gets {count:d} requests")
@when("it gets {count:d} requests more")
def step_gets(context, count):
    for _ in range(count):
        context.n_asked += 1
        context.driver.arrive(f"request-{context.n_asked}")


def sent_to_old(context):
    return sum(str(target) in context.old for target in context.driver.sent.values())


@then("those {n:d} get none of them")
def step_none_old(context, n):
    assert sent_to_old(context) == 0, context.driver.sent


@then("those {n:d} get some of them")
def step_some_old(context, n):
    assert sent_to_old(context) > 0, context.driver.sent


@when("the first daemon's requests come and end for 2 s, and it sends only changes")
def step_changes(context):
    rng = random.Random(1)
    peers, first = context.peers[1], DaemonId("0")
    sent, context.n_sent, context.n_targets, context.differences = {}, 0, 0, []
    peers.observe(first, sent, 0.0)
    for index in range(67):
        now_seconds = 0.03 * index
        loads = dict(sent)
        target = TargetId(f"target-{rng.randrange(6)}")
        n_running = max(
            0, loads.get(target, DaemonLoad(0, 0)).n_running + rng.choice((-1, 1))
        )
        loads[target] = DaemonLoad(100 * n_running, n_running)
        loads = {name: load for name, load in loads.items() if load.n_running}
        changes = find_changes(sent, loads)
        context.n_sent += len(changes)
        context.n_targets += 6
        peers.observe_changes(first, changes, now_seconds)
        sent = loads
        for name in map(TargetId, (f"target-{n}" for n in range(6))):
            if peers.at(name, now_seconds) != loads.get(name, DaemonLoad(0, 0)):
                context.differences.append((index, name))


@then("the second always knows the load of the first")
def step_knows(context):
    assert not context.differences, context.differences


@then("it got reports of a third of the targets or less")
def step_third(context):
    assert 0 < context.n_sent <= context.n_targets / 3


@when("the second receives a change before a full report")
def step_change_first(context):
    changes = {TargetId("target-0"): DaemonLoad(10, 1)}
    context.peers[1].observe_changes(DaemonId("0"), changes, 0.0)


@then("the second knows of no peer")
def step_no_peer(context):
    assert not context.peers[1].is_known(0.0)


class PlainLoads:
    """What a list of the last reports, added up at each look, would return."""

    def __init__(self):
        self.reports = {}

    def receive(self, daemon, loads, is_whole, now_seconds):
        self.drop_expired(now_seconds)
        before = {} if is_whole else self.reports.get(daemon, (0.0, None))[1]
        if before is not None:
            self.reports[daemon] = (now_seconds, {**before, **loads})

    def drop_expired(self, now_seconds):
        self.reports = {
            daemon: (seconds, loads)
            for daemon, (seconds, loads) in self.reports.items()
            if now_seconds - seconds <= MAX_AGE_SECONDS
        }

    def at(self, target, now_seconds):
        self.drop_expired(now_seconds)
        return sum_of([loads for _seconds, loads in self.reports.values()], target)


@given("{n:d} daemons that send random reports about {n_targets:d} targets")
def step_random(context, n, n_targets):
    context.daemons = [DaemonId(str(number)) for number in range(n)]
    context.targets = [TargetId(f"target-{number}") for number in range(n_targets)]


@when("{count:d} reports arrive, with pauses, for seeds {first:d} to {last:d}")
def step_random_reports(context, count, first, last):
    context.differences, context.n_silent = [], 0
    for seed in range(first, last + 1):
        compare_with_plain(context, random.Random(seed), count)


def compare_with_plain(context, rng, count):
    """Compare totals and reported changes after each report and pause."""
    peers, plain, seen, now_seconds = PeerLoads(), PlainLoads(), {}, 100.0
    for _ in range(count):
        now_seconds += rng.choice([0.0, 0.03, 0.03, 0.4, 0.7])
        daemon, is_whole = rng.choice(context.daemons), rng.random() < 0.3
        names = rng.sample(context.targets, rng.randrange(len(context.targets)))
        loads = {name: DaemonLoad(*rng.choices((0, 0, 1, 7), k=4)) for name in names}
        observe = peers.observe if is_whole else peers.observe_changes
        n_before = len(plain.reports)
        plain.drop_expired(now_seconds)
        context.n_silent += n_before - len(plain.reports)
        observe(daemon, loads, now_seconds)
        plain.receive(daemon, loads, is_whole, now_seconds)
        changed = peers.take_changed(now_seconds)
        if peers.is_known(now_seconds) != bool(plain.reports):
            context.differences.append((now_seconds, plain.reports))
        for target in context.targets:
            total = plain.at(target, now_seconds)
            is_told = target in changed or total == seen.get(target, NO_LOAD)
            if peers.at(target, now_seconds) != total or not is_told:
                context.differences.append((now_seconds, target, total, is_told))
            seen[target] = total


@then("after each the totals are the sums of the reports that hold")
def step_random_equal(context):
    assert context.n_silent > 0
    assert not context.differences, context.differences[:3]
