"""Ways to order waiting requests, under the same load in virtual time.

The engines, the daemons and their scheduler are those of the policy bench; here the
daemons also exchange their loads, and the order of the waiting requests varies.
"""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import asdict, dataclass, fields
from enum import Enum
from functools import partial
from statistics import fmean, quantiles

from lycheepost.bench.orderload import BRIEF, DIGEST, FLEET, LOADS, KindDemand
from lycheepost.bench.policyload import GROUP, Scenario
from lycheepost.bench.policyscore import score_customers
from lycheepost.bench.policysim import Simulation
from lycheepost.bench.policytrace import OUR_POLICY, Fate, Trace
from lycheepost.core.ids import CustomerId, DaemonId, TargetGroupId
from lycheepost.decide.group import Group
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.peerloads import PeerLoads
from lycheepost.decide.records import Work
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import SchedulerSettings
from lycheepost.decide.shares import FairShares
from lycheepost.decide.waitingorder import Claim, WaitingOrder
from lycheepost.standin.enginemodel import Engine
from lycheepost.standin.enginerecords import EngineSettings

EXCHANGE_SECONDS = 0.03
TOKEN_SECONDS = 1 / 36_700
ENGINE = EngineSettings(
    prefill_seconds_per_token=TOKEN_SECONDS,
    iteration_seconds=0.0043,
    sequence_seconds=0.1e-3,
    chunk_tokens=1_024,
    cache_tokens=FLEET.cache_tokens,
)
LARGEST_SHARE = 0.1
"""The largest prompts of a kind, as a share of its requests, that count separately."""


class Way(Enum):
    """How waiting requests are ordered."""

    VIRTUAL_TIME = "virtual_time"
    """By the customers' virtual time, urgent work first within a customer."""
    EARLIEST_DEADLINE = "earliest_deadline"
    LEAST_SLACK = "least_slack"
    SHORTEST_WORK = "shortest_work"
    FAIR_SLACK = "fair_slack"
    """By slack, short and urgent work first, inside fair shares, in each daemon."""
    LYCHEEPOST = "lycheepost"
    """The same among all daemons: by the targets' backlogs."""


class _VariedOrder(WaitingOrder):
    """An order of each daemon alone."""

    def __init__(self, way: Way) -> None:
        super().__init__(is_switched_off=False)
        self._way = way

    def place_seconds(self, work: Work, uncached_tokens: int) -> float:
        due_seconds = work.arrived_seconds + work.objective_seconds
        match self._way:
            case Way.EARLIEST_DEADLINE:
                return due_seconds
            case Way.LEAST_SLACK:
                return due_seconds - uncached_tokens * TOKEN_SECONDS
            case Way.SHORTEST_WORK:
                return float(uncached_tokens)
            case _:
                return super().place_seconds(work, uncached_tokens)

    def claim(self, work: Work, is_inside: bool) -> Claim:
        return Claim.USUAL


class _NoShares(FairShares):
    """Treats every customer as inside its share."""

    def is_within_share(self, customer: CustomerId) -> bool:
        return True


class _VariedScheduler(Scheduler):
    """A scheduler whose groups order waiting requests in one way."""

    def __init__(self, way: Way, settings: SchedulerSettings, seed: int) -> None:
        super().__init__(settings, seed)
        self._way = way

    def _group(self, name: TargetGroupId) -> Group:
        is_new = name not in self._groups
        group = super()._group(name)
        if is_new and self._way not in (Way.VIRTUAL_TIME, Way.LYCHEEPOST):
            group.waiting.order = _VariedOrder(self._way)
            if self._way is not Way.FAIR_SLACK:
                group.waiting.shares = _NoShares()
        return group


class OrderSimulation(Simulation):
    """One run of one way under one load."""

    def __init__(self, load: Scenario, way: Way, seed: int) -> None:
        super().__init__(FLEET, load, OUR_POLICY, seed)
        self.demand = KindDemand(load, seed)
        self.engines = {name: Engine(name, ENGINE, seed) for name in self.engines}
        off = {Mechanism.SLACK_ORDER} if way is Way.VIRTUAL_TIME else set()
        settings = SchedulerSettings(
            prefill_seconds_per_token=TOKEN_SECONDS, switched_off=frozenset(off)
        )
        self._schedulers = [
            _VariedScheduler(way, settings, seed * 1000 + index)
            for index in range(FLEET.n_daemons)
        ]
        for daemon, scheduler in zip(self._daemons, self._schedulers, strict=True):
            daemon.policy = scheduler
        self._known = [PeerLoads() for _ in self._schedulers]
        self._call_at(0.0, self._exchange)

    def _exchange(self, now_seconds: float) -> None:
        """Tell every daemon the loads of the others."""
        for sender, scheduler in enumerate(self._schedulers):
            name = DaemonId(f"daemon-{sender}")
            for receiver, known in enumerate(self._known):
                if receiver != sender:
                    known.observe(name, scheduler.under_way(), now_seconds)
                    known.note_waiting(name, scheduler.waiting_groups())
        for scheduler, known in zip(self._schedulers, self._known, strict=True):
            for target in self.engines:
                load = known.at(target, now_seconds)
                scheduler.set_peer_load(target, load, now_seconds)
            n_waiting = partial(known.n_waiting, now_seconds=now_seconds)
            scheduler.draw_admission(n_waiting, now_seconds)
            self._apply(scheduler.dispatch_waiting(now_seconds), now_seconds)
        self._call_at(now_seconds + EXCHANGE_SECONDS, self._exchange)

    def status(self) -> dict[str, object]:
        """Return the first daemon's status of the queue."""
        groups = self._schedulers[0].status()["groups"]
        assert isinstance(groups, dict)
        found: dict[str, object] = groups[GROUP]
        return found


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """One run; shares are of all requests of a kind.

    Attributes:
        inside_brief_on_time_share: Briefs of customers that asked for no more than
            their max-min fair part.
        least_customer_share: Share served of the customer that is served least.
        largest_share: Share served of the longest digests.
    """

    load: str
    way: str
    seed: int
    brief_on_time_share: float
    inside_brief_on_time_share: float
    digest_on_time_share: float
    brief_served_share: float
    digest_served_share: float
    brief_p90_seconds: float
    digest_p90_seconds: float
    least_customer_share: float
    largest_share: float

    def to_dict(self) -> dict[str, object]:
        """Return the record's fields by name."""
        return asdict(self)


def _served_share(traces: list[Trace]) -> float:
    return sum(trace.fate is Fate.SERVED for trace in traces) / max(1, len(traces))


def _on_time_share(traces: list[Trace]) -> float:
    n_on_time = sum(
        trace.fate is Fate.SERVED
        and trace.waited_seconds is not None
        and trace.waited_seconds <= trace.work.objective_seconds
        for trace in traces
    )
    return n_on_time / max(1, len(traces))


def _p90_seconds(traces: list[Trace]) -> float:
    waits = [item.waited_seconds for item in traces if item.waited_seconds is not None]
    return quantiles(waits, n=10)[-1] if len(waits) > 1 else 0.0


def measure_order(load: Scenario, way: Way, seed: int) -> OrderRecord:
    """Make one run and return its record."""
    simulation = OrderSimulation(load, way, seed)
    simulation.run()
    by_rank: dict[int, list[Trace]] = defaultdict(list)
    by_customer: dict[CustomerId, list[Trace]] = defaultdict(list)
    for trace in simulation.traces.values():
        if trace.work.arrived_seconds >= FLEET.warmup_seconds:
            by_rank[trace.work.rank].append(trace)
            by_customer[trace.work.customer].append(trace)
    briefs, digests = by_rank[BRIEF.rank], by_rank[DIGEST.rank]
    customers = score_customers([*briefs, *digests])
    inside = [
        item for item in briefs if customers[item.work.customer].is_inside_share()
    ]
    by_size = sorted(digests, key=lambda trace: trace.work.prompt_tokens)
    largest = by_size[-max(1, int(LARGEST_SHARE * len(by_size))) :]
    return OrderRecord(
        load=load.name,
        way=way.value,
        seed=seed,
        brief_on_time_share=_on_time_share(briefs),
        inside_brief_on_time_share=_on_time_share(inside),
        digest_on_time_share=_on_time_share(digests),
        brief_served_share=_served_share(briefs),
        digest_served_share=_served_share(digests),
        brief_p90_seconds=_p90_seconds(briefs),
        digest_p90_seconds=_p90_seconds(digests),
        least_customer_share=min(map(_served_share, by_customer.values())),
        largest_share=_served_share(largest),
    )


def measure_orders(
    loads: tuple[str, ...], ways: tuple[Way, ...], seeds: tuple[int, ...]
) -> Iterator[OrderRecord]:
    """Make all runs, one after another."""
    for load in loads:
        for way in ways:
            for seed in seeds:
                yield measure_order(LOADS[load], way, seed)


def mean_record(records: list[OrderRecord]) -> OrderRecord:
    """Return the means over the seeds of one load and way."""
    names = [item.name for item in fields(OrderRecord) if item.type is float]
    means = {name: fmean(getattr(item, name) for item in records) for name in names}
    first = records[0]
    return OrderRecord(load=first.load, way=first.way, seed=0, **means)
