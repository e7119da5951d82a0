"""Randomized admission of waiting requests to slots that several daemons see.

Under load each daemon has requests waiting. When a target has prefilled its prompts,
all daemons learn of it within milliseconds, and each sends it a request before it
learns of the others'. The target then has eighty thousand prompt tokens queued instead
of six thousand. For a second or more these requests can't be reordered, moved or
refused while their callers' objectives pass.

So each daemon with waiting requests draws at random, without communication: if a target
has one free slot, each of ``k`` daemons takes it with probability 1/``k``. The draw is
repeated whenever the daemons exchange their load. A slot that no daemon drew stays free
until then, which costs nothing while the target has other prompts to prefill.

Pure logic, apart from the random number generator passed in.
"""

import random
from collections.abc import Collection, Mapping

from lycheepost.core.ids import TargetId


class RandomAdmission:
    """How many waiting requests one daemon may send to each target until the next draw.

    Args:
        rng: Random number generator.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._left: dict[TargetId, int] | None = None

    def draw(
        self,
        free_slots: Mapping[TargetId, float],
        n_daemons: int,
        own: Collection[TargetId] = (),
    ) -> None:
        """Draw this daemon's part of the free slots.

        Args:
            free_slots: Number of requests that each target can still take.
            n_daemons: Daemons with waiting requests, including this one. A single
                daemon takes all free slots.
            own: Targets whose free slots are this daemon's alone; it takes all of them.
        """
        if n_daemons <= 1:
            self._left = None
            return
        self._left = {
            target: self._share(free if target in own else free / n_daemons)
            for target, free in free_slots.items()
        }

    def _share(self, expected: float) -> int:
        """Return a random integer with the mean ``expected``."""
        whole = int(expected)
        return whole + (self._rng.random() < expected - whole)

    def may_take(self, target: TargetId) -> bool:
        """Return whether a waiting request may be sent to a target now."""
        return self._left is None or self._left.get(target, 0) > 0

    def note_taken(self, target: TargetId) -> None:
        """Count a waiting request that was sent to a target."""
        if self._left is not None:
            self._left[target] = self._left.get(target, 0) - 1
