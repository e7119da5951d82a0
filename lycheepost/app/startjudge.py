"""Asks targets that broke off, and others of their group, whether they have ended."""

import structlog
from returns.result import Failure, Success

from lycheepost.app.notices import NoticeExchange
from lycheepost.app.paths import PathWatch
from lycheepost.core.ids import TargetId
from lycheepost.core.routing import ListedTarget
from lycheepost.core.starts import StartVerdict, TargetStart
from lycheepost.decide.startverdict import (
    ReachEvidence,
    StartAnswer,
    judge_answer,
    judge_silent,
)
from lycheepost.platform.orders import ServerOrders
from lycheepost.state.routing import RoutingManager
from lycheepost.state.targetlist import TargetList
from lycheepost.utils.tasks import start_task

_log = structlog.get_logger(part="targets")


class StartJudge:
    """Judges whether targets are still the same.

    Args:
        targets: The starts that are known.
        routing: The paths of health checks.
        orders: Asks targets.
        notices: Which targets asked for a back-off; these are not asked.
        paths: Probes targets.
    """

    def __init__(
        self,
        targets: TargetList,
        routing: RoutingManager,
        orders: ServerOrders,
        notices: NoticeExchange,
        paths: PathWatch,
    ) -> None:
        self._targets = targets
        self._routing = routing
        self._orders = orders
        self._notices = notices
        self._paths = paths
        self._asked: set[TargetId] = set()

    async def judge(self, sent_to: ListedTarget) -> StartVerdict:
        """Return whether the start of a target has ended."""
        answer = await self._ask(sent_to)
        verdict = judge_answer(answer, self._targets.is_newest_start(sent_to.start))
        if verdict is not None:
            return verdict
        reach = await self._paths.verify(sent_to.target_group, sent_to.target)
        if reach is ReachEvidence.LATE:
            # The stall is mostly over, and the request waits for the verdict.
            reach = await self._paths.verify(sent_to.target_group, sent_to.target)
        verdict = judge_silent(reach)
        _log.info(
            "targets: judged a silent target",
            target=sent_to.target,
            reached=reach.value,
            verdict=verdict.value,
        )
        return verdict

    def ask_denied(self, listed: ListedTarget) -> None:
        """Ask a target whether a registration of an earlier start is its own."""
        if listed.started_ms is not None and listed.target not in self._asked:
            self._asked.add(listed.target)
            start_task(self._ask_denied(listed), "ask-denied")

    async def _ask_denied(self, listed: ListedTarget) -> None:
        try:
            await self._ask(listed)
        finally:
            self._asked.discard(listed.target)

    def _health_path(self, sent_to: ListedTarget) -> str:
        table = self._routing.table
        group = None if table is None else table.groups.get(sent_to.target_group)
        return "/" if group is None else group.health_path

    async def _ask(self, sent_to: ListedTarget) -> StartAnswer:
        """Ask a target whether it is the same.

        It may restart under its name at once. Engines may report their start time; of
        other targets the entry shows the new start.
        """
        if self._notices.is_backed_off(sent_to.target):
            # It has recently responded with its back-off, so it needs no health check.
            return StartAnswer.SAME
        if sent_to.started_ms is None:
            return await self._orders.ask_start(sent_to, self._health_path(sent_to))
        match await self._orders.read_report(sent_to):
            case Success(report):
                start = TargetStart(sent_to.target, report.started_ms)
                self._targets.note_own_start(start)
                return StartAnswer.SAME
            case Failure(error):
                _log.info(
                    "targets: no report", target=sent_to.target, reason=error.reason
                )
        return StartAnswer.NONE
