"""Which prompts' KV cache goes to a store of kept KV cache.

The load: every prompt begins with long parts that many others share, and ends with
text of its own. An engine that is told to send a prompt to the store sends all of it.
If each is sent, most of what the store is sent is text that never comes again: it
drives the shared parts out, and it keeps the store's one link so busy that fetches of
shared parts are not even started. The engines then read the same parts again and
again, which takes some hundred times as long as to fetch them.

So a prompt is sent only while the store is not believed to keep all of its shared
parts. What is believed comes from the store's own events, so that the daemons need not
tell each other.
"""

from collections import OrderedDict
from collections.abc import Sequence

from lycheepost.core.ids import Incarnation, PrefixDigest
from lycheepost.decide.cacheestimate import CacheEstimate
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.records import PrefixLevel
from lycheepost.generated.engine import CacheEvent

SEND_GRACE_SECONDS = 1.0
"""After a prompt was sent to a store its parts count as kept for so long without the
store's word: an engine sends them once it has read them, and the store's events are
asked for twice a second."""

MAX_RECENT_SENDS = 10_000
"""Parts that were sent of late; bounds memory to some two megabytes."""

_UNKNOWN_SIZE = 0
"""A store tells what it drops; it is not guessed here from its size."""


class KvStoreContents:
    """What the stores are believed to keep, and what was sent to them of late.

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
        """Take in a store's events.

        Args:
            store: Its address.
            incarnation: Which start of it tells them.
            events: In order; some may be missing.
        """
        cache_estimate = self._stores.get(store)
        if cache_estimate is None:
            cache_estimate = CacheEstimate(incarnation, _UNKNOWN_SIZE)
            self._stores[store] = cache_estimate
        cache_estimate.observe(incarnation, events)

    def keep_only(self, stores: Sequence[str]) -> None:
        """Forget all stores but these."""
        for store in set(self._stores) - set(stores):
            del self._stores[store]

    def kept_tokens(self, store: str, levels: Sequence[PrefixLevel]) -> int:
        """Return the tokens of the longest beginning that a store keeps.

        Args:
            store: The store's address.
            levels: The prompt's levels, outermost first.
        """
        cache_estimate = self._stores.get(store)
        if cache_estimate is None or not self._counts_fetches:
            return 0
        n_tokens = 0
        for level in levels:
            if not cache_estimate.holds(level.digest):
                break
            n_tokens = level.end_tokens
        return n_tokens

    def should_send(
        self, store: str, levels: Sequence[PrefixLevel], now_seconds: float
    ) -> bool:
        """Decide whether a prompt is sent to a store; counts it as sent if so.

        Args:
            store: The store's address.
            levels: The prompt's levels; the last one is the request's own.
            now_seconds: The present time.
        """
        if self._sends_all:
            return True
        shared = levels[:-1]
        missing = [
            level.digest
            for level in shared
            if not self._is_kept(store, level.digest, now_seconds)
        ]
        if not missing:
            return False
        for digest in missing:
            self._note_sent(store, digest, now_seconds)
        return True

    def _is_kept(self, store: str, digest: PrefixDigest, now_seconds: float) -> bool:
        cache_estimate = self._stores.get(store)
        if cache_estimate is not None and cache_estimate.holds(digest):
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
