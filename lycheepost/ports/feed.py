"""The port of a table service that tells what has changed.

Beside conditional writes (``ports.table``) such a service answers a question for
the changes after a version, and holds the question open until there are some.
"""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from lycheepost.ports.table import TableError


@dataclass(frozen=True, slots=True)
class ChangedRow:
    """A row as it is now; ``value`` is None when it was removed."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Changes:
    """Rows of one table.

    Attributes:
        rows: Those that changed, in order; all of them for a whole read.
        version: The service's newest version when it answered.
        is_whole: These are all rows; a row that is not among them is gone.
        confirmed_seconds: When the table was as told here, by the clock of whoever
            asked; None for the moment at which the question was sent.
    """

    rows: tuple[ChangedRow, ...]
    version: int
    is_whole: bool = False
    confirmed_seconds: float | None = None


@dataclass(frozen=True)
class HistoryGone(TableError):
    """The changes asked for are no longer kept; only a whole read helps."""


class FeedPort(Protocol):
    """What lycheepost needs to follow a table."""

    async def read_table(self, table: str) -> Result[Changes, TableError]:
        """Return every row of ``table``."""
        ...

    async def wait_changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Result[Changes, TableError]:
        """Return the changes after a version, as soon as there are some.

        Returns:
            No rows when ``wait_seconds`` passed without a change.
        """
        ...
