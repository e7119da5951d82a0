"""What the operators' API needs of the other parts, as typed ports."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from lycheepost.core.clock import Clock
from lycheepost.core.ids import Revision
from lycheepost.generated.configuration import Configuration
from lycheepost.generated.operators import (
    FleetStatus,
)
from lycheepost.generated.settings import OperatorSettings
from lycheepost.ports.table import TablePort
from lycheepost.ports.weights import WeightsPort
from lycheepost.state.errors import StateError
from lycheepost.state.view import ConfigurationView


class RevisionPort(Protocol):
    """The configuration in force and the way to the next one."""

    @property
    def view(self) -> ConfigurationView:
        """Return the highest revision that this daemon has seen."""
        ...

    async def commit(
        self, basis: Revision, configuration: Configuration
    ) -> Result[Revision, StateError]:
        """Make ``configuration`` the revision after ``basis``, or nothing."""
        ...

    async def refresh(self) -> Result[Revision, StateError]:
        """Read the head revision now and adopt it."""
        ...


def empty_quota_report() -> dict[str, object]:
    """Return the account of a daemon that counts no quotas."""
    return {"share": 1.0, "is_synced": True, "customers": {}}


@dataclass(frozen=True)
class OperatorDeps:
    """Everything that the operators' API stands on.

    Attributes:
        weights: Tells which versions exist and how long they load; None where
            no weight store is configured.
        fleet: Describes daemons and targets as this daemon sees them.
        quotas: Describes what is left of customers' quotas, as this daemon sees it.
    """

    revisions: RevisionPort
    table: TablePort
    clock: Clock
    settings: OperatorSettings
    weights: WeightsPort | None = None
    fleet: Callable[[], FleetStatus] | None = None
    quotas: Callable[[], dict[str, object]] = empty_quota_report
