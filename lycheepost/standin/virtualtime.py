"""An asyncio event loop whose clock jumps to the next timer instead of waiting.

An hour of polling, leases and retries runs in a second, in the same order on every
machine. Only in-memory models may run on it: while a socket's answer takes real
time, virtual time would jump ahead.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")
_START_SECONDS = 1_000_000.0


class _JumpingSelector(selectors.SelectSelector):
    """Advances the clock by the requested timeout and returns immediately."""

    def __init__(self) -> None:
        super().__init__()
        self.now_seconds = _START_SECONDS

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("Deadlock: every task waits, and no timer is set.")
        self.now_seconds += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time that is also a ``core.clock.Clock``."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now_seconds

    def now_seconds(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now_seconds

    def wall_seconds(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now_seconds


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` to completion on a new loop in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)


def virtual_clock() -> VirtualTimeLoop:
    """Return the running loop as a clock.

    Raises:
        TypeError: The running loop is not in virtual time.
    """
    loop = asyncio.get_running_loop()
    if not isinstance(loop, VirtualTimeLoop):
        raise TypeError("The running loop is not in virtual time.")
    return loop
