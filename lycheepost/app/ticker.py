"""A periodic task for components that have no task of their own."""

import asyncio
from collections.abc import Callable

import structlog

from lycheepost.utils.runningtime import note_timer
from lycheepost.utils.tasks import start_task

REFRESH_SECONDS = 0.2
"""Maximum delay until a target is used again after its ejection has ended."""

_log = structlog.get_logger(part="app")


class Ticker:
    """Calls a function at a fixed interval.

    Args:
        on_tick: The function; an exception in one call doesn't prevent the next.
        interval_seconds: The interval.
    """

    def __init__(
        self, on_tick: Callable[[], None], interval_seconds: float = REFRESH_SECONDS
    ) -> None:
        self._on_tick = on_tick
        self._interval_seconds = interval_seconds
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the task."""
        self._task = start_task(self._run(), "ticker")

    async def drain(self) -> None:
        """Do nothing: requests in flight still need targets."""

    async def stop(self) -> None:
        """Stop the task."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_seconds = loop.time() + self._interval_seconds
            await asyncio.sleep(self._interval_seconds)
            note_timer(due_seconds)
            try:
                self._on_tick()
            except Exception:
                # If the task ended, no target would be used again after an ejection and
                # no change of the members would be applied.
                _log.exception("app: a tick failed")
