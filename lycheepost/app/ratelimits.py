"""Follows the limits that targets name, and reports them."""

import structlog

from lycheepost.core.clock import Clock
from lycheepost.core.ids import TargetId
from lycheepost.core.routing import ListedTarget
from lycheepost.decide.ratelimits import TargetLimits
from lycheepost.decide.records import TargetView
from lycheepost.targets.forwardcall import AnswerHead
from lycheepost.utils.metrics import Metrics

_log = structlog.get_logger(part="targets")


class LimitKeeper:
    """Keeps the limits of the targets.

    Args:
        clock: The clock of the decisions.
        metrics: Where gauges go.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._limits = TargetLimits()

    def set_targets(self, views: tuple[TargetView, ...]) -> None:
        """Follow the targets that there are."""
        self._limits.keep([view.target for view in views])
        self._metrics.gauge("targets_limited", self._limits.n_limited)

    def note_head(
        self, sent_to: ListedTarget, head: AnswerHead, sent_seconds: float
    ) -> None:
        """Take what the head of an answer says of its target's limit.

        An answer without a seal may be spoilt, so it ends no limit.
        """
        per_second = head.limit_per_second
        if head.is_other_target or (per_second is None and not head.is_sealed):
            return
        now_seconds = self._clock.now_seconds()
        if self._limits.note_answer(
            sent_to.target, per_second, sent_seconds, now_seconds
        ):
            self._follow(sent_to.target, "answer")

    def _follow(self, target: TargetId, source: str) -> None:
        per_second = self._limits.of(target)
        _log.info(
            "targets: limit changed",
            target=target,
            limit_per_second=per_second,
            source=source,
        )
        self._metrics.gauge("targets_limited", self._limits.n_limited)
