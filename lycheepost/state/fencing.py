"""Fencing numbers that stay ordered when the store is restored from a copy.

The row of a lease contains the number of its last holder, and the next holder takes a
higher one. A restored store may have lost the row, or have an older one, while targets
have seen higher numbers. Each era of the store therefore has a range of numbers of its
own, above those of earlier eras.
"""

from lycheepost.core.ids import FencingNumber, StoreEra

NUMBERS_PER_ERA = 2**24
"""At one holder every five seconds an era's range lasts for two years and a half. More
than a hundred eras fit into 31 bits, for targets that store the number in so many."""


def next_number(before: FencingNumber, era: StoreEra) -> FencingNumber:
    """Return the number of the next holder.

    Args:
        before: The number in the row; 0 if there is no row.
        era: The era in which the next holder acquires the lease.
    """
    return FencingNumber(max(before, era * NUMBERS_PER_ERA) + 1)


def era_of_number(number: FencingNumber) -> StoreEra:
    """Return the era in which a number was given out."""
    return StoreEra(max(0, number - 1) // NUMBERS_PER_ERA)
