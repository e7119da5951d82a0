"""Compare ways to hold customers to their quotas, under load and faults."""

from collections.abc import Iterator
from dataclasses import asdict, dataclass

from lycheepost.bench.quotapolicies import POLICIES
from lycheepost.bench.quotaworld import Demand, Fault, Plan, World
from lycheepost.core.ids import CustomerId
from lycheepost.core.quotas import Quota, QuotaTolerance, QuotaUnit

LARGE_RATE = 430_000.0
SMALL_RATE = 29_000.0
USUAL_SHARE = 0.55
"""What customers usually ask for, as a part of their quota."""

HOT_FACTOR = 4.7
"""By how much a customer may exceed what it usually asks for."""

TOLERANCE = QuotaTolerance(share=0.1, units=110_000.0, window_seconds=8.0)
FLOOD_FACTOR = 10.0
"""What a flood asks for, in its customer's quota."""

LARGE = CustomerId("large-0")
SMALL = CustomerId("small-0")
_N_LARGE = 2


@dataclass(frozen=True, slots=True)
class QuotaRecord:
    """One run.

    Attributes:
        worst_overrun: Worst window of a customer over what is tolerated; above 1 the
            quota was broken.
        n_modest: Requests of customers that never ask for more than their quota.
        n_modest_refused: Those of them that were refused.
        n_bytes_per_second: Between all daemons.
        take_microseconds: Processor time of a decision on average.
    """

    policy: str
    scenario: str
    n_daemons: int
    n_customers: int
    seed: int
    worst_overrun: float
    n_modest: int
    n_modest_refused: int
    refused_share: float
    n_bytes_per_second: float
    take_microseconds: float

    def to_dict(self) -> dict[str, object]:
        """Return it for JSON."""
        return asdict(self)


def make_quotas(n_customers: int) -> dict[CustomerId, Quota]:
    """Return the quotas of some large and many small customers."""
    quotas = {}
    for index in range(n_customers):
        is_large = index < _N_LARGE
        rate = LARGE_RATE if is_large else SMALL_RATE
        name = f"large-{index}" if is_large else f"small-{index - _N_LARGE}"
        quotas[CustomerId(name)] = Quota(QuotaUnit.TOKENS, rate, rate, 200.0)
    return quotas


def _hot(quotas: dict[CustomerId, Quota], **more: object) -> tuple[Demand, ...]:
    """Return the usual demand with a large and a small customer far beyond it."""
    return tuple(
        Demand(
            customer,
            (HOT_FACTOR if customer in (LARGE, SMALL) else 1.0)
            * USUAL_SHARE
            * quota.rate_per_second,
            **more,  # type: ignore[arg-type]
        )
        for customer, quota in quotas.items()
    )


def _flood(quotas: dict[CustomerId, Quota]) -> tuple[Demand, ...]:
    """Return demand of one customer that fills its quota in a moment."""
    return (Demand(LARGE, FLOOD_FACTOR * quotas[LARGE].rate_per_second),)


def make_plan(scenario: str, n_daemons: int, n_customers: int, seed: int) -> Plan:
    """Return the plan of a named scenario.

    Raises:
        KeyError: There is none of this name.
    """
    quotas = make_quotas(n_customers)
    every = tuple(range(n_daemons))
    half = every[: n_daemons // 2]
    usual = tuple(
        Demand(customer, USUAL_SHARE * quota.rate_per_second)
        for customer, quota in quotas.items()
    )
    hung = tuple(
        Demand(customer, USUAL_SHARE * quota.rate_per_second, daemon=0)
        for customer, quota in quotas.items()
    )
    hot = _hot(quotas)
    rolling = tuple(
        Fault("kill", 6.0 + 2.0 * index, 0.8, (index % n_daemons,))
        for index in range(10)
    )
    plans: dict[str, tuple[tuple[Demand, ...], tuple[Fault, ...], float]] = {
        "usual": (usual, (), 0.0),
        "callers on one daemon": (hung, (), 0.0),
        "hot": (hot, (), 0.0),
        "hot, messages lost": (hot, (), 0.1),
        "hot, four hear late": (hot, (), 0.0),
        "half cut off": (hot, (Fault("cut", 8.0, 9.0, half),), 0.0),
        "half cut off in a burst": (
            _hot(quotas, from_seconds=8.0),
            (Fault("cut", 8.0, 9.0, half),),
            0.0,
        ),
        "one cut off": (hot, (Fault("cut", 8.0, 9.0, (0,)),), 0.0),
        "one cut off, usual": (usual, (Fault("cut", 8.0, 9.0, (0,)),), 0.0),
        "half frozen": (hot, (Fault("freeze", 8.0, 4.0, half),), 0.0),
        "one killed": (hot, (Fault("kill", 8.0, 1.0, (0,)),), 0.0),
        "one killed, usual": (usual, (Fault("kill", 8.0, 1.0, (0,)),), 0.0),
        "all killed": (hot, (Fault("kill", 10.0, 0.7, every),), 0.0),
        "all killed twice": (
            hot,
            (Fault("kill", 10.0, 0.7, every), Fault("kill", 14.0, 0.7, every)),
            0.0,
        ),
        "all killed in a flood": (
            _flood(quotas),
            tuple(Fault("kill", 10.0 + 2.0 * index, 0.7, every) for index in range(3)),
            0.0,
        ),
        "lowered": (usual, (Fault("scale", 8.0, factor=0.4),), 0.0),
        "rolling restart": (hot, rolling, 0.0),
        "rolling restart, usual": (usual, rolling, 0.0),
        "lowered while half is frozen": (
            hot,
            (Fault("freeze", 6.0, 3.0, half), Fault("scale", 7.0, factor=0.3)),
            0.0,
        ),
    }
    demands, faults, lost_share = plans[scenario]
    return Plan(
        n_daemons,
        quotas,
        TOLERANCE,
        demands,
        faults,
        lost_share=lost_share,
        n_late=4 if scenario == "hot, four hear late" else 0,
        seed=seed,
    )


SCENARIOS = (
    "usual",
    "callers on one daemon",
    "hot",
    "hot, messages lost",
    "hot, four hear late",
    "half cut off",
    "half cut off in a burst",
    "one cut off",
    "one cut off, usual",
    "half frozen",
    "one killed",
    "one killed, usual",
    "all killed",
    "all killed twice",
    "all killed in a flood",
    "lowered",
    "rolling restart",
    "rolling restart, usual",
)


def measure(
    policy: str, scenario: str, n_daemons: int, n_customers: int, seed: int
) -> QuotaRecord:
    """Play one scenario under one policy."""
    plan = make_plan(scenario, n_daemons, n_customers, seed)
    audit = World(plan, POLICIES[policy]).run()
    modest = audit.modest()
    n_modest = sum(audit.n_requests[customer] for customer in modest)
    n_refused = sum(audit.n_refused[customer] for customer in modest)
    return QuotaRecord(
        policy,
        scenario,
        n_daemons,
        n_customers,
        seed,
        worst_overrun=round(audit.worst_overrun(plan), 3),
        n_modest=n_modest,
        n_modest_refused=n_refused,
        refused_share=round(n_refused / max(1, n_modest), 5),
        n_bytes_per_second=round(audit.n_bytes / plan.seconds),
        take_microseconds=round(
            1e6 * audit.decide_seconds / audit.n_requests.total(), 2
        ),
    )


def measure_quotas(
    n_daemons: int, n_customers: int, seeds: list[int]
) -> Iterator[QuotaRecord]:
    """Play every scenario under every policy."""
    for scenario in SCENARIOS:
        for policy in POLICIES:
            for seed in seeds:
                yield measure(policy, scenario, n_daemons, n_customers, seed)
