"""Steps of ownpaths.feature."""

import random
from collections import Counter

from behave import given, then, when

from lycheepost.core.ids import TargetId
from lycheepost.decide.ownpaths import (
    DOUBTED_SECONDS,
    PROBED_TARGETS,
    OwnPaths,
    ProbeEnd,
    may_be_silent,
)

NOW_SECONDS = 100.0


def probe(paths, n_probed, n_reached, is_late=False):
    probed = [TargetId(f"t{number}") for number in range(n_probed)]
    paths.note_probe(probed, probed[:n_reached], NOW_SECONDS, is_late)


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
        context.paths.note_failed(TargetId(f"t{number}"), NOW_SECONDS)
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
    probe(context.paths, n_probed, 0, is_late=True)


@when("connections to {n:d} of {n_all:d} targets fail and a probe is due")
def step_some_failed(context, n, n_all):
    context.targets = [TargetId(f"t{number}") for number in range(n_all)]
    context.sound = set(context.targets[n:])
    for target in context.targets[:n]:
        context.paths.note_failed(target, NOW_SECONDS)


def draw(context, now_seconds):
    rng = random.Random(1)
    return [
        context.paths.choose_probed(context.targets, now_seconds, rng)
        for _ in range(200)
    ]


@then("the {n:d} other targets are probed first")
def step_sound_first(context, n):
    for probed in draw(context, NOW_SECONDS + 0.1):
        assert set(probed[:n]) == context.sound, probed
        assert len(set(probed)) == PROBED_TARGETS


@then("{seconds:g} s later all are probed alike")
def step_alike(context, seconds):
    assert seconds == DOUBTED_SECONDS
    found = draw(context, NOW_SECONDS + seconds + 0.1)
    counts = Counter(target for probed in found for target in probed)
    assert len(counts) == len(context.targets), counts
    assert max(counts.values()) <= 2 * min(counts.values()), counts


@then("targets that are {ends} and heard elsewhere: {heard} may be silent: {silent}")
def step_may_be_silent(context, ends, heard, silent):
    found = {
        TargetId(f"t{number}"): ProbeEnd(end)
        for number, end in enumerate(ends.split(", "))
    }
    assert may_be_silent(found, heard == "yes") == (silent == "yes")


def probe_in_time(context, started, ended, n_reached, may_be_silent, is_late=False):
    probed = [TargetId(f"t{number}") for number in range(4)]
    context.now_seconds = NOW_SECONDS + ended
    context.paths.note_probe(
        probed,
        probed[:n_reached],
        context.now_seconds,
        is_late,
        NOW_SECONDS + started if may_be_silent else None,
    )


@when("a probe from {started:g} s to {ended:g} s reaches nobody, nor do peers")
def step_nobody(context, started, ended):
    probe_in_time(context, started, ended, 0, may_be_silent=True)


@when("a late probe from {started:g} s to {ended:g} s reaches nobody, nor do peers")
def step_nobody_late(context, started, ended):
    probe_in_time(context, started, ended, 0, may_be_silent=True, is_late=True)


@when("a probe from {started:g} s to {ended:g} s reaches nobody, but a peer does")
def step_peer(context, started, ended):
    probe_in_time(context, started, ended, 0, may_be_silent=False)


@when("a probe from {started:g} s to {ended:g} s reaches a target")
def step_target(context, started, ended):
    probe_in_time(context, started, ended, 1, may_be_silent=False)


@then("the group is silent")
def step_group_silent(context):
    assert context.paths.is_silent(context.now_seconds)
    assert not context.paths.are_lost


@then("neither is the group silent nor are the paths lost")
def step_neither(context):
    assert not context.paths.is_silent(context.now_seconds)
    assert not context.paths.are_lost


@then("the next probe begins {seconds:g} s after it")
def step_next_begins(context, seconds):
    assert context.paths.is_probed_again
    assert context.paths.probe_wait_seconds(context.now_seconds) == seconds
