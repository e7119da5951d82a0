"""Routes: which request goes to which target group, for whom and under which rules.

A route table is one operator's configuration, decoded. It is immutable; a new
version is a new table. Prompts are described here as parts with token counts, as
the callers of routes state them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from lycheepost.core.ids import (
    AvailabilityZone,
    CustomerId,
    ModelId,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.core.quotas import Quota
from lycheepost.core.starts import TargetStart


class RouteKind(Enum):
    """What of a route's requests may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class GroupShare:
    """A target group's part of a route's traffic; weights are relative."""

    target_group: TargetGroupId
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route.

    Attributes:
        host: Host name that callers ask for.
        path_prefix: Begins and ends with a slash.
        shares: The target groups that serve it; at least one.
        timeout_seconds: Longest time from arrival to the end of the answer.
        objective_seconds: Time to the (first part of the) answer that is aimed at.
        gap_seconds: Longest pause between the events of a stream that is on time;
            0 for other kinds.
        max_runs: Most targets that may run one request.
        rank: How urgent its requests are; 0 is first.
        is_public: Needs no key.
        is_resumable: A stream may be continued on another target.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[GroupShare, ...]
    timeout_seconds: float
    objective_seconds: float
    gap_seconds: float = 0.0
    max_runs: int = 1
    rank: int = 0
    is_public: bool = False
    is_resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """What the engines of a target group are able to do.

    Attributes:
        kv_tokens: Tokens of KV cache that one engine holds.
        kv_token_bytes: Size of one token's KV cache.
        link_mbps: Speed of an engine's link.
        models: Models served.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: float
    link_mbps: float
    models: tuple[ModelId, ...]


@dataclass(frozen=True, slots=True)
class RoutedGroup:
    """A target group that routes name.

    Attributes:
        max_connections: Connections that one of its targets accepts from everybody.
        engine: None for plain services.
    """

    target_group: TargetGroupId
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None


@dataclass(frozen=True, slots=True)
class KvStore:
    """A store of KV cache that engines write to and fetch from.

    Attributes:
        address: ``IP:PORT``.
        link_mbps: Speed of its link; 0 where that is not told.
    """

    address: str
    availability_zone: AvailabilityZone
    kv_tokens: int
    link_mbps: float = 0.0


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """The customer that a key belongs to.

    Attributes:
        rank: Goes before the route's rank; None when the customer has none.
        is_isolated: Shares no cached prompt part with other customers.
    """

    customer: CustomerId
    rank: int | None = None
    is_isolated: bool = False


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds of what a caller may send and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the operator's configuration.

    Attributes:
        version: Rises with each change, in uneven steps.
        by_host: Routes of each host, longest prefix first.
        groups: Target groups by name.
        key_holders: Who holds each key; None when no keys are in use.
        kv_stores: Where engines keep KV cache beyond their own.
        quotas: What customers may ask of the fleet; one that is not named has no limit.
    """

    version: int
    by_host: Mapping[str, tuple[Route, ...]]
    groups: Mapping[TargetGroupId, RoutedGroup]
    limits: CallerLimits
    key_holders: Mapping[str, KeyHolder] | None = None
    kv_stores: tuple[KvStore, ...] = ()
    quotas: Mapping[CustomerId, Quota] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, as its caller names it.

    Attributes:
        part_id: Equal ids mean equal text.
    """

    part_id: str
    n_tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a caller says of the prompt that its request holds.

    Attributes:
        parts: In order; the last one belongs to this request or session alone.
    """

    model: ModelId
    n_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = field(default_factory=tuple)


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target as it registered itself.

    Attributes:
        target: Its name, which it keeps when it starts again.
        address: ``IP:PORT``; may be another target's later.
        slots: Requests that it works on at once.
        is_leaving: It asked for no new work.
        weights: Weights in place, by model.
        started_ms: Unix millisecond of its start; None where it states none.
    """

    target: TargetId
    target_group: TargetGroupId
    address: str
    availability_zone: AvailabilityZone
    slots: int
    is_leaving: bool = False
    weights: Mapping[ModelId, WeightsVersion] = field(default_factory=dict)
    started_ms: int | None = None

    @property
    def start(self) -> TargetStart:
        """Return which start of the target registered."""
        return TargetStart(self.target, self.started_ms)


def make_route_table(
    version: int,
    routes: tuple[Route, ...],
    groups: tuple[RoutedGroup, ...],
    limits: CallerLimits,
    key_holders: Mapping[str, KeyHolder] | None,
    kv_stores: tuple[KvStore, ...],
    quotas: Mapping[CustomerId, Quota] | None = None,
) -> RouteTable:
    """Return a table with its look-ups built."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return RouteTable(
        version=version,
        by_host={
            host: tuple(sorted(found, key=lambda route: -len(route.path_prefix)))
            for host, found in by_host.items()
        },
        groups={group.target_group: group for group in groups},
        limits=limits,
        key_holders=key_holders,
        kv_stores=kv_stores,
        quotas=quotas or {},
    )
