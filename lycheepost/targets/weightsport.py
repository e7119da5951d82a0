"""What a weights duty needs of targets: their own report, and orders to them."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result

from lycheepost.core.ids import DaemonId, FencingNumber, ModelId, WeightsVersion
from lycheepost.core.routing import ListedTarget
from lycheepost.targets.errors import TargetError


class RunningRequestPolicy(Enum):
    """What becomes of a target's runs when its weights change."""

    FINISH_FIRST = "finish_first"
    ABORT = "cut"
    CONTINUE = "go_on"


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target says of itself, some hundred milliseconds late.

    Attributes:
        n_orders: Orders accepted since its start; an order names the count that
            it expects, so that a late one cannot undo a newer one.
        is_changing: An order is being carried out.
        started_ms: Unix millisecond of the target's start; None where it states none.
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
    """An order to put weights in.

    Attributes:
        holder: Who orders.
        fencing_number: Of the holder's lease.
        expected_orders: The target refuses when it has accepted more orders.
    """

    model: ModelId
    version: WeightsVersion
    runs: RunningRequestPolicy
    holder: DaemonId
    fencing_number: FencingNumber
    expected_orders: int


class OrderAnswer(Enum):
    """What a target said to an order."""

    ACCEPTED = "accepted"
    ALREADY = "already"
    BUSY = "busy"
    """Another order is being carried out, or more orders were accepted."""
    FENCED = "fenced"
    """A newer holder has ordered it."""
    INVALID = "invalid"
    OTHER_TARGET = "other_target"


class WeightsPort(Protocol):
    """Reports of targets and orders to them."""

    async def read_report(
        self, target: ListedTarget
    ) -> Result[TargetReport, TargetError]:
        """Return what a target says of itself."""
        ...

    async def order(
        self, target: ListedTarget, order: LoadWeights
    ) -> Result[OrderAnswer, TargetError]:
        """Send one order; never sent twice by itself."""
        ...
