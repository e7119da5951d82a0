"""Steps of restoredconfig.feature."""

import msgspec
from behave import given, then, when
from deployment import make_configuration

from lycheepost.core.clock import FakeClock
from lycheepost.core.ids import StoreEra
from lycheepost.platform.documents import CONFIGURATION_KEY
from lycheepost.platform.following import OperatorFollower
from lycheepost.ports.feed import ChangedRow
from lycheepost.state.routing import RoutingManager
from lycheepost.state.watch import TableUpdate


def rows_of(version):
    if version is None:
        return ()
    document = msgspec.json.encode(make_configuration(version))
    return (ChangedRow(CONFIGURATION_KEY, document),)


def take(context, rows, at_seconds, is_whole=False, after_restore=False):
    context.era += after_restore
    context.follower.take(
        TableUpdate(
            rows,
            is_whole,
            at_seconds,
            None,
            after_restore=after_restore,
            era=context.era,
        )
    )


def start_follower(context, era):
    context.era = StoreEra(era)
    context.routing = RoutingManager()
    context.follower = OperatorFollower(
        context.routing, FakeClock(), lambda *_named: None
    )


@given("configuration {version:d} is in force, confirmed at {at_seconds:g}")
def step_in_force(context, version, at_seconds):
    start_follower(context, 0)
    take(context, rows_of(version), at_seconds, is_whole=True)
    step_confirmed(context, version, at_seconds)


@when("the store is restored and holds configuration {version:d} at {at_seconds:g}")
def step_restored(context, version, at_seconds):
    take(context, rows_of(version), at_seconds, is_whole=True, after_restore=True)


@when("the store is restored and holds no configuration at {at_seconds:g}")
def step_restored_empty(context, at_seconds):
    take(context, (), at_seconds, is_whole=True, after_restore=True)


@when("a response at {at_seconds:g} changes nothing")
def step_unchanged(context, at_seconds):
    take(context, (), at_seconds)


@when("configuration {version:d} is written at {at_seconds:g}")
def step_written(context, version, at_seconds):
    take(context, rows_of(version), at_seconds)


@then("configuration {version:d} is in force, confirmed at {at_seconds:g}")
def step_confirmed(context, version, at_seconds):
    assert context.routing.table.version == version
    assert context.routing.confirmed_seconds == at_seconds


@given(
    "a daemon starts and finds configuration {version:d} in era {era:d} at"
    " {at_seconds:g}"
)
def step_starts(context, version, era, at_seconds):
    start_follower(context, era)
    take(context, rows_of(version), at_seconds, is_whole=True)


@given(
    "a daemon starts and finds configuration {version:d} in era {era:d} at"
    " {at_seconds:g}, settled {when}"
)
def step_starts_settled(context, version, era, at_seconds, when):
    start_follower(context, era)
    if when == "before":
        context.follower.note_settled(StoreEra(era))
    take(context, rows_of(version), at_seconds, is_whole=True)
    if when == "after":
        assert context.routing.confirmed_seconds is None
        context.follower.note_settled(StoreEra(era))


@when(
    "a peer answers with the whole table and configuration {version:d} at"
    " {at_seconds:g}"
)
def step_whole(context, version, at_seconds):
    take(context, rows_of(version), at_seconds, is_whole=True)


@when("era {era:d} is known to be settled")
def step_settled(context, era):
    context.follower.note_settled(StoreEra(era))


@then("configuration {version:d} is in force and not confirmed")
def step_not_confirmed(context, version):
    assert context.routing.table.version == version
    assert context.routing.confirmed_seconds is None
