"""Passes what targets say of themselves to the decisions and to the peers."""

import asyncio

import structlog

from lycheepost.callers.dispatch import Dispatcher
from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, TargetId
from lycheepost.core.notices import TargetNotice
from lycheepost.core.routing import ListedTarget
from lycheepost.core.starts import TargetStart
from lycheepost.decide.notices import (
    BackOffRequested,
    LimitChanged,
    NoticeChange,
    TargetLeaving,
    TargetNotices,
)
from lycheepost.decide.ratelimits import ReportedLimit
from lycheepost.decide.records import TargetView
from lycheepost.generated.messages import NoticeNews
from lycheepost.peers.exchange import PeerExchange
from lycheepost.peers.noticenews import leaving_of, limits_of, to_message
from lycheepost.state.targetlist import TargetList
from lycheepost.targets.forwardcall import AnswerHead
from lycheepost.utils.metrics import Metrics
from lycheepost.utils.tasks import start_task

AGAIN_SECONDS = 0.4
"""So often peers are told all of it: one that has just started or missed a word must
hear it before it sends many requests."""

_FROM_ANSWER = "answer"

_log = structlog.get_logger(part="targets")


class NoticeExchange:
    """Passes what targets say of themselves to the decisions and to the peers.

    Args:
        notices: Keeps it.
        dispatcher: Holds to limits and back-offs.
        targets: Leaves out targets that are leaving.
        exchange: The links.
        clock: The clock of the decisions.
        metrics: Where gauges go.
    """

    def __init__(
        self,
        notices: TargetNotices,
        dispatcher: Dispatcher,
        targets: TargetList,
        exchange: PeerExchange,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._notices = notices
        self._dispatcher = dispatcher
        self._list = targets
        self._exchange = exchange
        self._clock = clock
        self._metrics = metrics
        self._targets: tuple[TargetId, ...] = ()
        self._mates: tuple[DaemonId, ...] = ()
        self._task: asyncio.Task[None] | None = None
        exchange.subscribe(NoticeNews, self._take)

    async def start(self) -> None:
        """Begin to tell."""
        self._task = start_task(self._run(), "notices")

    async def drain(self) -> None:
        """Go on: requests are sent to targets until the end."""

    async def stop(self) -> None:
        """Stop telling."""
        if self._task is not None:
            self._task.cancel()

    def status(self) -> dict[str, object]:
        """Return what targets say of themselves, by target.

        Limits are in requests a second, back-offs in the seconds that are left.
        """
        backoffs = self._notices.backoffs.in_force(self._clock.now_seconds())
        return {
            "limits": {
                str(name): limit
                for name, limit in self._notices.limits.in_force().items()
            },
            "leaving": sorted(
                str(start.target)
                for start in self._notices.leaving.among(self._targets)
            ),
            "backoffs": {str(name): round(left, 3) for name, left in backoffs.items()},
        }

    def set_mates(self, mates: tuple[DaemonId, ...]) -> None:
        """Follow who is told."""
        self._mates = mates

    def set_targets(self, views: tuple[TargetView, ...]) -> None:
        """Follow the targets that there are."""
        self._targets = tuple(view.target for view in views)
        self._notices.keep(self._targets, self._clock.now_seconds())
        self._set_gauges()

    def is_backed_off(self, target: TargetId) -> bool:
        """Tell whether a target wants no request from this daemon now."""
        until_seconds = self._notices.backoffs.until_seconds(target)
        return self._clock.now_seconds() < until_seconds

    def note_head(
        self, sent_to: ListedTarget, head: AnswerHead, sent_seconds: float
    ) -> None:
        """Take what the head of an answer says of its target."""
        if head.is_other_target:
            return
        changes = self._notices.note_answer(
            sent_to.start,
            head.notice,
            sent_seconds,
            self._clock.now_seconds(),
            is_sealed=head.is_sealed,
            was_not_run=head.was_not_run,
        )
        self._follow_all(changes)

    def note_call(self, sent_to: ListedTarget, notice: TargetNotice) -> None:
        """Take what the answer to a call beside the requests says of its target.

        Whether it would name a limit isn't known, so it ends none.
        """
        now_seconds = self._clock.now_seconds()
        changes = self._notices.note_answer(
            sent_to.start,
            notice,
            now_seconds,
            now_seconds,
            is_sealed=False,
            was_not_run=True,
        )
        self._follow_all(changes)

    def _follow_all(self, changes: list[NoticeChange]) -> None:
        now_seconds = self._clock.now_seconds()
        for change in changes:
            self._follow(change, _FROM_ANSWER)
            self._tell_change(change, now_seconds)
        if changes:
            self._set_gauges()

    def _follow(self, change: NoticeChange, source: str) -> None:
        """Hold to what a target says now."""
        match change:
            case LimitChanged(target, per_second):
                _log.info(
                    "targets: limit changed",
                    target=target,
                    limit_per_second=per_second,
                    source=source,
                )
                self._dispatcher.set_limit(target, per_second)
            case TargetLeaving(start):
                _log.info(
                    "targets: says that it leaves",
                    target=start.target,
                    started_ms=start.started_ms,
                    source=source,
                )
                self._list.note_leaving(start)
            case BackOffRequested(target, until_seconds):
                left_seconds = until_seconds - self._clock.now_seconds()
                _log.info(
                    "targets: back-off asked",
                    target=target,
                    for_seconds=round(left_seconds, 3),
                )
                self._dispatcher.back_off(target, until_seconds)

    def _set_gauges(self) -> None:
        backoffs = self._notices.backoffs.in_force(self._clock.now_seconds())
        leaving = self._notices.leaving.among(self._targets)
        self._metrics.gauge("targets_limited", len(self._notices.limits.in_force()))
        self._metrics.gauge("targets_leaving", len(leaving))
        self._metrics.gauge("targets_backed_off", len(backoffs))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(AGAIN_SECONDS)
            self._set_gauges()
            now_seconds = self._clock.now_seconds()
            limits = self._notices.limits.own(now_seconds)
            leaving = self._notices.leaving.among(self._targets)
            if limits or leaving:
                self._tell(limits, leaving)

    def _tell_change(self, change: NoticeChange, now_seconds: float) -> None:
        """Tell the peers of a change that concerns them too."""
        match change:
            case LimitChanged(target, _):
                said = self._notices.limits.own(now_seconds).get(target)
                if said is not None:
                    self._tell({target: said}, [])
            case TargetLeaving(start):
                self._tell({}, [start])

    def _tell(
        self, limits: dict[TargetId, ReportedLimit], leaving: list[TargetStart]
    ) -> None:
        message = to_message(limits, leaving, self._clock.now_seconds())
        self._exchange.send_to_each(self._mates, message)

    def _take(self, message: NoticeNews, sender: DaemonId) -> None:
        for target, said in limits_of(message, self._clock.now_seconds()):
            if self._notices.limits.note_peer_report(target, said):
                self._follow(LimitChanged(target, said.per_second), sender)
        for start in leaving_of(message):
            if self._notices.leaving.note(start):
                self._follow(TargetLeaving(start), sender)
        self._set_gauges()
