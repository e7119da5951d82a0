"""Choose the daemons that callers of a large fleet are told to use.

The load: two hundred daemons before forty engines. Spread over all of them, each gets
a request or two a second and sends one to a given engine every half a minute. It knows
neither what waits there nor which prompts are cached there, so prompts are read again
where they are not cached, and wait at engines that others have filled. Telling each
daemon of all that the others do would cost more than the requests themselves.

So callers are sent to some ten daemons, the entry daemons, which tell each other
everything. The others stand by: they hold the configuration, serve whoever still
comes to them, and take the place of an entry daemon as soon as it is missed.

Every daemon computes the entry daemons by itself, from the members that it knows. Two
that know different ones for a moment name different addresses; each of these serves.
"""

from collections.abc import Iterable

from lycheepost.core.fleetmember import FleetMember
from lycheepost.core.hashing import hash_bytes, rendezvous_order
from lycheepost.core.ids import AvailabilityZone, DaemonId

SMALL_FLEET_DAEMONS = 12
"""In a fleet of up to so many all are entry daemons: each can hear all others."""

MIN_ENTRY_DAEMONS = 10
"""The loss of one takes a tenth of the requests under way with it; a store of KV cache
holds a dozen questions for its events, so that all of them can follow it."""

MAX_ENTRY_DAEMONS = 24
"""Each hears the load of all others up to thirty times a second, so what all hear grows
with the square of their number."""

MIN_ENTRY_SHARE = 0.5
"""Part of the entry daemons with which the others carry the traffic for a while."""

MAX_STORE_FOLLOWERS = 10
"""Daemons that follow the cache events of a KV store. A store holds a dozen such
questions at once and refuses the others, each at the price of a health check. Two are
left for daemons that start again."""

MAX_ENGINE_FOLLOWERS = 8
"""Questions for its cache events that an engine holds at once."""

_FOLLOWER_KEY = hash_bytes(b"kv-store")

CORES_PER_TARGET = 0.1
"""Processor cores of entry daemons for each target: a target is sent some six requests
a second, each takes some 5 ms, and half of the daemons may be gone in a burst of 1.7
times the usual load."""

LINK_MBPS_PER_TARGET = 3.0
"""The same for network links: by the sizes of requests and answers some 1 Mbit/s for
each target, in and out."""


def choose_entry(
    candidates: Iterable[FleetMember], n_targets: int
) -> frozenset[DaemonId]:
    """Return the entry daemons.

    The widest VM of each availability zone comes first, so that no zone's loss leaves
    callers without an address, then the widest of all. Equal ones are ordered by a
    hash of their names, which no other daemon's coming or going changes.

    Args:
        candidates: The daemons that serve now.
        n_targets: Targets of the fleet; they tell how much traffic there may be.
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
    """Tell whether callers are sent to far fewer daemons than there should be.

    The load: all daemons have lost power, or could not reach the store, and the first
    one is back. For a moment it is the only one that can be named, and every caller
    comes to it. The others follow within half a second, so an answer of that moment
    is to be kept briefly: callers that kept it as long as others would fill one narrow
    VM while all others stand idle.

    Args:
        n_entry: Daemons that callers are sent to.
        n_daemons: Daemons of the fleet, also those that cannot serve for a moment.
    """
    n_wanted = min(MIN_ENTRY_DAEMONS, n_daemons)
    return n_entry < MIN_ENTRY_SHARE * n_wanted


def follows_stores(me: DaemonId, entry: frozenset[DaemonId]) -> bool:
    """Tell whether a daemon is one of those that follow the KV stores."""
    return me in rendezvous_order(_FOLLOWER_KEY, entry)[:MAX_STORE_FOLLOWERS]


def follows_engines(me: DaemonId, entry: frozenset[DaemonId]) -> bool:
    """Tell whether a daemon follows the cache events of engines.

    An engine holds fewer such questions than a store. Where there are more entry
    daemons they tell each other what they placed, and ask no engine.
    """
    return me in entry and len(entry) <= MAX_ENGINE_FOLLOWERS


def _in_order(candidates: Iterable[FleetMember]) -> list[FleetMember]:
    """Return the widest of each availability zone, then all others by width."""
    zones: set[AvailabilityZone] = set()
    first: list[FleetMember] = []
    others: list[FleetMember] = []
    for item in sorted(candidates, key=_width_key):
        is_first = item.availability_zone not in zones
        zones.add(item.availability_zone)
        (first if is_first else others).append(item)
    return [*first, *others]


def _width_key(candidate: FleetMember) -> tuple[float, float, int]:
    capacity = candidate.capacity
    order = hash_bytes(candidate.daemon.encode())
    return -capacity.processor_cores, -capacity.link_mbps, order


def _is_enough(chosen: list[FleetMember], n_targets: int) -> bool:
    """Tell whether so many can carry the traffic of the targets."""
    if len(chosen) < MIN_ENTRY_DAEMONS:
        return False
    n_cores = sum(item.capacity.processor_cores for item in chosen)
    link_mbps = sum(item.capacity.link_mbps for item in chosen)
    return (
        n_cores >= CORES_PER_TARGET * n_targets
        and link_mbps >= LINK_MBPS_PER_TARGET * n_targets
    )
