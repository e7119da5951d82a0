"""Limits, back-offs and brittleness of all targets, kept apart from their groups.

A target may leave the configuration and come back, or move to another group, while its
limit or back-off still holds.
"""

from collections.abc import Collection, Mapping

from lycheepost.core.ids import TargetId
from lycheepost.decide.brittle import FleetPosition, divide_slots, usable_requests
from lycheepost.decide.group import Group
from lycheepost.decide.quotapeers import ASSUMED_DAEMONS


class TargetNotices:
    """The limits and back-offs that targets have asked for.

    Args:
        group_by_target: The group of each configured target.
    """

    def __init__(self, group_by_target: Mapping[TargetId, Group]) -> None:
        self._group_by_target = group_by_target
        self._limits: dict[TargetId, float] = {}
        self._backoffs: dict[TargetId, float] = {}
        self._brittle: set[TargetId] = set()
        self._n_sharing_limits = ASSUMED_DAEMONS
        self._position = FleetPosition(0, 1)

    def set_limit(
        self, target: TargetId, per_second: float | None, now_seconds: float
    ) -> None:
        """Set the rate limit that a target reports; None for no limit."""
        self._limits.pop(target, None)
        if per_second is not None:
            self._limits[target] = per_second
        self._pass_limit(target, now_seconds)

    def set_sharing_limits(self, n_daemons: int, now_seconds: float) -> None:
        """Set the number of daemons that the targets' limits are divided among."""
        if n_daemons == self._n_sharing_limits:
            return
        self._n_sharing_limits = n_daemons
        for target in self._limits:
            self._pass_limit(target, now_seconds)

    def set_brittle(self, target: TargetId, is_brittle: bool) -> None:
        """Set whether a target crashes when it rejects too many requests."""
        self._brittle.discard(target)
        if is_brittle:
            self._brittle.add(target)
        self._divide_slots(self._group_by_target.get(target))

    def set_position(self, position: FleetPosition) -> None:
        """Set this daemon's place among those that divide brittle targets' slots."""
        if position == self._position:
            return
        self._position = position
        groups = {self._group_by_target.get(target) for target in self._brittle}
        for group in groups:
            self._divide_slots(group)

    def back_off(self, target: TargetId, until_seconds: float) -> None:
        """Send no requests to a target until ``until_seconds``, as it has asked."""
        self._backoffs[target] = until_seconds
        self._pass_backoff(target)

    def apply(self, target: TargetId, now_seconds: float) -> None:
        """Apply the limit and back-off of a target that was added to a group."""
        self._pass_limit(target, now_seconds)
        self._pass_backoff(target)
        if target in self._brittle:
            self._divide_slots(self._group_by_target.get(target))

    def forget_limit(self, target: TargetId, group: Group) -> None:
        """Drop the limit of a target that is no longer configured.

        Args:
            target: The target.
            group: The group that it belonged to.
        """
        self._limits.pop(target, None)
        if target in self._brittle:
            self._brittle.discard(target)
            self._divide_slots(group)

    def forget_backoffs(
        self, targets: Collection[TargetId], now_seconds: float
    ) -> None:
        """Drop ended back-offs of absent targets; others stay in case of a return.

        Args:
            targets: The configured targets.
            now_seconds: The current time.
        """
        self._backoffs = {
            target: until_seconds
            for target, until_seconds in self._backoffs.items()
            if target in targets or until_seconds > now_seconds
        }

    def _divide_slots(self, group: Group | None) -> None:
        """Pass to a group how many slots of its brittle targets are this daemon's."""
        if group is None:
            return
        slots_by_target = {
            name: usable_requests(load.view.concurrency_limit)
            for name, load in group.placement.loads.items()
            if name in self._brittle
        }
        own_by_target = divide_slots(slots_by_target, self._position)
        for name, load in group.placement.loads.items():
            load.own_slots = own_by_target.get(name)

    def _pass_backoff(self, target: TargetId) -> None:
        """Pass a target's back-off to its group."""
        group = self._group_by_target.get(target)
        if group is not None and target in self._backoffs:
            group.throttle.back_off(target, self._backoffs[target])

    def _pass_limit(self, target: TargetId, now_seconds: float) -> None:
        """Pass a target's rate limit to its group."""
        group = self._group_by_target.get(target)
        if group is not None:
            per_second = self._limits.get(target)
            group.throttle.set_limit(
                target, per_second, self._n_sharing_limits, now_seconds
            )
