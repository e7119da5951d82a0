"""Steps of brittle.feature."""

import itertools
from collections import Counter

from behave import given, then, when

from lycheepost.core.ids import (
    AvailabilityZone,
    BodyFingerprint,
    CustomerId,
    Incarnation,
    ModelId,
    RequestId,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.decide.brittle import FleetPosition, divide_slots, pause_seconds
from lycheepost.decide.records import (
    Dispatch,
    Priority,
    TargetState,
    TargetView,
    Work,
)
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import SchedulerSettings

TARGET = TargetId("t")
GROUP = TargetGroupId("g")


@then("a daemon of {n_daemons:d} pauses {pause:g} s where a target bears {bearable:g}")
def step_pause(context, n_daemons, pause, bearable):
    assert pause_seconds(bearable, n_daemons) == pause


def make_view(target, n_slots):
    return TargetView(
        target,
        GROUP,
        AvailabilityZone("z"),
        TargetState.SERVING,
        Incarnation("i"),
        WeightsVersion(""),
        n_slots,
    )


def own_slots(slots, rank, n_daemons):
    by_target = {TargetId(f"t{index}"): n for index, n in enumerate(slots)}
    own = divide_slots(by_target, FleetPosition(rank, n_daemons))
    return [own[name] for name in sorted(by_target)]


@then(
    "of brittle targets with the slots {slots} daemon {rank:d} of {n_daemons:d}"
    " has {own}"
)
def step_own(context, slots, rank, n_daemons, own):
    found = own_slots([int(text) for text in slots.split(",")], rank, n_daemons)
    assert found == [int(text) for text in own.split(",")], found


@then("for 1 to 30 daemons the slots of 1 to 9 brittle targets add up")
def step_add_up(context):
    for n_daemons, n_targets in itertools.product(range(1, 31), range(1, 10)):
        slots = [5 + index % 3 for index in range(n_targets)]
        if sum(slots) < n_daemons:
            continue
        shares = [own_slots(slots, rank, n_daemons) for rank in range(n_daemons)]
        assert [sum(column) for column in zip(*shares, strict=True)] == slots
        totals = [sum(share) for share in shares]
        assert max(totals) - min(totals) <= 1, (n_daemons, n_targets, totals)


@given(
    "{n_daemons:d} daemons before {n_targets:d} brittle targets with {n_slots:d} slots"
)
def step_daemons(context, n_daemons, n_targets, n_slots):
    views = tuple(
        make_view(TargetId(f"t{index}"), n_slots) for index in range(n_targets)
    )
    context.schedulers = []
    for rank in range(n_daemons):
        scheduler = Scheduler(SchedulerSettings(), rank)
        scheduler.replace_targets(views, 0.0)
        scheduler.set_position(FleetPosition(rank, n_daemons))
        for view in views:
            scheduler.set_brittle(view.target, True)
        context.schedulers.append(scheduler)


def send(scheduler, number):
    """Return the target that a request is sent to; None if it waits or is refused."""
    work = Work(
        RequestId(f"r{number}"),
        CustomerId("c"),
        GROUP,
        ModelId(""),
        WeightsVersion(""),
        levels=(),
        prompt_tokens=0,
        output_tokens=0,
        priority=Priority.NORMAL,
        arrived_seconds=0.0,
        first_token_timeout_seconds=5.0,
        fingerprint=BodyFingerprint(number),
    )
    sent = [item for item in scheduler.arrive(work, 0.0) if isinstance(item, Dispatch)]
    return sent[0].target if sent else None


@when("each daemon gets {n:d} requests at the same time")
def step_each_gets(context, n):
    context.sent = [
        [target for number in range(n) if (target := send(scheduler, number))]
        for scheduler in context.schedulers
    ]


@then("no target has more than {n:d} requests")
def step_not_overfilled(context, n):
    counts = Counter(itertools.chain.from_iterable(context.sent))
    assert max(counts.values()) <= n, counts


@then("each daemon has sent {n:d} requests")
def step_each_sent(context, n):
    assert [len(sent) for sent in context.sent] == [n] * len(context.sent), context.sent


@when("the second target is no longer brittle for the first daemon")
def step_second_sound(context):
    context.schedulers[0].set_brittle(TargetId("t1"), False)


def own_at(context, target):
    status = context.schedulers[0].status()["groups"]["g"]["targets"]
    return status[TargetId(target)]["own_slots"]


@then("the first daemon may have {n:d} requests of its own at the first target")
def step_own_at_first(context, n):
    assert own_at(context, "t0") == n


@then("the first daemon may have any number at the second target")
def step_any_at_second(context):
    assert own_at(context, "t1") is None


@given("a target with {n_slots:d} slots")
def step_target(context, n_slots):
    context.scheduler = Scheduler(SchedulerSettings(), 1)
    context.scheduler.replace_targets((make_view(TARGET, n_slots),), 0.0)


@when("it says that it is brittle")
def step_brittle(context):
    context.scheduler.set_brittle(TARGET, True)


@when("it is no longer brittle")
def step_sound(context):
    context.scheduler.set_brittle(TARGET, False)


@then("it may have {n:d} requests")
def step_may_have(context, n):
    status = context.scheduler.status()["groups"]["g"]["targets"][TARGET]
    assert status["max_requests"] == n, status
