"""Tasks that run as long as the part that owns them.

The failure: such a task ends by a fault. Its owner still holds it, so nobody asks how
it ended, and the daemon goes on without it: no peers are found, no loads told, no
weights changed. It shows only as something that stopped. So the end is logged as an
error, at once and with its cause.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog

_log = structlog.get_logger(part="tasks")


def start_task(work: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
    """Return a running task whose fault is logged.

    Args:
        work: Runs until it is cancelled, or until it is done.
        name: Tells in the log which task it was.
    """
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[None]) -> None:
    error = None if task.cancelled() else task.exception()
    if error is not None:
        _log.error("tasks: ended by a fault", task=task.get_name(), exc_info=error)
