"""The newest known start of each target.

Registrations, target reports and peer messages arrive late and out of order. Data from
an earlier start is ignored once a later start is known, even if the target was
removed from the list in between.
"""

from collections import OrderedDict

from lycheepost.core.ids import TargetId
from lycheepost.core.starts import TargetStart

MAX_TARGETS = 20_000
"""More than the largest planned fleet of targets. The entry recorded longest ago is
evicted first."""


class TargetStarts:
    """The newest start of each target."""

    def __init__(self) -> None:
        self._newest: OrderedDict[TargetId, TargetStart] = OrderedDict()

    def newest(self, target: TargetId) -> TargetStart:
        """Return the newest known start of a target."""
        return self._newest.get(target) or TargetStart(target)

    def is_old(self, start: TargetStart) -> bool:
        """Return whether a later start of the target is known."""
        return start.is_older_than(self.newest(start.target))

    def note(self, start: TargetStart) -> bool:
        """Record a start; return whether it replaces an earlier known start."""
        known = self._newest.get(start.target)
        if known is not None and not start.is_newer_than(known):
            return False
        self._newest[start.target] = start
        while len(self._newest) > MAX_TARGETS:
            self._newest.popitem(last=False)
        return known is not None
