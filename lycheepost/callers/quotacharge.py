"""Charge a request to its customer's quota, and refund it if the request never ran.

The units are taken before the request is queued, so that requests beyond a quota never
delay those within one.
"""

import asyncio

from lycheepost.callers.errors import (
    CallerError,
    ErrorType,
    Executed,
    RateLimit,
)
from lycheepost.core.clock import Clock
from lycheepost.core.ids import CustomerId
from lycheepost.core.quotas import Quota
from lycheepost.decide.fleetquota import FleetQuotas


class QuotaCharge:
    """The charge of one request to its customer's quota.

    Args:
        quotas: The quotas of all customers; None where they are not enforced.
        clock: The scheduler's clock.
        customer: The customer that sent the request.
        quota: The customer's quota; None where it has none.
        n_tokens: Tokens of the prompt plus the maximum of the response; None for a
            request without tokens.

    Attributes:
        units: Units taken and not refunded.
    """

    def __init__(
        self,
        quotas: FleetQuotas | None,
        clock: Clock,
        customer: CustomerId,
        quota: Quota | None,
        n_tokens: int | None,
    ) -> None:
        self.units = 0.0
        self._quotas = quotas
        self._clock = clock
        self._customer = customer
        self._quota = quota
        self._n_tokens = n_tokens

    async def take(self) -> None:
        """Take the units, after a moment if the daemon has just started.

        Raises:
            CallerError: The quota is used up; the request has not run.
        """
        if self._quota is None or self._quotas is None:
            return
        await self._hold(self._quotas)
        units = self._quota.units_of(self._n_tokens)
        now_seconds = self._clock.now_seconds()
        wait_seconds = self._quotas.take(self._customer, units, now_seconds)
        if wait_seconds is not None:
            raise over_quota(self._quota, wait_seconds)
        self.units = units

    async def _hold(self, quotas: FleetQuotas) -> None:
        """Wait while the daemon can't tell yet whether the quota is used up."""
        while True:
            now_seconds = self._clock.now_seconds()
            hold_seconds = quotas.hold_seconds(self._customer, now_seconds)
            if hold_seconds <= 0.0:
                return
            await asyncio.sleep(hold_seconds)

    def settle(self, executed: Executed) -> None:
        """Refund the units if the request certainly never ran."""
        if self._quotas is None or self.units == 0.0 or executed is not Executed.NO:
            return
        now_seconds = self._clock.now_seconds()
        self._quotas.refund(self._customer, self.units, now_seconds)
        self.units = 0.0


def over_quota(quota: Quota, retry_after_seconds: float) -> CallerError:
    """Return the error for a request that exceeds its customer's quota."""
    unit = quota.unit.value
    return CallerError(
        f"The quota of {quota.rate_per_second:g} {unit} a second is used up.",
        status=429,
        type=ErrorType.RATE_LIMIT,
        code="over_quota",
        retry_after_seconds=retry_after_seconds,
        rate_limit=RateLimit(unit, quota.burst, retry_after_seconds),
    )
