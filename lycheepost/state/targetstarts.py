"""The newest start of each target that anyone told of.

Entries, reports and words of peers come late and out of order. What an earlier start
said changes nothing once a later one is known, also after its target was dropped from
the list for a while.
"""

from collections import OrderedDict

from lycheepost.core.ids import TargetId
from lycheepost.core.starts import TargetStart

MOST_TARGETS = 20_000
"""Starts that are remembered: more than the largest fleet of targets planned for.
The one noted longest ago goes first."""


class TargetStarts:
    """The newest start of each target."""

    def __init__(self) -> None:
        self._newest: OrderedDict[TargetId, TargetStart] = OrderedDict()

    def newest(self, target: TargetId) -> TargetStart:
        """Return the newest start that is known of a target."""
        return self._newest.get(target) or TargetStart(target)

    def is_old(self, start: TargetStart) -> bool:
        """Tell whether a later start of the target is known."""
        return start.is_older_than(self.newest(start.target))

    def note(self, start: TargetStart) -> bool:
        """Take a start; return whether it is later than what was known."""
        known = self._newest.get(start.target)
        if known is not None and not start.is_newer_than(known):
            return False
        self._newest[start.target] = start
        while len(self._newest) > MOST_TARGETS:
            self._newest.popitem(last=False)
        return known is not None
