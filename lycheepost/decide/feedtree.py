"""The tree of daemons through which the contents of the platform's store are fetched.

Two hundred daemons need the configuration, the targets and the confirmation of keys
within a second. If each of them, or one of every eight, polled the store, most calls to
the store would be these polls. So the daemons are divided into groups within one
availability zone. The leader of a group asks the leaders of the groups before it, the
other members ask their leader, and only the first leader of all asks the store.

Unavailable daemons are skipped, and the next in order takes their place. The order is
the same for all daemons that know the same members, so there are no cycles. If member
lists differ and a cycle forms, the store no longer confirms the data that circulates in
it. The data exceeds its maximum age and is then no longer passed on.
"""

from collections import defaultdict
from collections.abc import Container, Iterable

from lycheepost.core.fleetmember import FleetMember
from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import AvailabilityZone, DaemonId

GROUP_DAEMONS = 24
"""Daemons of a group. Its leader answers each of the others three times a second for
each of two tables, that is 140 short messages a second, which a small VM can carry."""

ONE_GROUP_DAEMONS = 12
"""A fleet of up to this size is one group."""

MAX_SOURCES = 3
"""Daemons that are asked in turn before falling back to the store."""


def find_sources(
    me: FleetMember, members: Iterable[FleetMember], serving: Container[DaemonId]
) -> tuple[DaemonId, ...]:
    """Return the daemons to ask, best first; empty for the one that asks the store.

    Args:
        me: The daemon that asks.
        members: All other daemons, including those that cannot serve now, since
            leaving them out would change the groups of all others.
        serving: The daemons that serve now; the others may be unreachable.
    """
    groups = _make_groups({item.daemon: item for item in (me, *members)}.values())
    own = next(group for group in groups if me in group)
    before = _before(me, own, serving)
    if not before:
        candidates = [_leader(group, me, serving) for group in groups]
        leaders = sorted(
            (item for item in candidates if item is not None), key=_order_key
        )
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
        # Assigned round-robin, so that each group gets some of the zone's large VMs.
        groups += [found[number::n_groups] for number in range(n_groups)]
    return groups


def _order_key(member: FleetMember) -> tuple[float, int]:
    """Order by link capacity: twenty full reads would saturate a slow link."""
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
