"""Tasks that run as long as the component that owns them.

When such a task ends by an exception, asyncio does not report it while the owner still
holds the task. The daemon would continue without it and, for example, find no peers,
report no loads or change no weights. So the exception is logged immediately.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog

_log = structlog.get_logger(part="tasks")


def start_task(work: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
    """Start a task and log the exception if it fails.

    Args:
        work: Runs until it is cancelled or done.
        name: Identifies the task in the log.
    """
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[None]) -> None:
    error = None if task.cancelled() else task.exception()
    if error is not None:
        _log.error("tasks: ended by a fault", task=task.get_name(), exc_info=error)
