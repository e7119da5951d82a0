"""Steps of cells.feature."""

from collections import Counter
from dataclasses import replace

from behave import given, then, when

from features.decide.steps.common import Desk, make_view
from lycheepost.core.ids import AvailabilityZone, DaemonId
from lycheepost.decide.cells import (
    Cell,
    Peer,
    Place,
    find_cell,
    find_reaches,
    find_sources,
    follows_stores,
)
from lycheepost.decide.peerloads import PeerLoads
from lycheepost.decide.records import Reach, TargetState


def zone_of(index):
    return AvailabilityZone(f"zone-{index % 3}")


def make_peers(n):
    return [Peer(DaemonId(f"daemon-{index:03}"), zone_of(index)) for index in range(n)]


def make_targets(n):
    return [
        replace(make_view(index, limit=64), availability_zone=zone_of(index))
        for index in range(n)
    ]


def set_reach(views, cell):
    """Return the views with what each target is to the cell."""
    places = [
        Place(view.target, view.target_group, view.availability_zone) for view in views
    ]
    reaches = find_reaches(places, cell)
    return [replace(view, reach=reaches[view.target]) for view in views]


@given("{n:d} daemons in 3 availability zones")
def step_daemons(context, n):
    context.daemons = make_peers(n)


@when("each finds its cell")
def step_cells(context):
    context.cells = {
        peer.daemon: find_cell(peer, context.daemons) for peer in context.daemons
    }


@when("each finds whether it follows the KV stores")
def step_followers(context):
    names = [peer.daemon for peer in context.daemons]
    # Each knows the others in an order of its own.
    context.followers = [
        name
        for index, name in enumerate(names)
        if follows_stores(name, names[index:] + names[:index])
    ]


@then("{n:d} of them do")
def step_n_followers(context, n):
    assert len(context.followers) == n, context.followers


@then("there are {n_cells:d} cells of {least:d} to {most:d} daemons")
def step_sizes(context, n_cells, least, most):
    sizes = Counter(cell.number for cell in context.cells.values())
    assert len(sizes) == n_cells, sizes
    assert min(sizes.values()) >= least and max(sizes.values()) <= most, sizes


@then("daemons of one cell name each other, and nobody else")
def step_mates(context):
    for name, cell in context.cells.items():
        others = {
            other
            for other, found in context.cells.items()
            if found.number == cell.number and other != name
        }
        assert set(cell.mates) == others


@when("each finds what {n:d} targets are to its cell")
def step_reaches(context, n):
    step_cells(context)
    targets = make_targets(n)
    context.near = {
        name: {
            view.target for view in set_reach(targets, cell) if view.reach != Reach.FAR
        }
        for name, cell in context.cells.items()
    }
    context.targets = [view.target for view in targets]


@then("each target is near to the daemons of {n_cells:d} cells")
def step_near(context, n_cells):
    for target in context.targets:
        cells = {
            context.cells[name].number
            for name, near in context.near.items()
            if target in near
        }
        assert len(cells) in (n_cells, n_cells + 1), (target, cells)


@then("each daemon has at least {least:d} near targets")
def step_least(context, least):
    assert min(len(near) for near in context.near.values()) >= least


@then("at least {tenths:d} in 10 of all cells' pairs lie in one zone")
def step_zones(context, tenths):
    zones = {peer.daemon: peer.availability_zone for peer in context.daemons}
    pairs = [
        zones[name] == zones[mate]
        for name, cell in context.cells.items()
        for mate in cell.mates
    ]
    assert 10 * sum(pairs) >= tenths * len(pairs), sum(pairs) / len(pairs)


@when("each finds whom to ask")
def step_sources(context):
    step_cells(context)
    find_all_sources(context, set(context.cells))


def find_all_sources(context, serving):
    context.serving = serving
    context.sources = {
        name: find_sources(name, cell, serving)
        for name, cell in context.cells.items()
        if name in serving
    }


@when("those that ask nobody do not serve")
def step_first_away(context):
    away = {name for name, sources in context.sources.items() if not sources}
    find_all_sources(context, set(context.cells) - away)


@then("one daemon of each cell asks nobody, and all others ask it first")
def step_one_source(context):
    for number in {cell.number for cell in context.cells.values()}:
        sources = {
            name: found
            for name, found in context.sources.items()
            if context.cells[name].number == number
        }
        first = [name for name, found in sources.items() if not found]
        assert len(first) == 1, first
        assert {found[0] for found in sources.values() if found} == set(first)


@then("it is the same whichever of them serve")
def step_same(context):
    for peer in context.daemons:
        others = [item for item in context.daemons if item != peer]
        assert find_cell(peer, others) == context.cells[peer.daemon]


def announce(desk, cell, targets):
    desk.views = dict(enumerate(set_reach(targets, cell)))
    desk.announce()


@given("a daemon of a cell with 3 of 12 targets")
def step_cell(context):
    context.desk = Desk(0)
    announce(context.desk, Cell(number=1, n_cells=4), make_targets(12))
    context.n_asked = 0


@when("all targets of its cell are gone")
def step_gone(context):
    desk = context.desk
    desk.views = {
        index: view
        if view.reach is Reach.FAR
        else replace(view, state=TargetState.GONE)
        for index, view in desk.views.items()
    }
    desk.announce()


def sent_far(context):
    far = {
        view.target for view in context.desk.views.values() if view.reach is Reach.FAR
    }
    return sum(target in far for target in context.desk.sent.values())


@then("all of them went to its cell")
def step_own(context):
    assert len(context.desk.sent) == context.n_asked
    assert sent_far(context) == 0


@then("some of them went to other cells")
def step_others(context):
    assert 0 < sent_far(context) < context.n_asked, sent_far(context)


@then("none is refused")
def step_none_refused(context):
    assert not context.desk.refused and len(context.desk.sent) == context.n_asked


@given("{n:d} daemons in {n_cells:d} cells before {n_targets:d} targets, that {tell}")
def step_fleet(context, n, n_cells, n_targets, tell):
    context.desks = [Desk(0) for _ in range(n)]
    context.peers = [PeerLoads() for _ in range(n)]
    context.numbers = [index * n_cells // n for index in range(n)]
    for desk, number in zip(context.desks, context.numbers, strict=True):
        announce(desk, Cell(number, n_cells), make_targets(n_targets))


def tell_cell(context, number):
    """Let one daemon's load be known to the others of its cell."""
    loads = context.desks[number].scheduler.under_way()
    for index, desk in enumerate(context.desks):
        if index == number or context.numbers[index] != context.numbers[number]:
            continue
        peers = context.peers[index]
        peers.observe(DaemonId(str(number)), loads, desk.now_seconds)
        for view in desk.views.values():
            if view.reach is Reach.CELL:
                load = peers.at(view.target, desk.now_seconds)
                desk.scheduler.note_others(view.target, load, desk.now_seconds)


@when("each of them gets {count:d} requests, one at a time in turn")
def step_requests(context, count):
    for index in range(count):
        for number, desk in enumerate(context.desks):
            desk.arrive(f"{number}-{index}")
            tell_cell(context, number)


@then("the busiest of all targets has at most {ratio:g} times the mean")
def step_spread(context, ratio):
    sent = Counter(target for desk in context.desks for target in desk.sent.values())
    mean = sum(sent.values()) / 18
    assert max(sent.values()) <= ratio * mean, sent
