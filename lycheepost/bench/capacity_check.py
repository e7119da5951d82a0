"""Check in seeded random runs how capacity intents are carried out.

Several daemons run the real runner, lease keeper and revision keeper over the
table stand-in in virtual time, while processes are suspended and killed, targets
crash, hang and fall silent, the table goes down and loses answers, and operators
plan, pause and cancel. After every change these must hold:

- no more targets load at once than the group allows, whoever holds the duty;
- a change takes no serving target out while too few others serve;
- no load cuts a request that a target runs;
- a target that checks fencing takes no order of a holder that was overtaken;

and once the faults end, every intent comes to an end and every serving target
holds the weights that the configuration says.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from lycheepost.bench.capacity_world import CapacityRun, CapacityWorld
from lycheepost.standin.virtualtime import run_virtual


@dataclass
class CapacitySummary:
    """What all runs came to.

    Attributes:
        n_broken: Runs in which a promise was broken.
        n_late_orders: Orders of an overtaken holder that a target took, since it
            checks no fencing or has crashed since it was shown the number.
        n_late_loads: Loads above the limit that such an order began, all on
            targets which check no fencing number.
    """

    n_runs: int = 0
    n_broken: int = 0
    n_revisions: int = 0
    n_holders: int = 0
    n_loads: int = 0
    n_orders: int = 0
    n_late_orders: int = 0
    n_late_loads: int = 0

    def add(self, run: CapacityRun) -> None:
        """Count one run."""
        self.n_runs += 1
        self.n_broken += bool(run.violations)
        self.n_revisions += run.n_revisions
        self.n_holders += run.n_holders
        self.n_loads += run.n_loads
        self.n_orders += run.n_orders
        self.n_late_orders += run.n_late_orders
        self.n_late_loads += run.n_late_loads

    def describe(self) -> str:
        """Return one line for a person."""
        return (
            f"{self.n_runs} runs, {self.n_broken} broke a promise;"
            f" {self.n_holders} holders, {self.n_revisions} revisions,"
            f" {self.n_orders} orders, {self.n_loads} loads;"
            f" {self.n_late_orders} late orders taken by targets that check no"
            f" fencing or had crashed since, {self.n_late_loads} loads above the limit"
            " by them"
        )


async def _run_one(seed: int) -> CapacityRun:
    return await CapacityWorld(seed).run()


def run_capacity_checks(seeds: Iterable[int]) -> Iterable[CapacityRun]:
    """Yield the outcome of one run per seed."""
    for seed in seeds:
        yield run_virtual(_run_one(seed))
