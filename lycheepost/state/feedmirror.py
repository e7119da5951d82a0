"""A copy of a table that a daemon follows, to answer peers from.

Pure logic: every method takes ``now_seconds``.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from lycheepost.ports.feed import ChangedRow, Changes

KEPT_ANSWERS = 256
"""Answers of the store whose changes are kept apart. A peer that is further behind
gets the whole table; peers ask twice a second."""

MOST_AGE_SECONDS = 2.4
"""A copy that was not confirmed for longer is not passed on. The store confirms that of
a daemon that asks it every 0.8 s; who asks that daemon hears of it within 0.6 s more,
and who asks through one more within 1.2 s. The rest is for one that dies on the way:
its place is taken after 0.9 s, and those behind it need not ask the store meanwhile."""


@dataclass(frozen=True, slots=True)
class _Step:
    """What one answer of the store told."""

    version: int
    rows: tuple[ChangedRow, ...]


@dataclass(slots=True)
class FeedMirror:
    """One table as the store told it, and how.

    Attributes:
        version: The store's version at the last answer; None while it is not known
            whole.
        is_lost: The store did not answer the last question.
    """

    version: int | None = None
    _rows: dict[str, bytes] = field(default_factory=dict)
    _steps: deque[_Step] = field(default_factory=deque)
    _base_version: int = 0
    _confirmed_seconds: float = float("-inf")
    is_lost: bool = False

    def take(
        self, changes: Changes, after: int | None, confirmed_seconds: float
    ) -> None:
        """Take an answer of the store, or of a peer.

        Args:
            changes: What it told.
            after: The version that was asked for; None for a whole read.
            confirmed_seconds: When the table was known to be so.
        """
        if changes.is_whole:
            self._rows = {}
            self._steps.clear()
            self._base_version = changes.version
        elif after != self.version:
            # Rows between the two versions were never seen here. Told to a peer as
            # all that changed, they would be missing there for good.
            self.version = None
            return
        for row in changes.rows:
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row.value
        if changes.rows:
            self._steps.append(_Step(changes.version, changes.rows))
        while len(self._steps) > KEPT_ANSWERS:
            self._base_version = self._steps.popleft().version
        self.version = changes.version
        self._confirmed_seconds = confirmed_seconds
        self.is_lost = False

    def note_lost(self) -> None:
        """Take note that the store did not answer."""
        self.is_lost = True

    def confirmed_after_seconds(self, since_seconds: float) -> float:
        """Return when it was last confirmed, counted from ``since_seconds``."""
        return self._confirmed_seconds - since_seconds

    def knows(self, now_seconds: float) -> bool:
        """Tell whether it is fresh enough to be passed on."""
        age_seconds = now_seconds - self._confirmed_seconds
        return not self.is_lost and age_seconds <= MOST_AGE_SECONDS

    def changes_after(self, after: int) -> Changes | None:
        """Return the changes after a version; None where that lies ahead.

        Whoever asked may have heard the store itself since the last answer here.
        """
        if self.version is None or after > self.version:
            return None
        if after < self._base_version:
            rows = tuple(ChangedRow(key, value) for key, value in self._rows.items())
            return Changes(rows, self.version, is_whole=True)
        steps = [step for step in self._steps if step.version > after]
        return Changes(tuple(_rows_of(steps)), self.version)


def _rows_of(steps: Iterable[_Step]) -> Iterable[ChangedRow]:
    for step in steps:
        yield from step.rows
