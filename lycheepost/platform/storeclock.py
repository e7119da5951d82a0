"""Tells when the platform's store gave an answer, by this daemon's clock.

The store states its own steady clock in each answer. An answer was given after its
request was sent and before it arrived, which bounds the difference of the two clocks.
So a long poll that is answered without a change confirms the state at the time of the
answer, not only at the time when it was sent.
"""

from lycheepost.utils.heldmaximum import HeldMaximum

KEPT_SECONDS = 120.0
"""How long a bound on the difference is used. Steady clocks of machines drift apart by
some 0.1 ms a second at most, that is 12 ms in this time."""

DRIFT_SECONDS = 0.015
"""An answer dated this much after its arrival is by a clock that runs faster; one dated
later by another clock."""

SHORT_CALL_SECONDS = 0.1
"""An answer within this time bounds the difference closely enough."""

RENEWAL_SECONDS = 50.0
"""Time after the last such answer from which one is wanted: two can be missed."""

RENEWAL_INTERVAL_SECONDS = 10.0
"""Minimum time between calls for it, while the store is slow."""


class StoreClock:
    """The difference between the store's clock and this daemon's, as a lower bound."""

    def __init__(self) -> None:
        self._offsets = HeldMaximum(KEPT_SECONDS)
        self._short_call_seconds = float("-inf")
        self._renewal_seconds = float("-inf")

    def wants_short_call(self, now_seconds: float) -> bool:
        """Return whether the next long poll should be answered at once instead."""
        last_seconds = max(
            self._short_call_seconds + RENEWAL_SECONDS,
            self._renewal_seconds + RENEWAL_INTERVAL_SECONDS,
        )
        if now_seconds < last_seconds:
            return False
        self._renewal_seconds = now_seconds
        return True

    def answered_seconds(
        self, sent_seconds: float, received_seconds: float, store_seconds: float
    ) -> float:
        """Return a time, by this daemon's clock, at or before the answer was given.

        Args:
            sent_seconds: When the request was sent.
            received_seconds: When the answer arrived.
            store_seconds: The store's clock in the answer; 0 if it was not stated.
        """
        if store_seconds <= 0.0:
            return sent_seconds
        if received_seconds - sent_seconds <= SHORT_CALL_SECONDS:
            self._short_call_seconds = received_seconds
        offset = self._offsets.note(sent_seconds - store_seconds, received_seconds)
        answered = store_seconds + offset
        if answered <= received_seconds + DRIFT_SECONDS:
            return min(answered, received_seconds)
        # It is not the clock of the answers before.
        self._offsets = HeldMaximum(KEPT_SECONDS)
        self._offsets.note(sent_seconds - store_seconds, received_seconds)
        return sent_seconds
