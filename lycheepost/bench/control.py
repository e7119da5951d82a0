"""Measure what the shared state costs and how fast a change is in force.

All runs are in virtual time with seeded jitter, so the counts are the same on
every machine; only ``cpu_share`` is measured in real time. Each measure comes
with the baseline in which every daemon polls the table and no peer passes
anything on.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

import numpy as np

from lycheepost.bench.adoption import measure_adoption
from lycheepost.bench.claimrate import measure_claims
from lycheepost.bench.controlrecords import (
    CostRecord,
    HerdRecord,
    OutageRecord,
    SlopeRecord,
    SpreadRecord,
)
from lycheepost.bench.fleet import (
    ModelDaemon,
    ModelFleet,
    Spreading,
    add_daemon,
    make_configuration,
    make_fleet,
    start_daemon,
)
from lycheepost.bench.messagecost import measure_messages
from lycheepost.core.ids import AvailabilityZone, CustomerId, DaemonId, TargetId
from lycheepost.decide.records import TargetState
from lycheepost.ports.vms import Vm, VmRole, VmState
from lycheepost.standin.virtualtime import run_virtual, virtual_clock

CHANGES_PER_SECOND = 64_000 / 86_400
_MESSAGES_PER_SECOND = 7.0
"""Of a daemon in each direction: the bytes that ``cost`` shows, at 130 a message."""
_SETTLE_SECONDS = 30.0
_HOUR_SECONDS = 3600.0


def measure_control(seed: int, sizes: tuple[int, ...], herd: int) -> list[Any]:
    """Run every measure and return its records."""
    records: list[Any] = []
    for spreading in Spreading:
        for latency_seconds in (0.0, 0.2):
            records.append(measure_spread(seed, spreading, 20, latency_seconds))
        costs = [measure_cost(seed, spreading, size) for size in sizes]
        records += [*costs, *_slopes(costs)]
        records.append(measure_herd(seed, spreading, herd))
    records.append(measure_outage(seed, 20))
    records += measure_claims(seed)
    records += measure_adoption()
    records += measure_messages(_MESSAGES_PER_SECOND)
    return records


def to_document(record: Any) -> dict[str, Any]:
    """Return one record for JSON, with figures rounded for reading."""
    return {
        name: round(value, 6) if isinstance(value, float) else value
        for name, value in asdict(record).items()
    }


def measure_spread(
    seed: int, spreading: Spreading, n_daemons: int, latency_seconds: float
) -> SpreadRecord:
    """Time 50 changes on a fleet whose store answers after ``latency_seconds``."""
    return run_virtual(_spread(seed, spreading, n_daemons, latency_seconds))


def measure_herd(seed: int, spreading: Spreading, n_daemons: int) -> HerdRecord:
    """Restart a whole fleet at the same moment."""
    return run_virtual(_herd(seed, spreading, n_daemons))


def measure_outage(seed: int, n_daemons: int) -> OutageRecord:
    """Take the store away for an hour of virtual time."""
    return run_virtual(_outage(seed, n_daemons))


async def _spread(
    seed: int, spreading: Spreading, n_daemons: int, latency_seconds: float
) -> SpreadRecord:
    fleet = make_fleet(n_daemons, seed, spreading, make_configuration(8, 20))
    await fleet.start()
    await asyncio.sleep(_SETTLE_SECONDS)
    fleet.table.faults.delay_seconds = latency_seconds
    fleet.objects.faults.delay_seconds = latency_seconds
    taken = [await _time_change(fleet, number) for number in range(50)]
    await fleet.stop()
    return SpreadRecord(
        "spread",
        spreading.value,
        n_daemons,
        latency_seconds,
        len(taken),
        float(np.median(taken)),
        max(taken),
    )


async def _time_change(fleet: ModelFleet, number: int) -> float:
    """Return the time from the confirmation until all daemons have the change."""
    if not await fleet.change(number):
        raise RuntimeError("A change was refused although nobody else made one.")
    clock = virtual_clock()
    confirmed_seconds = clock.now_seconds()
    revision = max(fleet.revisions())
    await _wait_until(lambda: min(fleet.revisions()) >= revision, 0.001)
    taken_seconds = clock.now_seconds() - confirmed_seconds
    await asyncio.sleep(0.7)
    return taken_seconds


def measure_cost(seed: int, spreading: Spreading, n_daemons: int) -> CostRecord:
    """Run a fleet for a minute at the design rate of changes."""
    return run_virtual(_cost(seed, spreading, n_daemons, 60.0))


async def _cost(
    seed: int, spreading: Spreading, n_daemons: int, seconds: float
) -> CostRecord:
    fleet = make_fleet(n_daemons, seed, spreading, make_configuration(8, 20))
    await fleet.start()
    await fleet.change(0)
    # Long enough for every first look at the table, which is spread out.
    await asyncio.sleep(_SETTLE_SECONDS + n_daemons / 8)
    reads = fleet.table.reads.n_units
    writes = fleet.table.writes.n_units
    out_before = [item.link.bytes_out for item in fleet.daemons]
    in_before = [item.link.bytes_in for item in fleet.daemons]
    started_seconds = time.process_time()
    n_changes = int(seconds * CHANGES_PER_SECOND)
    for number in range(n_changes):
        await fleet.change(number)
        await asyncio.sleep(seconds / n_changes)
    cpu_seconds = time.process_time() - started_seconds
    bytes_out = [
        (item.link.bytes_out - before) / seconds
        for item, before in zip(fleet.daemons, out_before, strict=True)
    ]
    bytes_in = [
        (item.link.bytes_in - before) / seconds
        for item, before in zip(fleet.daemons, in_before, strict=True)
    ]
    reads_per_second = (fleet.table.reads.n_units - reads) / seconds
    writes_per_second = (fleet.table.writes.n_units - writes) / seconds
    await fleet.stop()
    return CostRecord(
        "cost",
        spreading.value,
        n_daemons,
        n_changes / seconds,
        reads_per_second,
        reads_per_second / n_daemons,
        writes_per_second,
        writes_per_second / n_daemons,
        float(np.mean(bytes_out)),
        float(np.mean(bytes_in)),
        max(bytes_out),
        cpu_seconds / seconds / n_daemons,
    )


_SLOPED = (
    "reads_per_second",
    "writes_per_second",
    "bytes_out_per_second",
    "bytes_in_per_second",
    "cpu_share",
)


def _slopes(costs: list[CostRecord]) -> list[SlopeRecord]:
    sizes = [cost.n_daemons for cost in costs]
    slopes = []
    for name in _SLOPED:
        values = [getattr(cost, name) for cost in costs]
        slope, at_zero = np.polyfit(sizes, values, 1)
        record = SlopeRecord(
            "slope",
            costs[0].policy,
            name,
            float(slope),
            float(at_zero),
            float(at_zero + slope * 540),
        )
        slopes.append(record)
    return slopes


async def _herd(seed: int, spreading: Spreading, n_daemons: int) -> HerdRecord:
    """Restart a whole fleet after 100 changes, of which none is in a snapshot."""
    before = make_fleet(3, seed, Spreading.PEERS, make_configuration(8, 20))
    await before.start()
    for number in range(100):
        await before.change(number)
        await asyncio.sleep(0.5)
    revision = max(before.revisions())
    await before.stop()
    fleet = make_fleet(n_daemons, seed, spreading)
    fleet.table.rows = before.table.rows
    fleet.objects.objects = before.objects.objects
    clock = virtual_clock()
    # The first whole second starts here, so that the meter cuts none in two.
    await asyncio.sleep(1.0 - clock.now_seconds() % 1.0)
    started_seconds = clock.now_seconds()
    adopted: dict[DaemonId, float] = {}
    await fleet.start()
    while len(adopted) < n_daemons:
        for item in fleet.daemons:
            has_it = item.state.revisions.revision >= revision
            if has_it and item.name not in adopted:
                adopted[item.name] = clock.now_seconds() - started_seconds
        await asyncio.sleep(0.02)
    await asyncio.sleep(_SETTLE_SECONDS)
    await fleet.stop()
    return HerdRecord(
        "herd",
        spreading.value,
        n_daemons,
        fleet.table.reads.busiest_second() + fleet.objects.reads.busiest_second(),
        fleet.table.reads.n_throttled,
        fleet.table.reads.n_units + fleet.objects.reads.n_units,
        float(np.median(list(adopted.values()))),
        max(adopted.values()),
    )


async def _outage(seed: int, n_daemons: int) -> OutageRecord:
    """Take table and object store away for an hour, with changes of the fleet."""
    configuration = make_configuration(8, 20)
    fleet = make_fleet(n_daemons, seed, Spreading.PEERS, configuration)
    for target in configuration.targets:
        fleet.vm_list.put(_target_vm(target.target))
    await fleet.start()
    await fleet.change(0)
    await asyncio.sleep(_SETTLE_SECONDS)
    revision_before = max(fleet.revisions())
    fleet.table.faults.is_down = True
    fleet.objects.faults.is_down = True
    clock = virtual_clock()
    end_seconds = clock.now_seconds() + _HOUR_SECONDS
    watch = asyncio.create_task(_look_up(fleet, end_seconds))
    avoided = []
    for number in range(10):
        avoided.append(await _time_avoided(fleet, TargetId(f"target-{number}")))
        await asyncio.sleep(60)
    restarted_seconds = await _restart(fleet, revision_before)
    n_lookups, n_failed, lowest = await watch
    fleet.table.faults.is_down = False
    fleet.objects.faults.is_down = False
    await asyncio.sleep(5)
    await fleet.change(1)
    await asyncio.sleep(4)
    revisions = fleet.revisions()
    await fleet.stop()
    return OutageRecord(
        "store down",
        n_daemons,
        _HOUR_SECONDS,
        n_lookups,
        n_failed,
        max(avoided),
        restarted_seconds,
        revision_before,
        lowest,
        max(revisions),
        sum(revision < max(revisions) for revision in revisions),
    )


async def _look_up(fleet: ModelFleet, end_seconds: float) -> tuple[int, int, int]:
    """Ask each daemon each second for what a request needs of the shared state."""
    clock = virtual_clock()
    n_lookups = n_failed = 0
    lowest = max(fleet.revisions())
    while clock.now_seconds() < end_seconds:
        for item in fleet.daemons:
            view = item.state.revisions.view
            customer = CustomerId("customer-1")
            chosen = item.state.members.addresses(customer, clock.now_seconds())
            n_lookups += 1
            if customer not in view.customers or not chosen.addresses:
                n_failed += 1
            if item.link.is_open and item.state.revisions.revision:
                lowest = min(lowest, item.state.revisions.revision)
        await asyncio.sleep(1.0)
    return n_lookups, n_failed, lowest


async def _time_avoided(fleet: ModelFleet, target: TargetId) -> float:
    """Return how long after its announcement all daemons avoid a leaving target."""
    clock = virtual_clock()
    started_seconds = clock.now_seconds()
    fleet.vm_list.announce_leaving(target)
    await _wait_until(lambda: _is_avoided(fleet, target), 0.01)
    return clock.now_seconds() - started_seconds


def _is_avoided(fleet: ModelFleet, target: TargetId) -> bool:
    return all(
        item.state.members.target_states()[target] is not TargetState.SERVING
        for item in fleet.daemons
    )


async def _wait_until(is_true: Callable[[], bool], step_seconds: float) -> None:
    while True:
        if is_true():
            return
        await asyncio.sleep(step_seconds)


async def _restart(fleet: ModelFleet, revision: int) -> float:
    """Replace one daemon while the store is down; return when it has caught up."""
    old = fleet.daemons[0]
    await old.state.stop()
    fleet.daemons.pop(0)
    fresh = make_restarted(fleet, old.name)
    clock = virtual_clock()
    started_seconds = clock.now_seconds()
    await start_daemon(fleet, fresh)
    await _wait_until(lambda: fresh.state.revisions.revision >= revision, 0.01)
    return clock.now_seconds() - started_seconds


def make_restarted(fleet: ModelFleet, name: DaemonId) -> ModelDaemon:
    """Add the same daemon again, with nothing but its settings."""
    number = int(name.rpartition("-")[2])
    return add_daemon(fleet, number, make_configuration(8, 20))


def _target_vm(name: str) -> Vm:
    zone = AvailabilityZone("zone-0")
    return Vm(TargetId(name), VmRole.TARGET, VmState.LIVE, zone, "127.0.0.1")
