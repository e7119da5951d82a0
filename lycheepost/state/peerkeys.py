"""The key pair that the daemons of a deployment share for their peer links.

If no operator distributes keys, the first daemon creates a pair and writes it to the
table on the condition that there is none; all others read it. Any process that may
read the table can thus be a peer.

A table that was restored from a copy may have lost the pair. Daemons that run write
theirs again; one that starts leaves them the time for it before it creates a pair.
"""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from lycheepost.ports.table import (
    ABSENT_VERSION,
    Condition,
    Row,
    TableConflict,
    TableError,
    TablePort,
    Transaction,
    Write,
)
from lycheepost.utils.decoding import UNREADABLE

_KEY = "peer-keys"


@dataclass(frozen=True, slots=True)
class StoredKeys:
    """A CURVE key pair in Z85."""

    public: str
    secret: str


async def load_peer_keys(
    table: TablePort, make: Callable[[], StoredKeys]
) -> Result[StoredKeys, TableError]:
    """Return the shared key pair; create it if there is none yet.

    Args:
        table: Stores the pair.
        make: Returns a new pair.
    """
    match await find_peer_keys(table):
        case Success(StoredKeys() as found):
            return Success(found)
        case Failure(error):
            return Failure(error)
    keys = make()
    value = msgspec.json.encode(keys)
    made = Transaction((Condition(_KEY, ABSENT_VERSION),), (Write(_KEY, value),))
    match await table.commit(made):
        case Success():
            return Success(keys)
        case Failure(TableConflict()):
            return (await find_peer_keys(table)).bind(_require)
        case Failure(error):
            return Failure(error)
    raise AssertionError("a result is a success or a failure")


async def find_peer_keys(table: TablePort) -> Result[StoredKeys | None, TableError]:
    """Return the shared key pair, or None if there is none yet."""
    match await table.read((_KEY,)):
        case Success((Row(value=value),)):
            return _decode(value)
        case Success(_):
            return Success(None)
        case Failure(error):
            return Failure(error)
    raise AssertionError("a result is a success or a failure")


def _decode(value: bytes) -> Result[StoredKeys | None, TableError]:
    try:
        return Success(msgspec.json.decode(value, type=StoredKeys))
    except UNREADABLE as error:
        return Failure(TableError(f"the peer keys cannot be decoded: {error}"))


def _require(keys: StoredKeys | None) -> Result[StoredKeys, TableError]:
    if keys is None:
        return Failure(TableError("the peer keys were removed after they were written"))
    return Success(keys)
