"""Steps of targetlist.feature."""

from dataclasses import replace

from behave import given, then, when

from lycheepost.core.clock import FakeClock
from lycheepost.core.ids import (
    AvailabilityZone,
    ModelId,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.core.routing import ListedTarget
from lycheepost.core.starts import TargetStart
from lycheepost.decide.leaving import LeavingTargets
from lycheepost.decide.records import TargetState
from lycheepost.decide.targethealth import Ending
from lycheepost.generated.messages import TargetsChanging
from lycheepost.operators.weightsupdates import to_changes, to_message
from lycheepost.state.targetlist import TargetList, WeightsChange

MODEL = ModelId("m")
WEIGHTS_SECONDS = 10.0


def make_target(name, version="1", started_ms=None):
    return ListedTarget(
        target=TargetId(name),
        target_group=TargetGroupId("g"),
        address="1.2.3.4:5",
        availability_zone=AvailabilityZone("z"),
        slots=4,
        weights={MODEL: WeightsVersion(version)},
        started_ms=started_ms,
    )


def names_of(text):
    return [] if text == "nothing" else text.split(" and ")


@given("registered targets {names} that started at {started_ms:d}")
def step_registered_starts(context, names, started_ms):
    step_registered(context, "nothing")
    targets = [make_target(name, "1", started_ms) for name in names_of(names)]
    context.list.replace_all(targets)


@given("registered targets {names}")
def step_registered(context, names):
    context.clock = FakeClock()
    context.views = ()

    def on_views(views):
        context.views = views

    context.leaving = LeavingTargets()
    context.list = TargetList(
        context.clock, on_views, lambda: WEIGHTS_SECONDS, leaving=context.leaving
    )
    context.list.replace_all([make_target(name) for name in names_of(names)])


@when("{name} registers as leaving as started at {started_ms:d}")
def step_leaving_start(context, name, started_ms):
    leaving = replace(make_target(name, "1", started_ms), is_leaving=True)
    context.list.take([leaving], [])


@when("a response of {name} as started at {started_ms:d} says that it is leaving")
def step_says_leaving_start(context, name, started_ms):
    say_leaving(context, TargetStart(TargetId(name), started_ms))


@when("a response of {name} says that it is leaving")
def step_says_leaving(context, name):
    say_leaving(context, context.list.get(TargetId(name)).start)


def say_leaving(context, start):
    """Record a response's report in the way that the exchange does."""
    if context.leaving.note(start):
        context.list.note_leaving(start)


@when("{name} registers with version {version} as started at {started_ms:d}")
def step_registers_start(context, name, version, started_ms):
    context.list.take([make_target(name, version, started_ms)], [])


@when("{name} itself reports that it started at {started_ms:d}")
def step_own_start(context, name, started_ms):
    context.list.note_own_start(TargetStart(TargetId(name), started_ms))


@when("{name} reports that it started at {started_ms:d}")
def step_reports_start(context, name, started_ms):
    context.list.note_start(TargetStart(TargetId(name), started_ms))


@when("an unusable registration replaces that of {name}")
def step_overwritten(context, name):
    context.list.drop_unusable([TargetId(name)])


@when(
    "a peer reports that {name} as started at {started_ms:d} changes its weights"
    " for {seconds:g} s"
)
def step_peer_change(context, name, started_ms, seconds):
    change = WeightsChange(
        TargetStart(TargetId(name), started_ms), MODEL, None, seconds
    )
    message = TargetsChanging(changes=[to_message(change)])
    context.list.note_changes(to_changes(message))


@when("{name} registers as leaving")
def step_leaving(context, name):
    leaving = replace(make_target(name), is_leaving=True)
    context.list.take([leaving], [])


@when("{name} registers with version {version}")
def step_registers_version(context, name, version):
    context.list.take([make_target(name, version)], [])


@when("the registration of {name} is removed")
def step_removed(context, name):
    context.list.take([], [TargetId(name)])


@when("the registrations of {names} are gone as the store comes back")
def step_gone(context, names):
    del names
    context.list.replace_all([], context.clock.now_seconds())


@when("the store is back for {seconds:g} s")
def step_back(context, seconds):
    context.outage_ended_seconds = context.clock.now_seconds()
    context.clock.advance(seconds)


@when("the registrations of {names} are removed after an outage")
def step_removed_after(context, names):
    removed = [TargetId(name) for name in names_of(names)]
    context.list.take([], removed, context.outage_ended_seconds)


@when("a full read lists {names}")
def step_full_read(context, names):
    context.list.replace_all([make_target(name) for name in names_of(names)])


@when("the store is restored and lists {names}")
def step_restored(context, names):
    context.list.replace_all(
        [make_target(name) for name in names_of(names)], after_restore=True
    )


@when("{seconds:g} s passes and {name} registers again")
def step_again(context, seconds, name):
    context.clock.advance(seconds)
    context.list.take([make_target(name)], [])


@when("{name} has a rate limit")
def step_limited(context, name):
    context.list.set_limited(TargetId(name), True)


@when("{name} has no rate limit any more")
def step_unlimited(context, name):
    context.list.set_limited(TargetId(name), False)


@when("{name} fails {n:d} requests")
def step_fails(context, name, n):
    for _ in range(n):
        context.list.note_end(TargetId(name), Ending.BAD)


@when("{name} accepts no connection")
def step_unreachable(context, name):
    context.list.note_end(TargetId(name), Ending.UNREACHABLE)


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    context.clock.advance(seconds)
    context.list.refresh_if_due()
    views = context.views
    context.list.refresh()
    assert context.views == views, "a change with the time alone was not seen"


@when("{name} is reported to change its weights for {seconds:g} s")
def step_change(context, name, seconds):
    start = context.list.get(TargetId(name)).start
    context.list.note_changes((WeightsChange(start, MODEL, None, seconds),))


@when("{name} responds with version {version}")
def step_answers(context, name, version):
    context.list.note_weights(TargetId(name), MODEL, WeightsVersion(version))


@when("version {version:d} is named and loaded by {name}")
def step_named(context, version, name):
    context.list.want(MODEL, version, context.clock.now_seconds())
    context.list.note_weights(TargetId(name), MODEL, WeightsVersion("2"))


@when("version {version:d} is found already named at startup")
def step_found(context, version):
    context.list.want(MODEL, version, None)


@when("version {version:d} is read again with all other rows")
def step_read_again(context, version):
    context.list.want(MODEL, version, context.clock.now_seconds())


@when("version {version:d} is named")
def step_named(context, version):
    context.list.want(MODEL, version, context.clock.now_seconds())


@when("a peer reports that old weights may be served for {seconds:g} s")
def step_reported(context, seconds):
    context.list.note_named(MODEL, 2, seconds)


@then("{names} may be used")
def step_usable(context, names):
    found = [
        str(view.target) for view in context.views if view.state is TargetState.SERVING
    ]
    assert found == names_of(names), found


@then("{name} may be used and {other} may not be sent to")
def step_not_sent(context, name, other):
    step_usable(context, name)
    assert context.list.get(TargetId(other)) is None


@then("{name} holds version {version}")
def step_holds(context, name, version):
    assert context.list.weights_of(TargetId(name), MODEL) == version


@then("the recorded start of {name} is {started_ms:d}")
def step_start(context, name, started_ms):
    start = TargetStart(TargetId(name), started_ms)
    assert context.list.get(start.target).start == start
    (view,) = [view for view in context.views if view.target == name]
    assert view.incarnation == start.incarnation


@then("the penalty is {seconds:g} s for {name} and {others:g} s for {other}")
def step_penalty(context, name, seconds, other, others):
    found = {str(view.target): view.penalty_seconds for view in context.views}
    assert found == {name: seconds, other: others}, found
