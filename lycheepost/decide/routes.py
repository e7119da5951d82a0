"""Route matching: a request's route, its customer, its target group and KV store."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from lycheepost.core.hashing import rendezvous_order
from lycheepost.core.ids import AvailabilityZone, TargetGroupId
from lycheepost.core.routing import (
    EngineTraits,
    KeyHolder,
    KvStore,
    Route,
    RouteKind,
    RouteTable,
)
from lycheepost.decide.records import PrefixLevel
from lycheepost.decide.sharedlevel import shared_digest

_BITS = 8.0
_MEGA = 1e6


class RouteFault(Enum):
    """Why a request matches no route."""

    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """A request's route and its sender.

    Attributes:
        is_keyed: Whether the request is allowed only because of its key.
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
    """Return a request's route and sender, or why it matches none.

    Args:
        table: The configuration in force.
        host: Requested host name, without a port.
        path: Requested path, without the query.
        key: The caller's key; None if it sent none.
    """
    route = find_route(table, host, path)
    if route is None:
        return RouteFault.NO_ROUTE
    if route.is_public or table.key_holders is None:
        return RouteMatch(route, table.anonymous, False)
    holder = table.key_holders.get(key) if key is not None else None
    if holder is None:
        return RouteFault.UNKNOWN_KEY
    return RouteMatch(route, holder, True)


def choose_group(route: Route, point: float) -> TargetGroupId:
    """Return the target group that serves one request of ``route``.

    Args:
        route: The route; groups of weight 0 get no requests.
        point: Uniformly distributed in [0, 1); the same point gives the same group.
    """
    weighted = [share for share in route.shares if share.weight > 0] or route.shares
    rest = point * sum(share.weight for share in weighted)
    for share in weighted:
        rest -= share.weight
        if rest < 0:
            return share.target_group
    # Rounding may leave a tiny rest after the last share.
    return weighted[-1].target_group


def resumable_groups(table: RouteTable) -> frozenset[TargetGroupId]:
    """Return the target groups whose streams may go on at another target."""
    return frozenset(
        share.target_group
        for routes in table.by_host.values()
        for route in routes
        if is_resumable_stream(route)
        for share in route.shares
    )


def is_resumable_stream(route: Route) -> bool:
    """Return whether a route's responses are streams that may be taken up again."""
    return route.kind is RouteKind.STREAM and route.is_resumable


ZONE_FACTOR = 2.0
"""Transfers of KV cache between availability zones take this many times as long, by the
platform's protocol."""

FETCH_LINK_SHARE = 0.4
"""Share of a store's link that is assumed for one fetch. The store serves all engines
one after the other, and above two thirds of its bandwidth its queue grows quickly."""


def fetch_token_seconds(
    table: RouteTable, zone: AvailabilityZone, engine: EngineTraits | None
) -> float:
    """Return how long a target needs to fetch one token's KV cache; 0 if it cannot.

    Args:
        table: Lists the stores; a prompt may be stored in any of them.
        zone: The target's availability zone.
        engine: The target's capabilities; None for a plain service.
    """
    if engine is None or not table.kv_stores:
        return 0.0
    seconds = [_fetch_seconds(store, zone, engine) for store in table.kv_stores]
    return sum(seconds) / len(seconds) if all(seconds) else 0.0


def _fetch_seconds(
    store: KvStore, zone: AvailabilityZone, engine: EngineTraits
) -> float:
    link_mbps = min(FETCH_LINK_SHARE * store.link_mbps, engine.link_mbps)
    if link_mbps <= 0.0 or engine.kv_token_bytes <= 0.0:
        return 0.0
    factor = 1.0 if store.availability_zone == zone else ZONE_FACTOR
    return factor * engine.kv_token_bytes * _BITS / (link_mbps * _MEGA)


def choose_kv_store(table: RouteTable, levels: Sequence[PrefixLevel]) -> str:
    """Return the address of the KV store for a prompt; empty for none.

    Prompts are divided among the stores by their shared prefix. Suppose three stores,
    each with capacity for half of the shared prefixes. If each engine used the store of
    its zone, every store would be sent all of them, and entries would be evicted before
    they are fetched. Zones without a store would also all fetch from one store, whose
    link is full with a third of all fetches. Divided by prefix, the stores together
    hold all shared prefixes and each link carries a third of the fetches. Transfers
    between zones take twice as long, a few milliseconds.
    """
    digest = shared_digest(levels)
    if digest is None:
        return ""
    addresses = (store.address for store in table.kv_stores)
    return next(iter(rendezvous_order(digest, addresses)), "")
