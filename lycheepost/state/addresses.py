"""Choose the daemons that a caller is to use, in order of preference.

Each customer is assigned a subset of the daemons (shuffle sharding by rendezvous
hashing). The state of a daemon thus grows with the customers it serves and not with the
fleet, and a traffic surge of one customer reaches only its own subset. Every daemon
still serves every customer: an outdated response, or one from a daemon with another
view of the members, keeps working.

Pure logic: no clock, no I/O.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from lycheepost.core.capacity import UNKNOWN_CAPACITY, Capacity
from lycheepost.core.hashing import hash_bytes, rendezvous_order
from lycheepost.core.ids import AvailabilityZone, CustomerId, DaemonId, TargetGroupId

SHARD_DAEMONS = 8
"""Minimum daemons per customer in a large fleet. With 540 daemons and 990 customers,
each daemon serves about 15 customers, and a customer survives the loss of any
availability zone and of most of its daemons."""
SHARD_SURPLUS = 2.0
"""Factor on the number of daemons that a customer's share of all traffic needs."""


class MemberState(Enum):
    """State of a daemon as seen by callers and peers."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Member:
    """One daemon.

    Attributes:
        boot: Changes with each start.
        load: Share of its capacity in use, 0 to 1.
        sequence: Increases with each announcement of this boot.
        capacity: Capacity of its VM.
        unreached_groups: Target groups of which it reaches no target itself.
    """

    daemon: DaemonId
    boot: str
    state: MemberState
    availability_zone: AvailabilityZone
    callers_url: str
    peer_endpoint: str
    load: float = 0.0
    sequence: int = 0
    started_wall_seconds: float = 0.0
    capacity: Capacity = UNKNOWN_CAPACITY
    unreached_groups: frozenset[TargetGroupId] = frozenset()


@dataclass(frozen=True, slots=True)
class Address:
    """Where a caller may connect."""

    url: str
    daemon: DaemonId
    availability_zone: AvailabilityZone


@dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses in the order in which to try them."""

    addresses: tuple[Address, ...]
    valid_for_seconds: float


def choose_addresses(
    members: Sequence[Member],
    customer: CustomerId | None,
    zone: AvailabilityZone,
    traffic_share: float,
    entry: frozenset[DaemonId] | None = None,
) -> tuple[Address, ...]:
    """Return the addresses for one customer.

    Args:
        members: All known daemons.
        customer: The customer; None for all live daemons.
        zone: Availability zone of the caller, assumed to be the answering daemon's.
        traffic_share: The customer's expected share of all traffic, 0 to 1.
        entry: The entry daemons, which carry the traffic; None for all daemons.

    Returns:
        Live daemons only; suspect ones if there are no live ones; leaving ones if there
        are no others, because a caller cannot use an empty response.
    """
    usable = _best_class([member for member in members if member.callers_url])
    if entry is not None:
        usable = [member for member in usable if member.daemon in entry] or usable
    if customer is not None:
        usable = _shard(usable, customer, traffic_share)
    key = hash_bytes((customer or "").encode())
    ranks = {
        name: rank
        for rank, name in enumerate(
            rendezvous_order(key, [member.daemon for member in usable])
        )
    }
    ordered = sorted(
        usable,
        key=lambda member: (
            load_step(member.load),
            member.availability_zone != zone,
            ranks[member.daemon],
        ),
    )
    return tuple(
        Address(member.callers_url, member.daemon, member.availability_zone)
        for member in ordered
    )


def load_step(load: float) -> int:
    """Return the step of a load that is used to order addresses.

    The steps are coarse: with exact loads every report would reorder the addresses, and
    all callers would move to the daemon with the lowest load.
    """
    if load < 0.7:
        return 0
    return 1 if load < 0.9 else 2


def shard_size(n_daemons: int, traffic_share: float) -> int:
    """Return how many daemons are assigned to a customer."""
    wanted = math.ceil(n_daemons * min(1.0, traffic_share * SHARD_SURPLUS))
    return min(n_daemons, max(SHARD_DAEMONS, wanted))


def _best_class(members: list[Member]) -> list[Member]:
    for state in (MemberState.LIVE, MemberState.SUSPECT, MemberState.LEAVING):
        found = [member for member in members if member.state is state]
        if found:
            return found
    return []


def _shard(
    members: list[Member], customer: CustomerId, traffic_share: float
) -> list[Member]:
    """Choose a customer's daemons, round-robin over the availability zones."""
    size = shard_size(len(members), traffic_share)
    by_name = {str(member.daemon): member for member in members}
    key = hash_bytes(customer.encode())
    queues: dict[AvailabilityZone, list[Member]] = {}
    for name in rendezvous_order(key, by_name):
        member = by_name[name]
        queues.setdefault(member.availability_zone, []).append(member)
    chosen: list[Member] = []
    depth = 0
    while len(chosen) < size:
        for queue in queues.values():
            if depth < len(queue) and len(chosen) < size:
                chosen.append(queue[depth])
        depth += 1
    return chosen
