"""Two kinds of requests that compete for engines: short urgent ones and long ones."""

import bisect
import itertools
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from lycheepost.bench.policyload import (
    GROUP,
    MODEL,
    WEIGHTS,
    Arrival,
    Deployment,
    Range,
    Scenario,
    level_under,
)
from lycheepost.core.ids import BodyFingerprint, CustomerId, RequestId
from lycheepost.decide.records import PrefixLevel, Priority, Work

TIMEOUT_SECONDS = 3.2
"""Callers of streams leave after this time without a first part."""


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request.

    Attributes:
        share: Share of all requests.
        template_tokens: First shared part; there are ``N_TEMPLATES`` of them.
        subject_tokens: Second shared part, of one of a customer's ``n_subjects``.
        own_tokens: Mean of the part that no other request shares.
    """

    name: str
    share: float
    objective_seconds: float
    priority: Priority
    rank: int
    template_tokens: int
    subject_tokens: int
    n_subjects: int
    own_tokens: int
    max_own_tokens: int
    output_tokens: int


BRIEF = Kind("brief", 0.42, 0.4, Priority.INTERACTIVE, 0, 119, 79, 5, 628, 3_310, 58)
DIGEST = Kind(
    "digest", 0.58, 0.8, Priority.NORMAL, 4, 2_520, 3_780, 5, 2_890, 39_600, 10
)
KINDS = (BRIEF, DIGEST)

N_TEMPLATES = 4
SPREAD = 1.0
"""Standard deviation of the logarithm of a prompt's own tokens."""

N_CUSTOMERS = 12
FLEET = Deployment(
    name="fleet",
    n_engines=6,
    n_daemons=8,
    cache_tokens=400_000,
    capacity_per_second=60.0,
    wait_weight=1.0,
    recompute_weight=1.0,
    demand_shares=(0.2, 0.15, 0.1, *([0.55 / 9] * 9)),
    customer_tokens=0,
    template_tokens=0,
    n_templates=N_TEMPLATES,
    batch_tokens=Range(0, 0),
    batch_requests=Range(1, 1),
    batch_gap_seconds=Range(0.0, 0.0),
    own_tokens=Range(0, 0),
    output_tokens=Range(0, 0),
    first_token_timeout_seconds=Range(TIMEOUT_SECONDS, TIMEOUT_SECONDS),
    warmup_seconds=10.0,
)

USUAL_LEVEL = 0.6
DURATION_SECONDS = 60.0


def _burst_1_4(now_seconds: float) -> float:
    return 1.4 if now_seconds % 15.0 >= 10.0 else USUAL_LEVEL


def _burst_2_5(now_seconds: float) -> float:
    return 2.5 if now_seconds % 15.0 >= 12.0 else USUAL_LEVEL


def _wave(now_seconds: float) -> float:
    return 0.9 * (1.0 + 0.55 * math.sin(2.0 * math.pi * now_seconds / 15.0))


LOADS = {
    item.name: item
    for item in (
        Scenario("burst_1_4", _burst_1_4, DURATION_SECONDS),
        Scenario("burst_2_5", _burst_2_5, DURATION_SECONDS),
        Scenario("wave", _wave, DURATION_SECONDS),
        # The smallest customer sends six times its usual, within its limit.
        Scenario(
            "customer_6x",
            lambda _now: 1.2,
            DURATION_SECONDS,
            demand_shares=(0.2, 0.15, 0.1, *([0.55 / 9] * 8), 0.37),
        ),
        Scenario(
            "third_gone",
            lambda _now: 0.8,
            DURATION_SECONDS,
            crashes=((20.0, 0), (20.0, 1), (40.0, 2), (40.0, 3)),
        ),
    )
}


class KindDemand:
    """Seeded arrivals of both kinds; a Poisson process that follows the load."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rng = random.Random(f"order/{scenario.name}/{seed}")
        shares = scenario.demand_shares or FLEET.demand_shares
        self._customers = tuple(CustomerId(f"customer-{i}") for i in range(len(shares)))
        self._shares = list(itertools.accumulate(shares))
        self._n_requests = 0

    def arrivals(self) -> Iterator[tuple[float, Arrival]]:
        """Yield the arrivals in order of time."""
        now_seconds = 0.0
        while True:
            rate = FLEET.capacity_per_second * self._scenario.level(now_seconds)
            now_seconds += self._rng.expovariate(rate)
            if now_seconds > self._scenario.duration_seconds:
                return
            yield now_seconds, self._arrive(now_seconds)

    def _customer(self) -> CustomerId:
        point = self._rng.random() * self._shares[-1]
        return self._customers[bisect.bisect(self._shares, point)]

    def _levels(
        self, kind: Kind, customer: CustomerId, label: str
    ) -> tuple[PrefixLevel, ...]:
        rng = self._rng
        template = rng.randrange(N_TEMPLATES)
        subject = rng.randrange(kind.n_subjects)
        own_tokens = rng.lognormvariate(
            math.log(kind.own_tokens) - SPREAD**2 / 2, SPREAD
        )
        n_own = int(min(kind.max_own_tokens, max(1.0, own_tokens)))
        levels = level_under((), f"{kind.name}-{template}", kind.template_tokens)
        levels = level_under(levels, f"{customer}-{subject}", kind.subject_tokens)
        return level_under(levels, label, n_own)

    def _arrive(self, now_seconds: float) -> Arrival:
        rng = self._rng
        self._n_requests += 1
        kind = BRIEF if rng.random() < BRIEF.share else DIGEST
        label = f"{kind.name}-request-{self._n_requests}"
        customer = self._customer()
        levels = self._levels(kind, customer, label)
        work = Work(
            request=RequestId(label),
            customer=customer,
            target_group=GROUP,
            model=MODEL,
            weights_version=WEIGHTS,
            levels=levels,
            prompt_tokens=levels[-1].end_tokens,
            output_tokens=kind.output_tokens,
            priority=kind.priority,
            arrived_seconds=now_seconds,
            first_token_timeout_seconds=TIMEOUT_SECONDS,
            fingerprint=BodyFingerprint(int(levels[-1].digest)),
            objective_seconds=kind.objective_seconds,
            rank=kind.rank,
        )
        return Arrival(work, rng.randrange(FLEET.n_daemons))
