"""Reports the gauges of this daemon every ``GAUGE_SECONDS``.

Counters and timings are reported where the events occur. Gauges are read from the
status that ``/admin/status`` returns, so that both show the same values.
"""

import asyncio
from collections.abc import Callable, Iterator
from typing import Any

import structlog

from lycheepost.utils.metrics import Metrics
from lycheepost.utils.tasks import start_task

GAUGE_SECONDS = 15.0
"""The usual step of a dashboard. Computing the status takes tens of milliseconds at
12,000 targets, so it must not be done every second."""

_log = structlog.get_logger(part="app")


def read_gauges(status: dict[str, Any]) -> Iterator[tuple[str, float]]:
    """Yield names and values; the names are listed in docs/METRICS.md."""
    yield "open_requests", status["n_open"]
    yield "revision", status["revision"]
    yield "is_draining", float(status["is_draining"])
    yield "members_live", _count(status["members"], "live")
    yield "targets_serving", _count(status["targets"], "serving")
    yield "targets_known", len(status["targets"])
    yield (
        "queued_requests",
        sum(group["n_waiting"] for group in status["queues"]["groups"].values()),
    )
    yield (
        "reading_engines",
        sum(
            group["pauses"]["n_reading_engines"]
            for group in status["queues"]["groups"].values()
        ),
    )
    yield "claims_unsettled", status["claims"]["n_unsettled"]
    yield "peer_links", len(status["peers"]["links"])
    yield "peer_messages_dropped", status["peers"]["n_dropped"]
    yield "table_polls_failed", status["configuration"]["n_failed_polls"]
    yield "duties_held", sum(duty["is_held"] for duty in status["duties"])


def _count(states: dict[str, str], wanted: str) -> int:
    return sum(state == wanted for state in states.values())


class GaugeReporter:
    """Reports gauges periodically, in a task.

    Args:
        status: Returns the response body of ``/admin/status``.
        metrics: Receives the gauges.
    """

    def __init__(self, status: Callable[[], dict[str, Any]], metrics: Metrics) -> None:
        self._status = status
        self._metrics = metrics
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start reporting."""
        self._task = start_task(self._run(), "gauges")

    async def drain(self) -> None:
        """Do nothing: operators watch the drain by these gauges."""

    async def stop(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()

    def report(self) -> None:
        """Report every gauge once."""
        for name, value in read_gauges(self._status()):
            self._metrics.gauge(name, value)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(GAUGE_SECONDS)
            try:
                self.report()
            except Exception:
                # An error in one report must not end the task.
                _log.exception("app: gauges could not be read")
