"""Requests, events, reports and settings of the engine model."""

from dataclasses import dataclass
from enum import Enum

from lycheepost.core.ids import Incarnation, RequestId
from lycheepost.decide.records import PrefixLevel


@dataclass(frozen=True, slots=True)
class EngineSettings:
    """Speeds and sizes of one engine.

    Attributes:
        prefill_seconds_per_token: 20,000 tokens/s: a 70B model on the four
            accelerators of a server (48,000 accelerators in 12,000 servers).
        iteration_seconds: Fixed part of an iteration: reading the weights once
            from memory (70 GB at 4 x 2 TB/s) and kernel launches.
        sequence_seconds: Time to read the KV of one running request per iteration.
            17M tokens/s on 12,000 servers need 57 running requests each, so that an
            iteration takes 12 + 57 x 0.4 = 35 ms, within the 62 ms allowed.
        chunk_tokens: Prompt tokens prefilled per iteration. The usual chunk of
            2,048 tokens adds 102 ms; a smaller one keeps the gap between tokens
            within 62 ms.
        max_running: Requests in a batch, limited by KV memory.
        cache_tokens: Cached prefix tokens beside those of running requests; small
            enough that blocks are evicted within tens of seconds under load.
        load_lag_seconds: Age of a load report when it is read.
        event_lag_seconds: Delay from a cache event to its publication.
        event_loss_share: Share of cache events that are lost.
        slowness: Factor on the duration of all work.
        max_batched_iterations: Maximum number of equal iterations simulated as one
            event. 1 shows each token when it is generated; more save events in
            virtual time.
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
    max_batched_iterations: int = 1_000_000


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """One request to the engine.

    Attributes:
        salt: Cached blocks are shared only between requests of the same salt.
        priority: Requests with a lower value run first.
        crashes_engine: Whether prefilling it crashes the engine.
    """

    request: RequestId
    salt: str
    levels: tuple[PrefixLevel, ...]
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    crashes_engine: bool = False


class EngineEventKind(Enum):
    """Kind of a request's event."""

    FIRST_TOKEN = "first_token"
    FINISHED = "finished"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class EngineEvent:
    """An event of one request.

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
