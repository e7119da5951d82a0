"""Records of routes, target groups and customers' keys.

A route table is one decoded version of the operator's configuration. It is immutable;
each change makes a new table. Prompts are described as parts with token counts, as
callers state them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from lycheepost.core.ids import (
    AvailabilityZone,
    CustomerId,
    ModelId,
    SoftwareVersion,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.core.quotas import Quota
from lycheepost.core.starts import TargetStart


class RouteKind(Enum):
    """The kind of a route.

    With ``is_resumable`` it decides whether a request may be repeated.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class GroupShare:
    """A target group's share of a route's traffic; weights are relative."""

    target_group: TargetGroupId
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route.

    Attributes:
        host: Requested host name.
        path_prefix: Begins and ends with a slash.
        shares: The target groups that serve it; at least one.
        timeout_seconds: Longest time from arrival to the end of the response.
        objective_seconds: Latency objective for the response, or for its first part.
        gap_seconds: Longest pause between the events of a stream that meets its
            objective; 0 for other kinds.
        max_runs: Most targets that may run one request.
        rank: Urgency of its requests; 0 is the most urgent.
        is_public: Whether no key is needed.
        is_resumable: Whether a stream may be continued on another target.
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
        """Return whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """Capabilities of the engines of a target group.

    Attributes:
        kv_tokens: Tokens of KV cache that one engine holds.
        kv_token_bytes: Size of one token's KV cache.
        link_mbps: Bandwidth of an engine's link.
        models: Models served.
        event_tokens: Output tokens in one event of a stream.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: float
    link_mbps: float
    models: tuple[ModelId, ...]
    event_tokens: int = 1


@dataclass(frozen=True, slots=True)
class RoutedGroup:
    """A target group that routes refer to.

    Attributes:
        max_connections: Connections that one of its targets accepts in total.
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
        link_mbps: Bandwidth of its link; 0 if not stated.
    """

    address: str
    availability_zone: AvailabilityZone
    kv_tokens: int
    link_mbps: float = 0.0


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """The customer that a key belongs to.

    Attributes:
        rank: Takes precedence over the route's rank; None if the customer has none.
        is_isolated: Whether it shares no cached prompt parts with other customers.
        sharing: Names the set of customers that share cached prompt parts. Another set
            shares nothing with this one, as a customer that is isolated now may have
            made parts that were shared.
    """

    customer: CustomerId
    rank: int | None = None
    is_isolated: bool = False
    sharing: str = ""


ANONYMOUS = KeyHolder(CustomerId(""))
"""The caller on a public route, or where no keys are in use."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of callers' requests."""

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the operator's configuration.

    Attributes:
        version: Increases with each change, not always by one.
        by_host: Routes of each host, longest prefix first.
        groups: Target groups by name.
        key_holders: The holder of each key; None if no keys are in use.
        kv_stores: Stores of KV cache outside the engines.
        quotas: Customers' quotas; a customer that is not listed has no limit.
        anonymous: Stands for callers without a key; names the set of customers with
            which they share cached prompt parts.
    """

    version: int
    by_host: Mapping[str, tuple[Route, ...]]
    groups: Mapping[TargetGroupId, RoutedGroup]
    limits: CallerLimits
    key_holders: Mapping[str, KeyHolder] | None = None
    kv_stores: tuple[KvStore, ...] = ()
    quotas: Mapping[CustomerId, Quota] = field(default_factory=dict)
    anonymous: KeyHolder = ANONYMOUS


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, as stated by its caller.

    Attributes:
        part_id: Id of its text; equal ids mean equal text.
    """

    part_id: str
    n_tokens: int


@dataclass(frozen=True, slots=True)
class Prompt:
    """A caller's description of its request's prompt.

    Attributes:
        parts: In order; the last one is unique to this request or session.
        hint_tokens: The caller's estimate of the tokens of its response; 0 if none.
    """

    model: ModelId
    n_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = field(default_factory=tuple)
    hint_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """A target as it registered itself.

    Attributes:
        target: Its name, which it keeps across restarts if it states ``started_ms``.
        address: ``IP:PORT``; may later be reused by another target.
        slots: Requests that it processes at the same time.
        is_leaving: Whether it asked for no new work.
        weights: Loaded weights, by model.
        started_ms: Start time in Unix milliseconds; None if it states none.
        software_version: Version of its software; None if unknown.
    """

    target: TargetId
    target_group: TargetGroupId
    address: str
    availability_zone: AvailabilityZone
    slots: int
    is_leaving: bool = False
    weights: Mapping[ModelId, WeightsVersion] = field(default_factory=dict)
    started_ms: int | None = None
    software_version: SoftwareVersion | None = SoftwareVersion("")

    @property
    def start(self) -> TargetStart:
        """Return the start of the target that registered."""
        return TargetStart(self.target, self.started_ms)


def make_route_table(
    version: int,
    routes: tuple[Route, ...],
    groups: tuple[RoutedGroup, ...],
    limits: CallerLimits,
    key_holders: Mapping[str, KeyHolder] | None,
    kv_stores: tuple[KvStore, ...],
    quotas: Mapping[CustomerId, Quota] | None = None,
    anonymous: KeyHolder = ANONYMOUS,
) -> RouteTable:
    """Return a table with its lookup index built."""
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
        anonymous=anonymous,
    )
