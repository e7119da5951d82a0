"""What the fleet records of customers near their quotas, for its next start.

If all daemons are killed at once, none of the next ones knows what was spent. Until
they have found each other, each would admit requests against a quota of its own.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from lycheepost.core.ids import CustomerId

RECORD_INTERVAL_SECONDS = 0.25
"""Mean time between two records by any of the entry daemons. What is spent after the
last one is a fortieth of what a window of eight seconds allows."""

RECORDED_DEMAND_SHARE = 0.7
"""Fraction of its quota from which on a customer's demand is recorded."""

RECORDED_LEVEL_SHARE = 0.5
"""Fraction of its burst below which a customer's level is recorded."""

MAX_RECORDED_CUSTOMERS = 200
"""The customers with the highest demand in proportion to their quotas are recorded. The
limit bounds the size of the row."""


@dataclass(frozen=True, slots=True)
class RecordedUse:
    """The use of one customer's quota.

    Attributes:
        level: Units left; negative for a debt.
        demand_per_second: Units requested per second from the whole fleet.
    """

    level: float
    demand_per_second: float


QuotaRecord = Mapping[CustomerId, RecordedUse]


@dataclass(frozen=True, slots=True)
class RecordDecision:
    """Whether the use of quotas is recorded, and why."""

    is_recorded: bool
    reason: str


def decide_record(
    is_switched_off: bool, has_quotas: bool, n_daemons: int
) -> RecordDecision:
    """Return whether daemons record the use of quotas.

    Args:
        is_switched_off: Whether the operator has switched the record off.
        has_quotas: Whether any customer has a quota.
        n_daemons: Daemons of the fleet.
    """
    if is_switched_off:
        return RecordDecision(False, "switched off")
    if not has_quotas:
        return RecordDecision(False, "no customer has a quota")
    if n_daemons < 2:
        return RecordDecision(False, "a single daemon has no counts to agree on")
    return RecordDecision(True, f"{n_daemons} daemons share quotas")


def draws_record(n_sharing: int, drawn: float) -> bool:
    """Return whether this daemon writes the record now.

    Daemons write at random, so that one that has lost the store delays the record
    without preventing it.

    Args:
        n_sharing: Number of daemons that share the quotas.
        drawn: A random number from 0 to 1.
    """
    return drawn * n_sharing < 1.0
