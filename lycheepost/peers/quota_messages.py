"""Convert the quota usage that daemons report to peer messages and back."""

import math

from lycheepost.core.ids import CustomerId
from lycheepost.decide.fleetquota import QuotaUpdate
from lycheepost.decide.quotameter import QuotaCount
from lycheepost.generated.messages import CustomerSpent, QuotaSpent


def to_message(usage: QuotaUpdate) -> QuotaSpent:
    """Return the message to send to peers."""
    return QuotaSpent(
        start=usage.start,
        is_entry=usage.is_entry,
        is_synced=usage.is_synced,
        wants_relay=usage.wants_relay,
        customers=[
            CustomerSpent(
                customer=customer,
                spent_units=count.spent,
                left_units=count.level,
                asked_units=count.asked,
            )
            for customer, count in usage.counts.items()
        ],
    )


def from_message(message: QuotaSpent) -> QuotaUpdate:
    """Return the usage in a message.

    Counts that are not finite are left out. One would stay in the token bucket and have
    its customer always refused, or always admitted, until the daemon restarts.
    """
    return QuotaUpdate(
        message.start,
        message.is_entry,
        message.is_synced,
        message.wants_relay,
        {
            CustomerId(item.customer): QuotaCount(
                item.spent_units, item.left_units, item.asked_units
            )
            for item in message.customers
            if all(
                map(
                    math.isfinite, (item.spent_units, item.left_units, item.asked_units)
                )
            )
        },
    )
