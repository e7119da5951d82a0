"""Versions of the store's rows that stay ordered when the store is restored.

The store numbers its transactions. When it is restored from a copy, it gives numbers
out again and raises its era. A ``StoreVersion`` contains the era and the number, so
that every version of a later era is higher than all versions of earlier ones, and no
two states of a row have the same version.
"""

from lycheepost.core.ids import StoreEra, StoreVersion

NUMBER_BITS = 40
"""A store that performs ten thousand transactions a second reaches this number after
three years. The era takes the bits above it."""

_NUMBER_MASK = (1 << NUMBER_BITS) - 1


def make_version(era: StoreEra, number: int) -> StoreVersion:
    """Return the version for a number that the store gave out in an era."""
    return StoreVersion((era << NUMBER_BITS) | (number & _NUMBER_MASK))


def era_of(version: int) -> StoreEra:
    """Return the era of a version."""
    return StoreEra(max(0, version) >> NUMBER_BITS)


def number_of(version: int) -> int:
    """Return the number of a version, as the store knows it."""
    return version & _NUMBER_MASK
