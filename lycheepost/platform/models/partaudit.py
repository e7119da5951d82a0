"""Counts requests at servers that parts of their prompts had crashed often before."""

from collections.abc import Collection, Iterable

CRASHES_BEFORE_BOUND = 5
"""Crashes by one part until its requests are to be known."""

TOLERATED_ARRIVALS = 3
"""Requests with the part that may reach servers afterwards."""


def late_arrivals(
    crashed_seconds: Iterable[float],
    arrivals: Iterable[tuple[str, float]],
    attempts: Collection[str],
    contact_seconds: float,
) -> list[float]:
    """Return the times of arrivals that come too late after the fifth crash.

    Args:
        crashed_seconds: When servers crashed by the part.
        arrivals: Attempt id and time of each arrival, at any server.
        attempts: The attempt ids of the requests with the part.
        contact_seconds: Time for all daemons to hear of the fifth crash.
    """
    crashes = sorted(crashed_seconds)
    if len(crashes) < CRASHES_BEFORE_BOUND:
        return []
    from_seconds = crashes[CRASHES_BEFORE_BOUND - 1] + contact_seconds
    return sorted(
        arrived_seconds
        for attempt_id, arrived_seconds in arrivals
        if attempt_id in attempts and arrived_seconds > from_seconds
    )
