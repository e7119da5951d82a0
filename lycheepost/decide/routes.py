"""Which route a request takes, whose it is, and which target group serves it."""

from dataclasses import dataclass
from enum import Enum

from lycheepost.core.ids import AvailabilityZone, CustomerId, TargetGroupId
from lycheepost.core.routing import (
    EngineTraits,
    KeyHolder,
    KvStore,
    Route,
    RouteTable,
)

_BITS = 8.0
_MEGA = 1e6

ANYBODY = KeyHolder(CustomerId(""))
"""Who asks on a public route, or where no keys are in use."""


class RouteFault(Enum):
    """Why a request has no way."""

    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"


@dataclass(frozen=True, slots=True)
class Way:
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


def find_way(
    table: RouteTable, host: str, path: str, key: str | None
) -> Way | RouteFault:
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
        return Way(route, ANYBODY, False)
    holder = table.key_holders.get(key) if key is not None else None
    if holder is None:
        return RouteFault.UNKNOWN_KEY
    return Way(route, holder, True)


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
        table: Names the stores.
        zone: The target's availability zone.
        engine: What the target is able to do; None for a plain service.
    """
    store = _find_kv_store(table, zone)
    if engine is None or store is None:
        return 0.0
    link_mbps = min(STORE_SHARE * store.link_mbps, engine.link_mbps)
    if link_mbps <= 0.0 or engine.kv_token_bytes <= 0.0:
        return 0.0
    factor = 1.0 if store.availability_zone == zone else ZONE_FACTOR
    return factor * engine.kv_token_bytes * _BITS / (link_mbps * _MEGA)


def choose_kv_store(table: RouteTable, zone: AvailabilityZone) -> str:
    """Return the address of the KV store that a target should use; empty for none.

    The one in the target's own availability zone, as moving KV cache between zones
    takes twice as long and is paid for; else the first, the same for all targets,
    so that what one of them kept the others find.
    """
    store = _find_kv_store(table, zone)
    return "" if store is None else store.address


def _find_kv_store(table: RouteTable, zone: AvailabilityZone) -> KvStore | None:
    stores = sorted(table.kv_stores, key=lambda store: store.address)
    near = [store for store in stores if store.availability_zone == zone]
    return next(iter(near or stores), None)
