"""Reloads the platform's settings file when it changes.

The platform may signal a change or not, so the modification time is also polled every
``POLL_SECONDS``. Bounds take effect at once, except the time between two holders'
orders. That one takes effect at the next start, as do the listening addresses and the
identity of this process; a log line lists such changes. A file that cannot be read
changes nothing.
"""

import asyncio
import dataclasses
import pathlib

import structlog
from returns.result import Failure, Success

from lycheepost.platform.settings import Bounds, NodeSettings, read_node_settings
from lycheepost.utils.tasks import start_task

POLL_SECONDS = 2.0
"""Poll interval of the modification time; a poll costs one system call."""

_log = structlog.get_logger(part="settings")


class SettingsWatch:
    """The current settings.

    Args:
        node: The settings read at the start.
        path: The file that they were read from; None if there is no file.

    Attributes:
        bounds: The current bounds.
    """

    def __init__(self, node: NodeSettings, path: pathlib.Path | None) -> None:
        self.bounds: Bounds = node.bounds
        self._node = node
        self._path = path
        self._read_modified_ns = self._modified_ns()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start polling the file."""
        self._task = start_task(self._run(), "settings")

    async def drain(self) -> None:
        """Do nothing: bounds still apply during the drain."""

    async def stop(self) -> None:
        """Stop polling the file."""
        if self._task is not None:
            self._task.cancel()

    def reload(self) -> None:
        """Read the file and apply what has changed."""
        if self._path is None:
            return
        self._read_modified_ns = self._modified_ns()
        match read_node_settings(self._path):
            case Success(node):
                self._apply(node)
            case Failure(error):
                faults = list(error.faults)
                _log.error(
                    "settings: reload failed", reason=error.reason, faults=faults
                )

    def _apply(self, node: NodeSettings) -> None:
        changed = [
            item.name
            for item in dataclasses.fields(node)
            if getattr(node, item.name) != getattr(self._node, item.name)
        ]
        at_next_start = [name for name in changed if name != "bounds"]
        if node.bounds.lease_seconds != self.bounds.lease_seconds:
            at_next_start.append("bounds.lease_seconds")
        self._node = node
        self.bounds = node.bounds
        _log.info("settings: read", changed=changed, at_next_start=at_next_start)

    def _modified_ns(self) -> int:
        if self._path is None:
            return 0
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            return 0

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(POLL_SECONDS)
            if self._modified_ns() != self._read_modified_ns:
                self.reload()
