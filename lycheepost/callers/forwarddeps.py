"""The dependencies of forwarding as typed ports, and the records passed to it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from lycheepost.callers.dispatch import Dispatcher
from lycheepost.callers.lossverdicts import LossVerdicts
from lycheepost.core.clock import Clock
from lycheepost.core.ids import (
    DaemonId,
    ModelId,
    RequestId,
    SoftwareVersion,
    StreamId,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.core.routing import ListedTarget, Prompt, RouteTable
from lycheepost.core.starts import StartVerdict
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.decide.freshness import KeyTrustRule
from lycheepost.decide.kvstorecontents import KvStoreContents
from lycheepost.decide.targethealth import Ending
from lycheepost.targets.forward import ForwardClient
from lycheepost.targets.forwardcall import ResponseHead
from lycheepost.utils.bytebudget import ByteBudget
from lycheepost.utils.metrics import Metrics


@dataclass(frozen=True, slots=True)
class RelayedFrom:
    """What a daemon states of a request that it relays.

    Attributes:
        n_runs: On how many targets it may have run before.
        n_arrivals: How often it may have arrived at targets before.
        configuration: Version of the configuration by which its route was found.
        is_counted: Whether a daemon has counted its first attempt.
    """

    n_runs: int
    n_arrivals: int = 0
    configuration: int = 0
    is_counted: bool = False


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A caller's request, decoded but not yet checked.

    Attributes:
        caller_id: The caller's id of the request; empty when it sent none.
        host: The requested host name, without a port.
        raw_path: Path and query, byte for byte.
        headers: The headers that may be forwarded to a target.
        key: The caller's key; None when it sent none.
        caller_timeout_seconds: The caller's deadline for the complete response, counted
            from arrival; None when it sets none.
        prompt: None when the request describes no prompt.
        after_event: Id of the last event that the caller has of an earlier answer;
            None for a request that starts from the beginning.
        relayed: What a peer states of a request that it relays; None for a request of
            a caller.
        resumed_id: For a stream that a caller takes up again, the caller's id of the
            request that brought its first event; empty if it names none.
    """

    caller_id: str
    method: str
    host: str
    raw_path: str
    headers: tuple[tuple[str, str], ...]
    key: str | None
    caller_timeout_seconds: float | None
    prompt: Prompt | None
    after_event: int | None
    body: bytes
    arrived_seconds: float
    relayed: RelayedFrom | None = None
    resumed_id: str = ""

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.raw_path.partition("?")[0]

    @property
    def stream(self) -> StreamId:
        """Return the stream that it begins or takes up; empty if it names none."""
        if self.after_event is None:
            return StreamId(self.caller_id)
        return StreamId(self.resumed_id)


MAX_REQUEST_BYTES = 24 * 1024 * 1024
"""Bodies of all open requests. A daemon of a small machine has 88 MB and uses half of
it; 2,000 waiting requests with bodies of 9 KB take 18 MB."""

MAX_ANSWERS_BYTES = 12 * 1024 * 1024
"""Complete responses of all open requests; more than the largest single one."""


class CallerConnection(Protocol):
    """The connection to the caller; it takes one response."""

    async def begin(self, head: ResponseHead, length: int | None) -> None:
        """Send the headers; ``length`` is the size of the body, None if unknown.

        Raises:
            ConnectionError: The caller has left.
        """
        ...

    async def write(self, data: bytes) -> None:
        """Send bytes of the body.

        Raises:
            ConnectionError: The caller has left.
        """
        ...

    async def finish(self) -> None:
        """End the response as complete."""
        ...

    def abort(self) -> None:
        """Break the connection, so that the response cannot be taken as complete."""
        ...


class RoutingPort(Protocol):
    """The current route table and when it was last confirmed."""

    table: RouteTable | None
    confirmed_seconds: float | None


class ForwardTargets(Protocol):
    """The targets, and what is known of them."""

    def get(self, target: TargetId) -> ListedTarget | None:
        """Return a target; None when it may not be sent to any more."""
        ...

    def weights_of(self, target: TargetId, model: ModelId) -> WeightsVersion | None:
        """Return the weights that a target holds; None when unknown."""
        ...

    def newest_weights(self, model: ModelId) -> WeightsVersion:
        """Return the newest weights that any target holds; empty for none."""
        ...

    def software_versions(
        self, target_group: TargetGroupId
    ) -> frozenset[SoftwareVersion]:
        """Return the known software versions of a group's targets."""
        ...

    def note_weights(
        self, target: TargetId, model: ModelId, version: WeightsVersion
    ) -> None:
        """Record which weights a target reported."""
        ...

    def note_end(self, target: TargetId, ending: Ending) -> None:
        """Record how a request ended at a target."""
        ...

    def note_other_at_address(self, target: TargetId) -> None:
        """Record that another target has this one's address."""
        ...


@dataclass(frozen=True, slots=True)
class RelayPeer:
    """A peer that may serve a request for this daemon.

    Attributes:
        address: ``IP:PORT`` at which it serves callers.
    """

    daemon: DaemonId
    address: str


@dataclass(frozen=True, slots=True)
class Relays:
    """Serves requests through peers.

    Attributes:
        client: Sends requests to peers.
        choose: Returns the peers to try for a target group, in order.
        is_off: Whether no request is relayed.
    """

    client: ForwardClient
    choose: Callable[[TargetGroupId], tuple[RelayPeer, ...]]
    is_off: bool = False


class OwnPathsPort(Protocol):
    """Whether this daemon itself reaches the targets of a group."""

    def note_answered(self, target_group: TargetGroupId) -> None:
        """Record that a target has responded over a new connection."""
        ...

    def note_failed(self, target_group: TargetGroupId, target: TargetId) -> None:
        """Record that a connection to a target failed or got no response."""
        ...

    def are_lost(self, target_group: TargetGroupId) -> bool:
        """Return whether this daemon reaches no target of a group."""
        ...

    def is_silent(self, target_group: TargetGroupId) -> bool:
        """Return whether no daemon is known to reach a group, for a short time."""
        ...

    async def settle(self, target_group: TargetGroupId) -> None:
        """Wait for the verdict of a probe that is under way."""
        ...

    async def is_answered(self, target_group: TargetGroupId, target: TargetId) -> bool:
        """Return whether a target answers a probe now."""
        ...

    def note_quiet(self, target_group: TargetGroupId) -> None:
        """Record that a request is without response for a while."""
        ...

    def is_quiet(self, target_group: TargetGroupId) -> bool:
        """Return whether no target of a group has sent anything for a while."""
        ...


class StreamVersionsPort(Protocol):
    """Which software version began which stream."""

    def group_of(self, stream: StreamId) -> TargetGroupId | None:
        """Return the group that began a stream; None if unknown."""
        ...

    def version_of(
        self, stream: StreamId, target_group: TargetGroupId
    ) -> SoftwareVersion | None:
        """Return the version at which a stream must go on; None if unknown here."""
        ...

    def is_list_current(self) -> bool:
        """Return whether the list of targets is up to date."""
        ...

    def may_peers_know(self, stream: StreamId, target_group: TargetGroupId) -> bool:
        """Return whether peers may know the version of a stream unknown here."""
        ...

    def note_begun(
        self,
        stream: StreamId,
        target_group: TargetGroupId,
        software_version: SoftwareVersion | None,
    ) -> None:
        """Record a stream whose first event, or next one, is about to be sent."""
        ...


@dataclass(frozen=True)
class ForwardDeps:
    """The dependencies of forwarding.

    Attributes:
        quotas: The quotas of customers.
        kv_store_contents: Estimates which prefixes the KV stores hold.
        key_rule: Returns how long keys may be trusted; called for each request.
        judge_start: Asks whether the start of a target that a request was sent to has
            ended.
        draw_split_point: Draws a number in [0, 1) that chooses among the groups of a
            route that splits its traffic.
        on_answer_headers: Called with the target, the headers of its response, which
            may report its state, and the time at which the request was sent.
        is_backed_off: Whether a target has asked for a back-off that still lasts.
        paths: Whether this daemon itself reaches the targets of a group.
        relays: Serves requests through peers while it reaches none.
        stream_versions: Which software version began which stream.
        verdicts: Whether targets that broke off were lost.
        request_bytes: Bodies of requests that are being served.
        answer_bytes: Complete responses on their way to callers.
    """

    routing: RoutingPort
    dispatcher: Dispatcher
    client: ForwardClient
    targets: ForwardTargets
    clock: Clock
    metrics: Metrics
    quotas: FleetQuotas
    kv_store_contents: KvStoreContents
    key_rule: Callable[[], KeyTrustRule]
    judge_start: Callable[[ListedTarget], Awaitable[StartVerdict]]
    make_request_id: Callable[[], RequestId]
    draw_split_point: Callable[[], float]
    on_answer_headers: Callable[[ListedTarget, ResponseHead, float], None]
    is_backed_off: Callable[[TargetId], bool]
    paths: OwnPathsPort
    relays: Relays
    stream_versions: StreamVersionsPort
    verdicts: LossVerdicts = field(default_factory=LossVerdicts)
    request_bytes: ByteBudget = field(
        default_factory=lambda: ByteBudget(MAX_REQUEST_BYTES)
    )
    answer_bytes: ByteBudget = field(
        default_factory=lambda: ByteBudget(MAX_ANSWERS_BYTES)
    )
