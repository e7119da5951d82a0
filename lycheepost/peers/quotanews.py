"""What daemons say of quotas, as it travels between them."""

import math

from lycheepost.core.ids import CustomerId
from lycheepost.decide.fleetquota import QuotaUpdate
from lycheepost.decide.quotameter import QuotaCount
from lycheepost.generated.messages import CustomerSpent, QuotaSpent


def to_message(update: QuotaUpdate) -> QuotaSpent:
    """Return what travels between daemons."""
    return QuotaSpent(
        start=update.start,
        is_entry=update.is_entry,
        is_synced=update.is_synced,
        wants_relay=update.wants_relay,
        customers=[
            CustomerSpent(
                customer=customer, spent_units=count.spent, left_units=count.level
            )
            for customer, count in update.counts.items()
        ],
    )


def from_message(message: QuotaSpent) -> QuotaUpdate:
    """Return what a message says.

    A count that is no number would be in the bucket for good, and its customer be
    refused, or let through, for as long as the daemon lives; it is left out.
    """
    return QuotaUpdate(
        message.start,
        message.is_entry,
        message.is_synced,
        message.wants_relay,
        {
            CustomerId(item.customer): QuotaCount(item.spent_units, item.left_units)
            for item in message.customers
            if math.isfinite(item.spent_units) and math.isfinite(item.left_units)
        },
    )
