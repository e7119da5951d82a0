"""Quotas: how much work a customer may ask of the whole fleet.

A quota is a token bucket. Its unit is a request, or a token of prompt and answer, as
a customer that sends few long prompts costs the targets as much as one that sends many
short ones.
"""

import math
from dataclasses import dataclass
from enum import Enum


class QuotaUnit(Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Quota:
    """What one customer may ask of all daemons together.

    A customer without a limit has no quota; there is no figure that stands for it.

    Attributes:
        unit: What is counted.
        rate_per_second: Units that come back each second.
        burst: Units that a customer which has been silent may ask for at once.
        plain_units: Units of a request that tells nothing of tokens.
    """

    unit: QuotaUnit
    rate_per_second: float
    burst: float
    plain_units: float = 1.0

    def units_of(self, n_tokens: int | None) -> float:
        """Return the units that a request counts for.

        Args:
            n_tokens: Tokens of its prompt and at most of its answer; None when the
                caller tells nothing of them.
        """
        match self.unit:
            case QuotaUnit.REQUESTS:
                return 1.0
            case QuotaUnit.TOKENS:
                return self.plain_units if n_tokens is None else float(n_tokens)


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """How far the fleet may go beyond a quota.

    Attributes:
        share: Beyond what the quota allows in a window, as a share of it.
        units: Beyond that.
        window_seconds: In any span of this length.
    """

    share: float = 0.0
    units: float = 0.0
    window_seconds: float = 1.0

    def of(self, quota: Quota) -> float:
        """Return the units beyond ``quota`` that are tolerated in a window."""
        allowed = quota.rate_per_second * self.window_seconds + quota.burst
        return self.share * allowed + self.units


def quota_errors(quota: Quota) -> tuple[str, ...]:
    """Return what is wrong with a quota, one sentence for each fault."""
    faults = [
        f"{name} is {value}, not a number from 0 on."
        for name, value in (
            ("rate_per_second", quota.rate_per_second),
            ("burst", quota.burst),
            ("plain_units", quota.plain_units),
        )
        if not (math.isfinite(value) and value >= 0.0)
    ]
    if not faults and quota.rate_per_second == 0.0:
        faults.append("rate_per_second is 0; a quota must let something through.")
    if not faults and quota.burst < quota.units_of(None):
        faults.append(
            f"burst is {quota.burst:g}, below the {quota.units_of(None):g}"
            " units of one request."
        )
    return tuple(faults)
