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
"""Number of key ranges for claims; the expiry duty processes them in turn."""


class ClaimState(Enum):
    """Progress of a non-idempotent call.

    ``CLAIMED``: the call may have reached a target. ``RELEASED``: it has reached none;
    the row is kept so that the condition of a late write of the first claim fails.
    ``UNKEPT``: the call has ended and may have run, but no answer is stored because it
    was too large or none arrived.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    ANSWERED = "answered"
    UNKEPT = "unkept"


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer that is returned to every resend unchanged."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """One claim in the table.

    Attributes:
        owner: The daemon that holds the request.
        owner_boot: Changes with each start of the owner, so that a daemon restarted
            under the same name is distinguished from the earlier start.
        token: Unique for each attempt to claim.
        answer: The answer, if it is small enough for a row.
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
    """Only the caller of ``claim`` may run this call, once.

    Attributes:
        version: Version of the claim's row.
    """

    key: str
    row: ClaimRow
    version: int


@dataclass(frozen=True, slots=True)
class Answered:
    """The call has run; this is the first answer."""

    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class InProgress:
    """A live daemon holds the call; it may be running."""

    owner: DaemonId


@dataclass(frozen=True, slots=True)
class Undetermined:
    """The call may or may not have run; it will not be run again."""

    owner: DaemonId


@dataclass(frozen=True, slots=True)
class BodyDiffers:
    """The key was used before with another body."""


ClaimOutcome = Granted | Answered | InProgress | Undetermined | BodyDiffers


@dataclass(frozen=True)
class ClaimError(StateError):
    """Making or completing a claim failed.

    Returned by ``claim``, it means that this attempt has not run the call.
    """


@dataclass(frozen=True)
class ClaimBusy(ClaimError):
    """More claims are waiting than the table's write limit allows.

    Attributes:
        retry_after_seconds: Time until capacity may be available.
    """

    retry_after_seconds: float = 1.0


@dataclass(frozen=True)
class ClaimStoreDown(ClaimError):
    """The table service was unreachable, or the outcome was not known in time."""


def claim_key(customer: CustomerId, key: IdempotencyKey) -> str:
    """Return the table key of one customer's idempotency key.

    The hash keeps keys short and uniform whatever callers send; with 128 bits a
    collision is less likely than a hardware fault.
    """
    digest = xxhash.xxh3_128(f"{len(customer)}:{customer}:{key}".encode())
    shard = digest.intdigest() % N_SHARDS
    return f"{CLAIM_PREFIX}{shard:02d}/{customer}/{digest.hexdigest()}"


def encode_claim(row: ClaimRow) -> bytes:
    """Encode a claim as the value of its row."""
    return msgspec.msgpack.encode(row)


def decode_claim(row: Row) -> ClaimRow:
    """Decode the claim in a row."""
    return msgspec.msgpack.decode(row.value, type=ClaimRow)
