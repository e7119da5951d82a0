"""One daemon's client of the model of the table service.

It learns of a restore only from responses, like a client over the network. The model
itself can be used as a ``TablePort`` by tests that never restore it.
"""

from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import StoreEra
from lycheepost.ports.eras import ended_conditions, fits_era
from lycheepost.ports.table import (
    NEVER_RESTORED,
    Committed,
    ObservedEra,
    Page,
    Row,
    TableConflict,
    TableError,
    TableRestored,
    Transaction,
)
from lycheepost.standin.table import TableModel


@dataclass
class TableClient:
    """Implements ``TablePort`` for one daemon.

    Attributes:
        clock: The daemon's clock.
    """

    model: TableModel
    clock: Clock
    _era: ObservedEra = field(default=NEVER_RESTORED)

    @property
    def era(self) -> ObservedEra:
        """Return the newest era that a response stated."""
        return self._era

    async def read(
        self, keys: tuple[str, ...]
    ) -> Result[tuple[Row | None, ...], TableError]:
        """Return the rows of ``keys`` in order."""
        found = await self.model.read(keys)
        match found:
            case Success(rows) if self._are_current(rows):
                return Success(rows)
            case Success(_):
                return Failure(TableRestored("The table was restored meanwhile."))
        return found

    async def scan(
        self, prefix: str, after_key: str | None, limit: int
    ) -> Result[Page, TableError]:
        """Return up to ``limit`` rows whose keys start with ``prefix``."""
        found = await self.model.scan(prefix, after_key, limit)
        self._note_response()
        return found

    async def commit(self, transaction: Transaction) -> Result[Committed, TableError]:
        """Apply a transaction atomically."""
        ended = ended_conditions(transaction, self._era.era)
        if ended:
            return Failure(TableConflict("The table was restored.", ended))
        outcome = await self.model.commit(transaction)
        self._note_response()
        if isinstance(outcome, Success) and not fits_era(transaction, self._era.era):
            return Failure(TableRestored("The table was restored meanwhile."))
        return outcome

    def _are_current(self, rows: tuple[Row | None, ...]) -> bool:
        self._note_response()
        return all(
            row is None or row.version >= self.model.first_version for row in rows
        )

    def _note_response(self) -> None:
        era = StoreEra(self.model.n_restores)
        if era > self._era.era:
            self._era = ObservedEra(era, self.clock.now_seconds())
