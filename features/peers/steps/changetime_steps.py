"""Steps of changetimes.feature."""

import asyncio

from behave import given, then, when
from feedcell import TABLE, Cell

from lycheepost.core.capacity import Capacity
from lycheepost.core.fleetmember import FleetMember
from lycheepost.core.ids import AvailabilityZone, DaemonId
from lycheepost.decide.feedtimes import longest_seconds, make_feed_times
from lycheepost.decide.feedtree import find_sources
from lycheepost.standin.virtualtime import VirtualTimeLoop

ROW = "target"
N_ZONES = 2
CALM_SECONDS = 8.0
SETTLED_SECONDS = 6.0
SLOW_LINK_SECONDS = 0.1
"""Delay of a slow link in one direction."""

FAULT_PHASES_SECONDS = tuple(number * 0.17 for number in range(6))
"""When the fault begins, within the turns of the daemons' requests."""

CHANGE_DELAYS_SECONDS = (-0.05, 0.0, 0.3, 0.8, 1.4, 2.5)
"""When the row changes, after the fault."""


FEW_DAEMONS = 12
LARGE_FLEET_STEP = 3
"""A large fleet is played at every third phase, for the time that a play takes."""


def make_members(n):
    return [
        FleetMember(
            DaemonId(f"daemon-{index}"),
            AvailabilityZone(f"zone-{index % N_ZONES}"),
            Capacity(1.0, 100.0),
        )
        for index in range(n)
    ]


def source_table(n):
    """Return the sources of each daemon; nobody has found any other dead yet."""
    members = make_members(n)
    names = {member.daemon for member in members}
    return {
        member.daemon: find_sources(
            member, [item for item in members if item is not member], names
        )
        for member in members
    }


def in_order(table):
    """Return the daemons, most asked first."""
    n_asked = dict.fromkeys(table, 0)
    for name in table:
        for place, source in enumerate(table[name]):
            n_asked[source] += 100 - place
    return sorted(table, key=lambda name: (bool(table[name]), -n_asked[name]))


def leaders(table):
    return {sources[0] for sources in table.values() if sources} | {
        name for name, sources in table.items() if not sources
    }


def begin_fault(cell, table, fault):
    """Begin the fault; return the daemons that are not in touch."""
    ordered = in_order(table)
    if fault.endswith(", over slow links"):
        fault = fault.removesuffix(", over slow links")
    first, second, third = ordered[:3]
    silent, refused, frozen = set(), set(), set()
    match fault:
        case "nothing fails":
            pass
        case "the first gets no answers of the store":
            silent = {first}
        case "the first gets no answers of the store and the second is frozen":
            silent, frozen = {first}, {second}
        case "the first is frozen":
            frozen = {first}
        case "the first and the second are frozen":
            frozen = {first, second}
        case "the first three are frozen":
            frozen = {first, second, third}
        case "the store refuses the first":
            refused = {first}
        case "the store refuses the first and the second is frozen":
            refused, frozen = {first}, {second}
        case "the first three get no answers of the store":
            silent = {first, second, third}
        case "the first is frozen and the second gets no answers":
            frozen, silent = {first}, {second}
        case "all leaders of groups are frozen":
            frozen = leaders(table)
        case "all leaders of groups get no answers of the store":
            silent = leaders(table)
        case _:
            raise ValueError(fault)
    for name, follower in zip(cell.names, cell.followers, strict=True):
        follower.feed.is_silent = name in silent
        follower.feed.is_cut = name in refused
        if name in frozen:
            cell.network.isolate(name)
    return silent | refused | frozen


async def play(loop, n, times, fault, phase_seconds, delay_seconds):
    """Return how long after the change each daemon in touch knew of it."""
    table = source_table(n)
    cell = Cell(loop, n, find_sources=table.__getitem__, times=times)
    cell.store.put(TABLE, ROW, b"old")
    if fault.endswith("over slow links"):
        cell.network.delay_seconds = SLOW_LINK_SECONDS
    await cell.start()
    await asyncio.sleep(CALM_SECONDS + phase_seconds + min(0.0, delay_seconds))
    if delay_seconds < 0.0:
        cell.store.put(TABLE, ROW, b"new")
        changed_seconds = loop.now_seconds()
        await asyncio.sleep(-delay_seconds)
    out_of_touch = begin_fault(cell, table, fault)
    if delay_seconds >= 0.0:
        await asyncio.sleep(delay_seconds)
        cell.store.put(TABLE, ROW, b"new")
        changed_seconds = loop.now_seconds()
    await asyncio.sleep(SETTLED_SECONDS)
    await cell.stop()
    return {
        name: follower.known_seconds.get((ROW, b"new"), float("inf")) - changed_seconds
        for name, follower in zip(cell.names, cell.followers, strict=True)
        if name not in out_of_touch
    }


@given("{n:d} daemons that follow the store by turns of {bound:g} s")
def step_daemons(context, n, bound):
    context.n_daemons, context.bound_seconds = n, bound


@when("{fault}, and a row changes at many moments around it")
def step_fault(context, fault):
    context.delays = {}
    times = make_feed_times(context.bound_seconds, context.bound_seconds + 1.0)
    phases_seconds = FAULT_PHASES_SECONDS
    if context.n_daemons > FEW_DAEMONS:
        phases_seconds = phases_seconds[::LARGE_FLEET_STEP]
    for phase_seconds in phases_seconds:
        for delay_seconds in CHANGE_DELAYS_SECONDS:
            loop = VirtualTimeLoop()
            work = play(
                loop, context.n_daemons, times, fault, phase_seconds, delay_seconds
            )
            found = loop.run_until_complete(work)
            loop.close()
            worst = max(found, key=found.__getitem__)
            context.delays[phase_seconds, delay_seconds] = (found[worst], worst)


@then("every daemon in touch knows the row within {seconds:g} s")
def step_within(context, seconds):
    late = {
        moment: (round(delay_seconds, 3), name)
        for moment, (delay_seconds, name) in context.delays.items()
        if delay_seconds > seconds
    }
    assert not late, late


OUTAGES_SECONDS = (3.0, 5.3, 7.1)
OUTAGE_PHASES_SECONDS = (0.0, 0.35, 0.7)


def begin_outage(cell, ordered, fault):
    """Begin an outage; return the daemons that are out of touch for good."""
    spared = {ordered[0]} if "but the first" in fault else set()
    for name, follower in zip(cell.names, cell.followers, strict=True):
        if name not in spared:
            follower.feed.is_cut = "refuses" in fault
            follower.feed.is_silent = "refuses" not in fault
    if "the first is frozen" in fault:
        cell.network.isolate(ordered[0])
        return {ordered[0]}
    return set()


async def play_outage(loop, n, times, fault, phase_seconds, outage_seconds):
    """Return how long after the return each daemon in touch knew of a change."""
    table = source_table(n)
    cell = Cell(loop, n, find_sources=table.__getitem__, times=times)
    cell.store.put(TABLE, ROW, b"old")
    if fault.endswith("over slow links"):
        cell.network.delay_seconds = SLOW_LINK_SECONDS
    await cell.start()
    await asyncio.sleep(CALM_SECONDS + phase_seconds)
    out_of_touch = begin_outage(cell, in_order(table), fault)
    await asyncio.sleep(outage_seconds)
    for follower in cell.followers:
        follower.feed.is_cut = follower.feed.is_silent = False
    returned_seconds = loop.now_seconds()
    await asyncio.sleep(0.5)
    cell.store.put(TABLE, ROW, b"new")
    await asyncio.sleep(SETTLED_SECONDS)
    await cell.stop()
    return {
        name: follower.known_seconds.get((ROW, b"new"), float("inf")) - returned_seconds
        for name, follower in zip(cell.names, cell.followers, strict=True)
        if name not in out_of_touch
    }


@when("{fault} for some seconds, and a row changes 0.5 s after the return")
def step_outage(context, fault):
    times = make_feed_times(context.bound_seconds, context.bound_seconds + 1.0)
    context.delays = {}
    for phase_seconds in OUTAGE_PHASES_SECONDS:
        for outage_seconds in OUTAGES_SECONDS:
            loop = VirtualTimeLoop()
            found = loop.run_until_complete(
                play_outage(
                    loop, context.n_daemons, times, fault, phase_seconds, outage_seconds
                )
            )
            loop.close()
            worst = max(found, key=found.__getitem__)
            context.delays[phase_seconds, outage_seconds] = (found[worst], worst)


@then("every daemon in touch knows the row {seconds:g} s after the return")
def step_after_return(context, seconds):
    step_within(context, seconds)


async def play_start(loop, n, times, fault, phase_seconds, delay_seconds):
    """Return when a daemon that starts knew of a change, after its start."""
    table = source_table(n)
    cell = Cell(loop, n, find_sources=table.__getitem__, times=times)
    cell.store.put(TABLE, ROW, b"old")
    await cell.start()
    await asyncio.sleep(CALM_SECONDS + phase_seconds)
    starting = in_order(table)[-1]
    index = cell.names.index(starting)
    await cell.followers[index].stop()
    begin_fault(cell, table, fault)
    cell.followers[index] = follower = cell.make(starting, None)
    await follower.exchange.link.start(follower.exchange.receive)
    await follower.shared.start()
    await follower.watch.start()
    started_seconds = loop.now_seconds()
    await asyncio.sleep(delay_seconds)
    cell.store.put(TABLE, ROW, b"new")
    await asyncio.sleep(SETTLED_SECONDS)
    await cell.stop()
    known_seconds = follower.known_seconds.get((ROW, b"new"), float("inf"))
    return known_seconds - started_seconds


@when("a daemon starts again just as {fault}, and a row changes at many moments")
def step_start(context, fault):
    times = make_feed_times(context.bound_seconds, context.bound_seconds + 1.0)
    context.known = {}
    for phase_seconds in FAULT_PHASES_SECONDS:
        for delay_seconds in (0.0, 0.3, 1.0, 1.6, 2.5):
            loop = VirtualTimeLoop()
            work = play_start(
                loop, context.n_daemons, times, fault, phase_seconds, delay_seconds
            )
            known_seconds = loop.run_until_complete(work)
            context.known[phase_seconds, delay_seconds] = known_seconds
            loop.close()


@then(
    "the daemon that has started knows the row within {start:g} s of its start, or"
    " {change:g} s of the change"
)
def step_start_known(context, start, change):
    late = {
        moment: round(known_seconds, 3)
        for moment, known_seconds in context.known.items()
        if known_seconds > max(start, moment[1] + change)
    }
    assert not late, late


@then(
    "a daemon knows a change within {bound:g} s if the store answers it within"
    " {answer:g} s"
)
def step_sum(context, bound, answer):
    times = make_feed_times(bound, bound + 1.0)
    assert longest_seconds(times, answer) <= bound
    assert times.store_hold_seconds + times.answer_seconds < times.peer_due_seconds
    assert times.peer_due_seconds < times.store_due_seconds
