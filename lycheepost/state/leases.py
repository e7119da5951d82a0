"""Leases with fencing numbers for duties that one daemon at a time may hold.

The table offers no shared clock and wall clocks differ, so a lease row stores only
the lease's length. A daemon that wants the lease polls the row: if its version has
not changed for the lease's length plus a margin on the daemon's own clock, the lease
has expired, because the holder counts from before it sent its last renewal and stops
a margin earlier.

The fencing number increases by one with each new holder, in the transaction that
acquires the lease, and is sent with every order. An order is a command that the holder
of a duty sends to a target. Targets that check the number refuse late orders. For
targets that ignore it, the holder calls ``is_held`` before each order, using a clock
that includes time spent suspended, and the next holder waits until the old lease has
expired.

When the table is restored from a copy, the row may be that of an earlier lease, or
missing, while the last holder's lease still runs. So each era has a row of its own,
which no copy from before it contains and no late write of an earlier holder changes.
The first lease of an era is acquired when all leases of earlier eras have expired,
counted from when the era was first seen.
"""

import math
import secrets
from dataclasses import dataclass, replace

import msgspec
import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, FencingNumber, StoreEra
from lycheepost.core.storeversions import era_of
from lycheepost.ports.table import (
    ABSENT_VERSION,
    Committed,
    Condition,
    ObservedEra,
    Row,
    TableConflict,
    TableError,
    TablePort,
    TableRestored,
    Transaction,
    Write,
)
from lycheepost.state.commit_retry import commit_with_retry
from lycheepost.state.errors import StateError
from lycheepost.state.fencing import era_of_number, next_number
from lycheepost.utils.decoding import UNREADABLE

RENEWAL_REPORT_VALID_SECONDS = 1.3
"""Other daemons skip reading the row for this long after the holder reports a renewal.
Holders renew every 0.8 s, so polling resumes well before the lease of a silent holder
expires."""

_KEY_PREFIX = "lease/"
_log = structlog.get_logger(part="leases")


@dataclass(frozen=True)
class LeaseError(StateError):
    """The lease was not acquired, renewed or released."""


@dataclass(frozen=True)
class LeaseTaken(LeaseError):
    """Another daemon holds the lease, or may still hold it.

    Attributes:
        retry_after_seconds: Time until another attempt may succeed.
    """

    holder: DaemonId = DaemonId("")
    retry_after_seconds: float = 0.0


@dataclass(frozen=True)
class LeasesUnknown(LeaseError):
    """The table was restored from a copy; a lease of an earlier era may still run.

    Attributes:
        retry_after_seconds: Time until all of them have expired.
    """

    retry_after_seconds: float = 0.0


@dataclass(frozen=True)
class LeaseLost(LeaseError):
    """The lease has expired or another daemon has acquired it."""


@dataclass(frozen=True)
class OwnRowMoved(TableConflict):
    """An earlier renewal of the same lease has changed the row's version.

    Attributes:
        version: Current version of the row.
    """

    version: int = 0


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """The row of one duty.

    Attributes:
        token: The same for all renewals of a lease; empty when it was released.
        attempt: Unique for each write. A holder that lost a response reads the row
            back; without this it could take the row of an earlier renewal for that of
            its latest one and assume that its lease ends later than it does.
        rest_seconds: In a released row: how long another daemon that acquires the
            lease may send no orders, because of orders of this holder and earlier
            ones. Counted from the acquisition, as the row holds no time.
        inherited_rest_seconds: In a released row: how long the same daemon may send no
            orders if it acquires the lease again, because of orders of earlier
            holders. Counted in the same way.
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
        until_seconds: End of the lease minus the margin, by a clock that includes
            time spent suspended.
        version: Version of the row, for the next renewal.
        orders_from_seconds: Earliest time at which this holder may send orders: the
            previous holder may have sent its last order when it released the lease.
        others_order_from_seconds: Earliest time at which another daemon may send
            orders. Set if this daemon, possibly an earlier start of it, had released
            the lease after sending orders and has acquired it again.
    """

    duty: str
    token: str
    fencing_number: FencingNumber
    until_seconds: float
    version: int
    orders_from_seconds: float = float("-inf")
    others_order_from_seconds: float = float("-inf")

    def is_held(self, now_seconds: float) -> bool:
        """Return whether an order may be sent now; call before each order."""
        return self.orders_from_seconds <= now_seconds < self.until_seconds

    def is_unexpired(self, now_seconds: float) -> bool:
        """Return whether no other daemon can have acquired the lease yet."""
        return now_seconds < self.until_seconds


@dataclass(frozen=True, slots=True)
class RowObservation:
    """When a version of a duty's row was first seen.

    Attributes:
        is_reported: The holder reported the version; the row was not read.
    """

    version: int
    seen_seconds: float
    is_reported: bool = False


class LeaseManager:
    """Acquires, renews and releases leases for one daemon.

    Args:
        table: Stores the lease rows.
        clock: A clock that includes time spent suspended.
        daemon: This daemon.
        length_seconds: Length of a lease.
        margin_seconds: How long before the end the holder stops, and how long after
            the end another daemon waits. Covers clock drift and orders in flight.
        rest_seconds: Pause between the last order of a daemon that released the lease
            and the first order of another. Required by targets that distinguish
            holders only by the time between orders.
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
        self._observations: dict[str, RowObservation] = {}

    async def acquire(self, duty: str) -> Result[Lease, LeaseError]:
        """Acquire the lease of ``duty`` if it is free or has expired."""
        era = self._table.era
        match await self._table.read((_key(duty, era.era),)):
            case Success((row,)):
                pass
            case Failure(error):
                return Failure(LeaseError(error.reason))
        if self._table.era != era:
            return Failure(LeaseError(f"{duty}: the store was restored meanwhile"))
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
        if held is None:
            wait_seconds = self._earlier_eras_seconds(era)
            if wait_seconds > 0:
                reason = f"{duty}: leases from before a restore may still run"
                return Failure(LeasesUnknown(reason, wait_seconds))
        number_before = FencingNumber(0 if held is None else held.fencing_number)
        number = next_number(number_before, era.era)
        version = ABSENT_VERSION if row is None else row.version
        taken = await self._write_lease(duty, version, secrets.token_hex(8), number)
        match taken:
            case Success(lease):
                _log.info(
                    "leases: acquired",
                    duty=duty,
                    fencing_number=number,
                    version=lease.version,
                    version_before=version,
                    holder_before=None if held is None else held.holder,
                    **self._describe_observation(duty),
                )
                return Success(self._with_order_pause(lease, held))
        return taken

    def _describe_observation(self, duty: str) -> dict[str, object]:
        """Return which version of the row was observed, and how long ago."""
        seen = self._observations.get(duty)
        if seen is None:
            return {"observed_version": None, "observed_age_seconds": None}
        age_seconds = self._clock.now_seconds() - seen.seen_seconds
        return {
            "observed_version": seen.version,
            "observed_age_seconds": round(age_seconds, 3),
        }

    def _with_order_pause(self, lease: Lease, before: LeaseRow | None) -> Lease:
        """Add the pause in orders that the released row ``before`` asks for."""
        if before is None or before.token:
            return lease
        now_seconds = self._clock.now_seconds()
        others_until_seconds = now_seconds + before.rest_seconds
        if before.holder != self._daemon:
            return replace(lease, orders_from_seconds=others_until_seconds)
        return replace(
            lease,
            orders_from_seconds=now_seconds + before.inherited_rest_seconds,
            others_order_from_seconds=others_until_seconds,
        )

    def note_renewed(self, duty: str, version: int) -> None:
        """Record the holder's report that it has written the row of a duty.

        The report arrives after the write, so counting the lease from its arrival
        waits at least as long as counting from a read of the row.
        """
        seen = self._observations.get(duty)
        if seen is None or seen.version < version:
            now_seconds = self._clock.now_seconds()
            self._observations[duty] = RowObservation(
                version, now_seconds, is_reported=True
            )

    def note_released(self, duty: str) -> None:
        """Record the holder's report that it has released the lease."""
        seen = self._observations.get(duty)
        if seen is not None:
            self._observations[duty] = replace(seen, is_reported=False)

    def is_renewal_reported(self, duty: str) -> bool:
        """Return whether the holder has recently reported a renewal."""
        seen = self._observations.get(duty)
        if seen is None or not seen.is_reported:
            return False
        return (
            self._clock.now_seconds() < seen.seen_seconds + RENEWAL_REPORT_VALID_SECONDS
        )

    async def renew(self, lease: Lease) -> Result[Lease, LeaseError]:
        """Renew a lease; the returned lease replaces ``lease``.

        A lease that has expired by the local clock may be renewed too: if another
        daemon has acquired it, the row's version has changed and the renewal fails.
        """
        renewed = await self._write_lease(
            lease.duty, lease.version, lease.token, lease.fencing_number
        )
        return renewed.map(
            lambda taken: replace(
                taken,
                orders_from_seconds=lease.orders_from_seconds,
                others_order_from_seconds=lease.others_order_from_seconds,
            )
        )

    async def release(
        self, lease: Lease, last_order_seconds: float = math.inf
    ) -> Result[None, LeaseError]:
        """Release the lease, so that another daemon need not wait for it to expire.

        Before its first order, the next holder waits only for what remains of
        ``rest_seconds`` since the last order. If each wait lasted the full time, no
        daemon would ever send orders while all daemons are restarted in turn.

        Args:
            lease: The lease.
            last_order_seconds: When the holder last sent an order; infinite if unknown,
                which is treated as now.
        """
        now_seconds = self._clock.now_seconds()
        since_seconds = now_seconds - min(now_seconds, last_order_seconds)
        inherited = max(0.0, lease.orders_from_seconds - now_seconds)
        own = max(
            self._rest_seconds - since_seconds,
            lease.others_order_from_seconds - now_seconds,
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
        seen = self._observations.get(duty)
        if seen is None or seen.version < row.version:
            # A lower version is a stale read: it must neither restart the wait nor
            # make an older holder look expired.
            seen = RowObservation(row.version, now_seconds)
            self._observations[duty] = seen
        end_seconds = seen.seen_seconds + held.length_seconds + self._margin_seconds
        return max(0.0, end_seconds - now_seconds)

    def _earlier_eras_seconds(self, era: ObservedEra) -> float:
        """Return the time until all leases of earlier eras have expired.

        Their last renewals took effect before the restore, so before ``era`` was seen.
        """
        end_seconds = era.since_seconds + self._length_seconds + self._margin_seconds
        return max(0.0, end_seconds - self._clock.now_seconds())

    def _make_row(self, token: str, number: FencingNumber) -> LeaseRow:
        attempt = secrets.token_hex(8)
        return LeaseRow(self._daemon, token, number, self._length_seconds, attempt)

    async def _write_lease(
        self, duty: str, version: int, token: str, number: FencingNumber
    ) -> Result[Lease, LeaseError]:
        era = era_of_number(number)
        if era != self._table.era.era:
            return Failure(LeaseLost(f"{duty}: the store was restored from a copy"))
        # Counted from before the write: any daemon that reads the row starts its wait
        # later than this, however long the store takes to respond.
        start_seconds = self._clock.now_seconds()
        until_seconds = start_seconds + self._length_seconds - self._margin_seconds
        written = await self._commit(duty, version, self._make_row(token, number))
        match written:
            case Success(new_version) if era_of(new_version) != era:
                return Failure(LeaseLost(f"{duty}: the store was restored meanwhile"))
            case Success(new_version):
                lease = Lease(duty, token, number, until_seconds, new_version)
                if lease.is_unexpired(self._clock.now_seconds()):
                    return Success(lease)
                return Failure(LeaseLost("The store answered after the lease expired."))
            case Failure(OwnRowMoved(version=new_version)):
                return await self._write_lease(duty, new_version, token, number)
            case Failure(TableConflict(reason=reason) | TableRestored(reason=reason)):
                return Failure(LeaseLost(f"{duty}: {reason}"))
            case Failure(error):
                return Failure(LeaseError(error.reason))
        raise AssertionError("unreachable")

    async def _commit(
        self, duty: str, version: int, row: LeaseRow
    ) -> Result[int, TableError]:
        key = _key(duty, era_of_number(row.fencing_number))
        transaction = Transaction(
            (Condition(key, version),), (Write(key, msgspec.json.encode(row)),)
        )
        deadline_seconds = self._clock.now_seconds() + self._margin_seconds
        outcome = await commit_with_retry(
            self._table, transaction, self._clock, deadline_seconds
        )
        match outcome:
            case Success(Committed(versions=(new_version,))):
                return Success(new_version)
            case Failure(TableConflict() as conflict):
                return await self._read_own(key, version, row, conflict)
            case Failure(error):
                return Failure(error)
        raise AssertionError("unreachable")

    async def _read_own(
        self, key: str, version: int, row: LeaseRow, conflict: TableConflict
    ) -> Result[int, TableError]:
        """Find which write took effect: this, an earlier own or another daemon's."""
        match await self._table.read((key,)):
            case Success((Row() as found,)) if found.version > version:
                held = decode_lease(found).value_or(None)
                if held == row:
                    return Success(found.version)
                if held is not None and row.token and held.token == row.token:
                    # The version is higher each time, so the retries terminate.
                    return Failure(OwnRowMoved(conflict.reason, (), found.version))
            case Failure(error):
                return Failure(error)
        return Failure(conflict)


def _key(duty: str, era: StoreEra) -> str:
    """Return the key of the row of a duty; a store without restores has one."""
    return f"{_KEY_PREFIX}{duty}/{era}" if era else _KEY_PREFIX + duty


def decode_lease(row: Row) -> Result[LeaseRow, LeaseError]:
    """Decode the lease row of a duty.

    A row that cannot be decoded may be a lease written by another release. It is not
    overwritten, because there is no way to know when its holder stops.
    """
    try:
        return Success(msgspec.json.decode(row.value, type=LeaseRow))
    except UNREADABLE as error:
        reason = f"The row {row.key} cannot be decoded: {error}"
        _log.error("leases: row cannot be decoded", key=row.key, reason=reason)
        return Failure(LeaseError(reason))
