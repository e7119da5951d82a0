"""Selection of the entry daemons, whose addresses callers of a large fleet get.

With requests spread over two hundred daemons and forty engines, each daemon gets one or
two requests a second and sends one to a given engine every half a minute. It would know
neither the engine's queue nor its cached prompts, so that prompts would be recomputed
on engines that don't cache them, and queue at engines that other daemons have filled.
Exchanging all state between all daemons would cost more than the requests themselves.

So callers are directed to some ten entry daemons, which exchange all of their state.
The others are on standby: they hold the configuration, serve any request that reaches
them, and replace an entry daemon as soon as it fails.

Each daemon computes the entry daemons from the members that it knows. Daemons with
different member lists may briefly return different addresses; all of them serve.
"""

from collections.abc import Iterable

from lycheepost.core.fleetmember import FleetMember
from lycheepost.core.hashing import hash_bytes, rendezvous_order
from lycheepost.core.ids import AvailabilityZone, DaemonId

SMALL_FLEET_DAEMONS = 12
"""In a fleet of up to this size all are entry daemons: each can follow all others."""

MIN_ENTRY_DAEMONS = 10
"""With ten, the loss of one daemon interrupts a tenth of the requests in flight. A KV
store accepts a dozen event polls, so that all of them can follow it."""

MAX_ENTRY_DAEMONS = 24
"""Each gets the load of all others up to thirty times a second, so the traffic grows
with the square of their number."""

MIN_ENTRY_SHARE = 0.5
"""Fraction of the wanted entry daemons below which address lists are cached only
briefly; with this many, they carry the traffic for a while."""

MAX_STORE_FOLLOWERS = 10
"""Daemons that follow the cache events of a KV store. A store accepts a dozen
concurrent event polls and rejects further ones, each of which costs as much as a health
check. Two are reserved for restarting daemons."""

MAX_ENGINE_FOLLOWERS = 8
"""Concurrent polls for its cache events that an engine accepts."""

_FOLLOWER_KEY = hash_bytes(b"kv-store")

CORES_PER_TARGET = 0.1
"""Processor cores of the entry daemons per target: six requests a second at 5 ms
each are 0.03 cores, times 2 since half of the daemons may be lost, times 1.7 for a
burst."""

LINK_MBPS_PER_TARGET = 3.0
"""Link capacity of the entry daemons per target, with the same margin: requests and
responses take some 1 Mbit/s per target, in and out."""


def choose_entry(
    candidates: Iterable[FleetMember], n_targets: int
) -> frozenset[DaemonId]:
    """Return the entry daemons.

    The largest VM of each availability zone comes first, so that the loss of a zone
    leaves callers an address, then the largest of all. VMs of one size are ordered by a
    hash of the daemon's name, so that membership changes don't reorder them.

    Args:
        candidates: The daemons that serve now.
        n_targets: Targets of the fleet, from which its traffic is estimated.
    """
    ordered = _in_order(candidates)
    if len(ordered) <= SMALL_FLEET_DAEMONS:
        return frozenset(item.daemon for item in ordered)
    chosen: list[FleetMember] = []
    for candidate in ordered:
        if len(chosen) >= MAX_ENTRY_DAEMONS or _is_enough(chosen, n_targets):
            break
        chosen.append(candidate)
    return frozenset(item.daemon for item in chosen)


def lacks_entry_daemons(n_entry: int, n_daemons: int) -> bool:
    """Return whether there are far fewer entry daemons than there should be.

    After a power loss or an outage of the store, the first daemon to recover is the
    only one in the address list. The others follow within half a second, so callers
    must cache this list only briefly. Otherwise they would overload one small VM while
    all others are idle.

    Args:
        n_entry: Number of entry daemons.
        n_daemons: Daemons of the fleet, including those that cannot serve now.
    """
    n_wanted = min(MIN_ENTRY_DAEMONS, n_daemons)
    return n_entry < MIN_ENTRY_SHARE * n_wanted


def follows_stores(me: DaemonId, entry: frozenset[DaemonId]) -> bool:
    """Return whether a daemon follows the cache events of the KV stores."""
    return me in rendezvous_order(_FOLLOWER_KEY, entry)[:MAX_STORE_FOLLOWERS]


def follows_engines(me: DaemonId, entry: frozenset[DaemonId]) -> bool:
    """Return whether a daemon follows the cache events of engines.

    An engine accepts fewer event polls than a KV store. If there are more entry
    daemons, they exchange their placements instead and poll no engine.
    """
    return me in entry and len(entry) <= MAX_ENGINE_FOLLOWERS


def _in_order(candidates: Iterable[FleetMember]) -> list[FleetMember]:
    """Return the largest VM of each availability zone, then all others by size."""
    zones: set[AvailabilityZone] = set()
    first: list[FleetMember] = []
    others: list[FleetMember] = []
    for item in sorted(candidates, key=_size_key):
        is_first = item.availability_zone not in zones
        zones.add(item.availability_zone)
        (first if is_first else others).append(item)
    return [*first, *others]


def _size_key(candidate: FleetMember) -> tuple[float, float, int]:
    capacity = candidate.capacity
    order = hash_bytes(candidate.daemon.encode())
    return -capacity.processor_cores, -capacity.link_mbps, order


def _is_enough(chosen: list[FleetMember], n_targets: int) -> bool:
    """Return whether the chosen daemons can carry the traffic of the targets."""
    if len(chosen) < MIN_ENTRY_DAEMONS:
        return False
    n_cores = sum(item.capacity.processor_cores for item in chosen)
    link_mbps = sum(item.capacity.link_mbps for item in chosen)
    return (
        n_cores >= CORES_PER_TARGET * n_targets
        and link_mbps >= LINK_MBPS_PER_TARGET * n_targets
    )
