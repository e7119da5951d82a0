"""Tell which calls to the platform's store the daemons made, from a play's log.

    python tools/storecalls.py LOG [REPORT.json]

The log is what the daemons printed with ``--log all``, the report what a bench writes
with ``--report``; with it the sum is set against the calls that the bench counted. What
a daemon did in its last five seconds before a kill is missing.
"""

import argparse
import json
import pathlib
from collections import Counter
from collections.abc import Iterable, Iterator

from playlog import read_lines

EVENT = "store: calls"


def read_calls(lines: Iterable[str]) -> Iterator[tuple[float, Counter[str]]]:
    """Yield the time and the calls of each line on calls."""
    for line in read_lines(lines):
        if line.record.get("event") == EVENT:
            yield line.at_seconds, Counter(line.record["counts"])


def sum_up(calls: Iterable[tuple[float, Counter[str]]]) -> dict[str, Counter[str]]:
    """Return the calls by kind, before traffic and from its begin on."""
    phases = {"before traffic": Counter[str](), "under traffic": Counter[str]()}
    for at_seconds, counts in calls:
        phase = "before traffic" if at_seconds < 0 else "under traffic"
        phases[phase] += counts
    return phases


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=pathlib.Path)
    parser.add_argument("report", type=pathlib.Path, nargs="?")
    arguments = parser.parse_args()
    with arguments.log.open(errors="replace") as lines:
        phases = sum_up(read_calls(lines))
    total = sum(counts.total() for counts in phases.values())
    for phase, counts in phases.items():
        print(f"{phase}: {counts.total()}")
        for kind, n_calls in counts.most_common():
            print(f"  {n_calls:6} {kind}")
    print(f"sum {total}")
    if arguments.report is not None:
        report = json.loads(arguments.report.read_text())
        found = [price for price in report["prices"] if price[0] == "cloud calls"]
        for _, amount, worth in found:
            print(f"counted by the bench: {amount:.0f}, worth {worth:.4f}")


if __name__ == "__main__":
    main()
