"""A model of a store of rows that tells what has changed.

Rows lie in named tables; one counter numbers all transactions. The newest part of
the history is kept, so that a follower can ask for what came after a version.
Without I/O; ``platform.models`` gives it a face.
"""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from lycheepost.standin.platformfaults import Faults

HISTORY_ROWS = 10_000


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row; ``value`` is None once it was removed."""

    table: str
    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowCondition:
    """The row must have this version; 0 means that there is no such row."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RowChange:
    """A row to write, or to remove with ``value`` None."""

    table: str
    key: str
    value: bytes | None


@dataclass
class RowStore:
    """The rows, the history and the faults of one store.

    Attributes:
        refused_hosts: Callers that get no answer but a refusal.
        oldest_version: Changes up to it are no longer told.
    """

    faults: Faults = field(default_factory=Faults)
    refused_hosts: set[str] = field(default_factory=set)
    version: int = 0
    oldest_version: int = 0
    _rows: dict[tuple[str, str], StoredRow] = field(default_factory=dict)
    _history: deque[StoredRow] = field(default_factory=deque)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def rows(self, table: str) -> list[StoredRow]:
        """Return the rows of a table by key."""
        found = [row for (name, _), row in self._rows.items() if name == table]
        return sorted(found, key=lambda row: row.key.encode())

    def failed(self, conditions: list[RowCondition]) -> list[RowCondition]:
        """Return the conditions that do not hold."""
        return [item for item in conditions if self._version(item) != item.version]

    def _version(self, item: RowCondition) -> int:
        row = self._rows.get((item.table, item.key))
        return 0 if row is None else row.version

    def apply(self, changes: list[RowChange]) -> int:
        """Write changes as one transaction and return its version."""
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
        """Forget all changes so far."""
        self._history.clear()
        self.oldest_version = self.version

    def changes(self, table: str, after: int) -> list[StoredRow]:
        """Return the changes of a table after a version, in order."""
        return [
            row for row in self._history if row.table == table and row.version > after
        ]

    async def wait_changes(
        self, table: str, after: int, wait_seconds: float
    ) -> list[StoredRow]:
        """Return the changes after a version as soon as there are some."""
        try:
            async with asyncio.timeout(wait_seconds):
                while not (found := self.changes(table, after)):
                    changed = self._changed
                    await changed.wait()
        except TimeoutError:
            return []
        return found
