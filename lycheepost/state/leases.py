"""Leases with fencing numbers for duties that one daemon at a time may hold.

The table has no clock of ours and wall clocks differ, so a lease carries only
its length. A daemon that wants a lease watches the row: when its version has
not moved for the lease's length plus a margin on the watcher's own clock, the
holder's lease has run out, because the holder counts from before it sent its
last renewal and stops a margin earlier.

The fencing number rises by one with each new holder, in the same transaction
that takes the lease, and goes with every order. Targets that check it refuse a
late order. For targets that ignore it the holder asks ``is_held`` at each send,
by a clock that counts suspension, and the next holder has waited out the old
lease before it starts.
"""

import math
import secrets
from dataclasses import dataclass, replace

import msgspec
import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, FencingNumber
from lycheepost.ports.table import (
    ABSENT_VERSION,
    Committed,
    Condition,
    Row,
    TableConflict,
    TableError,
    TablePort,
    Transaction,
    Write,
)
from lycheepost.state.errors import StateError
from lycheepost.state.settle import commit_settled
from lycheepost.utils.decoding import UNREADABLE

TOLD_SECONDS = 1.3
"""For so long after a holder's word nobody else looks at the row. Holders renew every
0.8 s; one that falls silent is looked after well before its lease runs out."""

_KEY_PREFIX = "lease/"
_log = structlog.get_logger(part="leases")


@dataclass(frozen=True)
class LeaseError(StateError):
    """The lease was not acquired, renewed or released."""


@dataclass(frozen=True)
class LeaseTaken(LeaseError):
    """Another daemon holds the lease, or may still.

    Attributes:
        retry_after_seconds: When another try may succeed.
    """

    holder: DaemonId = DaemonId("")
    retry_after_seconds: float = 0.0


@dataclass(frozen=True)
class LeaseLost(LeaseError):
    """The lease has run out or somebody else has taken it."""


@dataclass(frozen=True)
class OwnRowMoved(TableConflict):
    """An earlier renewal of the same lease has moved the row.

    Attributes:
        version: Version of the row now.
    """

    version: int = 0


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """The row of one duty.

    Attributes:
        token: The same for all renewals of a lease; empty when it was released.
        attempt: Different for each write, so that a holder whose answer was lost
            never takes an earlier renewal of its own, read back, for the one that
            it has just tried: it would count its lease from too late.
        rest_seconds: In the row of a lease that was given up: how long from then on
            no other daemon may order, for the orders of this holder and those before.
        inherited_rest_seconds: The same for this holder itself: for the orders of
            those before it.
    """

    holder: DaemonId
    token: str
    fencing_number: FencingNumber
    length_seconds: float
    attempt: str
    rest_seconds: float = 0.0
    inherited_rest_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease that this daemon holds until ``until_seconds`` of its own clock.

    Attributes:
        until_seconds: End of the lease less the margin, by a clock that counts
            suspension.
        version: Version of the row, for the next renewal.
        rests_until_seconds: No order before this time: the holder before gave the
            lease up and may have sent its last order just then.
        others_rest_until_seconds: No order of another daemon before this time: an
            earlier start of this one gave the lease up after its orders.
    """

    duty: str
    token: str
    fencing_number: FencingNumber
    until_seconds: float
    version: int
    rests_until_seconds: float = float("-inf")
    others_rest_until_seconds: float = float("-inf")

    def is_held(self, now_seconds: float) -> bool:
        """Return whether an order may be sent now; ask again at each send."""
        return self.rests_until_seconds <= now_seconds < self.until_seconds

    def is_kept(self, now_seconds: float) -> bool:
        """Return whether nobody else can have taken it."""
        return now_seconds < self.until_seconds


@dataclass(frozen=True, slots=True)
class Sighting:
    """The row of a duty as first seen at this version.

    Attributes:
        is_told: Its holder told of it; the row was not read.
    """

    version: int
    seen_seconds: float
    is_told: bool = False


class LeaseKeeper:
    """Acquires, renews and releases leases for one daemon.

    Args:
        table: Where the rows are.
        clock: A clock that counts suspension.
        daemon: This daemon.
        length_seconds: Length of a lease.
        margin_seconds: How long before the end its holder stops, and how long
            after the end another daemon waits. It covers clock drift and orders
            still on their way.
        rest_seconds: How long after the last order of a daemon that gave the lease up
            another one sends none; targets that tell holders apart only by the time
            between their orders need it.
    """

    def __init__(
        self,
        table: TablePort,
        clock: Clock,
        daemon: DaemonId,
        length_seconds: float,
        margin_seconds: float,
        rest_seconds: float = 0.0,
    ) -> None:
        if margin_seconds >= length_seconds:
            raise ValueError("The margin must be shorter than the lease.")
        self._table = table
        self._clock = clock
        self._daemon = daemon
        self._length_seconds = length_seconds
        self._margin_seconds = margin_seconds
        self._rest_seconds = rest_seconds
        self._sightings: dict[str, Sighting] = {}

    async def acquire(self, duty: str) -> Result[Lease, LeaseError]:
        """Take the lease of ``duty`` if it is free or has run out."""
        match await self._table.read((_key(duty),)):
            case Success((row,)):
                pass
            case Failure(error):
                return Failure(LeaseError(error.reason))
        held = None
        if row is not None:
            match decode_lease(row):
                case Success(held):
                    pass
                case Failure(error):
                    return Failure(error)
        wait_seconds = self._remaining_seconds(duty, row, held)
        if held is not None and wait_seconds > 0:
            reason = f"The duty {duty} is held by {held.holder}."
            return Failure(LeaseTaken(reason, held.holder, wait_seconds))
        number = FencingNumber(1 if held is None else held.fencing_number + 1)
        version = ABSENT_VERSION if row is None else row.version
        taken = await self._take(duty, version, secrets.token_hex(8), number)
        match taken:
            case Success(lease):
                _log.info("leases: acquired", duty=duty, fencing_number=number)
                return Success(self._rested(lease, held))
        return taken

    def _rested(self, lease: Lease, before: LeaseRow | None) -> Lease:
        """Add the rest that is due after another daemon's release."""
        if before is None or before.token:
            return lease
        now_seconds = self._clock.now_seconds()
        others_until_seconds = now_seconds + before.rest_seconds
        if before.holder != self._daemon:
            return replace(lease, rests_until_seconds=others_until_seconds)
        return replace(
            lease,
            rests_until_seconds=now_seconds + before.inherited_rest_seconds,
            others_rest_until_seconds=others_until_seconds,
        )

    def note_told(self, duty: str, version: int) -> None:
        """Take from its holder that it has just written the row of a duty.

        Heard later than it was written, so that whoever counts the lease from here
        waits no shorter than one who has read the row.
        """
        seen = self._sightings.get(duty)
        if seen is None or seen.version < version:
            now_seconds = self._clock.now_seconds()
            self._sightings[duty] = Sighting(version, now_seconds, is_told=True)

    def note_released(self, duty: str) -> None:
        """Take from its holder that it has given the lease up."""
        seen = self._sightings.get(duty)
        if seen is not None:
            self._sightings[duty] = replace(seen, is_told=False)

    def was_told(self, duty: str) -> bool:
        """Tell whether the holder has told of a renewal just now."""
        seen = self._sightings.get(duty)
        if seen is None or not seen.is_told:
            return False
        return self._clock.now_seconds() < seen.seen_seconds + TOLD_SECONDS

    async def renew(self, lease: Lease) -> Result[Lease, LeaseError]:
        """Prolong a lease; keep the returned one instead.

        One that has run out by our own clock may be prolonged too: if another
        daemon has taken it the row has moved, and the renewal is refused.
        """
        renewed = await self._take(
            lease.duty, lease.version, lease.token, lease.fencing_number
        )
        return renewed.map(
            lambda taken: replace(
                taken,
                rests_until_seconds=lease.rests_until_seconds,
                others_rest_until_seconds=lease.others_rest_until_seconds,
            )
        )

    async def release(
        self, lease: Lease, last_order_seconds: float = math.inf
    ) -> Result[None, LeaseError]:
        """Give the lease up, so that another daemon need not wait it out.

        The next holder rests only for what is left of the time after the last order:
        where each daemon is stopped in turn, and each rested anew for the full time,
        none would ever order.

        Args:
            lease: The lease.
            last_order_seconds: When its holder last sent an order; infinite when that
                is not known and may have been just now.
        """
        now_seconds = self._clock.now_seconds()
        since_seconds = now_seconds - min(now_seconds, last_order_seconds)
        inherited = max(0.0, lease.rests_until_seconds - now_seconds)
        own = max(
            self._rest_seconds - since_seconds,
            lease.others_rest_until_seconds - now_seconds,
        )
        row = replace(
            self._make_row("", lease.fencing_number),
            rest_seconds=max(own, inherited),
            inherited_rest_seconds=inherited,
        )
        written = await self._commit(lease.duty, lease.version, row)
        match written:
            case Success():
                return Success(None)
            case Failure(error):
                return Failure(LeaseError(error.reason))
        raise AssertionError("unreachable")

    def _remaining_seconds(
        self, duty: str, row: Row | None, held: LeaseRow | None
    ) -> float:
        if row is None or held is None or not held.token:
            return 0.0
        now_seconds = self._clock.now_seconds()
        seen = self._sightings.get(duty)
        if seen is None or seen.version < row.version:
            # A lower version is a stale read: it must not restart the wait,
            # nor make an older holder look expired.
            seen = Sighting(row.version, now_seconds)
            self._sightings[duty] = seen
        end_seconds = seen.seen_seconds + held.length_seconds + self._margin_seconds
        return max(0.0, end_seconds - now_seconds)

    def _make_row(self, token: str, number: FencingNumber) -> LeaseRow:
        attempt = secrets.token_hex(8)
        return LeaseRow(self._daemon, token, number, self._length_seconds, attempt)

    async def _take(
        self, duty: str, version: int, token: str, number: FencingNumber
    ) -> Result[Lease, LeaseError]:
        # Counted from before the write: whoever reads the row starts to wait
        # later than this, however long the store takes to answer.
        start_seconds = self._clock.now_seconds()
        until_seconds = start_seconds + self._length_seconds - self._margin_seconds
        written = await self._commit(duty, version, self._make_row(token, number))
        match written:
            case Success(new_version):
                lease = Lease(duty, token, number, until_seconds, new_version)
                if lease.is_kept(self._clock.now_seconds()):
                    return Success(lease)
                return Failure(LeaseLost("The store answered after the lease."))
            case Failure(OwnRowMoved(version=new_version)):
                return await self._take(duty, new_version, token, number)
            case Failure(TableConflict(reason=reason)):
                return Failure(LeaseLost(f"{duty}: {reason}"))
            case Failure(error):
                return Failure(LeaseError(error.reason))
        raise AssertionError("unreachable")

    async def _commit(
        self, duty: str, version: int, row: LeaseRow
    ) -> Result[int, TableError]:
        transaction = Transaction(
            (Condition(_key(duty), version),),
            (Write(_key(duty), msgspec.json.encode(row)),),
        )
        deadline_seconds = self._clock.now_seconds() + self._margin_seconds
        outcome = await commit_settled(
            self._table, transaction, self._clock, deadline_seconds
        )
        match outcome:
            case Success(Committed(versions=(new_version,))):
                return Success(new_version)
            case Failure(TableConflict() as conflict):
                return await self._read_own(duty, version, row, conflict)
            case Failure(error):
                return Failure(error)
        raise AssertionError("unreachable")

    async def _read_own(
        self, duty: str, version: int, row: LeaseRow, conflict: TableConflict
    ) -> Result[int, TableError]:
        """Tell this write, an earlier one of our own and another daemon's apart."""
        match await self._table.read((_key(duty),)):
            case Success((Row() as found,)) if found.version > version:
                held = decode_lease(found).value_or(None)
                if held == row:
                    return Success(found.version)
                if held is not None and row.token and held.token == row.token:
                    # Each time the version is higher, so this comes to an end.
                    return Failure(OwnRowMoved(conflict.reason, (), found.version))
            case Failure(error):
                return Failure(error)
        return Failure(conflict)


def _key(duty: str) -> str:
    return _KEY_PREFIX + duty


def decode_lease(row: Row) -> Result[LeaseRow, LeaseError]:
    """Return the row of a duty.

    One that cannot be read may be another release's lease. It is left alone, as
    there would be no way to tell when its holder stops.
    """
    try:
        return Success(msgspec.json.decode(row.value, type=LeaseRow))
    except UNREADABLE as error:
        reason = f"The row {row.key} cannot be read: {error}"
        _log.error("leases: row cannot be read", key=row.key, reason=reason)
        return Failure(LeaseError(reason))
