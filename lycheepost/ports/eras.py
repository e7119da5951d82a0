"""Which transactions fit the era of a service that may be restored from a copy.

A restored service gives version numbers out again, so a condition that was read in an
earlier era may hold by accident.
"""

from lycheepost.core.ids import StoreEra
from lycheepost.core.storeversions import era_of
from lycheepost.ports.table import ABSENT_VERSION, Transaction


def ended_conditions(transaction: Transaction, era: StoreEra) -> tuple[str, ...]:
    """Return the keys whose conditions name versions of eras before ``era``."""
    return tuple(
        condition.key
        for condition in transaction.conditions
        if condition.version != ABSENT_VERSION and era_of(condition.version) < era
    )


def fits_era(transaction: Transaction, era: StoreEra) -> bool:
    """Return whether all versions in the conditions are of ``era``."""
    return all(
        era_of(condition.version) == era
        for condition in transaction.conditions
        if condition.version != ABSENT_VERSION
    )
