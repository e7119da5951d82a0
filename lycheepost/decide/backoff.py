"""Until when targets want no request from this daemon.

The load: a target that has no room turns a daemon away and names the time after which
it may ask again. Each request that is sent before then is a try lost, and one more
thing to answer for a target in need.
"""

from collections.abc import Collection

from lycheepost.core.ids import TargetId

MAX_BACK_OFF_SECONDS = 300.0
"""A longer time counts as this: one that was written wrongly must not keep a target
from this daemon for good."""


class BackOffs:
    """The times that targets have asked this daemon to keep."""

    def __init__(self) -> None:
        self._until_seconds: dict[TargetId, float] = {}

    def note(self, target: TargetId, for_seconds: float, now_seconds: float) -> bool:
        """Take a time that a target asks for; return whether it ends later now."""
        until_seconds = now_seconds + min(MAX_BACK_OFF_SECONDS, for_seconds)
        if until_seconds <= max(now_seconds, self.until_seconds(target)):
            return False
        self._until_seconds[target] = until_seconds
        return True

    def until_seconds(self, target: TargetId) -> float:
        """Return when a target may be sent to again."""
        return self._until_seconds.get(target, float("-inf"))

    def in_force(self, now_seconds: float) -> dict[TargetId, float]:
        """Return the seconds left by target."""
        return {
            target: until_seconds - now_seconds
            for target, until_seconds in self._until_seconds.items()
            if until_seconds > now_seconds
        }

    def keep(self, targets: Collection[TargetId], now_seconds: float) -> None:
        """Forget times that are over, of targets that are not among these.

        A target whose registration lapses for a moment has still asked.
        """
        in_force = self.in_force(now_seconds)
        for target in self._until_seconds.keys() - set(targets) - in_force.keys():
            del self._until_seconds[target]
