"""Counts repeats at the servers of one service, over all daemons, in every window.

Each arrival of a request beyond its first is a repeat, whichever daemon sent it and
whether or not the server ran it. The bound is the platform's: a share of the requests
that callers sent, and some beyond.
"""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetryWindow:
    """One window of time.

    Attributes:
        n_repeats: Arrivals beyond the first of each request.
        n_requests: Requests of callers that count for the window.
        n_allowed: Repeats that are allowed.
    """

    from_seconds: float
    n_repeats: int
    n_requests: int
    n_allowed: float

    @property
    def is_over(self) -> bool:
        """Return whether there are more repeats than allowed."""
        return self.n_repeats > self.n_allowed


def find_repeats(arrivals: Iterable[tuple[str, float]]) -> list[float]:
    """Return the times of all arrivals beyond the first of each request, in order.

    Args:
        arrivals: Attempt id and time of each arrival, at any server.
    """
    seen: set[str] = set()
    repeats: list[float] = []
    for attempt_id, arrived_seconds in sorted(arrivals, key=lambda item: item[1]):
        if attempt_id in seen:
            repeats.append(arrived_seconds)
        seen.add(attempt_id)
    return repeats


def worst_window(
    arrivals: Iterable[tuple[str, float]],
    sent_seconds: Iterable[float],
    share: float,
    burst: float,
    window_seconds: float,
) -> RetryWindow:
    """Return the window with the most repeats beyond what is allowed.

    The requests that count for a window are those sent in it, in the one before it or
    in the one half a window before it, whichever has most.

    Args:
        arrivals: Attempt id and time of each arrival, at any server of the service.
        sent_seconds: When callers sent their requests.
        share: Repeats allowed per request.
        burst: Repeats allowed beyond that.
        window_seconds: Length of a window.
    """
    repeats = find_repeats(arrivals)
    sent = sorted(sent_seconds)

    def count(times: list[float], from_seconds: float) -> int:
        until_seconds = from_seconds + window_seconds
        return bisect_left(times, until_seconds) - bisect_left(times, from_seconds)

    def judge(from_seconds: float) -> RetryWindow:
        starts = (from_seconds - part * window_seconds for part in (0.0, 0.5, 1.0))
        n_requests = max(count(sent, start) for start in starts)
        return RetryWindow(
            from_seconds,
            count(repeats, from_seconds),
            n_requests,
            share * n_requests + burst,
        )

    # The number of repeats is largest in a window that begins with one.
    windows = [judge(at) for at in repeats] or [judge(0.0)]
    return max(windows, key=lambda item: item.n_repeats - item.n_allowed)
