"""Decodes the documents that operators write into the platform's store."""

from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure, Result, Success

from lycheepost.core.errors import LycheepostError
from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import (
    AvailabilityZone,
    CustomerId,
    ModelId,
    TargetGroupId,
)
from lycheepost.core.quotas import Quota, QuotaUnit
from lycheepost.core.routing import (
    ANONYMOUS,
    CallerLimits,
    EngineTraits,
    GroupShare,
    KeyHolder,
    KvStore,
    Route,
    RoutedGroup,
    RouteKind,
    RouteTable,
    make_route_table,
)
from lycheepost.platform.numbers import Count
from lycheepost.utils.decoding import UNREADABLE

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
WEIGHTS_PREFIX = "version/"

_MILLISECONDS = 1000.0
_QUOTA_UNITS = {"token_stream": QuotaUnit.TOKENS}
"""Quotas with any other unit count requests."""

_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


@dataclass(frozen=True)
class DocumentError(LycheepostError):
    """A row that cannot be decoded or is invalid."""


class _WireShare(msgspec.Struct):
    service: str
    weight: float


class _WireRoute(msgspec.Struct):
    """A route to one service, or with ``traffic_split`` to several."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0
    priority: int = 0
    service: str = ""
    traffic_split: list[_WireShare] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: float = 0


class _WireModel(msgspec.Struct):
    name: str


class _WireEngine(msgspec.Struct):
    slots: int
    kv_capacity_tokens: int
    kv_token_bytes: float = 0
    link_mbps: float = 0
    stride: int = 1
    models: list[_WireModel] = []


class _WireService(msgspec.Struct):
    """A service, or with ``kv_store_addr`` a KV store."""

    name: str
    health_path: str = "/health"
    max_conns: int = 0
    engine: _WireEngine | None = None
    kv_store_addr: str = ""
    zone: str = ""
    kv_capacity_tokens: int = 0
    link_mbps: float = 0


class _WireLimits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _WireTenant(msgspec.Struct):
    """A customer.

    Attributes:
        unit: What its quota counts.
        uncached_tokens: Tokens charged for a request that states no token count.
        rate_per_s: Units per second that its quota allows; 0 means no quota.
        burst: Units allowed beyond the rate.
    """

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    isolated: bool = False
    unit: str = ""
    uncached_tokens: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0


class _WireConfiguration(msgspec.Struct):
    version: Count
    routes: list[_WireRoute]
    services: list[_WireService]
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    tenants: list[_WireTenant] | None = None


class _WireWeights(msgspec.Struct):
    model: str
    version: Count


def decode_configuration(data: bytes) -> Result[RouteTable, DocumentError]:
    """Return the route table that an operator's configuration describes."""
    try:
        wire = msgspec.json.decode(data, type=_WireConfiguration)
        return Success(_to_route_table(wire))
    except (*UNREADABLE, KeyError) as error:
        return Failure(DocumentError(f"the configuration cannot be decoded: {error}"))


def _to_route_table(wire: _WireConfiguration) -> RouteTable:
    return make_route_table(
        version=wire.version,
        routes=tuple(_to_route(route) for route in wire.routes),
        groups=tuple(
            _to_group(item) for item in wire.services if not item.kv_store_addr
        ),
        limits=CallerLimits(
            header_bytes=wire.limits.max_header_bytes,
            body_bytes=wire.limits.max_body_bytes,
            header_seconds=wire.limits.header_timeout_ms / _MILLISECONDS,
            idle_seconds=wire.limits.idle_timeout_ms / _MILLISECONDS,
        ),
        key_holders=None if wire.tenants is None else _key_holders(wire.tenants),
        kv_stores=tuple(
            _to_kv_store(item) for item in wire.services if item.kv_store_addr
        ),
        quotas=_quotas(wire.tenants or []),
        anonymous=replace(ANONYMOUS, sharing=_name_sharing(wire.tenants or [])),
    )


def _to_route(wire: _WireRoute) -> Route:
    shares = tuple(
        GroupShare(TargetGroupId(share.service), share.weight)
        for share in wire.traffic_split
    )
    return Route(
        name=wire.name,
        host=wire.host,
        path_prefix=wire.prefix,
        kind=_KINDS[wire.kind],
        shares=shares or (GroupShare(TargetGroupId(wire.service), 1.0),),
        timeout_seconds=wire.timeout_ms / _MILLISECONDS,
        objective_seconds=wire.target_latency_ms / _MILLISECONDS,
        gap_seconds=wire.target_gap_ms / _MILLISECONDS,
        max_runs=wire.max_attempts,
        rank=wire.priority,
        is_public=wire.public,
        is_resumable=wire.resumable,
    )


def _to_group(wire: _WireService) -> RoutedGroup:
    engine = None
    if wire.engine is not None:
        engine = EngineTraits(
            slots=wire.engine.slots,
            kv_tokens=wire.engine.kv_capacity_tokens,
            kv_token_bytes=wire.engine.kv_token_bytes,
            link_mbps=wire.engine.link_mbps,
            models=tuple(ModelId(model.name) for model in wire.engine.models),
            event_tokens=max(1, wire.engine.stride),
        )
    return RoutedGroup(
        TargetGroupId(wire.name), wire.health_path, wire.max_conns, engine
    )


def _key_holders(tenants: list[_WireTenant]) -> dict[str, KeyHolder]:
    sharing = _name_sharing(tenants)
    return {
        key: KeyHolder(
            CustomerId(tenant.name), tenant.priority, tenant.isolated, sharing
        )
        for tenant in tenants
        for key in tenant.api_keys
    }


def _name_sharing(tenants: list[_WireTenant]) -> str:
    """Return a name of the set of customers that aren't isolated; empty for all.

    It names the isolated ones, as customers that come or leave change nothing of what
    the others share.
    """
    isolated = sorted(tenant.name for tenant in tenants if tenant.isolated)
    if not isolated:
        return ""
    return f"{hash_bytes(msgspec.json.encode(isolated)):016x}"


def _quotas(tenants: list[_WireTenant]) -> dict[CustomerId, Quota]:
    return {
        CustomerId(tenant.name): Quota(
            _QUOTA_UNITS.get(tenant.unit, QuotaUnit.REQUESTS),
            tenant.rate_per_s,
            tenant.burst,
            tenant.uncached_tokens,
        )
        for tenant in tenants
        if tenant.rate_per_s > 0.0
    }


def _to_kv_store(wire: _WireService) -> KvStore:
    zone = AvailabilityZone(wire.zone)
    return KvStore(wire.kv_store_addr, zone, wire.kv_capacity_tokens, wire.link_mbps)


@dataclass(frozen=True, slots=True)
class NamedWeights:
    """The weights version that an operator wants a model to run."""

    model: ModelId
    version: int


def decode_weights(data: bytes) -> Result[NamedWeights, DocumentError]:
    """Return the model and the weights version of an operator's row."""
    try:
        wire = msgspec.json.decode(data, type=_WireWeights)
    except UNREADABLE as error:
        return Failure(DocumentError(f"the weights row cannot be decoded: {error}"))
    return Success(NamedWeights(ModelId(wire.model), wire.version))
