"""Max-min fair shares of customers under overload.

Without them a small customer whose demand is far below an equal share is refused
together with the large customers that cause the overload. Demand is averaged per
customer over some seconds, and the measured capacity is divided max-min fairly: no
customer gets more than it requests, and what small customers leave is divided among the
others. The level of this division is the most engine time per weight that it gives any
customer. A customer whose demand is below the level is within its share, and its
requests are not refused because of other customers' load.
"""

import math
from dataclasses import dataclass

from lycheepost.core.ids import CustomerId

DEMAND_TIME_CONSTANT_SECONDS = 8.0
"""A daemon gets one or two requests a second from a small customer, and the estimate
needs some ten to be stable. With a longer time constant a large customer's surge counts
as within its share for longer."""

DIVISION_INTERVAL_SECONDS = 0.25
"""Time between two divisions. Sorting 990 customers takes half a millisecond."""

DEVIATIONS_OVER_LEVEL = 1.0
"""Standard deviations by which a customer's demand must exceed the level. One of seven
daemons gets some ten requests of a small customer, give or take three, and a small
customer must not be refused because of this deviation."""

MIN_DEMAND_SECONDS = 1e-3
"""Customers whose decayed demand is below this are dropped."""


@dataclass(slots=True)
class _Demand:
    """The recent demand of one customer, with exponential decay.

    Attributes:
        cost_seconds: Engine time.
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
        """Return the engine time minus its likely random deviation.

        The deviation of ``n`` requests in a span is the square root of ``n``.
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
        """Set the customers' weights; the default is 1."""
        self._weights = weights

    def _weight(self, customer: CustomerId) -> float:
        return self._weights.get(customer, 1.0)

    def observe(
        self, customer: CustomerId, cost_seconds: float, now_seconds: float
    ) -> None:
        """Count a request that arrived, whether or not it is admitted."""
        demand = self._demands.setdefault(customer, _Demand(at_seconds=now_seconds))
        demand.decay(now_seconds)
        demand.cost_seconds += cost_seconds
        demand.n_requests += 1.0

    def divide(self, capacity: float, now_seconds: float) -> None:
        """Divide ``capacity`` (engine seconds per second) if a division is due."""
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
        """Return whether the customer's demand is within its fair share."""
        demand = self._demands.get(customer)
        if demand is None:
            return True
        cost_seconds = demand.lower_bound_cost_seconds()
        asked = cost_seconds / DEMAND_TIME_CONSTANT_SECONDS / self._weight(customer)
        return asked <= self._level
