"""Model of a row store with a change feed.

Rows are stored in named tables; one counter numbers all transactions. Recent changes
are kept, so that a follower can ask for the changes after a version. The model does
no I/O; ``platform.models`` serves it over HTTP.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from lycheepost.standin.platformfaults import Faults

HISTORY_ROWS = 10_000
"""Recent changes kept; older ones are no longer available to followers."""


@dataclass(frozen=True, slots=True)
class StoredRow:
    """One version of a row; ``value`` is None if it was removed."""

    table: str
    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowCondition:
    """Requires that a row has this version; 0 requires that it does not exist."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RowChange:
    """A row to write, or to remove if ``value`` is None."""

    table: str
    key: str
    value: bytes | None


class StoreCopy(NamedTuple):
    """The rows of a store at one moment."""

    rows: dict[tuple[str, str], StoredRow]
    version: int


@dataclass
class RowStore:
    """The rows, the history and the faults of one store.

    Attributes:
        refused_hosts: Hosts whose calls are refused.
        oldest_version: Changes up to this version are no longer available.
        era: Number of restores.
    """

    faults: Faults = field(default_factory=Faults)
    refused_hosts: set[str] = field(default_factory=set)
    version: int = 0
    oldest_version: int = 0
    era: int = 0
    _rows: dict[tuple[str, str], StoredRow] = field(default_factory=dict)
    _history: deque[StoredRow] = field(default_factory=deque)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def rows(self, table: str) -> list[StoredRow]:
        """Return the rows of a table, ordered by key."""
        found = [row for (name, _), row in self._rows.items() if name == table]
        return sorted(found, key=lambda row: row.key.encode())

    def failed(self, conditions: list[RowCondition]) -> list[RowCondition]:
        """Return the conditions that do not hold."""
        return [item for item in conditions if self._version(item) != item.version]

    def _version(self, item: RowCondition) -> int:
        row = self._rows.get((item.table, item.key))
        return 0 if row is None else row.version

    def apply(self, changes: list[RowChange]) -> int:
        """Apply changes as one transaction and return its version."""
        self.version += 1
        for change in changes:
            row = StoredRow(change.table, change.key, change.value, self.version)
            if change.value is None:
                self._rows.pop((change.table, change.key), None)
            else:
                self._rows[change.table, change.key] = row
            self._history.append(row)
        while len(self._history) > HISTORY_ROWS:
            self.oldest_version = self._history.popleft().version
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write one row, as operators and targets do."""
        return self.apply([RowChange(table, key, value)])

    def drop_history(self) -> None:
        """Drop the history of all changes so far."""
        self._history.clear()
        self.oldest_version = self.version

    def copy(self) -> StoreCopy:
        """Return a copy to restore the store from later."""
        return StoreCopy(dict(self._rows), self.version)

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; its history is lost."""
        self._rows = dict(copy.rows)
        self.version = copy.version
        self.drop_history()
        self.era += 1

    def write_again(self, table: str, rows: list[StoredRow]) -> None:
        """Write rows of before the last restore again, as their writers do.

        Rows of the copy that are not among them are removed. Rows that were written
        since the restore stay.
        """
        current = {row.key: row for row in self.rows(table)}
        since = {
            key for key, row in current.items() if row.version > self.oldest_version
        }
        kept = {row.key for row in rows} | since
        changes = [RowChange(table, key, None) for key in current if key not in kept]
        changes += [
            RowChange(table, row.key, row.value) for row in rows if row.key not in since
        ]
        if changes:
            self.apply(changes)

    def changes(self, table: str, after: int) -> list[StoredRow]:
        """Return the changes of a table after a version, in order."""
        return [
            row for row in self._history if row.table == table and row.version > after
        ]

    async def wait_changes(
        self, table: str, after: int, wait_seconds: float
    ) -> list[StoredRow]:
        """Wait for changes after a version; return none after ``wait_seconds``."""
        try:
            async with asyncio.timeout(wait_seconds):
                while not (found := self.changes(table, after)):
                    changed = self._changed
                    await changed.wait()
        except TimeoutError:
            return []
        return found
