"""Storage of the configuration in the table and in the object store.

``configuration/head`` names the highest revision and the newest snapshot. Each
revision is one or more rows with its delta, written in the transaction that updates
the head. A snapshot in the object store is a complete configuration, so that readers
need only the deltas after it and older ones can be removed.
"""

from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from lycheepost.core.ids import Revision
from lycheepost.generated.configuration import Configuration
from lycheepost.ports.objects import ObjectPort
from lycheepost.ports.table import (
    ABSENT_VERSION,
    Condition,
    Row,
    TablePort,
    Transaction,
    Write,
)
from lycheepost.state.deltas import Delta, apply_all, decode_delta, encode_delta
from lycheepost.state.errors import StateError, StoreUnreachable

HEAD_KEY = "configuration/head"
REVISION_PREFIX = "configuration/revision/"
SNAPSHOT_PREFIX = "configuration/snapshot/"
_MAX_PART_BYTES = 200_000
"""Maximum size of a delta's part in one row; table services limit the row size."""
DELTAS_PER_READ = 64
EMPTY = Configuration(revision=0)


_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, TypeError, RecursionError)
"""Raised by decoding damaged bytes. The polling task must catch them: it would end
otherwise, and later changes would never come into force on this daemon."""


@dataclass(frozen=True, slots=True)
class Head:
    """The highest revision and the newest snapshot.

    Attributes:
        snapshot: Revision of the newest snapshot; 0 if there is none, and then the
            deltas start from the empty configuration.
        version: Version of the head row; the condition of the next change.
    """

    revision: Revision
    snapshot: Revision
    version: int


@dataclass(frozen=True, slots=True)
class _HeadValue:
    revision: Revision
    snapshot: Revision


async def read_head(table: TablePort) -> Result[Head, StateError]:
    """Read the head; revision 0 if no change was ever accepted."""
    match await table.read((HEAD_KEY,)):
        case Success((None,)):
            return Success(Head(Revision(0), Revision(0), ABSENT_VERSION))
        case Success((Row() as row,)):
            try:
                value = msgspec.msgpack.decode(row.value, type=_HeadValue)
            except _DECODE_ERRORS:
                return Failure(StateError("The head of the configuration is damaged."))
            return Success(Head(value.revision, value.snapshot, row.version))
        case Failure(error):
            return Failure(StoreUnreachable(error.reason))
    raise AssertionError("unreachable")


def make_revision_transaction(head: Head, delta: Delta) -> Transaction:
    """Return the transaction that makes ``delta`` the next revision."""
    value = msgspec.msgpack.encode(_HeadValue(delta.revision, head.snapshot))
    data = encode_delta(delta)
    parts = [
        data[at : at + _MAX_PART_BYTES] for at in range(0, len(data), _MAX_PART_BYTES)
    ]
    rows = [
        # The first byte of each part is the number of parts that follow it.
        Write(_part_key(delta.revision, index), bytes([len(parts) - 1 - index]) + part)
        for index, part in enumerate(parts)
    ]
    return Transaction(
        (Condition(HEAD_KEY, head.version),), (Write(HEAD_KEY, value), *rows)
    )


def make_snapshot_transaction(head: Head, snapshot: Revision) -> Transaction:
    """Return the transaction that records a snapshot in the head."""
    value = msgspec.msgpack.encode(_HeadValue(head.revision, snapshot))
    return Transaction((Condition(HEAD_KEY, head.version),), (Write(HEAD_KEY, value),))


async def read_deltas(
    table: TablePort, after: Revision, until: Revision
) -> Result[tuple[Delta, ...], StateError]:
    """Read the deltas of revisions ``after + 1`` to ``until``, at most 64.

    A delta that has been removed or cannot be decoded ends the sequence.
    """
    last = min(until, after + DELTAS_PER_READ)
    wanted = range(after + 1, last + 1)
    deltas: list[Delta] = []
    match await table.read(tuple(_part_key(Revision(n), 0) for n in wanted)):
        case Success(rows):
            pass
        case Failure(error):
            return Failure(StoreUnreachable(error.reason))
    for revision, row in zip(wanted, rows, strict=True):
        if row is None:
            break
        whole = await _join_parts(table, Revision(revision), row.value)
        if isinstance(whole, Failure):
            return whole
        try:
            deltas.append(decode_delta(whole.unwrap()))
        except _DECODE_ERRORS:
            break
    return Success(tuple(deltas))


async def read_configuration(
    table: TablePort, objects: ObjectPort, known: Configuration
) -> Result[Configuration, StateError]:
    """Read the newest configuration, with as few reads as possible."""
    match await read_head(table):
        case Success(head):
            pass
        case Failure(error):
            return Failure(error)
    current = known
    if head.snapshot > known.revision:
        snapshot = await read_snapshot(objects, head.snapshot)
        if isinstance(snapshot, Failure):
            return snapshot
        current = snapshot.unwrap()
    while current.revision < head.revision:
        match await read_deltas(table, Revision(current.revision), head.revision):
            case Success(()):
                return Failure(StateError("A revision is missing in the table."))
            case Success(deltas):
                current = apply_all(current, deltas)
            case Failure(error):
                return Failure(error)
    return Success(current)


async def read_snapshot(
    objects: ObjectPort, revision: Revision
) -> Result[Configuration, StateError]:
    """Read the configuration of one snapshot."""
    match await objects.get(snapshot_name(revision)):
        case Success(data):
            return decode_snapshot(data)
        case Failure(error):
            return Failure(StoreUnreachable(error.reason))
    raise AssertionError("unreachable")


async def read_newest_snapshot(
    objects: ObjectPort,
) -> Result[Configuration, StateError]:
    """Read the newest snapshot in the object listing, which may lag."""
    match await objects.list_names(SNAPSHOT_PREFIX):
        case Success(()):
            return Failure(StateError("There is no snapshot."))
        case Success(names):
            newest = Revision(int(max(names).removeprefix(SNAPSHOT_PREFIX)))
            return await read_snapshot(objects, newest)
        case Failure(error):
            return Failure(StoreUnreachable(error.reason))
    raise AssertionError("unreachable")


async def write_snapshot(
    objects: ObjectPort, configuration: Configuration
) -> Result[None, StateError]:
    """Write a snapshot and verify it by reading it back."""
    revision = Revision(configuration.revision)
    data = encode_snapshot(configuration)
    await objects.put(snapshot_name(revision), data)
    match await objects.get(snapshot_name(revision)):
        case Success(found) if found == data:
            return Success(None)
        case Success(_):
            return Failure(StateError("The snapshot was not written whole."))
        case Failure(error):
            return Failure(StoreUnreachable(error.reason))
    raise AssertionError("unreachable")


def encode_snapshot(configuration: Configuration) -> bytes:
    """Encode a configuration as one delta from the empty configuration."""
    delta = Delta(Revision(configuration.revision), "", configuration, {})
    return encode_delta(delta)


def decode_snapshot(data: bytes) -> Result[Configuration, StateError]:
    """Decode a snapshot; fail if it is damaged."""
    try:
        return Success(decode_delta(data).changes)
    except _DECODE_ERRORS:
        return Failure(StateError("The snapshot cannot be read."))


async def _join_parts(
    table: TablePort, revision: Revision, first: bytes
) -> Result[bytes, StateError]:
    n_more = first[0] if first else 0
    if n_more == 0:
        return Success(first[1:])
    keys = tuple(_part_key(revision, index) for index in range(1, n_more + 1))
    match await table.read(keys):
        case Success(rows) if None not in rows:
            parts = [first, *(row.value for row in rows if row is not None)]
            return Success(b"".join(part[1:] for part in parts))
        case Success(_):
            return Failure(StateError("A part of a revision is missing."))
        case Failure(error):
            return Failure(StoreUnreachable(error.reason))
    raise AssertionError("unreachable")


def _part_key(revision: Revision, index: int) -> str:
    return f"{REVISION_PREFIX}{revision:012d}/{index:03d}"


def snapshot_name(revision: Revision) -> str:
    """Return the object name of a snapshot; names sort in the order of revisions."""
    return f"{SNAPSHOT_PREFIX}{revision:012d}"
