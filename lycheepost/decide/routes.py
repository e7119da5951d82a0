"""Which route a request takes, whose it is, and which target group serves it."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from lycheepost.core.hashing import rendezvous_order
from lycheepost.core.ids import AvailabilityZone, CustomerId, TargetGroupId
from lycheepost.core.routing import (
    EngineTraits,
    KeyHolder,
    KvStore,
    Route,
    RouteTable,
)
from lycheepost.decide.records import PrefixLevel
from lycheepost.decide.sharedlevel import shared_digest

_BITS = 8.0
_MEGA = 1e6

ANONYMOUS = KeyHolder(CustomerId(""))
"""Who asks on a public route, or where no keys are in use."""


class RouteFault(Enum):
    """Why a request has no way."""

    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """A request's route and its sender.

    Attributes:
        is_keyed: The request is allowed only because of its key.
    """

    route: Route
    holder: KeyHolder
    is_keyed: bool


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of ``host`` with the longest prefix of ``path``."""
    routes = table.by_host.get(host, ())
    return next((route for route in routes if path.startswith(route.path_prefix)), None)


def match_route(
    table: RouteTable, host: str, path: str, key: str | None
) -> RouteMatch | RouteFault:
    """Return a request's route and sender, or why it has none.

    Args:
        table: The configuration in force.
        host: Host name asked for, without a port.
        path: Path asked for, without the query.
        key: The caller's key; None when it sent none.
    """
    route = find_route(table, host, path)
    if route is None:
        return RouteFault.NO_ROUTE
    if route.is_public or table.key_holders is None:
        return RouteMatch(route, ANONYMOUS, False)
    holder = table.key_holders.get(key) if key is not None else None
    if holder is None:
        return RouteFault.UNKNOWN_KEY
    return RouteMatch(route, holder, True)


def choose_group(route: Route, point: float) -> TargetGroupId:
    """Return the target group that serves one request of ``route``.

    Args:
        route: The route; groups without weight get nothing.
        point: Evenly spread in [0, 1); the same point gives the same group.
    """
    weighted = [share for share in route.shares if share.weight > 0] or route.shares
    rest = point * sum(share.weight for share in weighted)
    for share in weighted:
        rest -= share.weight
        if rest < 0:
            return share.target_group
    # The sum of the parts may be a last bit short of the whole.
    return weighted[-1].target_group


ZONE_FACTOR = 2.0
"""How much longer KV cache takes to another availability zone, by the platform's
protocol."""

STORE_SHARE = 0.4
"""Part of a store's link that one fetch may count on: the store serves all engines one
after the other, and beyond two thirds of its speed its queue grows fast."""


def fetch_token_seconds(
    table: RouteTable, zone: AvailabilityZone, engine: EngineTraits | None
) -> float:
    """Return how long a target needs to fetch one token's KV cache; 0 for never.

    Args:
        table: Names the stores; a prompt may be kept by any one of them.
        zone: The target's availability zone.
        engine: What the target is able to do; None for a plain service.
    """
    if engine is None or not table.kv_stores:
        return 0.0
    seconds = [_fetch_seconds(store, zone, engine) for store in table.kv_stores]
    return sum(seconds) / len(seconds) if all(seconds) else 0.0


def _fetch_seconds(
    store: KvStore, zone: AvailabilityZone, engine: EngineTraits
) -> float:
    link_mbps = min(STORE_SHARE * store.link_mbps, engine.link_mbps)
    if link_mbps <= 0.0 or engine.kv_token_bytes <= 0.0:
        return 0.0
    factor = 1.0 if store.availability_zone == zone else ZONE_FACTOR
    return factor * engine.kv_token_bytes * _BITS / (link_mbps * _MEGA)


def choose_kv_store(table: RouteTable, levels: Sequence[PrefixLevel]) -> str:
    """Return the address of the KV store that keeps a prompt; empty for none.

    The load: three stores, each of which has room for half of what is shared, and a
    link that a third of the fetches fills. Where each engine uses the store of its
    zone, every store is sent everything and drops it again before it is asked for, and
    zones without a store share the link of one. So the prompts are divided among the
    stores by what others share of them: together they keep it all, and each link
    carries its part. What crosses zones takes twice as long, a few milliseconds.
    """
    digest = shared_digest(levels)
    if digest is None:
        return ""
    addresses = (store.address for store in table.kv_stores)
    return next(iter(rendezvous_order(digest, addresses)), "")
