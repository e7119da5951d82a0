"""Convert members to peer messages and back."""

from lycheepost.core.capacity import Capacity
from lycheepost.core.ids import AvailabilityZone, DaemonId, TargetGroupId
from lycheepost.generated.messages import PeerMember
from lycheepost.state.addresses import Member, MemberState


def to_peer_member(member: Member) -> PeerMember:
    """Return a member as a peer message."""
    return PeerMember(
        daemon=member.daemon,
        boot=member.boot,
        state=member.state.value,
        availability_zone=member.availability_zone,
        callers_url=member.callers_url,
        peer_endpoint=member.peer_endpoint,
        load=round(member.load, 2),
        sequence=member.sequence,
        started_wall_seconds=member.started_wall_seconds,
        processor_cores=member.capacity.processor_cores,
        link_mbps=member.capacity.link_mbps,
        unreached_groups=sorted(member.unreached_groups),
    )


def from_peer_member(message: PeerMember) -> Member | None:
    """Return a member, or None when its state is unknown to this release."""
    try:
        state = MemberState(message.state)
    except ValueError:
        return None
    return Member(
        daemon=DaemonId(message.daemon),
        boot=message.boot,
        state=state,
        availability_zone=AvailabilityZone(message.availability_zone),
        callers_url=message.callers_url,
        peer_endpoint=message.peer_endpoint,
        load=message.load,
        sequence=message.sequence,
        started_wall_seconds=message.started_wall_seconds,
        capacity=Capacity(message.processor_cores, message.link_mbps),
        unreached_groups=frozenset(
            TargetGroupId(name) for name in message.unreached_groups
        ),
    )
