"""Logs when the order of the waiting requests of a target group changes."""

from collections.abc import Mapping

import structlog

from lycheepost.core.ids import TargetGroupId
from lycheepost.decide.waitingorder import OrderCondition

_log = structlog.get_logger(part="dispatch")


class OrderLog:
    """Logs each change once."""

    def __init__(self) -> None:
        self._is_by_slack: dict[TargetGroupId, bool] = {}

    def update(self, conditions: Mapping[TargetGroupId, OrderCondition]) -> None:
        """Log the groups whose order has changed since the last call."""
        for group, condition in conditions.items():
            if self._is_by_slack.get(group, False) == condition.is_met:
                continue
            self._is_by_slack[group] = condition.is_met
            _log.info(
                "dispatch: the order of waiting requests has changed",
                target_group=group,
                order="slack" if condition.is_met else "virtual time",
                reason=condition.reason,
            )
