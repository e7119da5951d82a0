"""Interface to a table service that reports changes.

In addition to conditional writes (``ports.table``), such a service returns the changes
after a version and holds the request open until there are some (long polling).
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
    """Changes of one table, or all of its rows.

    Attributes:
        rows: The changed rows, in order; all rows for a full read.
        version: Newest version of the service when it answered.
        is_whole: Whether these are all rows; a row that is missing was removed.
        confirmed_seconds: Time at which the table was in this state, by the clock of
            the requesting daemon; None stands for the time the request was sent.
        outage_ended_seconds: When the service was last found to answer again, by the
            same clock; None if no outage is known.
    """

    rows: tuple[ChangedRow, ...]
    version: int
    is_whole: bool = False
    confirmed_seconds: float | None = None
    outage_ended_seconds: float | None = None


@dataclass(frozen=True)
class HistoryGone(TableError):
    """The requested changes are no longer stored; the whole table must be read."""


class FeedPort(Protocol):
    """Operations required to follow a table."""

    async def read_table(self, table: str) -> Result[Changes, TableError]:
        """Return every row of ``table``."""
        ...

    async def wait_changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Result[Changes, TableError]:
        """Return the changes after a version as soon as there are some.

        Returns:
            No rows if ``wait_seconds`` passed without a change.
        """
        ...
