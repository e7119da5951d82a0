"""Steps of entry.feature."""

from collections import Counter

from behave import given, then, when

from features.decide.steps.common import SchedulerDriver, make_view
from lycheepost.core.capacity import Capacity
from lycheepost.core.fleetmember import FleetMember
from lycheepost.core.ids import AvailabilityZone, DaemonId
from lycheepost.decide.entry import (
    choose_entry,
    follows_engines,
    follows_stores,
    lacks_entry_daemons,
)
from lycheepost.decide.peerloads import PeerLoads

WIDE = Capacity(processor_cores=2.15, link_mbps=100.0)
NARROW = Capacity(processor_cores=0.516, link_mbps=10.0)


def zone_of(index):
    return AvailabilityZone(f"zone-{index % 3}")


def make_daemons(n, n_wide):
    return [
        FleetMember(
            DaemonId(f"daemon-{index:03}"),
            zone_of(index),
            WIDE if index < n_wide else NARROW,
        )
        for index in range(n)
    ]


@given("{n:d} daemons in 3 availability zones, of which {n_wide:d} are wide")
def step_daemons(context, n, n_wide):
    context.daemons = make_daemons(n, n_wide)


@when("the entry daemons of {n:d} targets are chosen")
def step_choose(context, n):
    context.n_targets = n
    context.entry = choose_entry(context.daemons, n)
    context.chosen = [item for item in context.daemons if item.daemon in context.entry]


@when("all wide ones of one zone are missed")
def step_zone_missed(context):
    context.daemons = [
        item
        for item in context.daemons
        if item.capacity != WIDE or item.availability_zone != zone_of(0)
    ]


@then("there are {n:d} entry daemons")
def step_count(context, n):
    assert len(context.entry) == n, len(context.entry)


@then("each availability zone has one")
def step_zones(context):
    zones = {item.availability_zone for item in context.daemons}
    assert {item.availability_zone for item in context.chosen} == zones


@then("{n:d} of them are wide")
def step_wide(context, n):
    assert sum(item.capacity == WIDE for item in context.chosen) == n


@then("each daemon chooses the same, in whatever order it knows the others")
def step_same(context):
    for index in range(len(context.daemons)):
        known = context.daemons[index:] + context.daemons[:index]
        assert choose_entry(known, context.n_targets) == context.entry


@when("each of them in turn is missed")
def step_missed(context):
    context.without = {
        name: choose_entry(
            [item for item in context.daemons if item.daemon != name],
            context.n_targets,
        )
        for name in context.entry
    }


@then("one other takes its place, and the rest stays")
def step_replaced(context):
    for name, entry in context.without.items():
        assert len(entry) == len(context.entry)
        assert context.entry - entry == {name}, context.entry - entry


@then("{n_followers:d} of them follow the KV stores and {n_engines:d} the engines")
def step_followers(context, n_followers, n_engines):
    names = [item.daemon for item in context.daemons]
    stores = [name for name in names if follows_stores(name, context.entry)]
    engines = [name for name in names if follows_engines(name, context.entry)]
    assert len(stores) == n_followers, stores
    assert len(engines) == n_engines, engines


@given(
    "{n:d} daemons before {n_targets:d} targets that exchange their load and "
    "their placements"
)
def step_fleet(context, n, n_targets):
    context.n_targets = n_targets
    context.drivers = [SchedulerDriver(0) for _ in range(n)]
    context.peers = [PeerLoads() for _ in range(n)]
    for driver in context.drivers:
        driver.views = {index: make_view(index, limit=64) for index in range(n_targets)}
        driver.announce()


def send_to_others(context, number):
    """Send one daemon's load and placements to the others."""
    sender = context.drivers[number].scheduler
    loads, placed = sender.under_way(), sender.take_placed()
    for index, driver in enumerate(context.drivers):
        if index == number:
            continue
        peers = context.peers[index]
        peers.observe(DaemonId(str(number)), loads, driver.now_seconds)
        for view in driver.views.values():
            load = peers.at(view.target, driver.now_seconds)
            driver.scheduler.set_peer_load(view.target, load, driver.now_seconds)
        for item in placed:
            driver.scheduler.note_placed(item)


@when("each of them gets {count:d} requests, one at a time in turn")
def step_requests(context, count):
    for index in range(count):
        for number, driver in enumerate(context.drivers):
            driver.arrive(f"{number}-{index}")
            send_to_others(context, number)


@when("each of them gets {count:d} requests of one album, one at a time in turn")
def step_album(context, count):
    for index in range(count):
        for number, driver in enumerate(context.drivers):
            driver.arrive(f"{number}-{index}", body="album")
            send_to_others(context, number)


@then("at most {n:d} targets have read the album")
def step_album_targets(context, n):
    targets = {target for driver in context.drivers for target in driver.sent.values()}
    assert len(targets) <= n, targets


@then("the busiest of all targets has at most {ratio:g} times the mean")
def step_spread(context, ratio):
    sent = Counter(
        target for driver in context.drivers for target in driver.sent.values()
    )
    mean = sum(sent.values()) / context.n_targets
    assert max(sent.values()) <= ratio * mean, sent


@then("with {entry:d} of {n:d} daemons to name, an answer is to be kept {how}")
def step_kept(context, entry, n, how):
    assert lacks_entry_daemons(entry, n) == (how == "briefly")
