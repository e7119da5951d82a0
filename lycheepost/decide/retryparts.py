"""This daemon's part of the retries that the fleet may send beyond a share of requests.

Daemons count only their own retries, so their parts together must never exceed what the
fleet may send in any window, also while daemons start, join, become entry daemons or
cannot hear of each other. Every change that raises a part is therefore delayed: by a
window, as others may have used the part that it comes from until now, and for daemons
that are no longer heard of by much longer, as they may only be cut off from this one.
A daemon that has started again does not know what its earlier start has used, and has
no part for one window. The share of its own requests is not affected.

The share of requests is bounded over the fleet by comparing all daemons' retries with
the requests of one and the same earlier window: requests move between daemons when
these are killed, start, or lose their paths.
"""

import math

from lycheepost.decide.retry import EarlierWindow, RetryTerms
from lycheepost.utils.heldmaximum import HeldMaximum

USED_RETRY_SHARE = 0.85
"""Share of the allowed retries that is used. The rest covers retries that aren't
counted here, such as requests that daemons and clients count differently."""

ENTRY_RETRY_SHARE = 0.7
"""Share of the fleet's retries that the entry daemons of a large fleet divide."""

MIN_RETRY_SHARES = 4
"""Minimum number of daemons that retries are divided by, so that a daemon that doesn't
know its peers yet doesn't use all of them."""

HEARD_SECONDS = 1.5
"""Time in which daemons hear of each other's start or change of role."""

CUT_OFF_SECONDS = 600.0
"""How long a daemon counts that is no longer heard of: longer than most cuts between
daemons last. Until then the others do without its part."""


REQUESTS_LEAD = 0.5
"""How much earlier than the retries the requests are counted that pay for them, in
windows. Half of the requests of the last window are then available for a sudden loss,
and a daemon that gets its first requests may retry some of them at once."""


def fleet_retry_terms(
    share: float, burst: float, window_seconds: float, divisor: float
) -> RetryTerms:
    """Return one daemon's part of the fleet's limits on retries.

    Args:
        share: Retries of the whole fleet per request in a window.
        burst: Retries of the whole fleet in addition.
        window_seconds: Length of a window.
        divisor: Among how many equal parts the burst is divided; infinite for no part.
    """
    return RetryTerms(
        USED_RETRY_SHARE * share,
        USED_RETRY_SHARE * burst / divisor,
        window_seconds,
        EarlierWindow(REQUESTS_LEAD * window_seconds),
    )


def count_retry_shares(is_entry: bool, n_entry: int, n_daemons: int) -> int:
    """Return the divisor of the fleet's retries for one daemon.

    Entry daemons share most of them. The others get few requests, but each must be able
    to retry some as soon as callers use it.

    Args:
        is_entry: Whether it is an entry daemon.
        n_entry: Number of entry daemons.
        n_daemons: Number of daemons, including the entry daemons.
    """
    if n_entry >= n_daemons:
        return n_daemons
    if is_entry:
        return math.ceil(n_entry / ENTRY_RETRY_SHARE)
    return math.ceil((n_daemons - n_entry) / (1.0 - ENTRY_RETRY_SHARE))


def unknown_fleet_divisor(is_first_start: bool) -> float:
    """Return the divisor of a daemon that has not read the list of daemons yet.

    Args:
        is_first_start: Whether the whole fleet starts for the first time.
    """
    return MIN_RETRY_SHARES if is_first_start else math.inf


class RetryPart:
    """The part of one daemon.

    Args:
        window_seconds: Length of the window in which the fleet's retries are counted.
        started_seconds: When the daemon started.
        is_first_start: Whether the whole fleet starts for the first time, so that no
            earlier start can have used anything.
    """

    def __init__(
        self, window_seconds: float, started_seconds: float, is_first_start: bool
    ) -> None:
        self._daemons = HeldMaximum(CUT_OFF_SECONDS)
        self._entry_daemons = HeldMaximum(CUT_OFF_SECONDS)
        self._divisors = HeldMaximum(window_seconds + HEARD_SECONDS)
        if not is_first_start:
            self._divisors.note(math.inf, started_seconds)

    def divisor(
        self, is_entry: bool, n_entry: int, n_daemons: int, now_seconds: float
    ) -> float:
        """Return the divisor of the fleet's retries for this daemon.

        Args:
            is_entry: Whether it is an entry daemon.
            n_entry: Number of entry daemons.
            n_daemons: Number of known daemons that are not gone for good.
            now_seconds: The current time.
        """
        n_held = int(self._daemons.note(n_daemons, now_seconds))
        n_entry_held = int(self._entry_daemons.note(n_entry, now_seconds))
        n_shares = count_retry_shares(is_entry, n_entry_held, n_held)
        return self._divisors.note(max(MIN_RETRY_SHARES, n_shares), now_seconds)
