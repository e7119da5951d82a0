"""Back-offs that targets have requested from this daemon.

A target without capacity rejects a request and states the time after which the daemon
may send again. A request sent before then wastes an attempt and adds load to an
overloaded target.
"""

from collections.abc import Collection

from lycheepost.core.ids import TargetId

MAX_BACK_OFF_SECONDS = 300.0
"""Upper bound of a back-off, so that an erroneous value does not exclude a target
forever."""


class BackOffs:
    """The back-offs that targets have requested from this daemon."""

    def __init__(self) -> None:
        self._until_seconds: dict[TargetId, float] = {}

    def note(self, target: TargetId, for_seconds: float, now_seconds: float) -> bool:
        """Record a requested back-off; return whether it ends later than before."""
        until_seconds = now_seconds + min(MAX_BACK_OFF_SECONDS, for_seconds)
        if until_seconds <= max(now_seconds, self.until_seconds(target)):
            return False
        self._until_seconds[target] = until_seconds
        return True

    def until_seconds(self, target: TargetId) -> float:
        """Return when a target may be sent to again."""
        return self._until_seconds.get(target, float("-inf"))

    def in_force(self, now_seconds: float) -> dict[TargetId, float]:
        """Return the remaining seconds by target."""
        return {
            target: until_seconds - now_seconds
            for target, until_seconds in self._until_seconds.items()
            if until_seconds > now_seconds
        }

    def keep(self, targets: Collection[TargetId], now_seconds: float) -> None:
        """Drop the ended back-offs of all targets except these.

        A back-off outlives a short lapse of its target's registration.
        """
        in_force = self.in_force(now_seconds)
        for target in self._until_seconds.keys() - set(targets) - in_force.keys():
            del self._until_seconds[target]
