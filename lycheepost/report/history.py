"""Writes the counts of closed slots to the object store and reads them back.

A daemon has no disk and may be replaced at any time, so its counts must not be kept
in memory only. Each closed slot becomes one object that is never rewritten:

    burn/slots/HOUR/DAEMON.BOOT.START      five minutes of one daemon
    burn/hours/HOUR/DAEMON.BOOT            the sum of one hour of one daemon

Windows of up to six hours are computed from five-minute objects, longer windows
from hourly objects. If a daemon stopped before it wrote the sum of an hour, that
hour is read from its five-minute objects.
"""

import asyncio
import zlib
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import structlog
from returns.result import Failure, Success

from lycheepost.core.clock import Clock
from lycheepost.core.hashing import hash_bytes, rendezvous_order
from lycheepost.generated.report import BurnHistory, BurnSlot
from lycheepost.ports.objects import ObjectPort
from lycheepost.report.samples import HOUR_SECONDS, Recorder, sum_slots

SAVE_INTERVAL_SECONDS = 20.0
"""Interval between checks for closed slots; writing one 20 s late is soon enough."""
_FINE_GRAINED_HOURS = 7
"""Hours read slot by slot: the longest short window, six hours, and the current one."""
_RETENTION_HOURS = 73
"""Three days, the longest window of the report, and the current hour."""
_MAX_CONCURRENT_READS = 16
_SLOTS_PREFIX = "burn/slots"
_HOURS_PREFIX = "burn/hours"
_MAX_SLOT_BYTES = 16_000_000
"""Larger than any valid slot; bounds the memory that a damaged object can take."""

_log = structlog.get_logger(part="report")


def fine_grained_since_seconds(wall_seconds: float) -> float:
    """Return the wall time from which on counts are read slot by slot."""
    now_hour = int(wall_seconds) // HOUR_SECONDS
    return float((now_hour - _FINE_GRAINED_HOURS + 1) * HOUR_SECONDS)


def pack_slot(slot: BurnSlot) -> bytes:
    """Encode a slot as an object."""
    return zlib.compress(msgspec.msgpack.encode(slot))


def unpack_slot(data: bytes) -> BurnSlot | None:
    """Decode the slot of an object; None if the object is damaged."""
    try:
        unpacker = zlib.decompressobj()
        text = unpacker.decompress(data, _MAX_SLOT_BYTES)
        if not unpacker.eof:
            return None
        return msgspec.msgpack.decode(text, type=BurnSlot)
    except (zlib.error, msgspec.MsgspecError, ValueError, RecursionError):
        return None


def slot_name(slot: BurnSlot) -> str:
    """Return the object name of a five-minute slot."""
    hour = slot.start_wall_seconds // HOUR_SECONDS
    return (
        f"{_SLOTS_PREFIX}/{hour}/{slot.daemon_id}.{slot.boot_id}."
        f"{slot.start_wall_seconds}"
    )


def hour_name(slot: BurnSlot) -> str:
    """Return the object name of an hourly sum."""
    hour = slot.start_wall_seconds // HOUR_SECONDS
    return f"{_HOURS_PREFIX}/{hour}/{slot.daemon_id}.{slot.boot_id}"


@dataclass(frozen=True, slots=True)
class _HourObjects:
    """Names of the objects of one hour, and the number of failed listings."""

    slot_names: tuple[str, ...]
    hour_names: tuple[str, ...]
    n_failed: int


class HistoryManager:
    """Writes the counts of one daemon and reads those of the fleet.

    Args:
        members: Ids of the live daemons; one of them deletes expired objects.
    """

    def __init__(
        self,
        recorder: Recorder,
        objects: ObjectPort,
        clock: Clock,
        members: Callable[[], tuple[str, ...]],
    ) -> None:
        self._recorder = recorder
        self._objects = objects
        self._clock = clock
        self._members = members
        self._task: asyncio.Task[None] | None = None
        self._hour = int(clock.wall_seconds()) // HOUR_SECONDS
        self._n_failed_writes = 0

    async def start(self) -> None:
        """Start the task that writes closed slots."""
        self._task = asyncio.create_task(self._run())

    async def drain(self) -> None:
        """Do nothing: this component accepts no requests."""

    async def stop(self) -> None:
        """Write all unsaved slots, including the open one, and stop."""
        if self._task is not None:
            self._task.cancel()
        await self.save()
        slot = self._recorder.open_slot()
        if slot is not None:
            await self._put(slot_name(slot), slot)

    def status(self) -> dict[str, int]:
        """Return the counts for ``/admin/status``."""
        return self._recorder.status() | {"n_failed_writes": self._n_failed_writes}

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(SAVE_INTERVAL_SECONDS)
            await self.write_due()

    async def write_due(self) -> None:
        """Write closed slots; once an hour write its sum and delete expired objects."""
        wall_seconds = self._clock.wall_seconds()
        self._recorder.close(wall_seconds)
        await self.save()
        hour = int(wall_seconds) // HOUR_SECONDS
        if hour > self._hour:
            await self._sum_hour(self._hour)
            await self._delete_expired(hour)
            self._hour = hour

    async def save(self) -> None:
        """Write the closed slots that are not yet in the object store."""
        for slot in self._recorder.unsaved():
            # While the store is down the slots stay in memory, oldest first.
            if not await self._put(slot_name(slot), slot):
                return
            self._recorder.mark_saved(slot.start_wall_seconds)

    async def _put(self, name: str, slot: BurnSlot) -> bool:
        match await self._objects.put(name, pack_slot(slot)):
            case Failure(error):
                self._n_failed_writes += 1
                _log.warning("report: counts not written", reason=str(error))
                return False
            case _:
                return True

    async def _sum_hour(self, hour: int) -> None:
        slots = [
            slot
            for slot in self._recorder.slots()
            if slot.start_wall_seconds // HOUR_SECONDS == hour
        ]
        # The sum replaces the slots in long windows, so it must include all of
        # them. An hour that was partly dropped from memory gets no sum and is read
        # from its slots.
        if self._recorder.dropped_until_seconds > hour * HOUR_SECONDS:
            return
        total = sum_slots(slots, hour)
        if total is not None:
            await self._put(hour_name(total), total)

    async def _delete_expired(self, hour: int) -> None:
        """Delete objects older than any window, on one daemon of the fleet only."""
        members = self._members()
        order = rendezvous_order(hash_bytes(str(hour).encode()), members)
        if not order or order[0] != self._recorder.daemon_id:
            return
        found = await self._list_hour(hour - _RETENTION_HOURS - 1)
        for name in found.slot_names + found.hour_names:
            await self._objects.delete(name)

    async def read(self) -> BurnHistory:
        """Return the stored counts of all daemons over the longest window."""
        now_hour = int(self._clock.wall_seconds()) // HOUR_SECONDS
        names: list[str] = []
        n_unread = 0
        for hour in range(now_hour - _RETENTION_HOURS, now_hour + 1):
            found = await self._list_hour(hour)
            n_unread += found.n_failed
            names += _choose_names(
                found, is_fine_grained=now_hour - hour < _FINE_GRAINED_HOURS
            )
        slots = await self._read_all(names)
        n_unread += len(names) - len(slots)
        return BurnHistory(slots=slots, n_unread=n_unread)

    async def _list_hour(self, hour: int) -> _HourObjects:
        n_failed = 0
        found = []
        for prefix in (_SLOTS_PREFIX, _HOURS_PREFIX):
            match await self._objects.list_names(f"{prefix}/{hour}/"):
                case Success(names):
                    found.append(names)
                case _:
                    n_failed += 1
                    found.append(())
        return _HourObjects(found[0], found[1], n_failed)

    async def _read_all(self, names: list[str]) -> list[BurnSlot]:
        limit = asyncio.Semaphore(_MAX_CONCURRENT_READS)

        async def read_one(name: str) -> BurnSlot | None:
            async with limit:
                match await self._objects.get(name):
                    case Success(data):
                        return unpack_slot(data)
                    case _:
                        return None

        read = await asyncio.gather(*(read_one(name) for name in names))
        return [slot for slot in read if slot is not None]


def _choose_names(found: _HourObjects, is_fine_grained: bool) -> tuple[str, ...]:
    """Choose the objects of an hour so that each request is counted once."""
    if is_fine_grained:
        return found.slot_names
    summed = {name.rsplit("/", 1)[1] for name in found.hour_names}
    unsummed = tuple(
        name
        for name in found.slot_names
        if name.rsplit("/", 1)[1].rsplit(".", 1)[0] not in summed
    )
    return found.hour_names + unsummed
