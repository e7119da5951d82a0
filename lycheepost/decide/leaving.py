"""Targets that have announced in a response that they are leaving.

If the store is unavailable while a target leaves, its registration can't show this, but
its responses do, and the target exits soon after the store recovers. The announcement
holds for one start of the target and does not expire. It outlives the registration,
which may lapse in an outage and return unchanged.
"""

from collections import OrderedDict
from collections.abc import Collection

from lycheepost.core.ids import TargetId
from lycheepost.core.starts import TargetStart

MAX_TARGETS = 20_000
"""Targets that are remembered, the same number as in ``state.targetstarts``."""


class LeavingTargets:
    """The starts of targets that are leaving."""

    def __init__(self) -> None:
        self._starts: OrderedDict[TargetId, TargetStart] = OrderedDict()

    def note(self, start: TargetStart) -> bool:
        """Record that a start of a target is leaving; return whether it was unknown."""
        if self.is_leaving(start):
            return False
        self._starts[start.target] = start
        while len(self._starts) > MAX_TARGETS:
            self._starts.popitem(last=False)
        return True

    def forget(self, target: TargetId) -> None:
        """Discard what is known of all starts of a target."""
        self._starts.pop(target, None)

    def is_leaving(self, start: TargetStart) -> bool:
        """Return whether this start, or a later one, has announced that it leaves."""
        known = self._starts.get(start.target)
        return known is not None and not start.is_newer_than(known)

    def among(self, targets: Collection[TargetId]) -> list[TargetStart]:
        """Return the starts of these targets that are leaving."""
        return [self._starts[name] for name in targets if name in self._starts]
