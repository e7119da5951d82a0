"""Convert limits and leaving states that targets reported to peer messages and back."""

import math
from collections.abc import Iterable, Mapping

from lycheepost.core.ids import TargetId
from lycheepost.core.starts import TargetStart
from lycheepost.decide.ratelimits import ReportedLimit
from lycheepost.generated.messages import LeavingTarget, NoticeNews, TargetLimit


def to_message(
    limits: Mapping[TargetId, ReportedLimit],
    brittle: Mapping[TargetId, ReportedLimit],
    leaving: Iterable[TargetStart],
    now_seconds: float,
) -> NoticeNews:
    """Return the message to send to peers."""
    return NoticeNews(
        limits=_to_messages(limits, now_seconds),
        brittle=_to_messages(brittle, now_seconds),
        leaving=[
            LeavingTarget(target=start.target, started_ms=start.started_ms)
            for start in leaving
        ],
    )


def _to_messages(
    reported: Mapping[TargetId, ReportedLimit], now_seconds: float
) -> list[TargetLimit]:
    return [
        TargetLimit(
            target=target,
            limit_per_second=limit.per_second or 0.0,
            age_seconds=now_seconds - limit.reported_seconds,
            is_ended=limit.per_second is None,
        )
        for target, limit in reported.items()
    ]


def limits_of(
    items: Iterable[TargetLimit], now_seconds: float
) -> list[tuple[TargetId, ReportedLimit]]:
    """Return the stated rates in a message; invalid figures are left out."""
    return [
        (
            TargetId(item.target),
            ReportedLimit(
                None if item.is_ended else item.limit_per_second,
                now_seconds - item.age_seconds,
                is_own=False,
            ),
        )
        for item in items
        if _is_valid(item)
    ]


def leaving_of(message: NoticeNews) -> list[TargetStart]:
    """Return the starts of targets that a message reports as leaving."""
    return [
        TargetStart(TargetId(item.target), item.started_ms) for item in message.leaving
    ]


def _is_valid(item: TargetLimit) -> bool:
    figures = (item.limit_per_second, item.age_seconds)
    return all(math.isfinite(figure) and figure >= 0.0 for figure in figures)
