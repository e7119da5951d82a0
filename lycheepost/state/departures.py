"""Targets that have left, and registrations that a restored store has brought back.

When the store is restored from a copy, it lists targets that have left since, until
their registrations expire. Only a registration that changes, or that is still listed
after that time, is known to have a writer.

Pure logic: every method takes ``now_seconds``.
"""

from collections.abc import Iterable

from lycheepost.core.ids import TargetId
from lycheepost.core.routing import ListedTarget
from lycheepost.decide.leaving import LeavingTargets

EXPIRY_SECONDS = 5.0
"""Registrations expire after three intervals of 1.2 s without a write. The rest is for
the way of the removal to this daemon."""


class Departures:
    """The starts of targets that left, and their registrations that are held back."""

    def __init__(self) -> None:
        self._left = LeavingTargets()
        self._held: dict[TargetId, tuple[ListedTarget, float]] = {}

    def note_left(self, listed: ListedTarget) -> None:
        """Record that the registration of a target was removed."""
        self._left.note(listed.start)
        self._held.pop(listed.target, None)

    def note_removed(self, target: TargetId) -> None:
        """Discard a registration that was held back and is not listed any more."""
        self._held.pop(target, None)

    def held_back(self) -> frozenset[TargetId]:
        """Return the targets whose registrations are held back."""
        return frozenset(self._held)

    def note_written(self, listed: ListedTarget) -> None:
        """Record that a target has written its registration."""
        self._left.forget(listed.target)
        self._held.pop(listed.target, None)

    def choose_usable(
        self, listed: Iterable[ListedTarget], after_restore: bool, now_seconds: float
    ) -> list[ListedTarget]:
        """Return the targets of a full read that may be used at once.

        Args:
            listed: The registrations in it.
            after_restore: Whether it is the first one since a restore; a later one
                shows what was held back until then, and nobody need have written it.
            now_seconds: The current time.
        """
        usable: list[ListedTarget] = []
        for target in listed:
            if after_restore and self._left.is_leaving(target.start):
                until_seconds = now_seconds + EXPIRY_SECONDS
            elif target.target in self._held:
                until_seconds = self._held[target.target][1]
            else:
                usable.append(target)
                continue
            self._held[target.target] = (target, until_seconds)
        return usable

    def take_due(self, now_seconds: float) -> list[ListedTarget]:
        """Return the targets that are still listed when theirs should have expired."""
        due = [
            target
            for target, until_seconds in self._held.values()
            if until_seconds <= now_seconds
        ]
        for target in due:
            self.note_written(target)
        return due

    def next_change_seconds(self) -> float:
        """Return when the next registration is due; infinity if none is held back."""
        times = (until_seconds for _, until_seconds in self._held.values())
        return min(times, default=float("inf"))
