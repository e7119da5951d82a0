"""Engines of a group that long prompts are sent to first.

All daemons order the engines alike, by the hash of their names, and each takes the
first ones of that order. Daemons that believe in different numbers thus differ only at
the end of the shorter set, and no vote is needed.

The number follows the engines of the set that are reading a prompt. Their mean number
is the engine time that long prompts ask for, however long prompts wait, as long as the
set has room; while it has none, all of the set are reading, and the set doubles.
"""

import math
from collections.abc import Callable, Iterable, Sequence

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import TargetId
from lycheepost.decide.ring import Ring

ENGINES_PER_READING = 4.0
"""While an engine generates the response to a long prompt, which takes two or three
times as long as to read it, another long prompt would pause it."""

SPARE_DEVIATIONS = 2.0
"""Standard deviations of the number of prompts that are being read at a time."""

GROWTH_SECONDS = 0.2
SHRINK_SECONDS = 10.0
SHRINK_SHARE = 0.6
"""The number follows growing demand at once, and falling demand slowly and only below
this share of its size: a set that is too small makes long prompts late, and each change
separates long prompts from the engines that cache their shared parts, and puts long
prompts beside streams that still run."""

MAX_SHARE = 0.75
"""Largest part of the engines; the others are left to streams."""


SAMPLED_ENGINES = 100
"""Engines whose load is read at each update, for each side; the first ones of the
common order, so that all daemons look at the same."""


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

    def update(
        self,
        is_reading: Callable[[TargetId], bool],
        n_stream_engines: int,
        now_seconds: float,
    ) -> None:
        """Follow the demand.

        Args:
            is_reading: Returns whether an engine is reading a long prompt.
            n_stream_engines: Engines that the running streams need.
            now_seconds: The current time.
        """
        n_reading = sum_of_sample(self.ordered, is_reading)
        elapsed = now_seconds - (self._updated_seconds or now_seconds)
        self._updated_seconds = now_seconds
        is_growing = n_reading > self._n_reading
        time_constant = GROWTH_SECONDS if is_growing else SHRINK_SECONDS
        weight = 1.0 - math.exp(-elapsed / time_constant)
        self._n_reading += weight * (n_reading - self._n_reading)
        n_needed = engines_needed(self._n_reading)
        most = most_engines(len(self._order), n_stream_engines)
        n_needed = min(n_needed, most)
        if n_needed > self._n_wanted or n_needed < SHRINK_SHARE * self._n_wanted:
            self._n_wanted = n_needed
            self._choose()

    def _choose(self) -> None:
        n_chosen = min(self._n_wanted, most_engines(len(self._order)))
        self.ordered = tuple(self._order[:n_chosen])
        self.others = tuple(self._order[n_chosen:])
        self.targets = frozenset(self.ordered)
        self.ring.replace(set(self.targets))


def sum_of_sample(
    targets: Sequence[TargetId], value: Callable[[TargetId], float]
) -> float:
    """Return the sum of a value over targets, estimated from the first ones."""
    sampled = targets[:SAMPLED_ENGINES]
    return sum(map(value, sampled)) * len(targets) / max(1, len(sampled))


def engines_needed(n_reading: float) -> int:
    """Return how many reading engines a demand needs.

    Args:
        n_reading: Mean number of engines that read a long prompt.
    """
    # The square root covers random variations: prompts arrive independently.
    spare = SPARE_DEVIATIONS * math.sqrt(n_reading)
    return max(1, math.ceil(ENGINES_PER_READING * n_reading + spare))


def most_engines(n_engines: int, n_stream_engines: int = 0) -> int:
    """Return how many of a group's engines may be reading engines.

    Args:
        n_engines: Engines that take new work.
        n_stream_engines: Engines that the running streams need.
    """
    most = min(math.floor(MAX_SHARE * n_engines), n_engines - n_stream_engines)
    return max(most, min(1, n_engines - 1), 0)


def _order_key(target: TargetId) -> tuple[int, TargetId]:
    return hash_bytes(target.encode()), target
