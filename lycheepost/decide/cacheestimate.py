"""A daemon's estimate of the contents of one target's prefix cache.

The estimate only guides placement. An error costs time but never correctness, because
the engine itself decides what it reuses. It is updated by the daemon's own dispatches,
by those of its peers, and by the target's cache events, which come late and with gaps.
"""

from collections import OrderedDict
from collections.abc import Sequence

from lycheepost.core.ids import Incarnation, PrefixDigest
from lycheepost.decide.records import PrefixLevel
from lycheepost.generated.engine import CacheEvent, CacheEventKind

MAX_ENTRIES = 20_000
"""Bounds memory per target. A target caches up to 133,000 blocks (1.6 billion on 12,000
targets) but some tens of times fewer levels."""


RESTART_SEQUENCE = 0
"""Sequence number of the event for a cache that restarted empty; other events count
from 1."""


class CacheEstimate:
    """Prefix levels estimated to be cached by one incarnation of one target.

    Args:
        incarnation: Boot id; entries are dropped when it changes.
        capacity_tokens: Size of the target's cache; 0 when unknown.
    """

    __slots__ = (
        "_capacity_tokens",
        "_entries",
        "_retired",
        "_sequence",
        "_tokens",
        "incarnation",
    )

    def __init__(self, incarnation: Incarnation, capacity_tokens: int) -> None:
        self.incarnation = incarnation
        self._capacity_tokens = capacity_tokens
        self._entries: OrderedDict[PrefixDigest, int] = OrderedDict()
        self._tokens = 0
        self._sequence: int | None = None
        self._retired: set[Incarnation] = set()

    def __len__(self) -> int:
        return len(self._entries)

    def cached_tokens(self, levels: Sequence[PrefixLevel]) -> int:
        """Return the tokens of the longest prefix estimated to be cached.

        Engines evict leaves first, so all levels above the deepest one found are
        cached, too.
        """
        entries = self._entries
        for level in reversed(levels):
            if level.digest in entries:
                return level.end_tokens
        return 0

    def holds(self, digest: PrefixDigest) -> bool:
        """Return whether one part is estimated to be cached, by itself."""
        return digest in self._entries

    def add(self, levels: Sequence[PrefixLevel]) -> None:
        """Record that the target caches, or is about to cache, these levels.

        Deeper levels are touched first, so that a level is always more recent than
        those below it and is evicted after them, as in the engine.
        """
        starts = [0, *(level.end_tokens for level in levels)]
        for level, start in zip(reversed(levels), reversed(starts[:-1]), strict=True):
            self._touch(level.digest, level.end_tokens - start)
        self._evict()

    def _touch(self, digest: PrefixDigest, n_tokens: int) -> None:
        if digest in self._entries:
            self._entries.move_to_end(digest)
            return
        self._entries[digest] = n_tokens
        self._tokens += n_tokens

    def _evict(self) -> None:
        while len(self._entries) > MAX_ENTRIES or (
            self._capacity_tokens and self._tokens > self._capacity_tokens
        ):
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, n_tokens = self._entries.popitem(last=False)
        self._tokens -= n_tokens

    def _trim(self, digest: PrefixDigest, n_left: int) -> None:
        """Shorten an entry whose end was evicted; drops it below half its tokens."""
        n_tokens = self._entries.get(digest)
        if n_tokens is None:
            return
        if n_left < n_tokens / 2:
            self._forget(digest)
            return
        self._entries[digest] = n_left
        self._tokens -= n_tokens - n_left

    def _forget(self, digest: PrefixDigest) -> None:
        self._tokens -= self._entries.pop(digest, 0)

    def clear(self) -> None:
        """Remove all entries."""
        self._entries.clear()
        self._tokens = 0

    def check_incarnation(self, incarnation: Incarnation) -> bool:
        """Compare the incarnation of a message with the current one.

        A late message of an old incarnation is rejected: it would add blocks that no
        longer exist. A new incarnation means a restart that was not yet reported, and
        clears the entries.

        Returns:
            Whether the message is of the current incarnation.
        """
        if incarnation in self._retired:
            return False
        if incarnation != self.incarnation:
            self._restart(incarnation)
        return True

    def _restart(self, incarnation: Incarnation) -> None:
        self.clear()
        self._retired.add(self.incarnation)
        self.incarnation = incarnation
        self._sequence = None

    def observe(self, incarnation: Incarnation, events: Sequence[CacheEvent]) -> None:
        """Apply cache events, which may be late and have gaps."""
        if not self.check_incarnation(incarnation):
            return
        for event in events:
            self._observe_one(event)
        self._evict()

    def _observe_one(self, event: CacheEvent) -> None:
        if event.sequence == RESTART_SEQUENCE:
            # A cache that restarted empty numbers its events from the beginning.
            # Compared by number, this event and all later ones would look old.
            self.clear()
            self._sequence = None
            return
        last = self._sequence
        if last is not None and event.sequence <= last:
            return
        if last is not None and event.sequence > last + 1:
            self._invalidate(event.sequence - last - 1)
        self._sequence = event.sequence
        digest = PrefixDigest(event.digest)
        match event.kind:
            case CacheEventKind.STORED:
                self._touch(digest, event.n_tokens)
            case CacheEventKind.TRIMMED:
                self._trim(digest, event.n_tokens)
            case CacheEventKind.EVICTED:
                self._forget(digest)
            case CacheEventKind.CLEARED:
                self.clear()

    def _invalidate(self, n_lost: int) -> None:
        """Drop as many entries as the lost events may have evicted.

        If a lost eviction were ignored, requests would be sent to a target that must
        recompute their whole prefix. Engines evict the least recently used entry, so
        the oldest ``n_lost`` entries are dropped. A lost addition costs at most one
        cache hit: the next dispatch of the prefix adds it to an estimate again.
        """
        for _ in range(min(n_lost, len(self._entries))):
            self._drop_oldest()
