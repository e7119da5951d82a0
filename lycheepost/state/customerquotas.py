"""Convert customers' quotas of a configuration to records of the decision logic."""

from lycheepost.core.ids import CustomerId
from lycheepost.core.quotas import Quota, QuotaUnit
from lycheepost.generated.configuration import Customer, CustomerQuota


def to_quota(written: CustomerQuota) -> Quota:
    """Convert a quota of a configuration."""
    return Quota(
        QuotaUnit(written.unit.value),
        written.rate_per_second,
        written.burst,
        written.plain_units,
    )


def quota_of(customer: Customer) -> Quota | None:
    """Return a customer's quota; None if it has none."""
    return None if customer.quota is None else to_quota(customer.quota)


def list_quotas(customers: dict[CustomerId, Customer]) -> dict[CustomerId, Quota]:
    """Return the quotas of all customers that have one."""
    return {
        name: quota
        for name, customer in customers.items()
        if (quota := quota_of(customer)) is not None
    }
