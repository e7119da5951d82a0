"""Rank the daemons that divide what targets can take.

All daemons rank each other by name, so that each finds its own place without asking.

Pure logic: no clock, no I/O.
"""

from collections.abc import Collection

from lycheepost.core.ids import DaemonId, TargetGroupId
from lycheepost.decide.brittle import FleetPosition
from lycheepost.state.addresses import Member, MemberState


def fleet_position(
    me: DaemonId,
    members: Collection[Member],
    entry: Collection[DaemonId],
    target_groups: Collection[TargetGroupId],
    min_daemons: int = 1,
) -> FleetPosition:
    """Return the place of a daemon among those that send requests to targets.

    A daemon that reaches no group sends none. Entry daemons carry the traffic; the
    others rank behind them.

    Args:
        me: The daemon.
        members: All known daemons.
        entry: The entry daemons.
        target_groups: All target groups.
        min_daemons: Daemons to assume while their number is not known.
    """
    wanted = frozenset(target_groups)
    sending = {
        member.daemon
        for member in members
        if member.state is not MemberState.GONE
        and not (wanted and wanted <= member.unreached_groups)
    } | {me}
    carrying = sorted(sending & set(entry)) or sorted(sending)
    others = sorted(sending - set(carrying))
    rank = (carrying + others).index(me)
    return FleetPosition(rank, max(min_daemons, len(carrying)))
