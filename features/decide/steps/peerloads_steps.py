"""Steps of peerloads.feature."""

import random
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from features.decide.steps.common import Desk, make_view
from lycheepost.core.ids import DaemonId, TargetId
from lycheepost.decide.peerloads import NO_LOAD, DaemonLoad, PeerLoads, find_changes


@given("{n:d} daemons before {n_targets:d} targets that exchange their load")
def step_daemons(context, n, n_targets):
    context.desks = [Desk(n_targets) for _ in range(n)]
    context.peers = [PeerLoads() for _ in range(n)]
    for desk in context.desks:
        desk.views = {index: make_view(index, limit=64) for index in range(n_targets)}
        desk.announce()


def send_load(context, number):
    """Send one daemon's load to the others."""
    desk = context.desks[number]
    loads = desk.scheduler.under_way()
    for index, peers in enumerate(context.peers):
        if index == number:
            continue
        other = context.desks[index]
        peers.observe(DaemonId(str(number)), loads, other.now_seconds)
        totals = peers.totals(other.now_seconds)
        for target in {view.target for view in other.views.values()}:
            load = totals.get(target, NO_LOAD)
            assert load == peers.at(target, other.now_seconds), (target, load)
            other.scheduler.set_peer_load(target, load, other.now_seconds)


@when("each daemon gets {count:d} requests, one at a time in turn")
def step_requests(context, count):
    for index in range(count):
        for number, desk in enumerate(context.desks):
            desk.arrive(f"{number}-{index}")
            send_load(context, number)


@then("the busiest target has at most {ratio:g} times the mean")
def step_spread(context, ratio):
    sent = Counter(target for desk in context.desks for target in desk.sent.values())
    mean = sum(sent.values()) / len(context.desks[0].views)
    assert max(sent.values()) <= ratio * mean, sent


@when("the first daemon has {count:d} requests and dies")
def step_dies(context, count):
    for index in range(count):
        context.desks[0].arrive(f"r-{index}")
    send_load(context, 0)
    context.desks[1].now_seconds += 2.0


@then("the second counts none of them a moment later")
def step_none(context):
    now_seconds = context.desks[1].now_seconds
    peers = context.peers[1]
    assert not peers.is_known(now_seconds)
    assert peers.at(TargetId("target-0"), now_seconds).n_running == 0


def waiting_tokens(context):
    """Return the prompt tokens that wait at each target, of all daemons."""
    waiting = Counter()
    for desk in context.desks:
        for target, load in desk.scheduler.under_way().items():
            waiting[target] += load.queued_tokens
    return waiting


@then("no target has more than {most:d} prompt tokens waiting")
def step_bounded(context, most):
    context.waiting = waiting_tokens(context)
    assert max(context.waiting.values()) <= most, context.waiting


@then("the rest waits at the daemons")
def step_rest(context):
    n_sent = sum(len(desk.sent) for desk in context.desks)
    n_refused = sum(len(desk.refused) for desk in context.desks)
    n_asked = sum(len(desk.works) for desk in context.desks)
    assert n_sent + n_refused < n_asked, (n_sent, n_refused, n_asked)


@when("a target has read all of its prompts")
def step_read(context):
    context.read = TargetId("target-0")
    for desk in context.desks:
        for name, target in desk.sent.items():
            if target == context.read:
                desk.scheduler.first_token(name, desk.now_seconds, None)
    for number in range(len(context.desks)):
        send_load(context, number)


@then("some of what waited goes there at once")
def step_goes(context):
    for desk in context.desks:
        desk.note(desk.scheduler.dispatch_waiting(desk.now_seconds))
    assert waiting_tokens(context)[context.read] > 0


@given("a daemon before {n:d} targets of which {n_old:d} cost {seconds:g} s more")
def step_old(context, n, n_old, seconds):
    context.desk = Desk(n)
    context.old = [f"target-{index}" for index in range(n_old)]
    context.desk.views = {
        index: replace(
            make_view(index, limit=64),
            penalty_seconds=seconds if index < n_old else 0.0,
        )
        for index in range(n)
    }
    context.desk.announce()
    context.n_asked = 0


@when("it gets {count:d} requests")
@when("it gets {count:d} requests more")
def step_gets(context, count):
    for _ in range(count):
        context.n_asked += 1
        context.desk.arrive(f"request-{context.n_asked}")


def sent_to_old(context):
    return sum(str(target) in context.old for target in context.desk.sent.values())


@then("those {n:d} get none of them")
def step_none_old(context, n):
    assert sent_to_old(context) == 0, context.desk.sent


@then("those {n:d} get some of them")
def step_some_old(context, n):
    assert sent_to_old(context) > 0, context.desk.sent


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
