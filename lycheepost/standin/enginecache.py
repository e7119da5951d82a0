"""Prefix cache of the engine model: an LRU cache of limited size, keyed by salt.

Entries are prefix levels. A level is usable only together with all levels above it.
A level is always touched after those below it, so that LRU eviction removes leaves
first.
"""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass

from lycheepost.core.ids import PrefixDigest
from lycheepost.decide.records import PrefixLevel
from lycheepost.generated.engine import CacheEvent, CacheEventKind

MAX_KEPT_EVENTS = 4096
"""Events kept for readers; a reader that is further behind sees a gap."""


@dataclass(frozen=True, slots=True)
class _ScheduledEvent:
    event: CacheEvent
    at_seconds: float


class EngineCache:
    """Cached prefix levels of one incarnation.

    Args:
        capacity_tokens: Maximum number of cached tokens.
        event_lag_seconds: Time from a change to its publication.
        event_loss_share: Share of events that are never published.
        rng: Selects the lost events.
    """

    def __init__(
        self,
        capacity_tokens: int,
        event_lag_seconds: float,
        event_loss_share: float,
        rng: random.Random,
    ) -> None:
        self._capacity_tokens = capacity_tokens
        self._event_lag_seconds = event_lag_seconds
        self._event_loss_share = event_loss_share
        self._rng = rng
        self._entries: OrderedDict[tuple[str, PrefixDigest], int] = OrderedDict()
        self._events: deque[_ScheduledEvent] = deque(maxlen=MAX_KEPT_EVENTS)
        self._sequence = 0
        self.n_tokens = 0

    def holds(self, salt: str, digest: PrefixDigest) -> bool:
        """Return whether a level is cached."""
        return (salt, digest) in self._entries

    def look_up(self, salt: str, levels: Sequence[PrefixLevel]) -> int:
        """Return the length of the longest cached prefix and mark it as used."""
        found: list[PrefixLevel] = []
        for level in levels:
            if (salt, level.digest) not in self._entries:
                break
            found.append(level)
        for level in reversed(found):
            self._entries.move_to_end((salt, level.digest))
        return found[-1].end_tokens if found else 0

    def store(
        self, salt: str, levels: Sequence[PrefixLevel], now_seconds: float
    ) -> None:
        """Store the levels of a prompt and evict the least recently used ones."""
        starts = [0, *(level.end_tokens for level in levels[:-1])]
        for level, start in reversed(list(zip(levels, starts, strict=True))):
            key = (salt, level.digest)
            if key in self._entries:
                self._entries.move_to_end(key)
                continue
            n_tokens = level.end_tokens - start
            self._entries[key] = n_tokens
            self.n_tokens += n_tokens
            self._publish(CacheEventKind.STORED, level.digest, n_tokens, now_seconds)
        while self.n_tokens > self._capacity_tokens:
            (_, digest), n_tokens = self._entries.popitem(last=False)
            self.n_tokens -= n_tokens
            self._publish(CacheEventKind.EVICTED, digest, n_tokens, now_seconds)

    def _publish(
        self,
        kind: CacheEventKind,
        digest: PrefixDigest,
        n_tokens: int,
        now_seconds: float,
    ) -> None:
        self._sequence += 1
        if self._rng.random() < self._event_loss_share:
            return
        event = CacheEvent(
            sequence=self._sequence, kind=kind, digest=digest, n_tokens=n_tokens
        )
        self._events.append(
            _ScheduledEvent(event, now_seconds + self._event_lag_seconds)
        )

    def published(self, after: int, now_seconds: float) -> list[CacheEvent]:
        """Return the events with a sequence above ``after`` that are published."""
        found: list[CacheEvent] = []
        for stamped in reversed(self._events):
            if stamped.event.sequence <= after:
                break
            if stamped.at_seconds <= now_seconds:
                found.append(stamped.event)
        found.reverse()
        return found
