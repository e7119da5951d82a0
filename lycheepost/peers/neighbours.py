"""Whom to hold links with; pure logic.

A full mesh of 540 daemons would be 145,000 links, each with heartbeats. Each
daemon opens ``fanout`` links and accepts those of others, about ``2 * fanout``
in all. Such a random graph of 540 nodes is connected with near certainty, and a
message floods it in three to four steps.
"""

from collections.abc import Iterable

from lycheepost.core.hashing import hash_bytes, rendezvous_order
from lycheepost.core.ids import DaemonId
from lycheepost.state.addresses import Member, MemberState


def choose_neighbours(
    me: DaemonId, members: Iterable[Member], fanout: int
) -> tuple[Member, ...]:
    """Return the members to open links to.

    The choice is by rendezvous hashing from this daemon's name, so it changes
    only when a chosen one goes or a higher one comes. Leaving daemons are still
    linked while they drain only if nobody else is left.
    """
    by_name = {
        str(member.daemon): member
        for member in members
        if member.daemon != me and member.peer_endpoint
    }
    live = [name for name, item in by_name.items() if item.state is MemberState.LIVE]
    ordered = rendezvous_order(hash_bytes(me.encode()), live)
    return tuple(by_name[name] for name in ordered[:fanout])


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
