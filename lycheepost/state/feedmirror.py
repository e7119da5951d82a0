"""A copy of a table that a daemon follows, used to answer requests of peers.

Pure logic: every method takes ``now_seconds``.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from lycheepost.ports.feed import ChangedRow, Changes

MAX_STEPS = 256
"""Maximum number of responses whose changes are kept separately. A peer that is further
behind gets the whole table; a peer requests each table about two times a second."""


@dataclass(frozen=True, slots=True)
class _Step:
    """The changes in one response of the store."""

    version: int
    rows: tuple[ChangedRow, ...]


@dataclass(slots=True)
class FeedMirror:
    """One table as reported by the store, with its recent changes.

    Attributes:
        version: The store's version at the last response; None while the copy is
            incomplete.
        _base_version: Oldest version after which all changes are kept.
        is_lost: Whether the store did not respond to the last request.
        outage_ended_seconds: When the store was last found to answer again after an
            outage, here or at a peer; None if no outage is known.
    """

    version: int | None = None
    _rows: dict[str, bytes] = field(default_factory=dict)
    _steps: deque[_Step] = field(default_factory=deque)
    _base_version: int = 0
    _confirmed_seconds: float = float("-inf")
    is_lost: bool = False
    outage_ended_seconds: float | None = None

    def apply(
        self, changes: Changes, after: int | None, confirmed_seconds: float
    ) -> None:
        """Apply a response of the store or of a peer.

        Args:
            changes: The changes in the response.
            after: The version in the request; None for a full read.
            confirmed_seconds: When the table was confirmed to be in this state.
        """
        if changes.is_whole:
            self._rows = {}
            self._steps.clear()
            self._base_version = changes.version
        elif after != self.version:
            # Changes between the two versions are missing here. If the response were
            # forwarded as complete, peers would miss them permanently.
            self.version = None
            return
        for row in changes.rows:
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row.value
        if changes.rows:
            self._steps.append(_Step(changes.version, changes.rows))
        while len(self._steps) > MAX_STEPS:
            self._base_version = self._steps.popleft().version
        self.version = changes.version
        # A peer may know the same state from an earlier answer.
        self._confirmed_seconds = max(self._confirmed_seconds, confirmed_seconds)
        self.is_lost = False

    def note_lost(self) -> None:
        """Record that the store did not respond."""
        self.is_lost = True

    def note_outage_end(self, ended_seconds: float) -> None:
        """Record when the store was found to answer again after an outage."""
        known_seconds = self.outage_ended_seconds
        if known_seconds is None or known_seconds < ended_seconds:
            self.outage_ended_seconds = ended_seconds

    def confirmed_after_seconds(self, since_seconds: float) -> float:
        """Return the time of the last confirmation, relative to ``since_seconds``."""
        return self._confirmed_seconds - since_seconds

    def age_seconds(self, now_seconds: float) -> float:
        """Return how long ago the copy was confirmed; infinite for never."""
        return now_seconds - self._confirmed_seconds

    def is_fresh(self, now_seconds: float, max_age_seconds: float) -> bool:
        """Return whether the copy is young enough, and the store has not failed."""
        return not self.is_lost and self.age_seconds(now_seconds) <= max_age_seconds

    def changes_after(self, after: int) -> Changes | None:
        """Return the changes after a version; None if this copy is behind it.

        The requesting peer may have received a newer response from the store itself.
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
