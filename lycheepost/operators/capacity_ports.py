"""What carrying out capacity intents needs of the other parts."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from lycheepost.core.clock import Clock
from lycheepost.core.errors import LycheepostError
from lycheepost.core.ids import ModelId, TargetId, WeightsVersion
from lycheepost.decide.records import TargetState
from lycheepost.generated.configuration import Target
from lycheepost.generated.engine import (
    EngineHealth,
    EngineLoad,
    EngineOrder,
    EngineOrderAnswer,
)
from lycheepost.generated.settings import OperatorSettings
from lycheepost.operators.ports import RevisionPort
from lycheepost.ports.vms import VmListPort
from lycheepost.state.leases import LeaseManager


class OrderPort(Protocol):
    """Orders to engines and what they report of themselves."""

    async def send(
        self, target: Target, order: EngineOrder
    ) -> Result[EngineOrderAnswer, LycheepostError]:
        """Tell a target its desired end state."""
        ...

    async def read_state(self, target: Target) -> Result[EngineHealth, LycheepostError]:
        """Return what a target says it is."""
        ...

    async def read_load(self, target: Target) -> Result[EngineLoad, LycheepostError]:
        """Return what a target says it runs."""
        ...


class WarmPort(Protocol):
    """Imports of kept KV blocks."""

    async def warm(
        self, target: Target, model: ModelId, weights_version: WeightsVersion
    ) -> Result[int, LycheepostError]:
        """Import the hottest kept prefixes; return how many tokens."""
        ...


@dataclass(frozen=True)
class CapacityDeps:
    """Everything that the capacity runner stands on.

    Attributes:
        states: The most pessimistic sign of each target.
        is_candidate: Whether this daemon stands ready for the duty; only a few
            do, so that the others need not read the lease.
        vms: Tells which targets are gone for good; None where nothing lists them.
        warm: None where no KV is kept.
    """

    revisions: RevisionPort
    leases: LeaseManager
    orders: OrderPort
    states: Callable[[], dict[TargetId, TargetState]]
    clock: Clock
    settings: OperatorSettings
    is_candidate: Callable[[], bool] = lambda: True
    vms: VmListPort | None = None
    warm: WarmPort | None = None
