"""Which word on a daemon counts, and for how long; pure logic."""

from lycheepost.state.addresses import Member, MemberState, load_step

MOST_SECONDS = {
    MemberState.SUSPECT: 60.0,
    MemberState.LEAVING: 3600.0,
    MemberState.GONE: 6 * 3600.0,
}
"""How long a daemon may stay in a state. A suspect that says nothing is gone after a
minute, one that leaves after an hour, well past its drain. The gone are kept for
six hours, because regions that lost each other for one probe them until they are
back; with 890 restarts a day under new names that is about 220 of them."""


def is_newer(said: Member, known: Member) -> bool:
    """Return whether what is said of a daemon is later than what is known."""
    if not known.boot:
        return True
    if said.boot != known.boot:
        # A new start may be on a VM whose wall clock is behind the old one's; it
        # counts at the latest when the old one has fallen silent.
        is_later = said.started_wall_seconds >= known.started_wall_seconds
        return is_later or known.state is not MemberState.LIVE
    return said.sequence > known.sequence


def differs(one: Member, other: Member) -> bool:
    """Return whether peers should hear of the change; a small move of load is none."""
    return (
        one.state is not other.state
        or one.boot != other.boot
        or one.callers_url != other.callers_url
        or one.peer_endpoint != other.peer_endpoint
        or one.capacity != other.capacity
        or load_step(one.load) != load_step(other.load)
    )
