"""Which targets a prefix belongs to, the same on every daemon.

A consistent-hash ring: each target stands at several points, and the owners of
a key are the next distinct targets from the key's point on. Finding them costs
the logarithm of the number of points, where rendezvous hashing would weigh
every target; both move only the keys of the target that joins or leaves.
"""

from bisect import bisect_left, insort

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import TargetId

POINTS_PER_TARGET = 32
"""Spread of the owners' shares is about 1/sqrt(32), 18%; load evens out the
rest, since a loaded owner passes work on to the next."""

_MASK = 0xFFFFFFFFFFFFFFFF


class Ring:
    """Targets of one group in the order of their hash points."""

    def __init__(self) -> None:
        self._points: list[tuple[int, TargetId]] = []
        self._targets: set[TargetId] = set()

    def replace(self, targets: set[TargetId]) -> None:
        """Make the ring hold exactly ``targets``; the cost grows with changes."""
        removed = self._targets - targets
        added = targets - self._targets
        if removed:
            self._points = [item for item in self._points if item[1] not in removed]
        points = [point for target in added for point in _points_of(target)]
        if len(points) > len(self._points):
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
