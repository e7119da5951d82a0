"""Where an engine should fetch the cached part of a prompt that it lacks.

Reading a prompt again costs an engine some seventy times the moment that a copy
from another engine takes, so whoever keeps most of the prompt is asked. Engines
have fast links of their own, the store has one for everybody: at the peak that is
full for good, so the store is asked only where no engine keeps as much.

What is kept is known from the engines' own cache events alone. A prompt that is
still being read somewhere cannot be fetched yet, however sure it is to be kept.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import IntEnum

from lycheepost.core.ids import PrefixDigest
from lycheepost.decide.records import PrefixLevel
from lycheepost.generated.engine import CacheEvent, CacheEventKind

MOST_PARTS = 20_000
"""Parts remembered of one keeper: ten times what an engine keeps today."""

BLOCK_TOKENS = 32
"""Engines keep whole blocks of 16 tokens or so; what is left over at either end of a
part is kept with no part. A part that lacks no more than this is whole."""

WORTH_TOKENS = 64
"""Fewer tokens are read again in a millisecond, as soon as the copy is asked for."""


class Nearness(IntEnum):
    """How a keeper is reached from an engine; lower is better."""

    ENGINE_NEAR = 0
    STORE_NEAR = 1
    ENGINE_FAR = 2
    STORE_FAR = 3


@dataclass(frozen=True, slots=True)
class Keeper:
    """An engine or a store that may keep parts of a prompt.

    Attributes:
        address: ``IP:PORT``; also its name here.
    """

    address: str
    nearness: Nearness


class KeptParts:
    """What each keeper has told that it keeps."""

    def __init__(self) -> None:
        self._parts: dict[str, OrderedDict[PrefixDigest, int]] = {}

    def observe(self, address: str, events: Iterable[CacheEvent]) -> None:
        """Take a keeper's events in their order."""
        parts = self._parts.setdefault(address, OrderedDict())
        for event in events:
            digest = PrefixDigest(event.digest)
            match event.kind:
                case CacheEventKind.STORED:
                    parts[digest] = event.n_tokens
                    parts.move_to_end(digest)
                case CacheEventKind.EVICTED:
                    parts.pop(digest, None)
                case CacheEventKind.CLEARED:
                    parts.clear()
        while len(parts) > MOST_PARTS:
            parts.popitem(last=False)

    def forget(self, address: str) -> None:
        """Forget a keeper that is gone or has lost everything."""
        self._parts.pop(address, None)

    def kept_tokens(self, address: str, levels: Sequence[PrefixLevel]) -> int:
        """Return how much of a prompt a keeper has, from its start on."""
        parts = self._parts.get(address)
        if parts is None:
            return 0
        n_kept = 0
        for level in levels:
            n_level = level.end_tokens - n_kept
            n_stored = parts.get(level.digest, 0)
            if n_stored < n_level - BLOCK_TOKENS:
                return n_kept + n_stored
            n_kept = level.end_tokens
        return n_kept

    def choose(
        self,
        own_address: str,
        keepers: Iterable[Keeper],
        levels: Sequence[PrefixLevel],
        fallback: str,
    ) -> str:
        """Return whom an engine should ask for what it lacks of a prompt.

        Args:
            own_address: The engine that will run the request.
            keepers: Who may keep parts under the same weights.
            levels: The prompt's levels; the last one is the request's own.
            fallback: Asked when nobody is known to keep more than the engine.
        """
        shared = levels[:-1]
        least = self.kept_tokens(own_address, shared) + WORTH_TOKENS
        best: tuple[int, int, str] | None = None
        for keeper in keepers:
            n_kept = self.kept_tokens(keeper.address, shared)
            key = (-n_kept, int(keeper.nearness), keeper.address)
            if n_kept >= least and (best is None or key < best):
                best = key
        return fallback if best is None else best[2]
