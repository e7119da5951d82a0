"""What forwarding stands on, as typed ports, and the records that enter it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from lycheepost.callers.dispatch import Dispatcher
from lycheepost.core.clock import Clock
from lycheepost.core.ids import (
    ModelId,
    RequestId,
    TargetId,
    WeightsVersion,
)
from lycheepost.core.routing import ListedTarget, Prompt, RouteTable
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.decide.freshness import KeyTrustRule
from lycheepost.decide.kvstorecontents import KvStoreContents
from lycheepost.decide.targethealth import Ending
from lycheepost.targets.forward import ForwardClient
from lycheepost.targets.forwardcall import ResponseHead
from lycheepost.utils.metrics import Metrics


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A caller's request as it came, decoded but not judged.

    Attributes:
        caller_id: The id that the caller gave it; empty when it gave none.
        host: Host name asked for, without a port.
        raw_path: Path and query, byte for byte.
        headers: What may go on to a target.
        key: The caller's key; None when it sent none.
        first_token_timeout_seconds: How long the caller waits; None when it does not
            say.
        prompt: None when the request says nothing of a prompt.
        after_event: The last event that the caller has of an earlier answer.
    """

    caller_id: str
    method: str
    host: str
    raw_path: str
    headers: tuple[tuple[str, str], ...]
    key: str | None
    first_token_timeout_seconds: float | None
    prompt: Prompt | None
    after_event: int | None
    body: bytes
    arrived_seconds: float

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.raw_path.partition("?")[0]


class CallerSide(Protocol):
    """The connection to the caller; it gets one answer."""

    async def begin(self, head: ResponseHead, length: int | None) -> None:
        """Send the head; ``length`` is the size of the body when it is known.

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
        """End the answer as whole."""
        ...

    def cut(self) -> None:
        """Break the connection, so that the answer cannot be taken for whole."""
        ...


class RoutingPort(Protocol):
    """The route table in force and how fresh it is."""

    table: RouteTable | None
    confirmed_seconds: float | None


class ForwardTargets(Protocol):
    """The targets, and what is learned of them."""

    def get(self, target: TargetId) -> ListedTarget | None:
        """Return a target that may still be sent to."""
        ...

    def weights_of(self, target: TargetId, model: ModelId) -> WeightsVersion | None:
        """Return the weights that a target holds, as far as known."""
        ...

    def newest_weights(self, model: ModelId) -> WeightsVersion:
        """Return the newest weights that any target holds; empty for none."""
        ...

    def note_weights(
        self, target: TargetId, model: ModelId, version: WeightsVersion
    ) -> None:
        """Learn which weights a target answered with."""
        ...

    def note_end(self, target: TargetId, ending: Ending) -> None:
        """Learn from the end of a request."""
        ...

    def note_other_at_address(self, target: TargetId) -> None:
        """Learn that another target has this one's address."""
        ...


@dataclass(frozen=True)
class ForwardDeps:
    """Everything that forwarding stands on.

    Attributes:
        quotas: What customers may ask of the fleet.
        kv_copies: What the stores of KV cache are believed to keep.
        key_rule: How long keys may be trusted; read anew for each request.
        is_same_start: Whether a target still is the start that it was when it was
            sent to.
        pick_point: Gives a number in [0, 1) to split traffic by.
        on_head: Told of each answer's head, for what it says of the target, with the
            target as it was sent to and when that was.
        is_backed_off: Whether a target wants no request from this daemon now.
    """

    routing: RoutingPort
    dispatcher: Dispatcher
    client: ForwardClient
    targets: ForwardTargets
    clock: Clock
    metrics: Metrics
    quotas: FleetQuotas
    kv_copies: KvStoreContents
    key_rule: Callable[[], KeyTrustRule]
    is_same_start: Callable[[ListedTarget], Awaitable[bool]]
    make_request_id: Callable[[], RequestId]
    pick_point: Callable[[], float]
    on_head: Callable[[ListedTarget, ResponseHead, float], None]
    is_backed_off: Callable[[TargetId], bool]
