"""What one run of a fleet with quotas is asked for, and what strikes it."""

from dataclasses import dataclass
from enum import Enum

from lycheepost.core.ids import CustomerId
from lycheepost.core.quotas import Quota, QuotaTolerance


class FaultKind(Enum):
    """What strikes daemons; a cut parts them from all that aren't struck."""

    KILL = "kill"
    FREEZE = "freeze"
    CUT = "cut"
    SCALE = "scale"


@dataclass(frozen=True, slots=True)
class Demand:
    """What one customer asks for.

    Attributes:
        units_per_second: On average.
        from_seconds: Since when.
        until_seconds: Until when.
        daemon: The one daemon on which all its callers hang; None for all alike.
    """

    customer: CustomerId
    units_per_second: float
    from_seconds: float = 0.0
    until_seconds: float = float("inf")
    daemon: int | None = None


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that strikes the fleet.

    Attributes:
        daemons: Whom it strikes, by number.
        factor: Of all quotas, where they are scaled.
    """

    kind: FaultKind
    at_seconds: float
    for_seconds: float = 0.0
    daemons: tuple[int, ...] = ()
    factor: float = 1.0


@dataclass(frozen=True, slots=True)
class Plan:
    """One run.

    Attributes:
        n_daemons: Daemons that callers are sent to.
        lost_share: Messages that are lost on the way.
        n_late: The first daemons, so many of them, hear everything late.
        n_entry: The first daemons, so many of them, are the entry daemons; None where
            all are.
    """

    n_daemons: int
    quotas: dict[CustomerId, Quota]
    tolerance: QuotaTolerance
    demands: tuple[Demand, ...]
    faults: tuple[Fault, ...] = ()
    seconds: float = 30.0
    lost_share: float = 0.0
    n_late: int = 0
    n_entry: int | None = None
    seed: int = 1
