"""Pacing of one daemon's requests to a target that limits its request rate.

If an overloaded target accepts one request a second and ten daemons send to it, each of
them would send one a second. So the limit is divided: each daemon sends one request in
ten seconds, at random offsets that spread the daemons over time. Dividing requires only
the number of daemons, so the limit also holds while daemons can't reach each other.
"""

import random
from dataclasses import dataclass

MIN_RATE_PER_SECOND = 0.2
"""Lower bound of a limit: only a response can report that the limit has ended, so
requests must continue."""

INITIAL_PAUSE_SECONDS = 2.0
"""Pause after a target sets a limit. What it got in the seconds before, from daemons
that did not know the limit yet, mostly exceeds the limit already."""

SEND_TIME_EXPIRY_SECONDS = 2.0
"""How long an unused send time stays valid."""


@dataclass(slots=True)
class RequestPacer:
    """The times at which one daemon may send to one target.

    Attributes:
        per_second: The limit of the target, for all daemons.
        n_daemons: Daemons that the limit is divided among.
        next_seconds: When the next request may be sent.
    """

    per_second: float
    n_daemons: int
    next_seconds: float

    @property
    def interval_seconds(self) -> float:
        """Return the time between two requests of this daemon."""
        return self.n_daemons / max(MIN_RATE_PER_SECOND, self.per_second)

    def wait_seconds(self, now_seconds: float, n_ahead: int = 0) -> float:
        """Return the time until a request behind ``n_ahead`` others may be sent."""
        wait_seconds = max(0.0, self.next_seconds - now_seconds)
        return wait_seconds + n_ahead * self.interval_seconds

    def note_sent(self, now_seconds: float) -> None:
        """Count a request that was sent."""
        self.next_seconds = now_seconds + self.interval_seconds

    def change(self, per_second: float, n_daemons: int, now_seconds: float) -> None:
        """Change the limit or the number of daemons, and scale the remaining wait."""
        before_seconds = self.interval_seconds
        self.per_second = per_second
        self.n_daemons = n_daemons
        wait_seconds = self.wait_seconds(now_seconds)
        scale = self.interval_seconds / before_seconds
        self.next_seconds = now_seconds + wait_seconds * scale

    def redraw_expired(self, now_seconds: float, rng: random.Random) -> None:
        """Draw a new send time if the last one has been unused for too long.

        When many requests arrive after a quiet minute, every daemon would otherwise
        send its request at the same time.
        """
        if now_seconds - self.next_seconds > SEND_TIME_EXPIRY_SECONDS:
            self.next_seconds = now_seconds + rng.random() * self.interval_seconds


def make_request_pacer(
    per_second: float,
    n_daemons: int,
    now_seconds: float,
    rng: random.Random,
) -> RequestPacer:
    """Return the pacer of a target that has just set a limit.

    Args:
        per_second: The limit, for all daemons.
        n_daemons: Daemons that it is divided among.
        now_seconds: The current time.
        rng: Draws the first send time.
    """
    pacer = RequestPacer(per_second, n_daemons, now_seconds + INITIAL_PAUSE_SECONDS)
    pacer.next_seconds += rng.random() * pacer.interval_seconds
    return pacer
