"""Time-outs that leave out the time in which this process did not run.

A process that is suspended or short of processor time reads nothing. Once it goes on,
its timers fire in the same turn of the loop in which it would read what has arrived
meanwhile, so a time-out that counts this time ends what is already there. These
time-outs begin anew instead, as long as their process stood still.

Leases and the deadlines of requests are not such time-outs: they end while a process
stands still, by a clock that counts the time.
"""

import asyncio
import weakref
from collections import deque
from types import TracebackType
from typing import Any

import structlog

STALL_SECONDS = 0.12
"""A timer that fires later than this shows that the process stood still. A process that
has used up its share of a core waits for up to 0.1 s."""

MAX_STALL_SECONDS = 2.0
"""A time-out is lengthened by this at most, however often the process stands still."""

FINAL_READ_SECONDS = 0.05
"""How long a time-out that may not begin anew lets the process read what is there."""

_KEPT_STALLS = 16
"""More stalls than fit into a time-out and ``MAX_STALL_SECONDS``."""

_log = structlog.get_logger(part="limits")
_stalls: weakref.WeakKeyDictionary[
    asyncio.AbstractEventLoop, deque[tuple[float, float]]
] = weakref.WeakKeyDictionary()


def note_timer(due_seconds: float) -> float:
    """Record that a timer fires now; return how long the process stood still before.

    Args:
        due_seconds: When it was due, by the clock of the running loop.
    """
    loop = asyncio.get_running_loop()
    now_seconds = loop.time()
    if now_seconds - due_seconds <= STALL_SECONDS:
        return 0.0
    found = _stalls.setdefault(loop, deque(maxlen=_KEPT_STALLS))
    if found and due_seconds <= found[-1][1]:
        # A timer that was due later has told of the same stall.
        due_seconds = min(due_seconds, found.pop()[0])
    found.append((due_seconds, now_seconds))
    return now_seconds - due_seconds


def stalled_seconds(from_seconds: float) -> float:
    """Return for how long the process is known to have stood still since a time."""
    found = _stalls.get(asyncio.get_running_loop(), ())
    return sum(max(0.0, end - max(begin, from_seconds)) for begin, end in found)


class RunningTimeout:
    """A context manager like ``asyncio.timeout``; created by ``running_timeout``."""

    def __init__(self, name: str, seconds: float | None) -> None:
        self._name = name
        self._seconds = seconds
        self._scope = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._begin_seconds = 0.0
        self._armed_seconds = 0.0
        self._due_seconds = 0.0
        self._is_final = False

    async def __aenter__(self) -> "RunningTimeout":
        await self._scope.__aenter__()
        if self._seconds is not None:
            self._begin_seconds = asyncio.get_running_loop().time()
            self._arm(self._seconds)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        await self._scope.__aexit__(exc_type, exc, traceback)

    def _arm(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._armed_seconds = loop.time()
        self._due_seconds = self._armed_seconds + seconds
        self._timer = loop.call_at(self._due_seconds, self._fire)

    def _fire(self) -> None:
        late_seconds = note_timer(self._due_seconds)
        stalled = stalled_seconds(self._armed_seconds)
        seconds = self._seconds or 0.0
        loop = asyncio.get_running_loop()
        passed_seconds = loop.time() - self._begin_seconds
        if stalled > 0.0 and not self._is_final:
            if passed_seconds < seconds + MAX_STALL_SECONDS:
                # Of a stall that ended before, the rest of the time-out is known.
                self._arm(seconds if late_seconds else min(seconds, stalled))
            else:
                self._is_final = True
                self._arm(FINAL_READ_SECONDS)
            return
        total = stalled_seconds(self._begin_seconds)
        if total > 0.0:
            _log.info(
                "limits: reached",
                limit=self._name,
                seconds=seconds,
                passed_seconds=round(passed_seconds, 3),
                stalled_seconds=round(total, 3),
            )
        self._scope.reschedule(loop.time())


def running_timeout(name: str, seconds: float | None) -> RunningTimeout:
    """Return a time-out that leaves out the time in which the process stood still.

    Args:
        name: Names the time-out, for the log.
        seconds: Its length; None for none.
    """
    return RunningTimeout(name, seconds)


async def is_done_within(
    awaited: "asyncio.Future[Any]", name: str, seconds: float | None
) -> bool:
    """Wait for a future; return whether it is done in time. It is not cancelled.

    Args:
        awaited: The future.
        name: Names the time-out, for the log.
        seconds: Its length; None for none.
    """
    try:
        async with running_timeout(name, seconds):
            await asyncio.wait({awaited})
    except TimeoutError:
        pass
    return awaited.done()
