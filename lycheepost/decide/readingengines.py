"""Engines of a group that long prompts are sent to first.

All daemons order the engines alike, by the hash of their names, and each takes the
first ones of that order. Daemons that believe in different numbers thus differ only at
the end of the shorter set, and no vote is needed.

The number follows the engines of the set that are reading a prompt. Their mean number
is the engine time that long prompts ask for, however long prompts wait, as long as the
set has room; while it has none, all of the set are reading, and the set doubles.
"""

import math
from collections.abc import Callable, Iterable

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import TargetId
from lycheepost.decide.ring import Ring

ENGINES_PER_READING = 2.0
"""Each reading engine needs about as long again to generate the response, during which
another long prompt would pause it."""

GROWTH_SECONDS = 0.5
SHRINK_SECONDS = 5.0
"""The number follows growing demand faster than falling demand: a set that is too small
makes long prompts late, one that is too large only crowds the streams."""

SHRINK_SHARE = 0.8
"""The set shrinks only below this share of its size, so that it does not follow random
variations of demand: an engine that changes sides has running streams."""

MAX_SHARE = 2 / 3
"""Largest part of the engines; the others are left to streams."""


class ReadingEngines:
    """The reading engines of one group, as this daemon believes them to be.

    Attributes:
        targets: The reading engines.
        others: The other engines of the group.
        ring: The ring of the reading engines, for long prompts' owners.
    """

    def __init__(self) -> None:
        self.targets: frozenset[TargetId] = frozenset()
        self.others: tuple[TargetId, ...] = ()
        self.ordered: tuple[TargetId, ...] = ()
        self.ring = Ring()
        self._order: list[TargetId] = []
        self._n_wanted = 1
        self._n_reading = 0.0
        self._updated_seconds: float | None = None

    def replace(self, targets: Iterable[TargetId]) -> None:
        """Set the engines that take new work."""
        self._order = sorted(targets, key=_order_key)
        self._choose()

    def clear(self) -> None:
        """Forget engines and demand."""
        self._order, self._n_wanted, self._n_reading = [], 1, 0.0
        self._updated_seconds = None
        self._choose()

    def update(self, is_reading: Callable[[TargetId], bool], now_seconds: float) -> int:
        """Follow the demand.

        Args:
            is_reading: Returns whether an engine is reading a prompt.
            now_seconds: The current time.

        Returns:
            The change of the number of reading engines.
        """
        n_reading = float(sum(map(is_reading, self.ordered)))
        elapsed = now_seconds - (self._updated_seconds or now_seconds)
        self._updated_seconds = now_seconds
        is_growing = n_reading > self._n_reading
        time_constant = GROWTH_SECONDS if is_growing else SHRINK_SECONDS
        weight = 1.0 - math.exp(-elapsed / time_constant)
        self._n_reading += weight * (n_reading - self._n_reading)
        n_needed = engines_needed(self._n_reading)
        n_before = len(self.ordered)
        if n_needed > self._n_wanted or n_needed < SHRINK_SHARE * self._n_wanted:
            self._n_wanted = n_needed
            self._choose()
        return len(self.ordered) - n_before

    def _choose(self) -> None:
        # Bounds the wanted number too: after a loss of engines it would otherwise stay
        # larger than any set, and the set would not shrink for a while.
        self._n_wanted = min(self._n_wanted, max(1, most_engines(len(self._order))))
        n_chosen = min(self._n_wanted, most_engines(len(self._order)))
        self.ordered = tuple(self._order[:n_chosen])
        self.others = tuple(self._order[n_chosen:])
        self.targets = frozenset(self.ordered)
        self.ring.replace(set(self.targets))


def engines_needed(n_reading: float) -> int:
    """Return how many reading engines a demand needs.

    Args:
        n_reading: Mean number of engines that read a long prompt.
    """
    # The square root covers random variations: prompts arrive independently.
    return max(1, math.ceil(ENGINES_PER_READING * (n_reading + math.sqrt(n_reading))))


def most_engines(n_engines: int) -> int:
    """Return how many of a group's engines may be reading engines."""
    return math.floor(MAX_SHARE * n_engines)


def _order_key(target: TargetId) -> tuple[int, TargetId]:
    return hash_bytes(target.encode()), target
