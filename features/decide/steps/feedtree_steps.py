"""Steps of feedtree.feature."""

from collections import Counter

from behave import given, then, when

from features.decide.steps.entry_steps import NARROW, WIDE
from lycheepost.core.fleetmember import FleetMember
from lycheepost.core.ids import AvailabilityZone, DaemonId
from lycheepost.decide.feedtree import find_sources


@given("{n:d} daemons of a feed in 5 availability zones, of which {n_wide:d} are wide")
def step_daemons(context, n, n_wide):
    context.daemons = [
        FleetMember(
            DaemonId(f"daemon-{index:03}"),
            AvailabilityZone(f"zone-{index % 5}"),
            WIDE if index < n_wide else NARROW,
        )
        for index in range(n)
    ]
    context.serving = {item.daemon for item in context.daemons}


def find_all(context):
    return {
        me.daemon: find_sources(
            me, [item for item in context.daemons if item != me], context.serving
        )
        for me in context.daemons
        if me.daemon in context.serving
    }


@when("each finds whom to ask")
def step_sources(context):
    context.sources = find_all(context)


@when("the one that asks the store does not serve")
def step_root_away(context):
    context.serving -= {name for name, found in find_all(context).items() if not found}


@when("every daemon that is asked does not serve")
def step_asked_away(context):
    context.serving -= {found[0] for found in find_all(context).values() if found}


@when("every third daemon does not serve")
def step_third_away(context):
    context.serving -= {item.daemon for item in context.daemons[::3]}


@when("a daemon that nobody asks does not serve")
def step_leaf_away(context):
    asked = {name for found in context.sources.values() for name in found}
    context.away = next(name for name in context.sources if name not in asked)
    context.serving.discard(context.away)


@then("all others ask whom they asked before")
def step_unmoved(context):
    before = {
        name: found for name, found in context.sources.items() if name != context.away
    }
    assert find_all(context) == before


def steps_to_store(sources, name):
    n_steps = 0
    while sources[name]:
        name = sources[name][0]
        n_steps += 1
        assert n_steps <= len(sources), "the sources form a cycle"
    return n_steps


@then("one daemon asks the store, and each other is at most {most:d} steps from it")
def step_steps(context, most):
    roots = [name for name, found in context.sources.items() if not found]
    assert len(roots) == 1, roots
    assert max(steps_to_store(context.sources, name) for name in context.sources) <= (
        most
    )


@then("none is asked by more than {most:d} others")
def step_askers(context, most):
    askers = Counter(found[0] for found in context.sources.values() if found)
    assert max(askers.values(), default=0) <= most, askers


@then("each daemon asks a wide one first")
def step_wide(context):
    wide = {item.daemon for item in context.daemons if item.capacity == WIDE}
    assert all(found[0] in wide for found in context.sources.values() if found)


@then("nobody asks those that do not serve")
def step_serving(context):
    assert all(
        name in context.serving for found in context.sources.values() for name in found
    )
