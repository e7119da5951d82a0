"""What targets have said of themselves, as it travels between daemons."""

import math
from collections.abc import Iterable, Mapping

from lycheepost.core.ids import TargetId
from lycheepost.core.starts import TargetStart
from lycheepost.decide.ratelimits import ReportedLimit
from lycheepost.generated.messages import LeavingTarget, NoticeNews, TargetLimit


def to_message(
    limits: Mapping[TargetId, ReportedLimit],
    leaving: Iterable[TargetStart],
    now_seconds: float,
) -> NoticeNews:
    """Return what travels between daemons."""
    return NoticeNews(
        limits=[
            TargetLimit(
                target=target,
                limit_per_second=said.per_second or 0.0,
                age_seconds=now_seconds - said.reported_seconds,
                is_ended=said.per_second is None,
            )
            for target, said in limits.items()
        ],
        leaving=[
            LeavingTarget(target=start.target, started_ms=start.started_ms)
            for start in leaving
        ],
    )


def limits_of(
    message: NoticeNews, now_seconds: float
) -> list[tuple[TargetId, ReportedLimit]]:
    """Return the limits that a message tells; figures that are none are left out."""
    return [
        (
            TargetId(item.target),
            ReportedLimit(
                None if item.is_ended else item.limit_per_second,
                now_seconds - item.age_seconds,
                is_own=False,
            ),
        )
        for item in message.limits
        if _is_sound(item)
    ]


def leaving_of(message: NoticeNews) -> list[TargetStart]:
    """Return the starts of targets that a message tells to be leaving."""
    return [
        TargetStart(TargetId(item.target), item.started_ms) for item in message.leaving
    ]


def _is_sound(item: TargetLimit) -> bool:
    figures = (item.limit_per_second, item.age_seconds)
    return all(math.isfinite(figure) and figure >= 0.0 for figure in figures)
