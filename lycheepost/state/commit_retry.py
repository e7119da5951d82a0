"""Determine the outcome of a conditional write whose response was lost.

Reading the key back is not enough: the lost write may be in flight and take effect
after the read. Sending the same conditional transaction again is enough. If the second
one takes effect, the first one no longer can, because its conditions name versions
that have changed. If the second one is refused, either the first one took effect or
another writer changed a key; the caller then reads its own token back.

Every transaction given to ``commit_with_retry`` must therefore have a condition on each
key it writes. No row it writes may be deleted while any daemon could still have such a
write in flight.
"""

import asyncio
from enum import Enum

from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock
from lycheepost.ports.table import (
    Committed,
    OutcomeUnknown,
    TableConflict,
    TableError,
    TablePort,
    TableThrottled,
    TableUnavailable,
    Transaction,
)

INITIAL_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 1.0
"""Each waiting writer retries once a second while the store is down."""


class Retry(Enum):
    """Which failures are retried."""

    UNKNOWN_ONLY = "unknown_only"
    ALL = "all"


async def commit_with_retry(
    table: TablePort,
    transaction: Transaction,
    clock: Clock,
    deadline_seconds: float,
    retry: Retry = Retry.UNKNOWN_ONLY,
) -> Result[Committed, TableError]:
    """Commit until the outcome is known or the deadline passes.

    Args:
        table: Where to commit.
        transaction: Has a condition on each key it writes.
        clock: Clock of ``deadline_seconds``.
        deadline_seconds: No attempt starts after this time.
        retry: Whether to retry after a refusal that wrote nothing.

    Returns:
        ``Committed`` if an attempt is known to have taken effect; ``TableConflict`` if
        a key's version has changed, possibly by an earlier attempt of this call;
        ``OutcomeUnknown`` if the deadline passed after an attempt of unknown outcome.
    """
    backoff_seconds = INITIAL_BACKOFF_SECONDS
    is_unknown = False
    while True:
        outcome = await table.commit(transaction)
        match outcome:
            case Success() | Failure(TableConflict()):
                return outcome
            case Failure(OutcomeUnknown()):
                is_unknown = True
            case Failure(TableThrottled() | TableUnavailable()) if (
                is_unknown or retry is Retry.ALL
            ):
                pass
            case Failure(error) if is_unknown:
                return Failure(OutcomeUnknown(error.reason))
            case _:
                return outcome
        if clock.now_seconds() + backoff_seconds >= deadline_seconds:
            if is_unknown:
                return Failure(OutcomeUnknown("The outcome could not be settled."))
            return outcome
        await asyncio.sleep(backoff_seconds)
        backoff_seconds = min(MAX_BACKOFF_SECONDS, 2 * backoff_seconds)
