"""Which customers ask for no more than their fair share.

The failure: under overload a small customer that asks for little is refused
together with the large ones that cause the overload. It shows as refusals to
customers whose demand is far below an equal part. Demand is followed per
customer over some seconds, and the measured capacity is divided max-min
fairly: nobody gets more than it asks for, and what the modest leave is divided
among the others. A customer whose demand lies below the level of that division
is inside its share, and its requests are not refused for others' load.
"""

import math
from dataclasses import dataclass

from lycheepost.core.ids import CustomerId

DEMAND_TIME_CONSTANT_SECONDS = 8.0
"""Time constant of the demand: a daemon sees a request or two a second of a
small customer, and some ten make the estimate steady; longer ones let a large
customer's surge pass as modest for as long."""

DIVISION_INTERVAL_SECONDS = 0.25
"""Time between two divisions; sorting 990 customers costs half a millisecond."""

DEVIATIONS_OVER_LEVEL = 1.0
"""Standard deviations by which a customer's demand must be over the level. A daemon
of seven sees some ten requests of a small customer, and three more or less by chance,
for which a modest customer is not to be refused."""

MIN_DEMAND_SECONDS = 1e-3
"""Customers whose demand has faded below this of a second are dropped."""


@dataclass(slots=True)
class _Demand:
    """What one customer asked for of late; older requests count less.

    Attributes:
        cost_seconds: Engine time.
        n_requests: Requests.
    """

    cost_seconds: float = 0.0
    n_requests: float = 0.0
    at_seconds: float = 0.0

    def decay(self, now_seconds: float) -> None:
        elapsed = now_seconds - self.at_seconds
        if elapsed > 0:
            share = math.exp(-elapsed / DEMAND_TIME_CONSTANT_SECONDS)
            self.cost_seconds *= share
            self.n_requests *= share
            self.at_seconds = now_seconds

    def lower_bound_cost_seconds(self) -> float:
        """Return the engine time without what may be chance.

        Of ``n`` requests in a span the square root of ``n`` is their deviation.
        """
        if self.n_requests <= 0.0:
            return 0.0
        deviation = DEVIATIONS_OVER_LEVEL / math.sqrt(self.n_requests)
        return self.cost_seconds * max(0.0, 1.0 - deviation)


class FairShares:
    """Demand per customer and the level of a max-min fair division."""

    def __init__(self) -> None:
        self._demands: dict[CustomerId, _Demand] = {}
        self._weights: dict[CustomerId, float] = {}
        self._level = math.inf
        self._divided_seconds = -math.inf

    def set_weights(self, weights: dict[CustomerId, float]) -> None:
        """Set the customers' weights; 1 when missing."""
        self._weights = weights

    def _weight(self, customer: CustomerId) -> float:
        return self._weights.get(customer, 1.0)

    def observe(
        self, customer: CustomerId, cost_seconds: float, now_seconds: float
    ) -> None:
        """Count a request that arrived, whether or not it is taken."""
        demand = self._demands.setdefault(customer, _Demand(at_seconds=now_seconds))
        demand.decay(now_seconds)
        demand.cost_seconds += cost_seconds
        demand.n_requests += 1.0

    def divide(self, capacity: float, now_seconds: float) -> None:
        """Divide ``capacity`` (engine seconds a second) when it is due."""
        if now_seconds - self._divided_seconds < DIVISION_INTERVAL_SECONDS:
            return
        self._divided_seconds = now_seconds
        for customer, demand in list(self._demands.items()):
            demand.decay(now_seconds)
            if demand.cost_seconds < MIN_DEMAND_SECONDS:
                del self._demands[customer]
        self._level = self._level_of(capacity)

    def _level_of(self, capacity: float) -> float:
        asked = sorted(
            (
                demand.cost_seconds
                / DEMAND_TIME_CONSTANT_SECONDS
                / self._weight(customer),
                customer,
            )
            for customer, demand in self._demands.items()
        )
        weights = sum(self._weight(customer) for _, customer in asked)
        remaining = capacity
        for per_weight, customer in asked:
            if per_weight * weights > remaining:
                return remaining / weights
            remaining -= per_weight * self._weight(customer)
            weights -= self._weight(customer)
        return math.inf

    def is_within_share(self, customer: CustomerId) -> bool:
        """Tell whether the customer asks for no more than its fair share."""
        demand = self._demands.get(customer)
        if demand is None:
            return True
        cost_seconds = demand.lower_bound_cost_seconds()
        asked = cost_seconds / DEMAND_TIME_CONSTANT_SECONDS / self._weight(customer)
        return asked <= self._level
