"""Logs when pauses of streams begin or cease to count, and the reading engines."""

from collections.abc import Mapping

import structlog

from lycheepost.core.ids import TargetGroupId
from lycheepost.decide.pauses import PauseStatus

LOG_SECONDS = 1.0
"""Least time between two lines on the number of a group's reading engines."""

_OFF = PauseStatus(False, "", 0)

_log = structlog.get_logger(part="dispatch")


class PauseLog:
    """What was last logged of each target group."""

    def __init__(self) -> None:
        self._logged: dict[TargetGroupId, PauseStatus] = {}
        self._logged_seconds: dict[TargetGroupId, float] = {}

    def update(
        self, found: Mapping[TargetGroupId, PauseStatus], now_seconds: float
    ) -> None:
        """Log what has changed."""
        for group, status in found.items():
            before = self._logged.get(group, _OFF)
            if before.is_on != status.is_on:
                _log.info(
                    "dispatch: guard against pauses",
                    target_group=group,
                    is_on=status.is_on,
                    reason=status.reason,
                )
            elif before.n_reading_engines == status.n_reading_engines or (
                now_seconds - self._logged_seconds[group] < LOG_SECONDS
            ):
                continue
            else:
                _log.info(
                    "dispatch: reading engines",
                    target_group=group,
                    n_reading_engines=status.n_reading_engines,
                )
            self._logged[group] = status
            self._logged_seconds[group] = now_seconds
