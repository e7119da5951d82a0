"""Records settled eras of the store, and reads at the start whether its era is one."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import structlog
from returns.result import Failure, Success

from lycheepost.core.ids import StoreEra
from lycheepost.ports.table import NEVER_RESTORED
from lycheepost.state.settledera import SettledEraRow
from lycheepost.utils.tasks import start_task

RETRY_SECONDS = 0.5
"""Interval between attempts while the store does not respond."""

RECORD_SPREAD_SECONDS = 1.0
"""Time over which the daemons record an era, so that most of them find it recorded."""

_log = structlog.get_logger(part="store")


class EraRecorder:
    """Follows the eras of one start of a daemon.

    A store that was never restored costs no calls.

    Args:
        row: Stores the newest settled era.
        rewrite_seconds: Time after a restore until the era is settled.
        is_first_start: Whether the whole fleet starts for the first time: nothing that
            concerns it can have been lost.
        on_settled: Called at the start with the store's era if it is settled.
        on_read: Called at the start once that is known or the first attempt has failed.
    """

    def __init__(
        self,
        row: SettledEraRow,
        rewrite_seconds: float,
        is_first_start: bool,
        on_settled: Callable[[StoreEra], None],
        on_read: Callable[[], None],
    ) -> None:
        self._row = row
        self._rewrite_seconds = rewrite_seconds
        self._is_first_start = is_first_start
        self._on_settled = on_settled
        self._on_read = on_read
        self._has_reported = False
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Do nothing: the first response of the store begins the work."""

    async def drain(self) -> None:
        """Do nothing: a leaving daemon may still record an era."""

    async def stop(self) -> None:
        """Stop reading and recording."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def note_first(self, era: StoreEra) -> None:
        """Take the era that the store states in its first response."""
        if era == NEVER_RESTORED.era:
            self._report_read()
        elif self._is_first_start:
            self._on_settled(era)
            self._report_read()
            self._replace_task(self._record_after(0.0, era))
        else:
            self._replace_task(self._find(era))

    def note_restored(self, era: StoreEra) -> None:
        """Take an era that begins while this daemon runs."""
        self._report_read()
        self._replace_task(self._record_after(self._rewrite_seconds, era))

    def _report_read(self) -> None:
        if not self._has_reported:
            self._has_reported = True
            self._on_read()

    def _replace_task(self, work: Coroutine[Any, Any, None]) -> None:
        if self._task is not None:
            self._task.cancel()
        self._task = start_task(work, "settled-era")

    async def _find(self, era: StoreEra) -> None:
        """Report whether the era is settled; record it in time if it is not."""
        if await self._read_settled() >= era:
            self._on_settled(era)
            self._report_read()
            return
        self._report_read()
        _log.warning("store: era not settled at the start", era=era)
        await self._record_after(self._rewrite_seconds, era)

    async def _read_settled(self) -> StoreEra:
        while True:
            match await self._row.read():
                case Success(settled):
                    return settled
                case Failure(error):
                    _log.info("store: settled era not read", reason=error.reason)
            self._report_read()
            await asyncio.sleep(RETRY_SECONDS)

    async def _record_after(self, wait_seconds: float, era: StoreEra) -> None:
        spread_seconds = random.uniform(0.0, RECORD_SPREAD_SECONDS)
        await asyncio.sleep(wait_seconds + spread_seconds)
        while True:
            match await self._row.record(era):
                case Success():
                    return
                case Failure(error):
                    _log.info("store: settled era not recorded", reason=error.reason)
            await asyncio.sleep(RETRY_SECONDS)
