"""Whom a daemon asks for what the platform's store tells.

The load: two hundred daemons need the configuration, the targets and the confirmation
of keys within a second. Were each to ask the store, or one of every eight, most calls
to it would be that. So the daemons are divided into groups, each within one
availability zone. The first of a group asks the first ones of the groups before it,
all others ask their own first one, and only the very first of all asks the store.

Whoever is missed is left out, and the next in order takes its place. The order is the
same for all daemons that know the same members, so nobody asks in a circle; where two
know different ones, an answer that rests on no answer of the store grows old and is
no longer passed on.
"""

from collections import defaultdict
from collections.abc import Container, Iterable

from lycheepost.core.fleetmember import FleetMember
from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import AvailabilityZone, DaemonId

GROUP_DAEMONS = 24
"""Daemons of a group. Its first one answers each of the others three times a second for
two tables: 140 short messages a second, which a narrow VM can carry."""

ONE_GROUP_DAEMONS = 12
"""A fleet of up to so many is one group."""

MAX_SOURCES = 3
"""Daemons that are asked in turn before the store is."""


def find_sources(
    me: FleetMember, members: Iterable[FleetMember], serving: Container[DaemonId]
) -> tuple[DaemonId, ...]:
    """Return whom to ask, best first; nobody for the one that asks the store.

    Args:
        me: Who asks.
        members: All other daemons, also those that cannot serve for a moment: left
            out, they would move the groups of all others.
        serving: The daemons that serve now; one that does not may be cut off.
    """
    groups = _make_groups({item.daemon: item for item in (me, *members)}.values())
    own = next(group for group in groups if me in group)
    before = _before(me, own, serving)
    if not before:
        firsts = [_leader(group, me, serving) for group in groups]
        leaders = sorted((item for item in firsts if item is not None), key=_order_key)
        before = _before(me, leaders, serving)
    return tuple(item.daemon for item in before[:MAX_SOURCES])


def _make_groups(members: Iterable[FleetMember]) -> list[list[FleetMember]]:
    """Return the groups, each in the order in which its members are asked."""
    ordered = sorted(members, key=_order_key)
    if len(ordered) <= ONE_GROUP_DAEMONS:
        return [ordered]
    by_zone: dict[AvailabilityZone, list[FleetMember]] = defaultdict(list)
    for member in ordered:
        by_zone[member.availability_zone].append(member)
    groups: list[list[FleetMember]] = []
    for _, found in sorted(by_zone.items()):
        n_groups = max(1, round(len(found) / GROUP_DAEMONS))
        # Dealt out in turn, so that each group gets some of the zone's wide VMs.
        groups += [found[number::n_groups] for number in range(n_groups)]
    return groups


def _order_key(member: FleetMember) -> tuple[float, int]:
    """Order by width: a narrow link would be full of a whole read by twenty others."""
    return -member.capacity.link_mbps, hash_bytes(member.daemon.encode())


def _leader(
    group: list[FleetMember], me: FleetMember, serving: Container[DaemonId]
) -> FleetMember | None:
    return next((item for item in group if item is me or item.daemon in serving), None)


def _before(
    me: FleetMember, ordered: list[FleetMember], serving: Container[DaemonId]
) -> list[FleetMember]:
    """Return the serving daemons before ``me``."""
    return [item for item in ordered[: ordered.index(me)] if item.daemon in serving]
