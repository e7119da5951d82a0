"""Requests to targets that crash when they reject too many.

A brittle target states how many requests a second it may reject for want of room. It
does not matter who sends them, so the number is divided among all daemons: after a
rejection a daemon sends the target nothing until its share allows another. Daemons know
each other's load only some milliseconds late, so a brittle target is not filled up
either.
"""

FILL_SHARE = 0.85
"""Share of a brittle target's slots that all daemons use together. The rest absorbs
requests that several daemons send in the moment before they hear of each other's."""

MIN_REJECTIONS_PER_SECOND = 0.2
"""Lower bound of the stated number: only a response can say that it has changed."""

MAX_PAUSE_SECONDS = 5.0
"""Upper bound of a pause, so that a large fleet tries a target again in time."""


def pause_seconds(rejections_per_second: float, n_daemons: int) -> float:
    """Return how long a daemon sends a brittle target nothing after a rejection.

    Args:
        rejections_per_second: Rejections that the target bears, of all daemons.
        n_daemons: Daemons that these are divided among.
    """
    bearable = max(MIN_REJECTIONS_PER_SECOND, rejections_per_second)
    return min(MAX_PAUSE_SECONDS, n_daemons / bearable)


def usable_requests(max_requests: float) -> float:
    """Return how many requests all daemons may have at a brittle target."""
    return max(1.0, float(int(FILL_SHARE * max_requests)))
