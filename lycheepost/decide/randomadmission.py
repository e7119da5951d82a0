"""Whose waiting request takes the room that several daemons see at a target.

The failure: under load each daemon has requests waiting. When a target has read its
prompts all daemons hear of it within milliseconds, and each sends it a request before
it hears of the others'. It shows as targets with eighty thousand prompt tokens to read
where six thousand are meant to wait: a second and more in which nobody can order those
requests, send them elsewhere or refuse them, while their callers' objectives pass.

So each daemon that has requests waiting admits them at random, by itself and without a
word: at a target with room for one more, each of ``k`` daemons may take it with a
probability of 1/``k``. That is drawn anew as often as the daemons tell each other their
load. Room that nobody drew stays free until then, which a target does not notice that
has other prompts to read meanwhile.

Pure logic, but for the random numbers that are handed in.
"""

import random
from collections.abc import Mapping

from lycheepost.core.ids import TargetId


class RandomAdmission:
    """How many waiting requests may go from here to each target until the next draw.

    Args:
        rng: Random numbers.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._left: dict[TargetId, int] | None = None

    def draw(self, free_slots: Mapping[TargetId, float], n_daemons: int) -> None:
        """Draw this daemon's part of the room that there is now.

        Args:
            free_slots: Requests that each target has room for.
            n_daemons: Daemons with waiting requests, this one among them. One alone
                takes all the room that it sees.
        """
        if n_daemons <= 1:
            self._left = None
            return
        self._left = {
            target: self._share(free / n_daemons) for target, free in free_slots.items()
        }

    def _share(self, expected: float) -> int:
        """Return a whole number that is ``expected`` in the mean."""
        whole = int(expected)
        return whole + (self._rng.random() < expected - whole)

    def may_take(self, target: TargetId) -> bool:
        """Tell whether a waiting request may go to a target now."""
        return self._left is None or self._left.get(target, 0) > 0

    def note_taken(self, target: TargetId) -> None:
        """Count a waiting request that went to a target."""
        if self._left is not None:
            self._left[target] = self._left.get(target, 0) - 1
