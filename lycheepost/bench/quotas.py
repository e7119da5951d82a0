"""Compare ways to hold customers to their quotas, under load and faults."""

from collections.abc import Iterator
from dataclasses import asdict, dataclass

from lycheepost.bench.quotapolicies import POLICIES
from lycheepost.bench.quotascenarios import SCENARIOS, make_plan
from lycheepost.bench.quotaworld import World


@dataclass(frozen=True, slots=True)
class QuotaRecord:
    """One run.

    Attributes:
        worst_overrun: Worst window of a customer over what is tolerated; above 1 the
            quota was broken.
        most_share: The most that any customer got of its quota on average.
        n_modest: Requests of customers that never ask for more than their quota.
        n_modest_refused: Those of them that were refused.
        refused_share: Their share; None where there is no such customer.
        n_bytes_per_second: Between all daemons.
        take_microseconds: Processor time of a decision on average.
    """

    policy: str
    scenario: str
    n_daemons: int
    n_customers: int
    seed: int
    worst_overrun: float
    most_share: float
    n_modest: int
    n_modest_refused: int
    refused_share: float | None
    n_bytes_per_second: float
    take_microseconds: float

    def to_dict(self) -> dict[str, object]:
        """Return it for JSON."""
        return asdict(self)


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
        most_share=round(audit.most_share(plan), 4),
        n_modest=n_modest,
        n_modest_refused=n_refused,
        refused_share=round(n_refused / n_modest, 5) if n_modest else None,
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
