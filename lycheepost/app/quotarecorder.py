"""Records the use of quotas in the store, and reads the record at the start."""

import asyncio
from collections.abc import Callable

import structlog
from returns.result import Failure, Success

from lycheepost.core.clock import Clock
from lycheepost.decide.fleetquota import RECORD_VALID_SECONDS, FleetQuotas
from lycheepost.decide.quotarecord import (
    RECORD_INTERVAL_SECONDS,
    RecordDecision,
    decide_record,
    draws_record,
)
from lycheepost.state.quotarows import QuotaRows
from lycheepost.utils.tasks import start_task

RETRY_SECONDS = 0.3
"""Interval between attempts to read the record while the store does not respond."""

_log = structlog.get_logger(part="quotas")


class QuotaRecorder:
    """Writes the record now and then, and reads it once.

    Args:
        quotas: The quotas of this daemon.
        rows: Stores the record.
        clock: The clock that ``quotas`` uses.
        draw: Returns a random number from 0 to 1.
        on_read: Called after the first attempt to read the record.
        is_switched_off: Whether the operator has switched the record off.
    """

    def __init__(
        self,
        quotas: FleetQuotas,
        rows: QuotaRows,
        clock: Clock,
        draw: Callable[[], float],
        on_read: Callable[[], None],
        is_switched_off: bool,
    ) -> None:
        self._quotas = quotas
        self._rows = rows
        self._clock = clock
        self._draw = draw
        self._on_read = on_read
        self._is_switched_off = is_switched_off
        self._has_written = False
        self._n_writes = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start reading and writing."""
        self._tasks = [
            start_task(self._read(), "quota-record-read"),
            start_task(self._write(), "quota-record-write"),
        ]

    async def drain(self) -> None:
        """Do nothing: requests are admitted until the end of the drain."""

    async def stop(self) -> None:
        """Stop reading and writing."""
        for task in self._tasks:
            task.cancel()

    def status(self) -> dict[str, object]:
        """Return whether the use of quotas is recorded, and why."""
        decision = self._decide()
        return {
            "is_recorded": decision.is_recorded,
            "reason": decision.reason,
            "n_writes": self._n_writes,
        }

    def _decide(self) -> RecordDecision:
        quotas = self._quotas
        return decide_record(self._is_switched_off, quotas.has_quotas, quotas.n_sharing)

    async def _read(self) -> None:
        if self._is_switched_off:
            self._on_read()
            return
        until_seconds = self._clock.now_seconds() + RECORD_VALID_SECONDS
        is_first = True
        while self._clock.now_seconds() < until_seconds:
            found = await self._rows.read()
            match found:
                case Success(record):
                    self._quotas.set_record(record, self._clock.now_seconds())
                    _log.info("quotas: record read", n_customers=len(record))
                case Failure(error):
                    _log.info("quotas: record not read", reason=error.reason)
            if is_first:
                is_first = False
                self._on_read()
            if isinstance(found, Success):
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def _write(self) -> None:
        while True:
            await asyncio.sleep(RECORD_INTERVAL_SECONDS)
            quotas = self._quotas
            if not quotas.is_synced or not self._decide().is_recorded:
                continue
            if draws_record(quotas.n_sharing, self._draw()):
                await self._write_once()

    async def _write_once(self) -> None:
        """Write the record; an empty one only after one that was not."""
        record = self._quotas.make_record(self._clock.now_seconds())
        if not record and not self._has_written:
            return
        self._n_writes += 1
        match await self._rows.write(record):
            case Success():
                self._has_written = bool(record)
            case Failure(error):
                self._has_written = True
                _log.info("quotas: record not written", reason=error.reason)
