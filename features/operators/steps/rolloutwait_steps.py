"""Steps of rolloutwaits.feature: a rollout in virtual time and an outdated target."""

import asyncio
from unittest import mock

from behave import given, then, when

from lycheepost.core.ids import (
    AvailabilityZone,
    DaemonId,
    ModelId,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.core.routing import ListedTarget
from lycheepost.operators.rolloutpacer import RolloutPacer
from lycheepost.operators.weightsrollout import WeightsRollout
from lycheepost.standin.virtualtime import run_virtual, virtual_clock
from lycheepost.state.targetlist import TargetList

MODEL = ModelId("m")
GROUP = TargetGroupId("g")
OLD = ListedTarget(
    target=TargetId("a"),
    target_group=GROUP,
    address="1.2.3.4:5",
    availability_zone=AvailabilityZone("z"),
    slots=4,
    weights={MODEL: WeightsVersion("1")},
)


class OneRequest:
    """A fleet whose targets run one request each, without peers."""

    def count_running(self, _target):
        return 1

    def totals(self):
        return {}

    def has_peers(self):
        return False

    def waiting_share(self, _group):
        return 0.0


class HeldLease:
    def is_held(self, _now_seconds):
        return True


def make_rollout():
    clock = virtual_clock()
    targets = TargetList(clock, lambda _views: None, lambda: 10.0)
    targets.replace_all([OLD])
    load = OneRequest()
    return WeightsRollout(
        None,
        targets,
        clock,
        DaemonId("me"),
        lambda _model: (GROUP,),
        lambda _message: None,
        load,
        RolloutPacer(load, clock, lambda: 10.0, mock.Mock()),
    )


@given("a daemon that never held the lease for weights")
def step_daemon(context):
    context.result = None


@when("a version is named and {seconds:g} s pass")
def step_named(context, seconds):
    async def main():
        loop = asyncio.get_running_loop()
        rollout = make_rollout()
        await rollout.start()
        rollout.want(MODEL, 2)
        timers, call_at = [], loop.call_at

        def count(when, *rest, **more):
            timers.append(when)
            return call_at(when, *rest, **more)

        loop.call_at = count
        await asyncio.sleep(seconds)
        loop.call_at = call_at
        context.n_timers = len(timers) - 1  # The sleep of this step sets one.
        before = rollout.status()["changing"]
        await rollout.work(HeldLease)
        await asyncio.sleep(0.1)
        context.changing = (before, rollout.status()["changing"])
        await rollout.stop()

    run_virtual(main())


@when("it gets the lease")
def step_lease(context):
    assert context.changing[0] == []


@then("it has set no timer")
def step_no_timer(context):
    assert context.n_timers == 0, context.n_timers


@then("it begins the change within 0.1 s")
def step_begins(context):
    assert context.changing[1] == ["a"], context.changing
