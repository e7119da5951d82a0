"""Which targets have said in an answer that they are leaving.

The load: the store is away while a target leaves, so that its registration can't tell.
Its answers do, and the target ends soon after the store is back. The word holds for one
start of the target and has no end. It outlives the registration, which may lapse in an
outage and come back unchanged.
"""

from collections import OrderedDict
from collections.abc import Collection

from lycheepost.core.ids import TargetId
from lycheepost.core.starts import TargetStart

MAX_TARGETS = 20_000
"""Targets that are remembered, as many as ``state.targetstarts`` does."""


class LeavingTargets:
    """The starts of targets that are leaving."""

    def __init__(self) -> None:
        self._starts: OrderedDict[TargetId, TargetStart] = OrderedDict()

    def note(self, start: TargetStart) -> bool:
        """Take that a start of a target is leaving; return whether that is news."""
        if self.is_leaving(start):
            return False
        self._starts[start.target] = start
        while len(self._starts) > MAX_TARGETS:
            self._starts.popitem(last=False)
        return True

    def is_leaving(self, start: TargetStart) -> bool:
        """Tell whether this start, or one after it, has said that it leaves."""
        known = self._starts.get(start.target)
        return known is not None and not start.is_newer_than(known)

    def among(self, targets: Collection[TargetId]) -> list[TargetStart]:
        """Return the starts of these targets that have said so."""
        return [self._starts[name] for name in targets if name in self._starts]
