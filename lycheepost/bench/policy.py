"""Runs of the policy bench and their selection."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lycheepost.bench.policybaselines import BASELINES
from lycheepost.bench.policyload import DEPLOYMENTS, SCENARIOS
from lycheepost.bench.policyscore import PolicyRecord, score
from lycheepost.bench.policysim import Simulation
from lycheepost.bench.policytrace import OUR_POLICY

POLICIES = (*BASELINES, OUR_POLICY)


@dataclass(frozen=True, slots=True)
class Run:
    """One run to make."""

    deployment: str
    scenario: str
    policy: str
    seed: int


def list_runs(
    deployments: Iterable[str],
    scenarios: Iterable[str],
    policies: Iterable[str],
    seeds: Iterable[int],
) -> list[Run]:
    """Return every combination; an empty argument means all."""
    return [
        Run(deployment, scenario, policy, seed)
        for deployment in list(deployments) or list(DEPLOYMENTS)
        for scenario in list(scenarios) or list(SCENARIOS)
        for policy in list(policies) or list(POLICIES)
        for seed in list(seeds) or [1]
    ]


def simulate(run: Run) -> Simulation:
    """Make one run and return it finished."""
    simulation = Simulation(
        DEPLOYMENTS[run.deployment], SCENARIOS[run.scenario], run.policy, run.seed
    )
    simulation.run()
    return simulation


def measure(run: Run) -> PolicyRecord:
    """Make one run and return its record."""
    return score(simulate(run), run.policy, run.seed)


def measure_all(runs: list[Run]) -> Iterator[PolicyRecord]:
    """Make all runs, one after another; whoever wants several at once starts them."""
    return map(measure, runs)
