"""Ports through which the operators' API uses other components."""

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
    """Access to the configuration in force, and commits of the next one."""

    @property
    def view(self) -> ConfigurationView:
        """Return the highest revision that this daemon has seen."""
        ...

    async def commit(
        self, basis: Revision, configuration: Configuration
    ) -> Result[Revision, StateError]:
        """Commit ``configuration`` as the revision after ``basis``."""
        ...

    async def refresh(self) -> Result[Revision, StateError]:
        """Read and adopt the current head revision."""
        ...


def empty_quota_report() -> dict[str, object]:
    """Return the quota report of a daemon that counts no quotas."""
    return {"share": 1.0, "is_synced": True, "customers": {}}


@dataclass(frozen=True)
class OperatorDeps:
    """Dependencies of the operators' API.

    Attributes:
        weights: Lists versions and their load times; None if no weight store is
            configured.
        fleet: Describes daemons and targets as this daemon sees them.
        quotas: Describes the remaining quotas of customers as this daemon sees them.
    """

    revisions: RevisionPort
    table: TablePort
    clock: Clock
    settings: OperatorSettings
    weights: WeightsPort | None = None
    fleet: Callable[[], FleetStatus] | None = None
    quotas: Callable[[], dict[str, object]] = empty_quota_report
