"""Requests that wait although their objective can no longer be met.

The load: targets are lost or change at the peak, and for seconds more is asked than the
rest can do. In the order of arrival everybody waits for the whole backlog, so that each
answer is late by as much, although nearly as many callers are served as ever. An answer
is late at one second or at three; only one that can still be on time gains by going
first. So those whose objective has passed get a lower priority: the room that others
leave, and a fixed part of it besides, so that a long overload does not starve them.
Among themselves the one whose caller leaves first goes first.

Pure logic.
"""

from bisect import insort
from collections.abc import Iterator

from lycheepost.core.ids import RequestId
from lycheepost.decide.queueing import QueuedRequest

LATE_SHARE = 0.2
"""Part of the work that late requests get while others could still be on time. Each of
them costs one of the others its objective, and is worth less than half as much to its
caller; with nothing at all their callers would be served by chance only."""


class LateWork:
    """Late requests of one target group, and the share of the work that is theirs."""

    def __init__(self) -> None:
        self._waiting: list[QueuedRequest] = []
        self._credit_seconds = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(tuple(self._waiting))

    def add(self, waiting: QueuedRequest) -> None:
        """Add a request whose objective has passed."""
        insort(self._waiting, waiting, key=_deadline_seconds)

    def remove(self, request: RequestId) -> QueuedRequest | None:
        """Take a request out; None when it is not here."""
        for index, waiting in enumerate(self._waiting):
            if waiting.work.request == request:
                return self._waiting.pop(index)
        return None

    def first(self, limit: int) -> tuple[QueuedRequest, ...]:
        """Return up to ``limit`` requests, the one whose caller leaves first first."""
        return tuple(self._waiting[:limit])

    def is_due(self) -> bool:
        """Tell whether the share of late requests is enough for the first of them."""
        if not self._waiting:
            return False
        return self._credit_seconds >= self._waiting[0].cost_seconds

    def count_other(self, cost_seconds: float) -> None:
        """Count work that went out before the late requests."""
        if self._waiting:
            self._credit_seconds += LATE_SHARE * cost_seconds

    def count_late(self, cost_seconds: float) -> None:
        """Count work of a late request that went out."""
        self._credit_seconds = max(0.0, self._credit_seconds - cost_seconds)


def _deadline_seconds(waiting: QueuedRequest) -> float:
    return waiting.deadline_seconds
