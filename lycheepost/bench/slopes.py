"""Measure how the costs of a daemon's parts grow, each at three or more sizes.

The figures feed docs/CAPACITY.md. Each measure varies one size and keeps the
rest; a straight line is fitted and read at the size to design for. Times are
real, the middle of several runs, on one core; memory is what Python allocates.
The parts above this layer are measured by ``app.slopes``.
"""

import asyncio
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from functools import partial
from typing import Any

import msgspec
import numpy as np

from lycheepost.bench.fleet import make_configuration, make_fleet
from lycheepost.callers.identify import identify_customer
from lycheepost.callers.parse import Endpoint, engine_body, parse_completion
from lycheepost.core.ids import (
    BodyFingerprint,
    CustomerId,
    DaemonId,
    IdempotencyKey,
    ModelId,
    RequestId,
    Revision,
    WeightsVersion,
)
from lycheepost.decide.levels import fingerprint_levels
from lycheepost.generated.configuration import Configuration
from lycheepost.generated.settings import ObjectiveSettings
from lycheepost.report.history import pack_slot
from lycheepost.report.samples import EndKind, Sample, make_recorder
from lycheepost.standin.virtualtime import run_virtual, virtual_clock
from lycheepost.state.claim_rows import Granted, StoredAnswer
from lycheepost.state.deltas import Delta, apply_delta, encode_delta, make_delta
from lycheepost.state.members import MemberManager
from lycheepost.state.view import ConfigurationView, make_view

N_TARGETS = (100, 1_500, 6_000, 12_000)
N_PAIRS = (8, 800, 7_920)
N_MEMBERS = (7, 60, 540)
PROMPT_BYTES = (4_000, 40_000, 400_000)
CLAIMS_PER_SECOND = (1, 10, 100, 500)
N_CUSTOMERS = 990
_RUNS = 7
_CLAIM_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class Slope:
    """How one cost grows with one size.

    Attributes:
        part: The part of a daemon.
        cost: What is measured, with its unit as the last word.
        size: What varies.
        sizes: Where it was measured.
        values: What was measured there.
        per_unit: Slope of the fitted line.
        at_zero: Value of the fitted line at size 0.
        design_size: The size to design for.
        at_design_size: Measured there where it was, else the line's value.
    """

    part: str
    cost: str
    size: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    per_unit: float
    at_zero: float
    design_size: int
    at_design_size: float


def fit_slope(
    part: str, cost: str, size: str, values: dict[int, float], design_size: int
) -> Slope:
    """Fit a line through measured values."""
    sizes = tuple(values)
    per_unit, at_zero = np.polyfit(sizes, list(values.values()), 1)
    at_design_size = values.get(design_size, at_zero + per_unit * design_size)
    return Slope(
        part=part,
        cost=cost,
        size=size,
        sizes=sizes,
        values=tuple(values.values()),
        per_unit=float(per_unit),
        at_zero=float(at_zero),
        design_size=design_size,
        at_design_size=float(at_design_size),
    )


def time_seconds(work: Callable[[], Any], n_calls: int = 1) -> float:
    """Return the middle time of one call over several runs."""
    work()
    gc.collect()
    taken = []
    for _ in range(_RUNS):
        started_seconds = time.perf_counter()
        for _ in range(n_calls):
            work()
        taken.append((time.perf_counter() - started_seconds) / n_calls)
    return statistics.median(taken)


def allocated_megabytes(make: Callable[[], Any]) -> float:
    """Return the memory that what ``make`` returns holds."""
    gc.collect()
    tracemalloc.start()
    before, _peak = tracemalloc.get_traced_memory()
    kept = make()
    after, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return (after - before) / 1e6


def to_document(slope: Slope) -> dict[str, Any]:
    """Return a slope for JSON, with figures rounded for reading."""

    def shorten(value: float) -> float:
        return float(f"{value:.4g}")

    document = asdict(slope)
    document["values"] = [shorten(value) for value in slope.values]
    for name in ("per_unit", "at_zero", "at_design_size"):
        document[name] = shorten(document[name])
    return document


def measure_slopes() -> list[Slope]:
    """Measure every part of this layer and below."""
    return [
        *_measure_configuration(),
        *_measure_requests(),
        *_measure_recorder(),
        _measure_addresses(),
        *_measure_claims(),
    ]


def with_one_changed(configuration: Configuration, number: int) -> Configuration:
    """Return the next revision, with another weight of one customer."""
    first, *others = configuration.customers
    first = replace(first, share_weight=1.0 + number)
    revision = configuration.revision + 1
    return replace(configuration, revision=revision, customers=[first, *others])


def _measure_configuration() -> list[Slope]:
    adopt, memory, delta_bytes = {}, {}, {}
    for size in N_TARGETS:
        before = make_configuration(N_CUSTOMERS, size)
        after = with_one_changed(before, 1)
        delta = make_delta(before, after, Revision(after.revision), "token")
        adopt[size] = 1000 * time_seconds(partial(_adopt, before, delta))
        memory[size] = allocated_megabytes(partial(_make_received_view, size))
        delta_bytes[size] = float(len(encode_delta(delta)))
    part = "configuration"
    return [
        fit_slope(part, "adopting one change, milliseconds", "targets", adopt, 12_000),
        fit_slope(part, "one view, megabytes", "targets", memory, 12_000),
        fit_slope(
            part, "one change on the wire, bytes", "targets", delta_bytes, 12_000
        ),
    ]


def _adopt(before: Configuration, delta: Delta) -> ConfigurationView:
    return make_view(apply_delta(before, delta))


def _make_received_view(n_targets: int) -> ConfigurationView:
    """Return a view of decoded records, which share nothing with their maker."""
    data = msgspec.json.encode(make_configuration(N_CUSTOMERS, n_targets))
    return make_view(msgspec.json.decode(data, type=Configuration))


def _measure_requests() -> list[Slope]:
    parse, identify = {}, {}
    for size in PROMPT_BYTES:
        body = _make_body(size)

        def handle(body: bytes = body) -> None:
            call = parse_completion(Endpoint.CHAT, body).unwrap()
            fingerprint_levels(
                CustomerId("c"), ModelId("m"), WeightsVersion("w"), call.segments
            )
            engine_body(call, "salt", 1, True)

        parse[size] = 1e6 * time_seconds(handle, 20)
    headers = {"Authorization": "Bearer lpk-unknown"}
    for size in (10, 100, N_CUSTOMERS):
        view = make_view(make_configuration(size, 100))
        identify[size] = 1e6 * time_seconds(
            partial(identify_customer, view, headers), 500
        )
    return [
        fit_slope(
            "request",
            "parse, fingerprint and rewrite one body, microseconds",
            "prompt bytes",
            parse,
            40_000,
        ),
        fit_slope(
            "request",
            "find the customer of one key, microseconds",
            "customers",
            identify,
            N_CUSTOMERS,
        ),
    ]


def _make_body(n_bytes: int) -> bytes:
    part = "word " * (n_bytes // 20)
    messages = [{"role": "system", "content": part} for _ in range(4)]
    return msgspec.json.encode({"model": "m", "messages": messages, "stream": True})


def _measure_recorder() -> list[Slope]:
    record, memory, object_bytes = {}, {}, {}
    for n_pairs in N_PAIRS:
        samples = [
            Sample(
                CustomerId(f"customer-{number // 8}"),
                ModelId(f"model-{number % 8}"),
                EndKind.SUCCESS,
                ttft_seconds=0.1,
                mean_gap_seconds=0.03,
            )
            for number in range(n_pairs)
        ]

        def fill(samples: list[Sample] = samples) -> Any:
            recorder = make_recorder(DaemonId("d"), "b", ObjectiveSettings())
            for sample in samples:
                recorder.record(sample, 1_000_000.0)
            return recorder

        recorder = fill()

        def count(samples: list[Sample] = samples, recorder: Any = recorder) -> None:
            for sample in samples:
                recorder.record(sample, 1_000_000.0)

        record[n_pairs] = 1e6 * time_seconds(count) / n_pairs
        memory[n_pairs] = allocated_megabytes(fill)
        object_bytes[n_pairs] = float(len(pack_slot(recorder.slots()[0])))
    part = "burn report"
    size = "customers and models"
    return [
        fit_slope(part, "recording one request, microseconds", size, record, 7_920),
        fit_slope(part, "one open slot, megabytes", size, memory, 7_920),
        fit_slope(part, "one object of five minutes, bytes", size, object_bytes, 7_920),
    ]


def _measure_addresses() -> Slope:
    return run_virtual(_time_addresses())


async def _time_addresses() -> Slope:
    values = {}
    customers = [CustomerId(f"customer-{number}") for number in range(8)]
    for size in N_MEMBERS:
        # Only one daemon runs; it learns of the others from the VM list.
        fleet = make_fleet(size, 1, configuration=make_configuration(8, 20))
        members = fleet.daemons[0].state.members
        await asyncio.sleep(1)
        members.apply_vm_list(fleet.vm_list.current(), virtual_clock().now_seconds())
        assert members.n_live() == size, members.n_live()

        def ask(members: MemberManager = members) -> None:
            for customer in customers:
                members.addresses(customer, 60.0)

        values[size] = 1e6 * time_seconds(ask, 5) / len(customers)
    return fit_slope(
        "addresses", "one answer, microseconds", "daemons", values, N_MEMBERS[-1]
    )


def _measure_claims() -> list[Slope]:
    writes = {rate: run_virtual(_count_writes(rate)) for rate in CLAIMS_PER_SECOND}
    return [
        fit_slope(
            "claims",
            "table writes of one daemon, per second",
            "claims a second",
            writes,
            CLAIMS_PER_SECOND[-1],
        )
    ]


async def _count_writes(rate: int) -> float:
    """Return the table's write transactions a second at a rate of claims.

    Each claim is granted, run for 20 ms and answered, as a print order is.
    """
    fleet = make_fleet(1, 1, configuration=make_configuration(8, 20))
    await fleet.start()
    await asyncio.sleep(30)
    claims = fleet.daemons[0].state.claims
    before = fleet.table.writes.n_units
    rng = np.random.default_rng(1)

    async def run_one(number: int) -> None:
        outcome = await claims.claim(
            CustomerId("customer-1"),
            IdempotencyKey(f"key-{number}"),
            BodyFingerprint(number),
            RequestId(f"request-{number}"),
        )
        granted = outcome.unwrap()
        assert isinstance(granted, Granted)
        await asyncio.sleep(0.02)
        answer = StoredAnswer(201, "application/json", b'{"state": "taken"}')
        await claims.store_answer(granted, answer)

    tasks = []
    for number in range(int(rate * _CLAIM_SECONDS)):
        tasks.append(asyncio.create_task(run_one(number)))
        await asyncio.sleep(float(rng.exponential(1 / rate)))
    await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    n_writes = fleet.table.writes.n_units - before
    await fleet.stop()
    return n_writes / _CLAIM_SECONDS
