"""Steps of ownpaths.feature."""

from behave import given, then, when

from lycheepost.core.ids import TargetId
from lycheepost.decide.ownpaths import OwnPaths

NOW_SECONDS = 100.0


def probe(paths, n_probed, n_reached):
    reached = [TargetId(f"t{number}") for number in range(n_reached)]
    paths.note_probe(n_probed, reached, NOW_SECONDS)


@given("a daemon with paths")
def step_with_paths(context):
    context.paths = OwnPaths()


@given("a daemon without paths")
def step_without_paths(context):
    context.paths = OwnPaths()
    probe(context.paths, 4, 0)


@when("a probe of {n_probed:d} targets reaches {n_reached:d}")
def step_probe(context, n_probed, n_reached):
    probe(context.paths, n_probed, n_reached)


@when("connections to {n:d} targets fail and one gets a response")
def step_clear(context, n):
    for number in range(n):
        context.paths.note_failed(TargetId(f"t{number}"))
    context.paths.note_answered()


@then("its paths are lost")
def step_lost(context):
    assert context.paths.are_lost


@then("its paths work")
def step_work(context):
    assert not context.paths.are_lost


@then("its paths are lost: {stay}")
def step_stay(context, stay):
    assert context.paths.are_lost == (stay == "yes")


@then("the next probe may begin after {seconds:g} s")
def step_next(context, seconds):
    assert context.paths.probe_wait_seconds(NOW_SECONDS) == seconds


@then("no target counts as failed")
def step_cleared(context):
    assert not context.paths.failed


@when("a late probe of {n_probed:d} targets reaches 0")
def step_late(context, n_probed):
    context.paths.note_probe(n_probed, [], NOW_SECONDS, is_late=True)
