"""When one daemon may send to targets that limit it or have asked for a back-off."""

import random
from collections.abc import Mapping

from lycheepost.core.ids import TargetId
from lycheepost.decide.load import TargetLoad
from lycheepost.decide.sendpace import SendPace, make_send_pace


class TargetThrottle:
    """Holds the targets of one group back, each as it has asked.

    Args:
        loads: The targets of the group.
        rng: Draws the moments at which limited targets are sent to.
    """

    def __init__(
        self, loads: Mapping[TargetId, TargetLoad], rng: random.Random
    ) -> None:
        self._loads = loads
        self._rng = rng
        self._rate_limiters: dict[TargetId, SendPace] = {}

    def set_limit(
        self,
        target: TargetId,
        per_second: float | None,
        n_daemons: int,
        now_seconds: float,
    ) -> None:
        """Follow the limit of a target; None where it has none.

        Args:
            target: The target.
            per_second: Requests that it takes from all daemons.
            n_daemons: Daemons that the limit is divided among.
            now_seconds: The present time.
        """
        load = self._loads[target]
        if per_second is None:
            load.rate_limiter = None
            self.forget(target)
        elif load.rate_limiter is None:
            load.rate_limiter = make_send_pace(
                per_second, n_daemons, now_seconds, self._rng
            )
            self._rate_limiters[target] = load.rate_limiter
        else:
            load.rate_limiter.change(per_second, n_daemons, now_seconds)

    def back_off(self, target: TargetId, until_seconds: float) -> None:
        """Send a target nothing until then."""
        self._loads[target].backoff_until_seconds = until_seconds

    def forget(self, target: TargetId) -> None:
        """Forget the pace of a target that has no limit, or has left the group."""
        self._rate_limiters.pop(target, None)

    def renew_unused(self, now_seconds: float) -> None:
        """Draw new moments where the last ones were left unused for too long."""
        for rate_limiter in self._rate_limiters.values():
            rate_limiter.renew_unused(now_seconds, self._rng)
