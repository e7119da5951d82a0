"""Retry reads of a platform service within a budget.

Only calls without an effect are retried here. Whether a write may be sent again
depends on its conditions, and ``state.commit_retry`` decides that.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from returns.result import Failure, Result

T = TypeVar("T")
E = TypeVar("E")

_MOST_TRIES = 3
_FIRST_PAUSE_SECONDS = 0.05
_EARNED_PER_CALL = 0.1
"""Retries as a share of calls: a service that is down for all gets a tenth more
calls, not three times as many, from a fleet that cannot know of each other."""
_MOST_SAVED = 10.0


@dataclass(slots=True)
class RetryBudget:
    """Retries that may still be made; each first try earns a tenth of one."""

    saved: float = _MOST_SAVED

    def earn(self) -> None:
        """Count one first try."""
        self.saved = min(_MOST_SAVED, self.saved + _EARNED_PER_CALL)

    def spend(self) -> bool:
        """Take one retry; False when none is left."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


async def retry_read(
    read: Callable[[], Awaitable[Result[T, E]]],
    is_transient: Callable[[E], bool],
    budget: RetryBudget,
) -> Result[T, E]:
    """Call ``read`` until it succeeds, the error is lasting, or the budget ends.

    Args:
        read: A call without an effect, with its own deadline.
        is_transient: Whether another try may succeed.
        budget: Shared by all reads of one service.
    """
    budget.earn()
    pause_seconds = _FIRST_PAUSE_SECONDS
    for _ in range(_MOST_TRIES - 1):
        outcome = await read()
        match outcome:
            case Failure(error) if is_transient(error) and budget.spend():
                # Full jitter, so that daemons refused together come back apart.
                await asyncio.sleep(random.uniform(0, pause_seconds))
                pause_seconds *= 2
            case _:
                return outcome
    return await read()
