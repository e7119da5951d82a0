"""Whom to hold links with; pure logic.

A full mesh of 540 daemons would be 145,000 links, each with heartbeats. Instead
the daemons stand in ``fanout`` rings, each in its own pseudo-random order, and
everybody opens a link to its successor in each ring. So every daemon has about
``2 * fanout`` links, none has many more, each ring alone connects the fleet, and
a message floods 540 daemons in four to five steps. Rendezvous hashing was tried
first: some daemons were then chosen by three times as many as others and spent
3.5 KB a second where the mean was 1.9.

All rings but the last go around one availability zone where that has enough daemons:
a flood then crosses between zones once for each daemon and not three times, and when
two hundred start at once that is most of what crosses.
"""

from collections.abc import Iterable

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import DaemonId
from lycheepost.state.addresses import Member, MemberState

LINKED_STATES = (MemberState.LIVE, MemberState.LEAVING)
"""A daemon that leaves, or says that it cannot serve for now, still passes news on, and
must hear and be heard. When all of a fleet cannot serve, as before the first
configuration, each would otherwise close its links and hear of nobody's return."""

MIN_ZONE_RING_DAEMONS = 8
"""Other daemons of a zone from which on it has rings of its own. In a ring of fewer,
two that die at once often lie next to each other in both of its rings."""


def choose_neighbours(
    me: DaemonId, members: Iterable[Member], fanout: int
) -> tuple[Member, ...]:
    """Return the members to open links to: the next one in each ring.

    One daemon that comes or goes changes the link of its predecessors only.
    """
    known = tuple(members)
    zone = next((item.availability_zone for item in known if item.daemon == me), None)
    by_name = {
        member.daemon: member
        for member in known
        if member.daemon != me
        and member.peer_endpoint
        and member.state in LINKED_STATES
    }
    same_zone = [
        name for name, item in by_name.items() if item.availability_zone == zone
    ]
    rings = [same_zone if len(same_zone) >= MIN_ZONE_RING_DAEMONS else by_name] * (
        fanout - 1
    ) + [by_name]
    chosen = {
        _successor(me, names, ring): None for ring, names in enumerate(rings) if names
    }
    return tuple(by_name[name] for name in chosen)


def _successor(me: DaemonId, names: Iterable[DaemonId], ring: int) -> DaemonId:
    """Return the name that follows ``me`` in the order of one ring."""
    position = hash_bytes(me.encode(), ring)
    ahead = [(hash_bytes(name.encode(), ring), name) for name in names]
    later = [item for item in ahead if item[0] > position]
    return min(later or ahead)[1]


def choose_probe(me: DaemonId, members: Iterable[Member], turn: int) -> Member | None:
    """Return one member that seems dead, a different one each turn.

    Without this two regions that lost each other for an hour would never look
    for each other again: each side has taken the other for gone.
    """
    doubtful = sorted(
        (
            member
            for member in members
            if member.state in (MemberState.SUSPECT, MemberState.GONE)
            and member.daemon != me
            and member.peer_endpoint
        ),
        key=lambda member: member.daemon,
    )
    if not doubtful:
        return None
    return doubtful[(turn + hash_bytes(me.encode())) % len(doubtful)]
