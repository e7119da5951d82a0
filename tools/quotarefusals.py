"""Tell what customers got of their quotas in one played day, from its log.

    python tools/quotarefusals.py LOG [--customer NAME ...]

The log is what the daemons printed with ``--log all``. For each customer of whom
requests were refused for its quota: how many tries, how many refused, the units that
were let through, and the refused ones by second. With ``--customer`` also the units a
second that each daemon let through for it.
"""

import argparse
import pathlib
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from playlog import read_lines


@dataclass
class CustomerCounts:
    """What became of one customer's requests.

    Attributes:
        n_sent: Sends to targets.
        units: Let through; a request that was sent twice is counted twice.
        refused: Refused for the quota, by second.
        units_by_daemon: Let through, by daemon.
    """

    n_sent: int = 0
    units: float = 0.0
    refused: Counter[int] = field(default_factory=Counter)
    units_by_daemon: Counter[str] = field(default_factory=Counter)


def count_customers(lines: Iterable[str]) -> dict[str, CustomerCounts]:
    """Return what became of the requests of each customer."""
    found: dict[str, CustomerCounts] = defaultdict(CustomerCounts)
    for line in read_lines(lines):
        match line.record:
            case {"event": "forward: sent", "customer": customer}:
                counts = found[customer]
                units = line.record.get("quota_units", 0.0)
                counts.n_sent += 1
                counts.units += units
                counts.units_by_daemon[line.daemon] += units
            case {"event": "forward: not served", "code": "over_quota"}:
                found[line.record["customer"]].refused[int(line.at_seconds)] += 1
    return dict(found)


def describe(customer: str, counts: CustomerCounts) -> str:
    """Return a line on one customer."""
    seconds = " ".join(f"{at}:{n}" for at, n in sorted(counts.refused.items()))
    return (
        f"{customer}: {counts.n_sent} sent, {counts.units:.0f} units,"
        f" {counts.refused.total()} refused; by second {seconds}"
    )


def main() -> None:
    """Print what customers got."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=pathlib.Path)
    parser.add_argument("--customer", action="append", default=[])
    arguments = parser.parse_args()
    with arguments.log.open(errors="replace") as lines:
        found = count_customers(lines)
    n_refused = sum(counts.refused.total() for counts in found.values())
    print(f"{n_refused} tries refused for a quota")
    for customer, counts in sorted(
        found.items(), key=lambda item: -item[1].refused.total()
    ):
        if counts.refused:
            print(describe(customer, counts))
    for customer in arguments.customer:
        for daemon, units in found[customer].units_by_daemon.most_common():
            print(f"{customer} by {daemon}: {units:.0f} units")


if __name__ == "__main__":
    main()
