"""Which report about a daemon takes precedence, and for how long; pure logic."""

from lycheepost.state.addresses import Member, MemberState, load_step

MAX_STATE_SECONDS = {
    MemberState.SUSPECT: 60.0,
    MemberState.LEAVING: 3600.0,
    MemberState.GONE: 6 * 3600.0,
}
"""Maximum time in a state without an update. A suspect daemon becomes gone after a
minute, a leaving one after an hour, well past its drain. Gone daemons are kept for six
hours: after a partition between regions of about an hour, both sides can still probe
each other until they are back. With 890 restarts a day under new names, about 220 gone
daemons are kept."""


def is_newer(received: Member, known: Member) -> bool:
    """Return whether a received member record is newer than the known one."""
    if not known.boot:
        return True
    if received.boot != known.boot:
        # The new start may be on a VM whose wall clock is behind the old one's. It is
        # accepted at the latest when the old one is no longer live.
        is_later = received.started_wall_seconds >= known.started_wall_seconds
        return is_later or known.state is not MemberState.LIVE
    return received.sequence > known.sequence


def differs(one: Member, other: Member) -> bool:
    """Return whether peers are to be notified; small changes of load do not count."""
    return (
        one.state is not other.state
        or one.boot != other.boot
        or one.callers_url != other.callers_url
        or one.peer_endpoint != other.peer_endpoint
        or one.capacity != other.capacity
        or one.unreached_groups != other.unreached_groups
        or load_step(one.load) != load_step(other.load)
    )
