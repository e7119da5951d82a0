"""Waiting requests whose latency objective can no longer be met.

When targets are lost or change weights at peak load, demand exceeds capacity for some
seconds. Served in order of arrival, every request waits for the whole backlog, and
nearly all responses miss their objective although almost as many are served. A response
that misses its objective gains nothing by coming a little earlier, so requests whose
objective has passed get a lower priority: the capacity that others leave, and a fixed
share besides, so that a long overload does not starve them. Among themselves they go in
the order of their callers' timeouts.

Pure logic.
"""

from bisect import insort
from collections.abc import Iterator

from lycheepost.core.ids import RequestId
from lycheepost.decide.queueing import QueuedRequest

LATE_SHARE = 0.2
"""Share of the work that late requests get while others can still be on time. Each late
request makes one of the others miss its objective, and is worth less than half as much
to its caller; with no share at all late requests would be served by chance only."""


class LateWork:
    """Late requests of one target group, and their share of the work."""

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
        """Return up to ``limit`` requests in the order of their callers' timeouts."""
        return tuple(self._waiting[:limit])

    def is_due(self) -> bool:
        """Return whether the share of late requests covers the first of them."""
        if not self._waiting:
            return False
        return self._credit_seconds >= self._waiting[0].cost_seconds

    def count_on_time(self, cost_seconds: float) -> None:
        """Count dispatched work of a request that is not late."""
        if self._waiting:
            self._credit_seconds += LATE_SHARE * cost_seconds

    def count_late(self, cost_seconds: float) -> None:
        """Count dispatched work of a late request."""
        self._credit_seconds = max(0.0, self._credit_seconds - cost_seconds)


def _deadline_seconds(waiting: QueuedRequest) -> float:
    return waiting.deadline_seconds
