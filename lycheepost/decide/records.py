"""Input and output records of the scheduler.

``decide.scheduler`` takes these records and returns ``Outcome`` records. The daemon and
the policy bench, which runs the scheduler without a daemon, use the same ones.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from lycheepost.core.ids import (
    AvailabilityZone,
    BodyFingerprint,
    CustomerId,
    Incarnation,
    ModelId,
    PrefixDigest,
    PromptPartKey,
    RequestId,
    SoftwareVersion,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)


class Priority(Enum):
    """Urgency of a request as stated by its caller; lower values run first."""

    INTERACTIVE = 0
    NORMAL = 1
    BATCH = 2


class TargetState(Enum):
    """Whether a target gets new work."""

    SERVING = "serving"
    WARMING = "warming"
    LEAVING = "leaving"
    GONE = "gone"


class RefusalReason(Enum):
    """Why the scheduler does not dispatch a request."""

    DEADLINE = "deadline"
    QUEUE_FULL = "queue_full"
    OVER_SHARE = "over_share"
    NO_TARGET = "no_target"
    QUARANTINED = "quarantined"
    RETRY_BUDGET = "retry_budget"
    SHUTTING_DOWN = "shutting_down"
    TOO_LARGE = "too_large_for_memory"
    NO_PATH = "no_path"
    """This daemon itself reaches no target of the group."""


class FinishKind(Enum):
    """How a dispatched request ended, as seen by the daemon."""

    COMPLETE = "complete"
    CANCELLED = "cancelled"
    TARGET_REFUSED = "target_refused"
    ANSWER_LOST = "answer_lost"
    """The response broke off but the target is still alive, so the request did not
    crash it."""
    TARGET_LOST = "target_lost"
    LOSS_UNKNOWN = "loss_unknown"
    """The response broke off; whether the target is alive is still to be found out."""


@dataclass(frozen=True, slots=True)
class PrefixLevel:
    """One nested level of a prompt.

    Attributes:
        digest: Digest of this level: chained over everything up to its end
            (``decide.levels``), or of its part alone (``decide.promptlevels``).
        end_tokens: Estimated tokens from the start to the end of this level.
    """

    digest: PrefixDigest
    end_tokens: int


@dataclass(frozen=True, slots=True)
class Work:
    """One request as the scheduler sees it.

    Attributes:
        levels: Prefix levels, outermost first; empty for plain services.
        prompt_tokens: Estimated tokens of the whole prompt.
        output_tokens: Expected tokens of the response.
        arrived_seconds: When the daemon received the request.
        first_token_timeout_seconds: How long the caller waits for the first token.
        excluded: Targets that have already failed this request.
        objective_seconds: Latency objective for the first token, from the arrival;
            infinite if there is none.
        stored_tokens: Tokens of the prompt's prefix that a KV store is estimated to
            hold, by software version, for targets of it that can fetch them.
        gap_seconds: Longest pause between the events of its response at which it meets
            its objective; 0 if there is none.
        rank: Urgency among all requests of its target group; 0 is the most urgent.
        hint_tokens: The caller's estimate of the tokens of its response; 0 if none.
        software_versions: Versions of the targets that may run it; None for all.
        parts: The parts of its prompt that other requests may share: all but the last.
    """

    request: RequestId
    customer: CustomerId
    target_group: TargetGroupId
    model: ModelId
    weights_version: WeightsVersion
    levels: tuple[PrefixLevel, ...]
    prompt_tokens: int
    output_tokens: int
    priority: Priority
    arrived_seconds: float
    first_token_timeout_seconds: float
    fingerprint: BodyFingerprint
    is_idempotent: bool = True
    excluded: frozenset[TargetId] = field(default_factory=frozenset)
    objective_seconds: float = float("inf")
    stored_tokens: Mapping[SoftwareVersion, int] = field(default_factory=dict)
    gap_seconds: float = 0.0
    rank: int = 0
    hint_tokens: int = 0
    software_versions: frozenset[SoftwareVersion] | None = None
    parts: frozenset[PromptPartKey] = frozenset()


@dataclass(frozen=True, slots=True)
class TargetView:
    """A target as described by the configuration and membership.

    Attributes:
        concurrency_limit: Most requests the target should run at once.
        serving_share: Share of normal traffic, 0 to 1; grows while warming.
        penalty_seconds: Extra cost of a response from this target, as seconds of wait.
        fetch_token_seconds: Time to fetch one token's KV cache from a KV store; 0 if it
            cannot fetch.
        event_tokens: Output tokens in one event of a stream.
        memory_tokens: Tokens of running requests and cached parts that it holds
            together; 0 if unknown.
        software_version: Version of its software; None if unknown.
    """

    target: TargetId
    target_group: TargetGroupId
    availability_zone: AvailabilityZone
    state: TargetState
    incarnation: Incarnation
    weights_version: WeightsVersion
    concurrency_limit: int
    cache_tokens: int = 0
    serving_share: float = 1.0
    penalty_seconds: float = 0.0
    fetch_token_seconds: float = 0.0
    event_tokens: int = 1
    memory_tokens: int = 0
    software_version: SoftwareVersion | None = SoftwareVersion("")


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A target's report of its own load, up to a few seconds late.

    Attributes:
        measured_seconds: Time of the measurement, by this daemon's clock.
        queued_prompt_tokens: Prompt tokens waiting for prefill.
    """

    target: TargetId
    incarnation: Incarnation
    measured_seconds: float
    n_running: int
    n_queued: int
    queued_prompt_tokens: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to this target now.

    Attributes:
        predicted_wait_seconds: Predicted time to the first token.
        expected_cached_tokens: Prompt tokens estimated to be cached there.
        put_back: Less urgent requests there that it is meant to displace from memory.
    """

    request: RequestId
    target: TargetId
    predicted_wait_seconds: float
    expected_cached_tokens: int
    put_back: tuple[RequestId, ...] = ()


@dataclass(frozen=True, slots=True)
class Refuse:
    """Don't dispatch the request.

    On a retry, earlier attempts may have reached targets.

    Attributes:
        retry_after_seconds: When a retry may succeed; None if waiting does not help.
    """

    request: RequestId
    reason: RefusalReason
    retry_after_seconds: float | None


Outcome = Dispatch | Refuse


@dataclass(frozen=True, slots=True)
class Placed:
    """A prompt that a target is about to cache.

    Attributes:
        levels: Its levels, outermost first.
    """

    target: TargetId
    levels: tuple[PrefixLevel, ...]
