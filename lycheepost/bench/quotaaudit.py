"""What a fleet let through and refused, as somebody who sees all of it."""

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from lycheepost.bench.quotaplan import Plan
from lycheepost.core.ids import CustomerId
from lycheepost.core.quotas import Quota, QuotaTolerance

SETTLED_SECONDS = 5.0
"""From the start of a play until its customers have spent their bursts."""


@dataclass(slots=True)
class Audit:
    """What was let through and what was refused.

    Attributes:
        passed: Moments and units, by customer.
        n_requests: Requests that reached a daemon, by customer.
        n_refused: Those of them that were refused.
        n_beyond: Those that one bucket for the whole fleet would refuse.
        n_owed_refused: Those that it would let through and a daemon refused.
        lowered: Quotas that came in place of the plan's, and since when they bind all
            daemons.
        n_bytes: Sent between daemons.
        decide_seconds: Processor time of the decisions.
    """

    passed: dict[CustomerId, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    n_requests: Counter[CustomerId] = field(default_factory=Counter)
    n_refused: Counter[CustomerId] = field(default_factory=Counter)
    n_beyond: Counter[CustomerId] = field(default_factory=Counter)
    n_owed_refused: Counter[CustomerId] = field(default_factory=Counter)
    lowered: tuple[dict[CustomerId, Quota], float] | None = None
    n_bytes: int = 0
    decide_seconds: float = 0.0

    def worst_window(
        self,
        customer: CustomerId,
        window_seconds: float,
        from_seconds: float = float("-inf"),
    ) -> float:
        """Return the most units let through in any span of ``window_seconds``.

        Args:
            customer: Whose units.
            window_seconds: Length of the span.
            from_seconds: Spans that begin earlier don't count.
        """
        recent: deque[tuple[float, float]] = deque()
        most = total = 0.0
        for at_seconds, units in self.passed[customer]:
            if at_seconds < from_seconds:
                continue
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
        """Return the worst window of any customer over what its quota tolerates.

        Quotas that were lowered are held against the windows that begin once they bind
        everywhere, the plan's own ones against all.
        """
        worst = self._worst_overrun(plan.tolerance, plan.quotas, float("-inf"))
        if self.lowered is None:
            return worst
        lowered, binding_seconds = self.lowered
        return max(worst, self._worst_overrun(plan.tolerance, lowered, binding_seconds))

    def _worst_overrun(
        self,
        tolerance: QuotaTolerance,
        quotas: dict[CustomerId, Quota],
        from_seconds: float,
    ) -> float:
        window_seconds = tolerance.window_seconds
        found = (
            self.worst_window(customer, window_seconds, from_seconds)
            / (
                quota.rate_per_second * window_seconds
                + quota.burst
                + tolerance.of(quota)
            )
            for customer, quota in quotas.items()
        )
        return max(found, default=0.0)

    def most_share(self, plan: Plan) -> float:
        """Return the most that any customer got of its quota, once bursts were spent.

        On average until the end: of its lowered quota where there is one.
        """
        quotas, from_seconds = plan.quotas, SETTLED_SECONDS
        if self.lowered is not None:
            quotas, from_seconds = self.lowered
        return max(
            self.units_between(customer, from_seconds, plan.seconds)
            / (quota.rate_per_second * (plan.seconds - from_seconds))
            for customer, quota in quotas.items()
        )
