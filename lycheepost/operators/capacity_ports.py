"""Ports through which capacity intents are executed."""

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
    """Orders to engines, and the engines' reports."""

    async def send(
        self, target: Target, order: EngineOrder
    ) -> Result[EngineOrderAnswer, LycheepostError]:
        """Send a target its desired end state."""
        ...

    async def read_state(self, target: Target) -> Result[EngineHealth, LycheepostError]:
        """Return the state that a target reports."""
        ...

    async def read_load(self, target: Target) -> Result[EngineLoad, LycheepostError]:
        """Return the load that a target reports."""
        ...


class WarmPort(Protocol):
    """Imports of stored KV blocks."""

    async def warm(
        self, target: Target, model: ModelId, weights_version: WeightsVersion
    ) -> Result[int, LycheepostError]:
        """Import the most used stored prefixes; return the number of tokens."""
        ...


@dataclass(frozen=True)
class CapacityDeps:
    """Dependencies of the capacity runner.

    Attributes:
        states: Returns the most pessimistic reported state of each target.
        is_candidate: Whether this daemon is a candidate for the duty; only a few are,
            so that the others need not read the lease.
        vms: Lists the platform's VMs, to find removed targets; None if no list exists.
        warm: Imports KV blocks; None if none are stored.
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
