"""Customer quotas for the whole fleet.

A quota is a token bucket. Its unit is a request, or a token of prompt and response,
since a few long prompts cost the targets as much as many short ones.
"""

import math
from dataclasses import dataclass
from enum import Enum


class QuotaUnit(Enum):
    """Unit in which a quota is counted."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Quota:
    """The quota of one customer, for all daemons together.

    A customer without a limit has no quota; no value stands for an unlimited one.

    Attributes:
        unit: Unit of the other values.
        rate_per_second: Units refilled per second.
        burst: Units that an idle customer may request at once.
        plain_units: Units of a request without a token count.
    """

    unit: QuotaUnit
    rate_per_second: float
    burst: float
    plain_units: float = 1.0

    def units_of(self, n_tokens: int | None) -> float:
        """Return the units that a request costs.

        Args:
            n_tokens: Tokens of its prompt plus the maximum of its response; None if
                the caller doesn't state them.
        """
        match self.unit:
            case QuotaUnit.REQUESTS:
                return 1.0
            case QuotaUnit.TOKENS:
                return self.plain_units if n_tokens is None else float(n_tokens)


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """How far the fleet may exceed a quota.

    Attributes:
        share: Tolerated excess in a window, as a fraction of what the quota allows.
        units: Tolerated excess in addition to that.
        window_seconds: Length of the window; the limits hold for any span of it.
    """

    share: float = 0.0
    units: float = 0.0
    window_seconds: float = 1.0

    def of(self, quota: Quota) -> float:
        """Return the tolerated excess over ``quota`` in a window, in units."""
        allowed = quota.rate_per_second * self.window_seconds + quota.burst
        return self.share * allowed + self.units


def quota_errors(quota: Quota) -> tuple[str, ...]:
    """Return the errors of a quota, one sentence for each."""
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
