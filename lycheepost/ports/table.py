"""Interface to the platform's transactional table service.

All other modules use ``TablePort``. The HTTP client is an implementation of it, and so
is any later client of the users' own platform. Each call returns a ``Result``, which
makes its caller handle errors, and above all distinguish ``OutcomeUnknown`` (the write
may have taken effect) from the other errors (it has not).
"""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from lycheepost.core.errors import LycheepostError
from lycheepost.core.ids import StoreEra

ABSENT_VERSION = 0
"""The version of a key that has no row."""


@dataclass(frozen=True, slots=True)
class ObservedEra:
    """The newest era of the service that this daemon knows.

    Attributes:
        since_seconds: When a response first stated the era; minus infinity for the
            first era of all.
    """

    era: StoreEra
    since_seconds: float


NEVER_RESTORED = ObservedEra(StoreEra(0), float("-inf"))
"""The era of a service that states none, or that was never restored."""


@dataclass(frozen=True, slots=True)
class Row:
    """One row; ``version`` increases with every write to the key.

    That also holds if the service is restored from an earlier copy of its rows.
    """

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Condition:
    """The transaction takes effect only if ``key`` is at this version."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Set ``key`` to ``value``; ``None`` deletes it."""

    key: str
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Conditions and writes that are applied atomically."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect.

    Attributes:
        versions: New version of each written key, in the order of the writes.
    """

    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Page:
    """Part of a scan; ``next_key`` is None on the last page."""

    rows: tuple[Row, ...]
    next_key: str | None


@dataclass(frozen=True)
class TableError(LycheepostError):
    """A call to the table service failed."""


@dataclass(frozen=True)
class TableUnavailable(TableError):
    """The service did not accept the call; nothing was written."""


@dataclass(frozen=True)
class TableThrottled(TableError):
    """The call was over the service's rate limit; nothing was written."""


@dataclass(frozen=True)
class TableConflict(TableError):
    """A condition did not hold; nothing was written.

    Attributes:
        keys: Keys whose versions differed.
    """

    keys: tuple[str, ...] = ()


@dataclass(frozen=True)
class TableRestored(TableError):
    """The service was restored from a copy during the call.

    A read returned rows that may be lost, or was made for versions that are. A write
    may have taken effect on rows that its conditions were not meant for, or be lost.
    """


@dataclass(frozen=True)
class OutcomeUnknown(TableError):
    """The answer was lost; the transaction may or may not have taken effect."""


class TablePort(Protocol):
    """Operations required of a table service."""

    @property
    def era(self) -> ObservedEra:
        """Return the newest known era of the service.

        It rises when the service is restored from a copy. Later writes than the copy
        are then lost, and what was read in an earlier era may no longer hold.
        """
        ...

    async def read(
        self, keys: tuple[str, ...]
    ) -> Result[tuple[Row | None, ...], TableError]:
        """Return the rows of ``keys`` in order, from one consistent snapshot."""
        ...

    async def scan(
        self, prefix: str, after_key: str | None, limit: int
    ) -> Result[Page, TableError]:
        """Return up to ``limit`` rows whose keys start with ``prefix``."""
        ...

    async def commit(self, transaction: Transaction) -> Result[Committed, TableError]:
        """Apply a transaction atomically."""
        ...
