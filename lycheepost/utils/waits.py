"""Waits that leave out the time in which this process did not run.

A process that is suspended or short of processor time reads nothing. A time-out that
counts this time ends waits for what has arrived already and was not read yet.
"""

import asyncio
from typing import Any

SLICE_SECONDS = 0.025
"""A timer of a process that runs fires later than it was set for by less than this."""


async def wait_running(
    awaited: "asyncio.Future[Any]", timeout_seconds: float, max_stall_seconds: float
) -> bool:
    """Wait for a future; return whether it is done.

    Args:
        awaited: The future.
        timeout_seconds: Maximum time to wait while this process runs.
        max_stall_seconds: Maximum time that is left out.
    """
    loop = asyncio.get_running_loop()
    end_seconds = loop.time() + timeout_seconds + max_stall_seconds
    left_seconds = timeout_seconds
    while left_seconds > 0.0 and loop.time() < end_seconds:
        slice_seconds = min(SLICE_SECONDS, left_seconds)
        done, _ = await asyncio.wait({awaited}, timeout=slice_seconds)
        if done:
            return True
        left_seconds -= slice_seconds
    return awaited.done()
