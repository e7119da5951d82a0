"""A task that lets time pass for parts that have no task of their own."""

import asyncio
from collections.abc import Callable

import structlog

from lycheepost.utils.tasks import start_task

REFRESH_SECONDS = 0.2
"""How soon a target that was left alone is seen to be due again."""

_log = structlog.get_logger(part="app")


class Ticker:
    """Calls a function five times a second.

    Args:
        on_tick: What to call; a fault in one call does not keep the next.
    """

    def __init__(self, on_tick: Callable[[], None]) -> None:
        self._on_tick = on_tick
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin."""
        self._task = start_task(self._run(), "ticker")

    async def drain(self) -> None:
        """Go on: requests in flight still need targets."""

    async def stop(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REFRESH_SECONDS)
            try:
                self._on_tick()
            except Exception:
                # Without the next tick no target would ever be used again after a
                # rest, and no change of the members be followed.
                _log.exception("app: a tick failed")
