"""Follows the limits that targets name, with the peers, and reports them."""

import asyncio

import structlog

from lycheepost.callers.dispatch import Dispatcher
from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, TargetId
from lycheepost.core.routing import ListedTarget
from lycheepost.decide.ratelimits import SaidLimit, TargetLimits
from lycheepost.decide.records import TargetView
from lycheepost.generated.messages import LimitNews
from lycheepost.peers.exchange import PeerExchange
from lycheepost.peers.limitnews import from_message, to_message
from lycheepost.targets.forwardcall import AnswerHead
from lycheepost.utils.metrics import Metrics
from lycheepost.utils.tasks import start_task

AGAIN_SECONDS = 0.4
"""So often peers are told of all limits that were named here: one that has just started
or missed a word must hear it before it sends many requests."""

_log = structlog.get_logger(part="targets")


class LimitExchange:
    """Passes the limits that targets name to the decisions and to the peers.

    Args:
        dispatcher: Holds to them.
        exchange: The links.
        clock: The clock of the decisions.
        metrics: Where gauges go.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        exchange: PeerExchange,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._clock = clock
        self._metrics = metrics
        self._limits = TargetLimits()
        self._mates: tuple[DaemonId, ...] = ()
        self._task: asyncio.Task[None] | None = None
        exchange.subscribe(LimitNews, self._take)

    async def start(self) -> None:
        """Begin to tell."""
        self._task = start_task(self._run(), "limits")

    async def drain(self) -> None:
        """Go on: requests are sent to targets until the end."""

    async def stop(self) -> None:
        """Stop telling."""
        if self._task is not None:
            self._task.cancel()

    def status(self) -> dict[str, object]:
        """Return the limits in force by target, in requests a second."""
        return {str(name): limit for name, limit in self._limits.in_force().items()}

    def set_mates(self, mates: tuple[DaemonId, ...]) -> None:
        """Follow who is told."""
        self._mates = mates

    def set_targets(self, views: tuple[TargetView, ...]) -> None:
        """Follow the targets that there are."""
        self._limits.keep([view.target for view in views])
        self._metrics.gauge("targets_limited", len(self._limits.in_force()))

    def note_head(
        self, sent_to: ListedTarget, head: AnswerHead, sent_seconds: float
    ) -> None:
        """Take what the head of an answer says of its target's limit.

        An answer without a seal may be spoilt, so it ends no limit.
        """
        per_second = head.limit_per_second
        if head.is_other_target or (per_second is None and not head.is_sealed):
            return
        target, now_seconds = sent_to.target, self._clock.now_seconds()
        if self._limits.note_answer(target, per_second, sent_seconds, now_seconds):
            self._follow(target, "answer")
            said = self._limits.own(now_seconds).get(target)
            if said is not None:
                self._tell({target: said}, now_seconds)

    def _follow(self, target: TargetId, source: str) -> None:
        """Hold to a limit that has changed."""
        per_second = self._limits.of(target)
        _log.info(
            "targets: limit changed",
            target=target,
            limit_per_second=per_second,
            source=source,
        )
        self._metrics.gauge("targets_limited", len(self._limits.in_force()))
        self._dispatcher.set_limit(target, per_second)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(AGAIN_SECONDS)
            now_seconds = self._clock.now_seconds()
            limits = self._limits.own(now_seconds)
            if limits:
                self._tell(limits, now_seconds)

    def _tell(self, limits: dict[TargetId, SaidLimit], now_seconds: float) -> None:
        message = to_message(limits, now_seconds)
        for daemon in self._mates:
            self._exchange.send(daemon, message)

    def _take(self, message: LimitNews, sender: DaemonId) -> None:
        for target, said in from_message(message, self._clock.now_seconds()):
            if self._limits.note_told(target, said):
                self._follow(target, sender)
