"""Steps of floods.feature."""

from collections import Counter, deque

from behave import given, then, when

from lycheepost.app.fleettopology import EntryChooser, find_topology
from lycheepost.app.platformpeers import PEER_LINKS
from lycheepost.core.ids import AvailabilityZone, DaemonId
from lycheepost.peers.exchange import _peers_without_floods
from lycheepost.peers.neighbours import choose_neighbours
from lycheepost.state.addresses import Member, MemberState


def make_member(index):
    name = DaemonId(f"daemon-{index:03}")
    zone = AvailabilityZone(f"zone-{index % 3}")
    return Member(name, "boot", MemberState.LIVE, zone, "", f"tcp://{name}")


@given("{n:d} daemons, linked by rings, with quota peers and with feed sources")
def step_links(context, n):
    members = tuple(make_member(index) for index in range(n))
    context.links = {member.daemon: set() for member in members}
    context.not_flooded = {}
    context.neighbours = {}
    entry = EntryChooser().choose(members)
    for me in members:
        topology = find_topology(me, members, entry)
        names = {*topology.peers, *topology.sources}
        peers = tuple(member for member in members if member.daemon in names)
        neighbours = choose_neighbours(me.daemon, members, PEER_LINKS)
        context.neighbours[me.daemon] = {item.daemon for item in neighbours}
        context.not_flooded[me.daemon] = _peers_without_floods(
            members, neighbours, peers
        )
        for other in (*neighbours, *peers):
            context.links[me.daemon].add(other.daemon)
            context.links[other.daemon].add(me.daemon)


@when("{n:d} of them are dead and not yet detected")
def step_dead(context, n):
    names = sorted(context.links)
    step = max(1, len(names) // n) if n else len(names) + 1
    context.dead = set(names[::step][:n])


def flood(context, origin):
    """Return the copies that each living daemon gets of a flood."""
    copies = Counter()
    seen, queue = {origin}, deque([(origin, None)])
    while queue:
        me, source = queue.popleft()
        for other in context.links[me] - context.not_flooded[me] - {source}:
            is_wanted = me not in context.not_flooded[other]
            is_near = other in context.neighbours[me]
            if other in context.dead or not (is_wanted or is_near):
                continue
            copies[other] += 1
            if other not in seen:
                seen.add(other)
                queue.append((other, me))
    return copies


@then("a flood of each reaches all that are alive")
def step_reaches(context):
    living = set(context.links) - context.dead
    context.copies = {origin: flood(context, origin) for origin in living}
    for origin, copies in context.copies.items():
        assert set(copies) | {origin} == living, origin


@then("each gets at most {most:d} copies of it on average")
def step_copies(context, most):
    for copies in context.copies.values():
        assert sum(copies.values()) <= most * len(copies)
