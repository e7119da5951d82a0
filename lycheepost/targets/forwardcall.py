"""Records of a request that is forwarded unchanged and of its response headers.

A ``Dialect`` defines how they look on the wire; the client in ``targets.forward``
only transfers them.
"""

from dataclasses import dataclass
from typing import Protocol

from lycheepost.core.ids import (
    CustomerId,
    ModelId,
    RequestId,
    StreamId,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.core.notices import NO_NOTICE, TargetNotice
from lycheepost.utils.bodies import BodyFraming


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Options sent to an engine in addition to the caller's request.

    Attributes:
        cache_scope: Cached prompt parts are shared only within one scope.
        weights_version: The engine refuses the request if it has other weights.
        rank: Order among the engine's requests; lower runs first.
        fetch_from: ``IP:PORT`` of an engine or store that may have cached more of
            the prompt than the engine; empty for none.
        store_to: ``IP:PORT`` of the store that parts are copied to; empty for none.
    """

    model: ModelId
    cache_scope: str
    weights_version: WeightsVersion
    rank: int
    fetch_from: str = ""
    store_to: str = ""


@dataclass(frozen=True, slots=True)
class RelayOptions:
    """Options of a request that is relayed to a peer instead of a target.

    Attributes:
        key: The caller's key, which the peer checks; None when it sent none.
        n_runs: On how many targets the request may have run before.
        n_arrivals: How often it may have arrived at targets before.
        configuration: Version of the configuration by which its route was found.
        stream: The stream that it begins or takes up; empty if unknown.
        is_counted: Whether a daemon has counted its first attempt.
    """

    key: str | None
    n_runs: int
    n_arrivals: int = 0
    configuration: int = 0
    stream: StreamId = StreamId("")
    is_counted: bool = False


@dataclass(frozen=True, slots=True)
class ForwardCall:
    """One attempt at a request on one target.

    Attributes:
        address: ``IP:PORT`` of the target.
        method: As the caller sent it.
        raw_path: Path and query, byte for byte as the caller sent them.
        headers: The caller's headers, without hop-by-hop headers and those that
            only this system may set.
        remaining_seconds: Time left until the caller's time-out.
        customer: The request's customer; empty for none.
        engine: Options for engines; None for plain services.
        after_event: The last event that the caller has; None to start from the
            beginning.
        may_reuse_connection: Whether a pooled connection may be used: the request
            may be repeated, so it does no harm if the connection is dead.
        relay: Options for peers; None for targets.
        target_group: The group of the target; empty for a peer.
    """

    target: TargetId
    address: str
    request: RequestId
    method: str
    raw_path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remaining_seconds: float
    customer: CustomerId
    engine: EngineOptions | None = None
    after_event: int | None = None
    may_reuse_connection: bool = False
    relay: RelayOptions | None = None
    target_group: TargetGroupId = TargetGroupId("")


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load that a target reports in a response.

    Attributes:
        duration_percent: How long work takes on its machine at this moment, 100 being
            usual for a target; None if not stated.
    """

    n_running: int
    n_waiting: int
    n_slots: int
    duration_percent: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a target's response.

    Attributes:
        headers: Headers for the caller, unchanged.
        answers_other_request: Whether it is the response to another request.
        is_sealed: Whether it carries the target's seal, a header that targets add to
            their responses. A response without it may be corrupted.
        is_encoded: Whether a content encoding changed the body.
        was_not_run: Whether the target states that it did not run the request and
            will not.
        is_other_target: Whether another target has the address, or the target has
            other weights.
        framing: What marks the end of the body.
        target: The target that responded, if stated.
        weights_version: Weights that produced the answer, if stated.
        load: The load that the target reports, if any.
        notice: Other reports of the target on its state.
        n_arrivals: How often a relayed request arrived at targets, as stated by the
            peer that did not serve it; None if not stated.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    answers_other_request: bool
    is_sealed: bool
    is_encoded: bool
    was_not_run: bool
    is_other_target: bool
    framing: BodyFraming
    target: TargetId | None = None
    weights_version: WeightsVersion | None = None
    load: ReportedLoad | None = None
    notice: TargetNotice = NO_NOTICE
    n_arrivals: int | None = None


class Dialect(Protocol):
    """The wire format of calls and responses."""

    def encode(self, call: ForwardCall) -> list[tuple[str, str]]:
        """Return all headers of a call."""
        ...

    def decode(
        self, call: ForwardCall, status: int, headers: list[tuple[str, str]]
    ) -> ResponseHead:
        """Return the status and headers of a response to ``call``."""
        ...
