"""Records that enter and leave the engine model, and its speeds and sizes."""

from dataclasses import dataclass
from enum import Enum

from lycheepost.core.ids import Incarnation, RequestId
from lycheepost.decide.records import PrefixLevel


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Speeds and sizes of one engine, each with its reason.

    Attributes:
        prefill_seconds_per_token: 20,000 tokens/s: a 70B model on the four
            accelerators of a server (48,000 accelerators in 12,000 servers).
        iteration_seconds: Fixed part of an iteration: reading the weights once
            from memory, 70 GB over 4 x 2 TB/s and kernel launches.
        sequence_seconds: Reading one running request's KV per iteration. At
            the 57 running that 17M tokens/s over 12,000 servers need, an
            iteration takes 12 + 57 x 0.4 = 35 ms, inside the 62 ms allowed.
        chunk_tokens: Prompt tokens prefilled per iteration, the usual chunk
            size: 2,048 tokens add 102 ms, so a smaller one keeps the gap between
            tokens inside 62 ms.
        max_running: Requests in a batch; KV memory allows no more.
        cache_tokens: Cached prefix tokens kept beside the running requests;
            small enough that blocks leave within tens of seconds at load.
        load_lag_seconds: A load report is taken this long before it is read.
        event_lag_seconds: A cache event is published this long after it.
        event_loss_share: Share of cache events that are lost.
        slowness: All work takes this many times as long.
        most_iterations: Equal iterations run as one event at most; 1 shows
            each token when it comes, many save events in virtual time.
    """

    prefill_seconds_per_token: float = 50e-6
    iteration_seconds: float = 0.012
    sequence_seconds: float = 0.4e-3
    chunk_tokens: int = 512
    max_running: int = 64
    cache_tokens: int = 300_000
    load_lag_seconds: float = 1.0
    event_lag_seconds: float = 0.7
    event_loss_share: float = 0.02
    slowness: float = 1.0
    most_iterations: int = 1_000_000


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """One request as the engine gets it.

    Attributes:
        salt: Cached blocks are shared within one salt only.
        priority: Lower goes first.
        kills: Whether prefilling it crashes the engine.
    """

    request: RequestId
    salt: str
    levels: tuple[PrefixLevel, ...]
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    kills: bool = False


class EngineEventKind(Enum):
    """What happened to a request."""

    FIRST_TOKEN = "first_token"
    FINISHED = "finished"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class EngineEvent:
    """Something that happened at ``at_seconds``.

    Attributes:
        cached_tokens: Prompt tokens reused from the cache.
    """

    kind: EngineEventKind
    request: RequestId
    at_seconds: float
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class EngineReport:
    """A load measurement as published."""

    incarnation: Incarnation
    measured_seconds: float
    n_running: int
    n_queued: int
    queued_prompt_tokens: int
    cached_tokens: int
