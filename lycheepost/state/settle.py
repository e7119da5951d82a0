"""Settle a conditional write whose answer was lost.

Reading the key back is not enough: the lost write may still be on its way and
take effect after the read. Sending the same conditional transaction again is:
if it takes effect now, the first one no longer can, because its conditions are
on versions that have passed; if it is refused, either the first one took effect
or somebody else moved a key, and then the caller reads its own token back.

Every transaction given to ``commit_settled`` must therefore hold a condition on
each key it writes, and no row it writes may be deleted before every daemon that
could still have such a write under way has given it up.
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

FIRST_PAUSE_SECONDS = 0.02
LAST_PAUSE_SECONDS = 1.0
"""A store that is down is asked once a second by each waiting writer."""


class Retry(Enum):
    """Which failures are worth another try."""

    UNKNOWN_ONLY = "unknown_only"
    ALL = "all"


async def commit_settled(
    table: TablePort,
    transaction: Transaction,
    clock: Clock,
    deadline_seconds: float,
    retry: Retry = Retry.UNKNOWN_ONLY,
) -> Result[Committed, TableError]:
    """Commit until the outcome is known or the deadline passes.

    Args:
        table: Where to commit.
        transaction: Holds a condition on each key it writes.
        clock: Clock of ``deadline_seconds``.
        deadline_seconds: No try starts after this time.
        retry: Whether to try again after a refusal that wrote nothing.

    Returns:
        ``Committed`` for this or an earlier try that is known to have been the
        one that took effect now; ``TableConflict`` when a key has moved,
        perhaps by an earlier try of this very call; ``OutcomeUnknown`` when the
        deadline passed with a try of unknown outcome.
    """
    pause_seconds = FIRST_PAUSE_SECONDS
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
        if clock.now_seconds() + pause_seconds >= deadline_seconds:
            if is_unknown:
                return Failure(OutcomeUnknown("The outcome could not be settled."))
            return outcome
        await asyncio.sleep(pause_seconds)
        pause_seconds = min(LAST_PAUSE_SECONDS, 2 * pause_seconds)
