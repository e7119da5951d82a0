"""Cost of one decision by the number of servers, in processor time.

Processor time of the thread, so that other work on a shared machine, which may
take the core away for milliseconds, does not count as cost of a decision.

Ours scores a bounded set of candidates. The baseline in the same run scores
every target, which is what a scheduler without candidates has to do.
"""

import gc
import math
import time
from dataclasses import asdict, dataclass, replace

import numpy as np

from lycheepost.bench.policyload import GROUP, PRAIRIE, WEIGHTS, Demand, Scenario
from lycheepost.core.ids import (
    AvailabilityZone,
    CustomerId,
    DaemonId,
    Incarnation,
    TargetId,
)
from lycheepost.core.quotas import Quota, QuotaUnit
from lycheepost.decide import placement
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.decide.records import (
    Dispatch,
    FinishKind,
    TargetState,
    TargetView,
    Work,
)
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import SchedulerSettings

SIZES = (9, 100, 1500, 12_000)
N_DECISIONS = 4000
N_DECISIONS_ALL_SCORED = 100
"""Scoring 12,000 targets takes tens of milliseconds; a hundred tell enough."""
DAEMON_RATE = 96.0
"""Requests a second of one daemon: 52,000 a second over 540."""
RATE_PER_SERVER = 1.2
"""And before a small fleet, its part of what the servers can take."""
IN_FLIGHT_SECONDS = 4.0
"""How long a request stays open."""
WARM_DECISIONS = 500
"""Decisions left out at the start, while nothing is in flight."""
N_ZONES = 9
N_CUSTOMERS = 990
N_MATES = 23
"""Daemons that hold customers to their quotas together with the one that decides."""
QUOTA_TOKENS_PER_SECOND = 1e6


@dataclass(frozen=True, slots=True)
class DecisionRecord:
    """Cost of decisions at one number of servers."""

    policy: str
    n_servers: int
    n_decisions: int
    p50_microseconds: float
    p99_microseconds: float
    mean_microseconds: float

    def to_dict(self) -> dict[str, object]:
        """Return the record's fields by name."""
        return asdict(self)


def _make_views(n_servers: int) -> tuple[TargetView, ...]:
    return tuple(
        TargetView(
            target=TargetId(f"server-{index}"),
            target_group=GROUP,
            availability_zone=AvailabilityZone(f"zone-{index % N_ZONES}"),
            state=TargetState.SERVING,
            incarnation=Incarnation(f"boot-{index}"),
            weights_version=WEIGHTS,
            concurrency_limit=64,
            cache_tokens=PRAIRIE.cache_tokens,
        )
        for index in range(n_servers)
    )


def _make_works(n_works: int, n_servers: int, seed: int) -> list[Work]:
    rate = min(DAEMON_RATE, RATE_PER_SERVER * n_servers)
    deployment = replace(PRAIRIE, capacity_per_second=rate)
    scenario = Scenario("decision", lambda _now: 1.0, duration_seconds=math.inf)
    demand = Demand(deployment, scenario, seed)
    works = []
    for _, arrival in demand.arrivals():
        works.append(arrival.work)
        if len(works) == n_works:
            break
    return works


def _measure(policy: str, n_servers: int, n_decisions: int, seed: int) -> list[int]:
    scheduler = Scheduler(SchedulerSettings(), seed)
    scheduler.replace_targets(_make_views(n_servers), 0.0)
    works = _make_works(n_decisions + WARM_DECISIONS, n_servers, seed)
    quotas = _make_quotas()
    costs = []
    opened: list[Work] = []
    gc.collect()
    gc.disable()
    try:
        for index, work in enumerate(works):
            now_seconds = work.arrived_seconds
            started = time.thread_time_ns()
            quotas.take(_customer(index), work.prompt_tokens, now_seconds)
            outcomes = scheduler.arrive(work, now_seconds)
            elapsed = time.thread_time_ns() - started
            if index >= WARM_DECISIONS:
                costs.append(elapsed)
            if any(isinstance(outcome, Dispatch) for outcome in outcomes):
                scheduler.first_token(work.request, now_seconds + 0.05, None)
                opened.append(work)
            while opened[0].arrived_seconds < now_seconds - IN_FLIGHT_SECONDS:
                ended = opened.pop(0)
                scheduler.finish(ended.request, now_seconds, FinishKind.COMPLETE)
    finally:
        gc.enable()
    return costs


def _customer(index: int) -> CustomerId:
    return CustomerId(f"customer-{index % N_CUSTOMERS}")


def _make_quotas() -> FleetQuotas:
    """Return the quotas of many customers, shared with many daemons."""
    quotas = FleetQuotas(1, 0.0)
    quota = Quota(QuotaUnit.TOKENS, QUOTA_TOKENS_PER_SECOND, QUOTA_TOKENS_PER_SECOND)
    customers = (_customer(index) for index in range(N_CUSTOMERS))
    quotas.set_quotas(dict.fromkeys(customers, quota), 0.0)
    quotas.set_entry([DaemonId(f"daemon-{index}") for index in range(N_MATES)], 0.0)
    return quotas


def _record(policy: str, n_servers: int, costs: list[int]) -> DecisionRecord:
    p50, p99 = np.percentile(costs, [50, 99]) / 1000.0
    return DecisionRecord(
        policy=policy,
        n_servers=n_servers,
        n_decisions=len(costs),
        p50_microseconds=round(float(p50), 1),
        p99_microseconds=round(float(p99), 1),
        mean_microseconds=round(float(np.mean(costs)) / 1000.0, 1),
    )


def measure_decisions(seed: int = 1) -> list[DecisionRecord]:
    """Return ours and the baseline at every size."""
    records = []
    for n_servers in SIZES:
        costs = _measure("lycheepost", n_servers, N_DECISIONS, seed)
        records.append(_record("lycheepost", n_servers, costs))
        costs = _measure_scoring_all(n_servers, seed)
        records.append(_record("score_all", n_servers, costs))
    return records


def _measure_scoring_all(n_servers: int, seed: int) -> list[int]:
    bound = placement.SCORE_ALL_TARGETS
    placement.SCORE_ALL_TARGETS = n_servers
    try:
        return _measure("score_all", n_servers, N_DECISIONS_ALL_SCORED, seed)
    finally:
        placement.SCORE_ALL_TARGETS = bound
