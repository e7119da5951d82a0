"""How often one daemon may send to a target that limits its requests.

The load: a target in need takes one request a second, and ten daemons send to it. Each
of them by itself would send it one a second. So the limit is divided: each daemon sends
one in ten seconds, at moments that are drawn at random and so spread over all daemons.
Dividing needs no word from the others but how many there are, so the target is spared
also while daemons don't hear each other.
"""

import random
from dataclasses import dataclass

MIN_RATE_PER_SECOND = 0.2
"""A limit below this counts as this: only an answer tells that it has ended."""

INITIAL_PAUSE_SECONDS = 2.0
"""Pause once a target begins to name a limit. What it got in the seconds before, from
daemons that had not heard it, is mostly beyond the limit already."""

SLOT_EXPIRY_SECONDS = 2.0
"""How long a moment that was left unused holds."""


@dataclass(slots=True)
class RequestPacer:
    """The moments at which one daemon may send to one target.

    Attributes:
        per_second: The limit of the target, for all daemons.
        n_daemons: Daemons that the limit is divided among.
        next_seconds: When the next request may go.
    """

    per_second: float
    n_daemons: int
    next_seconds: float

    @property
    def interval_seconds(self) -> float:
        """Return the time between two requests of this daemon."""
        return self.n_daemons / max(MIN_RATE_PER_SECOND, self.per_second)

    def wait_seconds(self, now_seconds: float, n_ahead: int = 0) -> float:
        """Return the time until a request may go behind ``n_ahead`` others."""
        wait_seconds = max(0.0, self.next_seconds - now_seconds)
        return wait_seconds + n_ahead * self.interval_seconds

    def note_sent(self, now_seconds: float) -> None:
        """Count a request that was sent."""
        self.next_seconds = now_seconds + self.interval_seconds

    def change(self, per_second: float, n_daemons: int, now_seconds: float) -> None:
        """Follow another limit or number of daemons; the wait is scaled with it."""
        before_seconds = self.interval_seconds
        self.per_second = per_second
        self.n_daemons = n_daemons
        wait_seconds = self.wait_seconds(now_seconds)
        scale = self.interval_seconds / before_seconds
        self.next_seconds = now_seconds + wait_seconds * scale

    def redraw_expired(self, now_seconds: float, rng: random.Random) -> None:
        """Draw a new moment where the last one was left unused for too long.

        The load: a quiet minute, then many requests at once. Every daemon would have a
        request to send, and all of them would send it at the same moment.
        """
        if now_seconds - self.next_seconds > SLOT_EXPIRY_SECONDS:
            self.next_seconds = now_seconds + rng.random() * self.interval_seconds


def make_request_pacer(
    per_second: float,
    n_daemons: int,
    now_seconds: float,
    rng: random.Random,
) -> RequestPacer:
    """Return the pace at a target that has just named a limit.

    Args:
        per_second: The limit, for all daemons.
        n_daemons: Daemons that it is divided among.
        now_seconds: The present time.
        rng: Draws the first moment.
    """
    pacer = RequestPacer(per_second, n_daemons, now_seconds + INITIAL_PAUSE_SECONDS)
    pacer.next_seconds += rng.random() * pacer.interval_seconds
    return pacer
