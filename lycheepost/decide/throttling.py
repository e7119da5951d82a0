"""Applies the rate limits and back-offs that targets ask for."""

import random
from collections.abc import Mapping

from lycheepost.core.ids import TargetId
from lycheepost.decide.load import TargetLoad
from lycheepost.decide.requestpacer import RequestPacer, make_request_pacer


class TargetThrottle:
    """Throttles this daemon's requests to the targets of one group.

    Args:
        loads: The targets of the group.
        rng: Draws the send times for rate-limited targets.
    """

    def __init__(
        self, loads: Mapping[TargetId, TargetLoad], rng: random.Random
    ) -> None:
        self._loads = loads
        self._rng = rng
        self._rate_limiters: dict[TargetId, RequestPacer] = {}

    def set_limit(
        self,
        target: TargetId,
        per_second: float | None,
        n_daemons: int,
        now_seconds: float,
    ) -> None:
        """Set the rate limit of a target.

        Args:
            target: The target.
            per_second: Requests per second that it accepts from all daemons together;
                None for no limit.
            n_daemons: Daemons that the limit is divided among.
            now_seconds: The current time.
        """
        load = self._loads[target]
        if per_second is None:
            load.rate_limiter = None
            self.forget(target)
        elif load.rate_limiter is None:
            load.rate_limiter = make_request_pacer(
                per_second, n_daemons, now_seconds, self._rng
            )
            self._rate_limiters[target] = load.rate_limiter
        else:
            load.rate_limiter.change(per_second, n_daemons, now_seconds)

    def back_off(self, target: TargetId, until_seconds: float) -> None:
        """Send no requests to a target until ``until_seconds``."""
        self._loads[target].backoff_until_seconds = until_seconds

    def forget(self, target: TargetId) -> None:
        """Remove the limit of a target that has none any more, or left the group."""
        self._rate_limiters.pop(target, None)

    def redraw_expired(self, now_seconds: float) -> None:
        """Draw new send times where the last ones stayed unused for too long."""
        for rate_limiter in self._rate_limiters.values():
            rate_limiter.redraw_expired(now_seconds, self._rng)
