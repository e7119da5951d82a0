"""Records the software versions in service, and reads the record at the start.

After a start of all daemons the list of targets alone does not tell whether another
version was in service a moment ago.
"""

import asyncio
from collections.abc import Callable

import structlog
from returns.result import Failure, Success

from lycheepost.state.softwarerow import GroupVersions, SoftwareRow
from lycheepost.utils.tasks import start_task

RETRY_SECONDS = 0.3
"""Interval between attempts while the store does not respond."""

_log = structlog.get_logger(part="streams")


class SoftwareRecorder:
    """Reads the record once and then writes each change.

    Args:
        row: Stores the record.
        is_first_start: Whether the whole fleet starts for the first time, so that there
            is no record.
    """

    def __init__(self, row: SoftwareRow, is_first_start: bool) -> None:
        self._row = row
        self._is_first_start = is_first_start
        self._on_read: Callable[[GroupVersions], None] = lambda _: None
        self._wanted: GroupVersions = {}
        self._written: GroupVersions = {}
        self._has_changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def subscribe(self, on_read: Callable[[GroupVersions], None]) -> None:
        """Set what is called with the record that a start finds."""
        self._on_read = on_read

    async def start(self) -> None:
        """Start reading and writing."""
        self._task = start_task(self._run(), "software-record")

    async def drain(self) -> None:
        """Do nothing: versions may change until the end."""

    async def stop(self) -> None:
        """Stop reading and writing."""
        if self._task is not None:
            self._task.cancel()

    def set_versions(self, versions: GroupVersions) -> None:
        """Record these versions unless they are recorded."""
        self._wanted = versions
        if versions != self._written:
            self._has_changed.set()

    async def _run(self) -> None:
        if not self._is_first_start:
            await self._read()
        while True:
            await self._has_changed.wait()
            self._has_changed.clear()
            if not await self._write():
                self._has_changed.set()
                await asyncio.sleep(RETRY_SECONDS)

    async def _read(self) -> None:
        while True:
            match await self._row.read():
                case Success(versions):
                    self._written = versions
                    self._on_read(versions)
                    return
                case Failure(error):
                    _log.info("streams: versions not read", reason=error.reason)
            await asyncio.sleep(RETRY_SECONDS)

    async def _write(self) -> bool:
        """Write what is wanted now; return whether it is recorded."""
        versions = self._wanted
        if versions == self._written:
            return True
        match await self._row.write(versions):
            case Success():
                self._written = versions
                return True
            case Failure(error):
                _log.info("streams: versions not written", reason=error.reason)
        return False
