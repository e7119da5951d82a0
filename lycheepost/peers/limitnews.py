"""What daemons say of the limits of targets, as it travels between them."""

import math
from collections.abc import Mapping

from lycheepost.core.ids import TargetId
from lycheepost.decide.ratelimits import SaidLimit
from lycheepost.generated.messages import LimitNews, TargetLimit


def to_message(limits: Mapping[TargetId, SaidLimit], now_seconds: float) -> LimitNews:
    """Return what travels between daemons."""
    return LimitNews(
        limits=[
            TargetLimit(
                target=target,
                limit_per_second=said.per_second or 0.0,
                age_seconds=now_seconds - said.said_seconds,
                is_ended=said.per_second is None,
            )
            for target, said in limits.items()
        ]
    )


def from_message(
    message: LimitNews, now_seconds: float
) -> list[tuple[TargetId, SaidLimit]]:
    """Return what a message says; figures that are none are left out."""
    return [
        (
            TargetId(item.target),
            SaidLimit(
                None if item.is_ended else item.limit_per_second,
                now_seconds - item.age_seconds,
                is_own=False,
            ),
        )
        for item in message.limits
        if _is_sound(item)
    ]


def _is_sound(item: TargetLimit) -> bool:
    figures = (item.limit_per_second, item.age_seconds)
    return all(math.isfinite(figure) and figure >= 0.0 for figure in figures)
