"""Steps of brittle.feature."""

from behave import given, then, when

from lycheepost.core.ids import (
    AvailabilityZone,
    Incarnation,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.decide.brittle import pause_seconds
from lycheepost.decide.records import TargetState, TargetView
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import SchedulerSettings

TARGET = TargetId("t")


@then("a daemon of {n_daemons:d} pauses {pause:g} s where a target bears {bearable:g}")
def step_pause(context, n_daemons, pause, bearable):
    assert pause_seconds(bearable, n_daemons) == pause


@given("a target with {n_slots:d} slots")
def step_target(context, n_slots):
    context.scheduler = Scheduler(SchedulerSettings(), 1)
    view = TargetView(
        TARGET,
        TargetGroupId("g"),
        AvailabilityZone("z"),
        TargetState.SERVING,
        Incarnation("i"),
        WeightsVersion(""),
        n_slots,
    )
    context.scheduler.replace_targets((view,), 0.0)


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
