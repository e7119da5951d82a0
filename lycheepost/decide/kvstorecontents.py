"""Decides which prompts' KV cache engines write to a KV store.

Prompts begin with long parts that many others share, and end with unique text. An
engine that is told to write a prompt to the store writes all of it. If every prompt
were written, most of the written text would never be read: it evicts the shared parts,
and keeps the store's link so busy that fetches of shared parts are not even started.
Engines then recompute the same parts, which takes about a hundred times as long as
fetching them.

A prompt is therefore written only while the store is not known to hold all of its
shared parts. This is tracked by the store's own events, so that daemons need not notify
each other.
"""

from collections import OrderedDict
from collections.abc import Sequence

from lycheepost.core.ids import Incarnation, PrefixDigest
from lycheepost.decide.cacheestimate import CacheEstimate
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.records import PrefixLevel
from lycheepost.generated.engine import CacheEvent

SEND_GRACE_SECONDS = 1.0
"""How long the parts of a sent prompt count as stored without an event of the store:
the engine writes them after prefill, and the store's events are polled twice a
second."""

MAX_RECENT_SENDS = 10_000
"""Parts sent recently; bounds memory to about two megabytes."""

_UNKNOWN_SIZE = 0
"""A store reports its evictions; they are not estimated from its size."""


class KvStoreContents:
    """Estimated contents of the KV stores, and what was sent to them recently.

    Args:
        switched_off: Mechanisms that are not used.
    """

    def __init__(self, switched_off: frozenset[Mechanism] = frozenset()) -> None:
        self._sends_all = Mechanism.KV_SENDS in switched_off
        self._counts_fetches = Mechanism.KV_FETCHES not in switched_off
        self._stores: dict[str, CacheEstimate] = {}
        self._recent_sends: OrderedDict[tuple[str, PrefixDigest], float] = OrderedDict()

    def observe(
        self, store: str, incarnation: Incarnation, events: Sequence[CacheEvent]
    ) -> None:
        """Apply a store's events.

        Args:
            store: Its address.
            incarnation: The incarnation that reports them.
            events: In order; some may be missing.
        """
        contents = self._stores.get(store)
        if contents is None:
            contents = CacheEstimate(incarnation, _UNKNOWN_SIZE)
            self._stores[store] = contents
        contents.observe(incarnation, events)

    def keep_only(self, stores: Sequence[str]) -> None:
        """Remove all stores but these."""
        for store in set(self._stores) - set(stores):
            del self._stores[store]

    def stored_tokens(self, store: str, levels: Sequence[PrefixLevel]) -> int:
        """Return the tokens of the longest prefix that a store holds.

        Args:
            store: The store's address.
            levels: The prompt's levels, outermost first.
        """
        contents = self._stores.get(store)
        if contents is None or not self._counts_fetches:
            return 0
        n_tokens = 0
        for level in levels:
            if not contents.holds(level.digest):
                break
            n_tokens = level.end_tokens
        return n_tokens

    def should_send(
        self, store: str, levels: Sequence[PrefixLevel], now_seconds: float
    ) -> bool:
        """Decide whether a prompt is sent to a store; counts it as sent if so.

        Args:
            store: The store's address.
            levels: The prompt's levels; the last one is not shared.
            now_seconds: The current time.
        """
        if self._sends_all:
            return True
        shared = levels[:-1]
        missing = [
            level.digest
            for level in shared
            if not self._is_stored(store, level.digest, now_seconds)
        ]
        if not missing:
            return False
        for digest in missing:
            self._note_sent(store, digest, now_seconds)
        return True

    def _is_stored(self, store: str, digest: PrefixDigest, now_seconds: float) -> bool:
        contents = self._stores.get(store)
        if contents is not None and contents.holds(digest):
            return True
        sent_seconds = self._recent_sends.get((store, digest))
        return (
            sent_seconds is not None and now_seconds < sent_seconds + SEND_GRACE_SECONDS
        )

    def _note_sent(self, store: str, digest: PrefixDigest, now_seconds: float) -> None:
        self._recent_sends[store, digest] = now_seconds
        self._recent_sends.move_to_end((store, digest))
        while len(self._recent_sends) > MAX_RECENT_SENDS:
            self._recent_sends.popitem(last=False)
