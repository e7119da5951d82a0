"""What a fleet let through and refused, as somebody who sees all of it."""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from lycheepost.bench.quotaplan import Plan
from lycheepost.core.ids import CustomerId


@dataclass(slots=True)
class Audit:
    """What was let through and what was refused.

    Attributes:
        passed: Moments and units, by customer.
        n_requests: Requests that reached a daemon, by customer.
        n_refused: Those of them that were refused.
        n_beyond: Those that one bucket for the whole fleet would refuse.
        n_bytes: Sent between daemons.
        decide_seconds: Processor time of the decisions.
    """

    passed: dict[CustomerId, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    n_requests: Counter[CustomerId] = field(default_factory=Counter)
    n_refused: Counter[CustomerId] = field(default_factory=Counter)
    n_beyond: Counter[CustomerId] = field(default_factory=Counter)
    n_bytes: int = 0
    decide_seconds: float = 0.0

    def worst_window(self, customer: CustomerId, window_seconds: float) -> float:
        """Return the most units let through in any span of ``window_seconds``."""
        recent: deque[tuple[float, float]] = deque()
        most = total = 0.0
        for at_seconds, units in self.passed[customer]:
            recent.append((at_seconds, units))
            total += units
            while recent[0][0] < at_seconds - window_seconds:
                total -= recent.popleft()[1]
            most = max(most, total)
        return most

    def units_between(
        self, customer: CustomerId, from_seconds: float, until_seconds: float
    ) -> float:
        """Return the units let through in a span of time."""
        return sum(
            units
            for at_seconds, units in self.passed[customer]
            if from_seconds <= at_seconds < until_seconds
        )

    def modest(self) -> tuple[CustomerId, ...]:
        """Return the customers that one bucket for the fleet would never refuse."""
        return tuple(name for name in self.n_requests if not self.n_beyond[name])

    def worst_overrun(self, plan: Plan) -> float:
        """Return the worst window of any customer over what its quota tolerates."""
        window_seconds = plan.tolerance.window_seconds
        found = (
            self.worst_window(customer, window_seconds)
            / (
                quota.rate_per_second * window_seconds
                + quota.burst
                + plan.tolerance.of(quota)
            )
            for customer, quota in plan.quotas.items()
        )
        return max(found, default=0.0)
