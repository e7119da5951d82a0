"""Retry reads of a platform service within a budget.

Only calls without side effects are retried here. Whether a write may be sent again
depends on its conditions; ``state.commit_retry`` decides that.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from returns.result import Failure, Result

T = TypeVar("T")
E = TypeVar("E")

_MAX_ATTEMPTS = 3
_FIRST_BACKOFF_SECONDS = 0.05
_RETRIES_PER_CALL = 0.1
"""Retries per call. A service that is down for all daemons receives a tenth more calls
instead of three times as many; daemons do not coordinate their retries."""
_MAX_AVAILABLE_RETRIES = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Number of retries available; each first attempt adds a tenth of one."""

    available: float = _MAX_AVAILABLE_RETRIES

    def add_attempt(self) -> None:
        """Count one first attempt."""
        self.available = min(_MAX_AVAILABLE_RETRIES, self.available + _RETRIES_PER_CALL)

    def take_retry(self) -> bool:
        """Use one retry; return False when none is left."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


async def retry_read(
    read: Callable[[], Awaitable[Result[T, E]]],
    is_transient: Callable[[E], bool],
    budget: RetryBudget,
) -> Result[T, E]:
    """Call ``read`` until it succeeds, fails permanently, or no retry is left.

    Args:
        read: A call without side effects, with its own deadline.
        is_transient: Returns whether another attempt may succeed.
        budget: Shared by all reads of one service.
    """
    budget.add_attempt()
    backoff_seconds = _FIRST_BACKOFF_SECONDS
    for _ in range(_MAX_ATTEMPTS - 1):
        outcome = await read()
        match outcome:
            case Failure(error) if is_transient(error) and budget.take_retry():
                # Full jitter, so that daemons refused together do not retry together.
                await asyncio.sleep(random.uniform(0, backoff_seconds))
                backoff_seconds *= 2
            case _:
                return outcome
    return await read()
