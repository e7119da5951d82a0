"""Reports the gauges of this daemon every ``GAUGE_SECONDS``.

Counters and timings are reported where the events occur. Gauges are read from the
status that ``/admin/status`` returns, so that both show the same values.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import structlog

from lycheepost.decide.records import Priority, RefusalReason
from lycheepost.utils.metrics import Metrics
from lycheepost.utils.tasks import start_task

GAUGE_SECONDS = 15.0
"""The usual step of a dashboard. Computing the status takes tens of milliseconds at
12,000 targets, so it must not be done every second."""

QUEUE_REASONS = (
    RefusalReason.DEADLINE,
    RefusalReason.OVER_SHARE,
    RefusalReason.QUEUE_FULL,
)
"""Why a request that has to wait is refused."""

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
    yield from _read_room(status["queues"]["groups"])
    for name, budget in status.get("buffers", {}).items():
        yield f"buffered_bytes.{name}", budget["held_bytes"]
        yield f"buffers_denied.{name}", budget["n_denied"]
    for name, number in status.get("answers_given_up", {}).items():
        yield f"answers_given_up.{name}", number
    yield from _order_gauges(status["queues"]["groups"].values())
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
    for kind, n_bytes in status["peers"]["bytes_by_kind"].items():
        yield f"peer_bytes_other_zones.{kind}", n_bytes["other_zones"]
    yield from _speed_gauges(status["queues"]["groups"].values())
    yield "table_polls_failed", status["configuration"]["n_failed_polls"]
    yield "duties_held", sum(duty["is_held"] for duty in status["duties"])


def _read_room(groups: dict[str, Any]) -> Iterator[tuple[str, float]]:
    """Yield the gauges of the engines' memory."""
    rooms = [group["room"] for group in groups.values()]
    for name, group in groups.items():
        left_tokens = group["room"]["least_left_tokens"]
        if left_tokens is not None:
            yield f"room_least_left_tokens.{name}", left_tokens
    yield "room_is_short", float(any(room["is_short"] for room in rooms))
    yield "room_waits", sum(room["n_waited"] for room in rooms)
    yield "room_put_back", sum(room["n_put_back"] for room in rooms)
    yield "room_too_large", sum(room["n_too_large"] for room in rooms)


def _order_gauges(groups: Iterable[dict[str, Any]]) -> Iterator[tuple[str, float]]:
    orders = [group["order"] for group in groups]
    yield "groups_by_slack", sum(order["is_by_slack"] for order in orders)
    yield "sent_ahead", sum(order["n_ahead"] for order in orders)
    yield "late_requests", sum(order["n_late"] for order in orders)
    for priority in Priority:
        name = priority.name.lower()
        waiting = [order["waiting_by_priority"].get(name, 0) for order in orders]
        yield f"queued_{name}", sum(waiting)
    for reason in QUEUE_REASONS:
        refused = [order["n_refused"].get(reason.value, 0) for order in orders]
        yield f"refused_{reason.value}", sum(refused)


def _speed_gauges(groups: Iterable[dict[str, Any]]) -> Iterator[tuple[str, float]]:
    groups = list(groups)
    yield (
        "groups_with_target_rates",
        sum(group["target_rates"]["is_met"] for group in groups),
    )
    yield (
        "target_unevenness",
        max((group["target_unevenness"] for group in groups), default=1.0),
    )
    yield (
        "targets_unusually_fast_or_slow",
        sum(group["n_unusual_states"] for group in groups),
    )


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
