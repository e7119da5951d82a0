"""Choose the peers that serve the callers of a daemon without paths to targets.

The same peers are asked beforehand whether the targets are silent for all daemons.

Pure logic: no clock, no I/O.
"""

import random
from collections.abc import Collection

from lycheepost.core.ids import AvailabilityZone, DaemonId, TargetGroupId
from lycheepost.state.addresses import Member, MemberState

MIN_NEAR_RELAYS = 2
"""Peers of the own availability zone from which it alone is used. A single peer would
get all requests of its neighbour on top of its own."""

MAX_ASKED = 8
"""Peers that are asked whether they hear from the targets of a group, whatever the size
of the fleet."""

N_ASKED_STANDBY = 2
"""How many of them are standby daemons, if there are."""


def choose_relays(
    me: DaemonId,
    target_group: TargetGroupId,
    zone: AvailabilityZone,
    members: Collection[Member],
    entry: Collection[DaemonId],
    rng: random.Random,
) -> tuple[Member, ...]:
    """Return the peers that may serve a request, in the order in which to try them.

    Entry daemons come first, as they know the load of the targets. Among them those of
    the own availability zone come first, each order being random.

    Args:
        me: This daemon.
        target_group: The target group of the request.
        zone: Its availability zone.
        members: All known daemons.
        entry: The entry daemons.
        rng: Draws the order.
    """
    usable = [
        member
        for member in members
        if member.state is MemberState.LIVE
        and target_group not in member.unreached_groups
        and member.callers_url
        and member.daemon != me
    ]
    usable = [member for member in usable if member.daemon in entry] or usable
    rng.shuffle(usable)
    near = [member for member in usable if member.availability_zone == zone]
    if len(near) < MIN_NEAR_RELAYS:
        return tuple(usable)
    return (*near, *(member for member in usable if member not in near))


def choose_asked(
    me: DaemonId,
    target_group: TargetGroupId,
    zone: AvailabilityZone,
    members: Collection[Member],
    entry: Collection[DaemonId],
    rng: random.Random,
) -> tuple[DaemonId, ...]:
    """Return the peers to ask whether they hear from the targets of a group.

    Entry daemons usually hear something. Some of other availability zones and some
    standby daemons are asked as well, since a whole zone, or all entry daemons, may
    lose their paths.

    Args:
        me: This daemon.
        target_group: The target group.
        zone: The availability zone of this daemon.
        members: The daemons that can be asked.
        entry: The entry daemons.
        rng: Draws among equal ones.
    """
    found = choose_relays(me, target_group, zone, members, entry, rng)
    chosen = {item.daemon for item in found}
    left = [item for item in members if item.daemon not in chosen]
    standby = choose_relays(me, target_group, zone, left, (), rng)[:N_ASKED_STANDBY]
    near = [item.daemon for item in found if item.availability_zone == zone]
    far = [item.daemon for item in found if item.availability_zone != zone]
    n_left = MAX_ASKED - len(standby)
    asked = near[: max(n_left // 2, n_left - len(far))]
    asked += far[: n_left - len(asked)]
    return (*asked, *(item.daemon for item in standby))
