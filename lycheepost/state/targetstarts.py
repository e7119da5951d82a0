"""The newest known start of each target.

Registrations, target reports and peer messages arrive late and out of order. Data from
an earlier start is ignored once a later start is known, even if the target was
removed from the list in between.

A registration may also name a later start than the target's own, if another program has
written it. What only registrations have named can therefore be withdrawn.
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
        self._only_registered: set[TargetId] = set()
        self._withdrawn: OrderedDict[TargetId, TargetStart] = OrderedDict()

    def newest(self, target: TargetId) -> TargetStart:
        """Return the newest known start of a target."""
        return self._newest.get(target) or TargetStart(target)

    def is_old(self, start: TargetStart) -> bool:
        """Return whether a later start of the target is known, or it was withdrawn."""
        is_withdrawn = self._withdrawn.get(start.target) == start
        return is_withdrawn or start.is_older_than(self.newest(start.target))

    def withdraw_registered(self, start: TargetStart) -> bool:
        """Forget a later start than the target's own that only registrations name.

        Args:
            start: The target's own start.

        Returns:
            Whether a later start was forgotten.
        """
        if not self.is_old(start) or start.target not in self._only_registered:
            return False
        # Messages of peers may still name it.
        self._withdrawn[start.target] = self.newest(start.target)
        while len(self._withdrawn) > MAX_TARGETS:
            self._withdrawn.popitem(last=False)
        self._forget(start.target)
        return True

    def note(self, start: TargetStart, is_registration: bool) -> bool:
        """Record a start; return whether it replaces an earlier known start.

        Args:
            start: The start.
            is_registration: Whether a registration names it; else the target itself
                does, or a peer.
        """
        known = self._newest.get(start.target)
        if self.is_old(start) or start == known:
            return False
        self._newest[start.target] = start
        if is_registration:
            self._only_registered.add(start.target)
        else:
            self._only_registered.discard(start.target)
        while len(self._newest) > MAX_TARGETS:
            self._forget(next(iter(self._newest)))
        return known is not None

    def _forget(self, target: TargetId) -> None:
        del self._newest[target]
        self._only_registered.discard(target)
