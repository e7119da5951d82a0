"""Rows and outcomes of claims on non-idempotent calls."""

from dataclasses import dataclass
from enum import Enum

import msgspec
import xxhash

from lycheepost.core.ids import (
    BodyFingerprint,
    CustomerId,
    DaemonId,
    IdempotencyKey,
    RequestId,
)
from lycheepost.ports.table import Row
from lycheepost.state.errors import StateError

CLAIM_PREFIX = "claim/"
ANSWER_PREFIX = "answers/"
N_SHARDS = 64
"""Claims are spread over this many key ranges, one expiry pass each."""


class ClaimState(Enum):
    """How far a non-idempotent call has come.

    ``CLAIMED`` may have reached a target. ``RELEASED`` has reached none; the row
    stays, so that a write of the first claim that is still on its way finds its
    condition broken. ``UNKEPT`` has ended, may have run, and has no answer that is
    kept: it was too large, or none came.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    ANSWERED = "answered"
    UNKEPT = "unkept"


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer that every resend gets, byte for byte."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """One claim in the table.

    Attributes:
        owner: The daemon that holds the request.
        owner_boot: Changes with each start of the owner, so that a daemon which
            has restarted under the same name does not pass for the old one.
        token: Unique for each try to claim.
        answer: The answer when it is small enough for a row.
        answer_object: Name of the object that holds a larger answer.
    """

    state: ClaimState
    token: str
    owner: DaemonId
    owner_boot: str
    fingerprint: BodyFingerprint
    request: RequestId
    changed_wall_seconds: float
    answer: StoredAnswer | None = None
    answer_object: str = ""


@dataclass(frozen=True, slots=True)
class Granted:
    """The caller of ``claim`` alone may run this call, once.

    Attributes:
        version: Version of the claim's row.
    """

    key: str
    row: ClaimRow
    version: int


@dataclass(frozen=True, slots=True)
class Answered:
    """The call has run; this is its first answer."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class InProgress:
    """A live daemon holds the call; it may be running."""

    owner: DaemonId


@dataclass(frozen=True, slots=True)
class Undetermined:
    """The call may or may not have run, and nobody will run it again."""

    owner: DaemonId


@dataclass(frozen=True, slots=True)
class BodyDiffers:
    """The key was used before with another body."""


ClaimOutcome = Granted | Answered | InProgress | Undetermined | BodyDiffers


@dataclass(frozen=True)
class ClaimError(StateError):
    """The claim could not be made; the call has reached no target."""


@dataclass(frozen=True)
class ClaimBusy(ClaimError):
    """More claims are waiting than the table's write budget can take.

    Attributes:
        retry_after_seconds: When there may be room.
    """

    retry_after_seconds: float = 1.0


@dataclass(frozen=True)
class ClaimStoreDown(ClaimError):
    """The table service could not be reached, or did not settle in time."""


def claim_key(customer: CustomerId, key: IdempotencyKey) -> str:
    """Return the table key of one customer's idempotency key.

    The hash keeps keys short and of one shape whatever callers send; 128 bits
    make an accidental match of two keys less likely than any hardware fault.
    """
    digest = xxhash.xxh3_128(f"{len(customer)}:{customer}:{key}".encode())
    shard = digest.intdigest() % N_SHARDS
    return f"{CLAIM_PREFIX}{shard:02d}/{customer}/{digest.hexdigest()}"


def encode_claim(row: ClaimRow) -> bytes:
    """Return the bytes of a claim's row."""
    return msgspec.msgpack.encode(row)


def decode_claim(row: Row) -> ClaimRow:
    """Return the claim that a row holds."""
    return msgspec.msgpack.decode(row.value, type=ClaimRow)
