"""Consistent-hash ring that maps a prefix to its owners, equal on every daemon.

Each target has several points on the ring, and the owners of a key are the next
distinct targets from the key's point on. A lookup is logarithmic in the number of
points, while rendezvous hashing would have to score every target. Both move only the
keys of the target that joins or leaves.
"""

from bisect import bisect_left, insort

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import TargetId

POINTS_PER_TARGET = 32
"""The owners' shares vary by about 1/sqrt(32), 18%. Placement by load evens that out: a
loaded owner's requests go to the next one."""

MAX_INSERTED_POINTS = 500
"""More points are added by sorting all of them, which is cheaper than as many
insertions in a long list."""

_MASK = 0xFFFFFFFFFFFFFFFF


class Ring:
    """Targets of one group in the order of their hash points."""

    def __init__(self) -> None:
        self._points: list[tuple[int, TargetId]] = []
        self._targets: set[TargetId] = set()

    def replace(self, targets: set[TargetId]) -> None:
        """Set the targets of the ring; the cost grows with the number of changes."""
        removed = self._targets - targets
        added = targets - self._targets
        if removed:
            self._points = [item for item in self._points if item[1] not in removed]
        points = [point for target in added for point in _points_of(target)]
        if len(points) > MAX_INSERTED_POINTS:
            self._points = sorted(self._points + points)
        else:
            for point in points:
                insort(self._points, point)
        self._targets = set(targets)

    def owners(self, key: int, limit: int) -> list[TargetId]:
        """Return up to ``limit`` distinct targets, the first owner first."""
        points = self._points
        limit = min(limit, len(self._targets))
        owners: list[TargetId] = []
        index = bisect_left(points, (key & _MASK, ""))
        while len(owners) < limit:
            target = points[index % len(points)][1]
            if target not in owners:
                owners.append(target)
            index += 1
        return owners


def _points_of(target: TargetId) -> list[tuple[int, TargetId]]:
    name = target.encode()
    return [(hash_bytes(name, seed), target) for seed in range(POINTS_PER_TARGET)]
