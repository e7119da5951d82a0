"""Keeps a value in the store, and reads at the start what was kept before.

A daemon keeps nothing on its VM. What must outlive a start of all daemons at once is
read once by each of them, and written whenever it changes.
"""

import asyncio
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import structlog
from returns.result import Failure, Result, Success

from lycheepost.ports.table import TableError
from lycheepost.utils.tasks import start_task

RETRY_SECONDS = 0.3
"""Interval between attempts while the store does not respond."""

_Value = TypeVar("_Value")
_log = structlog.get_logger(part="record")


class RecordRow(Protocol[_Value]):
    """Where a value is kept."""

    async def read(self) -> Result[_Value, TableError]:
        """Return the value that is kept; an empty one if there is none."""
        ...

    async def write(self, value: _Value) -> Result[None, TableError]:
        """Replace the value."""
        ...


class RowRecorder(Generic[_Value]):
    """Reads a value once and then writes each change.

    Args:
        name: Names the value in logs.
        row: Stores the value.
        empty: What is kept before the first write.
        is_first_start: Whether the whole fleet starts for the first time, so that there
            is no record.
        on_tried: Called at the start once the value is known, or the first attempt to
            read it has failed.
    """

    def __init__(
        self,
        name: str,
        row: RecordRow[_Value],
        empty: _Value,
        is_first_start: bool,
        on_tried: Callable[[], None] = lambda: None,
    ) -> None:
        self._log = _log.bind(record=name)
        self._name = name
        self._row = row
        self._is_first_start = is_first_start
        self._on_tried = on_tried
        self._on_read: Callable[[_Value], None] = lambda _: None
        self._wanted = empty
        self._written = empty
        self._has_changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def subscribe(self, on_read: Callable[[_Value], None]) -> None:
        """Set what is called with the value that a start finds."""
        self._on_read = on_read

    async def start(self) -> None:
        """Start reading and writing."""
        self._task = start_task(self._run(), f"{self._name}-record")

    async def drain(self) -> None:
        """Do nothing: the value may change until the end."""

    async def stop(self) -> None:
        """Stop reading and writing."""
        if self._task is not None:
            self._task.cancel()

    def record(self, value: _Value) -> None:
        """Write this value unless it is what was last read or written."""
        self._wanted = value
        if value != self._written:
            self._has_changed.set()

    async def _run(self) -> None:
        is_known = self._is_first_start or await self._read()
        self._on_tried()
        while not is_known:
            await asyncio.sleep(RETRY_SECONDS)
            is_known = await self._read()
        while True:
            await self._has_changed.wait()
            self._has_changed.clear()
            if not await self._write():
                self._has_changed.set()
                await asyncio.sleep(RETRY_SECONDS)

    async def _read(self) -> bool:
        """Read the value; return whether it is known."""
        match await self._row.read():
            case Success(value):
                self._written = value
                self._on_read(value)
                return True
            case Failure(error):
                self._log.info("record: not read", reason=error.reason)
        return False

    async def _write(self) -> bool:
        """Write what is wanted now; return whether it is kept."""
        value = self._wanted
        if value == self._written:
            return True
        match await self._row.write(value):
            case Success():
                self._written = value
                return True
            case Failure(error):
                self._log.info("record: not written", reason=error.reason)
        return False
