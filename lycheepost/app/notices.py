"""Passes the notices of targets to the scheduler and to the peers."""

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
    BrittleChanged,
    LimitChanged,
    NoticeChange,
    TargetLeaving,
    TargetNotices,
)
from lycheepost.decide.quotapeers import ASSUMED_DAEMONS
from lycheepost.decide.ratelimits import ReportedLimit
from lycheepost.decide.records import TargetView
from lycheepost.generated.messages import NoticeNews
from lycheepost.peers.exchange import PeerExchange
from lycheepost.peers.notice_messages import leaving_of, limits_of, to_message
from lycheepost.state.targetlist import TargetList
from lycheepost.targets.forwardcall import ResponseHead
from lycheepost.utils.metrics import Metrics
from lycheepost.utils.tasks import start_task

FULL_REPORT_SECONDS = 0.4
"""Interval between full reports to the peers. A peer that has just started or missed a
report must receive it before it sends many requests."""

_SOURCE_ANSWER = "answer"

_log = structlog.get_logger(part="targets")


class NoticeExchange:
    """Passes the notices of targets to the scheduler and to the peers.

    A notice is a rate limit, a back-off, that a target is brittle, or that it leaves.

    Args:
        notices: Stores the notices in force.
        dispatcher: Enforces limits and back-offs.
        targets: Excludes targets that are leaving.
        exchange: The links to the peers.
        clock: The clock that the scheduler uses.
        metrics: Receives the gauges.
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
        self._peers: tuple[DaemonId, ...] = ()
        self._n_sharing = ASSUMED_DAEMONS
        self._task: asyncio.Task[None] | None = None
        exchange.subscribe(NoticeNews, self._receive)

    async def start(self) -> None:
        """Start sending reports."""
        self._task = start_task(self._run(), "notices")

    async def drain(self) -> None:
        """Do nothing: requests are sent to targets until the end of the drain."""

    async def stop(self) -> None:
        """Stop sending reports."""
        if self._task is not None:
            self._task.cancel()

    def status(self) -> dict[str, object]:
        """Return the notices in force, by target.

        Limits are in requests per second, back-offs in remaining seconds; brittle
        targets with the rejections per second that they bear.
        """
        backoffs = self._notices.backoffs.in_force(self._clock.now_seconds())
        return {
            "limits": {
                str(name): limit
                for name, limit in self._notices.limits.in_force().items()
            },
            "brittle": {
                str(name): bearable
                for name, bearable in self._notices.brittle.in_force().items()
            },
            "leaving": sorted(
                str(start.target)
                for start in self._notices.leaving.among(self._targets)
            ),
            "backoffs": {str(name): round(left, 3) for name, left in backoffs.items()},
        }

    def set_peers(self, peers: tuple[DaemonId, ...]) -> None:
        """Set the peers to send reports to."""
        self._peers = peers

    def set_targets(self, views: tuple[TargetView, ...]) -> None:
        """Set the current targets."""
        self._targets = tuple(view.target for view in views)
        self._notices.keep(self._targets, self._clock.now_seconds())
        self._set_gauges()

    def is_backed_off(self, target: TargetId) -> bool:
        """Return whether a target has asked this daemon to back off."""
        until_seconds = self._notices.backoffs.until_seconds(target)
        return self._clock.now_seconds() < until_seconds

    def may_probe(self, target: TargetId) -> bool:
        """Return whether a target may be sent a request that serves no caller.

        One that names a limit counts all requests, and one that has asked for a
        back-off expects none.
        """
        is_limited = self._notices.limits.of(target) is not None
        return not is_limited and not self.is_backed_off(target)

    def note_headers(
        self, sent_to: ListedTarget, head: ResponseHead, sent_seconds: float
    ) -> None:
        """Apply the notice in the headers of a response."""
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
        if head.was_not_run and head.notice.retry_after_seconds is None:
            changes += self._notices.note_rejected(
                sent_to.target, self._n_sharing, self._clock.now_seconds()
            )
        self._apply_all(changes)

    def set_sharing(self, n_daemons: int) -> None:
        """Set the number of daemons that rejections are divided among."""
        self._n_sharing = n_daemons

    def note_call(self, sent_to: ListedTarget, notice: TargetNotice) -> None:
        """Apply the notice in the response to a control call.

        Such a response may omit a limit that is in force, so it never removes one.
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
        self._apply_all(changes)

    def _apply_all(self, changes: list[NoticeChange]) -> None:
        now_seconds = self._clock.now_seconds()
        for change in changes:
            self._apply(change, _SOURCE_ANSWER)
            self._publish_change(change, now_seconds)
        if changes:
            self._set_gauges()

    def _apply(self, change: NoticeChange, source: str) -> None:
        """Apply one change of a target's notices."""
        match change:
            case LimitChanged(target, per_second):
                _log.info(
                    "targets: limit changed",
                    target=target,
                    limit_per_second=per_second,
                    source=source,
                )
                self._dispatcher.set_limit(target, per_second)
                self._list.set_limited(target, per_second is not None)
            case BrittleChanged(target, per_second):
                _log.info(
                    "targets: brittle",
                    target=target,
                    rejections_per_second=per_second,
                    source=source,
                )
                self._dispatcher.set_brittle(target, per_second is not None)
            case TargetLeaving(start):
                _log.info(
                    "targets: leaving",
                    target=start.target,
                    started_ms=start.started_ms,
                    source=source,
                )
                self._list.note_leaving(start)
            case BackOffRequested(target, until_seconds):
                left_seconds = until_seconds - self._clock.now_seconds()
                _log.info(
                    "targets: back-off requested",
                    target=target,
                    for_seconds=round(left_seconds, 3),
                )
                self._dispatcher.back_off(target, until_seconds)

    def _set_gauges(self) -> None:
        backoffs = self._notices.backoffs.in_force(self._clock.now_seconds())
        leaving = self._notices.leaving.among(self._targets)
        self._metrics.gauge("targets_limited", len(self._notices.limits.in_force()))
        brittle = self._notices.brittle.in_force()
        self._metrics.gauge("targets_brittle", len(brittle))
        self._metrics.gauge("targets_leaving", len(leaving))
        self._metrics.gauge("targets_backed_off", len(backoffs))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(FULL_REPORT_SECONDS)
            self._set_gauges()
            now_seconds = self._clock.now_seconds()
            limits = self._notices.limits.own(now_seconds)
            brittle = self._notices.brittle.own(now_seconds)
            leaving = self._notices.leaving.among(self._targets)
            if limits or brittle or leaving:
                self._publish(limits, brittle, leaving)

    def _publish_change(self, change: NoticeChange, now_seconds: float) -> None:
        """Send a change to the peers; back-offs concern this daemon only."""
        match change:
            case LimitChanged(target, _):
                limit = self._notices.limits.own(now_seconds).get(target)
                if limit is not None:
                    self._publish({target: limit}, {}, [])
            case BrittleChanged(target, _):
                bearable = self._notices.brittle.own(now_seconds).get(target)
                if bearable is not None:
                    self._publish({}, {target: bearable}, [])
            case TargetLeaving(start):
                self._publish({}, {}, [start])

    def _publish(
        self,
        limits: dict[TargetId, ReportedLimit],
        brittle: dict[TargetId, ReportedLimit],
        leaving: list[TargetStart],
    ) -> None:
        message = to_message(limits, brittle, leaving, self._clock.now_seconds())
        self._exchange.send_to_each(self._peers, message)

    def _receive(self, message: NoticeNews, sender: DaemonId) -> None:
        now_seconds = self._clock.now_seconds()
        for target, limit in limits_of(message.limits, now_seconds):
            if self._notices.limits.note_peer_report(target, limit):
                self._apply(LimitChanged(target, limit.per_second), sender)
        for target, bearable in limits_of(message.brittle, now_seconds):
            if self._notices.brittle.note_peer_report(target, bearable):
                self._apply(BrittleChanged(target, bearable.per_second), sender)
        for start in leaving_of(message):
            if self._notices.leaving.note(start):
                self._apply(TargetLeaving(start), sender)
        self._set_gauges()
