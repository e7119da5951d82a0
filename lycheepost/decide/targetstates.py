"""Applies the momentary speeds that targets state, and collects news for the peers."""

from collections.abc import Mapping

from lycheepost.core.ids import Incarnation, TargetId
from lycheepost.decide.group import Group
from lycheepost.decide.load import TargetLoad
from lycheepost.decide.machinestates import StatedState, StateNews


class TargetStates:
    """The momentary speeds of all targets of a scheduler.

    Args:
        group_by_target: The group of each configured target.
        is_enabled: False if the mechanism is switched off.
    """

    def __init__(
        self, group_by_target: Mapping[TargetId, Group], is_enabled: bool
    ) -> None:
        self._group_by_target = group_by_target
        self._is_enabled = is_enabled
        self._news = StateNews()

    def observe(
        self,
        target: TargetId,
        incarnation: Incarnation,
        percent: float,
        now_seconds: float,
    ) -> None:
        """Apply the momentary speed that a target has stated to this daemon.

        Args:
            target: The target.
            incarnation: The incarnation that was sent the request.
            percent: Duration of work on its machine, 100 being usual for a target.
            now_seconds: The current time.
        """
        load = self._load(target)
        if load is not None and load.view.incarnation == incarnation:
            load.machine_state.observe(percent, now_seconds)
            self._news.note(target, load.machine_state)

    def observe_peer(self, told: StatedState, now_seconds: float) -> None:
        """Apply the momentary speed that a target has stated to a peer."""
        load = self._load(told.target)
        if load is not None:
            load.machine_state.observe_peer(told, now_seconds)

    def take_news(self, now_seconds: float) -> tuple[StatedState, ...]:
        """Return the momentary speeds to be sent to peers."""
        return self._news.take(now_seconds)

    def forget(self, target: TargetId) -> None:
        """Forget the news of a target that is gone or has a new incarnation."""
        self._news.forget(target)

    def _load(self, target: TargetId) -> TargetLoad | None:
        group = self._group_by_target.get(target) if self._is_enabled else None
        return None if group is None else group.placement.loads[target]
