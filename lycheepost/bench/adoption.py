"""What one change costs a daemon at the size to design for.

The baseline passes the whole configuration on with each change. Times are real,
the smallest of several, so that other work on the machine counts little.
"""

import time
import tracemalloc
import zlib
from collections.abc import Callable
from dataclasses import dataclass, replace

from returns.result import Success

from lycheepost.bench.fleet import make_configuration
from lycheepost.core.ids import Revision
from lycheepost.generated.configuration import Configuration
from lycheepost.state.deltas import (
    Delta,
    apply_delta,
    decode_delta,
    encode_delta,
    make_delta,
)
from lycheepost.state.revision_rows import decode_snapshot, encode_snapshot
from lycheepost.state.view import ConfigurationView, make_view

N_CUSTOMERS = 990
N_TARGETS = 12_000
_CHANGES_PER_SECOND = 64_000 / 86_400
_N_TIMES = 7


@dataclass(frozen=True, slots=True)
class AdoptionRecord:
    """The cost of adopting one change.

    Attributes:
        core_share: Of one core, at the design rate of changes.
        held_bytes: Memory of the configuration with its indexes.
    """

    measure: str
    policy: str
    changed: str
    n_customers: int
    n_targets: int
    wire_bytes: int
    adopt_seconds: float
    core_share: float
    held_bytes: int


def measure_adoption() -> list[AdoptionRecord]:
    """Return the costs of a changed customer and a changed target, and a whole."""
    tracemalloc.start()
    configuration = make_configuration(N_CUSTOMERS, N_TARGETS)
    view = make_view(configuration)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    customers = configuration.customers
    targets = configuration.targets
    with_customer = replace(
        configuration,
        customers=[replace(customers[0], share_weight=3.0), *customers[1:]],
    )
    with_target = replace(
        configuration, targets=[replace(targets[0], serving_share=0.5), *targets[1:]]
    )
    return [
        _measure_delta("customer", view, with_customer, held_bytes),
        _measure_delta("target", view, with_target, held_bytes),
        _measure_whole(with_customer, held_bytes),
    ]


def _measure_delta(
    changed: str, view: ConfigurationView, after: Configuration, held_bytes: int
) -> AdoptionRecord:
    before = view.configuration
    data = encode_delta(make_delta(before, after, Revision(1), "0" * 16))

    def adopt() -> None:
        delta: Delta = decode_delta(data)
        make_view(apply_delta(before, delta), view)

    return _make_record("lycheepost", changed, len(data), _time(adopt), held_bytes)


def _measure_whole(after: Configuration, held_bytes: int) -> AdoptionRecord:
    data = zlib.compress(encode_snapshot(after), level=1)

    def adopt() -> None:
        match decode_snapshot(zlib.decompress(data)):
            case Success(configuration):
                make_view(configuration)

    policy = "the whole configuration with each change"
    return _make_record(policy, "customer", len(data), _time(adopt), held_bytes)


def _make_record(
    policy: str, changed: str, n_bytes: int, seconds: float, held_bytes: int
) -> AdoptionRecord:
    return AdoptionRecord(
        measure="adoption",
        policy=policy,
        changed=changed,
        n_customers=N_CUSTOMERS,
        n_targets=N_TARGETS,
        wire_bytes=n_bytes,
        adopt_seconds=seconds,
        core_share=seconds * _CHANGES_PER_SECOND,
        held_bytes=held_bytes,
    )


def _time(work: Callable[[], None]) -> float:
    taken = []
    for _ in range(_N_TIMES):
        started_seconds = time.perf_counter()
        work()
        taken.append(time.perf_counter() - started_seconds)
    return min(taken)
