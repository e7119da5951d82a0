"""Select the daemons to open links to; pure logic.

A full mesh of 540 daemons would be 145,000 links, each with heartbeats. Instead
the daemons form ``fanout`` rings, each in its own pseudo-random order, and each
daemon opens a link to its successor in each ring. Every daemon has about
``2 * fanout`` links and none has many more; each ring alone connects the fleet, and
a flood reaches 540 daemons in four to five hops. Rendezvous hashing balances worse:
some daemons are chosen by three times as many as others and send 3.5 KB a second
where the mean is 1.9.

All rings but the last stay within one availability zone where that has enough daemons.
A flood then crosses between zones once for each daemon instead of three times, which is
most of the traffic between zones when two hundred daemons start at once.
"""

from collections.abc import Iterable

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import DaemonId
from lycheepost.state.addresses import Member, MemberState

LINKED_STATES = (MemberState.LIVE, MemberState.LEAVING)
"""States of daemons to link with. A daemon that is leaving, or reports that it cannot
serve at present, still exchanges messages and forwards them. If a whole fleet cannot
serve, as before the first configuration, each daemon would otherwise close its links
and not learn when the others return."""

MIN_ZONE_RING_DAEMONS = 8
"""Minimum number of other daemons in a zone for rings of its own. With fewer, two that
fail at once are often adjacent in both of its rings."""


def choose_neighbours(
    me: DaemonId, members: Iterable[Member], fanout: int
) -> tuple[Member, ...]:
    """Return the members to open links to: the successor in each ring.

    A daemon that joins or leaves changes the links of its predecessors only.
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
    """Return a suspect or gone member to contact, a different one each turn.

    Without probes, two regions that were partitioned for an hour would never link
    again: each side has marked the other as gone.
    """
    candidates = sorted(
        (
            member
            for member in members
            if member.state in (MemberState.SUSPECT, MemberState.GONE)
            and member.daemon != me
            and member.peer_endpoint
        ),
        key=lambda member: member.daemon,
    )
    if not candidates:
        return None
    return candidates[(turn + hash_bytes(me.encode())) % len(candidates)]
