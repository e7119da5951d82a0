"""Records of a request that is forwarded as it came, and of the head of its answer.

How these look on the wire is the business of a ``Dialect``; the client in
``targets.forward`` only moves them.
"""

from dataclasses import dataclass
from typing import Protocol

from lycheepost.core.ids import CustomerId, ModelId, RequestId, TargetId, WeightsVersion
from lycheepost.core.notices import NO_NOTICE, TargetNotice


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """What an engine is told beside the caller's request.

    Attributes:
        cache_scope: Cached prompt parts are shared only within one scope.
        weights_version: The engine refuses the request when it holds others.
        rank: Order among the engine's requests; lower runs first.
        fetch_from: ``IP:PORT`` of an engine or store that may keep more of the
            prompt than the engine does; empty for none.
        store_to: ``IP:PORT`` of the store that parts are copied to; empty for none.
    """

    model: ModelId
    cache_scope: str
    weights_version: WeightsVersion
    rank: int
    fetch_from: str = ""
    store_to: str = ""


@dataclass(frozen=True, slots=True)
class ForwardCall:
    """One try of one request on one target.

    Attributes:
        address: ``IP:PORT`` of the target.
        method: As the caller sent it.
        raw_path: Path and query, byte for byte as the caller sent them.
        headers: The caller's, without those that concern one connection or that
            only this system may set.
        remaining_seconds: How long the caller still waits.
        customer: Whose request it is; empty when nobody's.
        engine: None for plain services.
        after_event: The last event that the caller has; None from the start.
        may_reuse_connection: The request may be repeated, so a kept connection
            that turns out to be dead does no harm.
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


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load that a target states in an answer."""

    n_running: int
    n_waiting: int
    n_slots: int


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of a target's answer.

    Attributes:
        headers: Those that go to the caller, as they came.
        answers_other_request: It is the answer to another request.
        is_sealed: The target vouches for the answer.
        is_encoded: The body is not as the target's program wrote it.
        was_not_run: The target says that it did not run the request and will not.
        is_other_target: Another target has the address, or other weights are there.
        target: Who answered, where it says so.
        weights_version: Weights that the answer is made with, where it says so.
        notice: What the target says of itself, beside its load.
        has_length: A length or chunks tell where the body ends.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    answers_other_request: bool
    is_sealed: bool
    is_encoded: bool
    was_not_run: bool
    is_other_target: bool
    has_length: bool
    target: TargetId | None = None
    weights_version: WeightsVersion | None = None
    load: ReportedLoad | None = None
    notice: TargetNotice = NO_NOTICE


class Dialect(Protocol):
    """How calls and answers look on the wire."""

    def encode(self, call: ForwardCall) -> list[tuple[str, str]]:
        """Return all headers of a call."""
        ...

    def decode(
        self, call: ForwardCall, status: int, headers: list[tuple[str, str]]
    ) -> ResponseHead:
        """Return the head of an answer to ``call``."""
        ...
