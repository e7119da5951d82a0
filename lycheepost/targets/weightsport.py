"""Reports of targets and orders to them, as the weights duty uses them."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result

from lycheepost.core.ids import DaemonId, FencingNumber, ModelId, WeightsVersion
from lycheepost.core.routing import ListedTarget
from lycheepost.targets.errors import TargetError


class RunningRequestPolicy(Enum):
    """How a target treats its running requests when its weights change."""

    FINISH_FIRST = "finish_first"
    ABORT = "cut"
    CONTINUE = "go_on"


@dataclass(frozen=True, slots=True)
class TargetReport:
    """A target's report of its state, some hundred milliseconds old.

    Attributes:
        n_orders: Number of orders accepted since its start. An order states the
            number that it expects, so that a late one cannot undo a newer one.
        is_changing: Whether an order is being carried out.
        started_ms: Start of the target in Unix milliseconds; None if not stated.
    """

    weights: dict[ModelId, WeightsVersion]
    n_orders: int
    is_changing: bool
    n_running: int
    n_waiting: int
    kv_used_tokens: int
    kv_total_tokens: int
    started_ms: int | None = None


@dataclass(frozen=True, slots=True)
class LoadWeights:
    """An order to load weights.

    Attributes:
        holder: Daemon that holds the lease.
        fencing_number: Fencing number of the holder's lease.
        expected_orders: The target refuses the order if it has accepted more orders
            than this.
    """

    model: ModelId
    version: WeightsVersion
    runs: RunningRequestPolicy
    holder: DaemonId
    fencing_number: FencingNumber
    expected_orders: int


class OrderAnswer(Enum):
    """A target's response to an order."""

    ACCEPTED = "accepted"
    ALREADY = "already"
    BUSY = "busy"
    """Another order is being carried out, or more orders than expected were
    accepted."""
    FENCED = "fenced"
    """A newer holder of the lease has already sent an order."""
    INVALID = "invalid"
    OTHER_TARGET = "other_target"


class WeightsPort(Protocol):
    """Reports of targets and orders to them."""

    async def read_report(
        self, target: ListedTarget
    ) -> Result[TargetReport, TargetError]:
        """Return a target's report of its state."""
        ...

    async def order(
        self, target: ListedTarget, order: LoadWeights
    ) -> Result[OrderAnswer, TargetError]:
        """Send one order, without retries."""
        ...
