"""Tell where the worth of one played day was lost, from its report and its log.

    python tools/losses.py REPORT.json [LOG]

The report is what a bench writes with ``--report``, the log what the daemons printed
with ``--log all``. All amounts are parts of the day's worth; together they are the
distance from 1. A router that knew all in advance would lose less than nothing of the
rest by itself, so the lines are what to look at first, not what can be had.
"""

import argparse
import json
import pathlib
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from playlog import LogLine, read_lines

LEAST_SHOWN = 0.001
"""Parts of worth below this are summed up."""


@dataclass(frozen=True)
class Loss:
    """One reason for which worth is lost.

    Attributes:
        worth: As a part of the day's worth.
    """

    reason: str
    worth: float


@dataclass
class RouteSends:
    """What became of the sends of one route.

    Attributes:
        ends: How sends ended.
        first_seconds: From arrival to the first part, of served requests.
        gap_seconds: The longest pause of each served stream.
    """

    ends: Counter[str] = field(default_factory=Counter)
    first_seconds: list[float] = field(default_factory=list)
    gap_seconds: list[float] = field(default_factory=list)


def find_losses(report: dict[str, Any]) -> list[Loss]:
    """Return the losses of a day, the largest first."""
    losses = [
        Loss(f"{name}: credit not earned", weight * (1.0 - share))
        for name, weight, share in report["parts"]
    ]
    losses += [Loss(name, worth) for name, _amount, worth in report["prices"]]
    return sorted(losses, key=lambda loss: -loss.worth)


def describe_classes(report: dict[str, Any]) -> Iterator[str]:
    """Yield a line on each kind of request: how much of its credit went how."""
    for found in report["classes"]:
        n_owed = max(1, found["n"] - found["not_owed"])
        shares = (
            f"{name} {found[name] / n_owed:.3f}"
            for name in ("in_aim", "late", "refused", "failed")
        )
        yield f"{found['name']}: {n_owed} owed, {', '.join(shares)}"


def sum_up_sends(lines: Iterable[LogLine]) -> dict[str, RouteSends]:
    """Return what became of the sends of each route."""
    routes: dict[str, RouteSends] = defaultdict(RouteSends)
    for line in lines:
        event = line.record
        if event.get("event") != "forward: sent":
            continue
        sends = routes[event["route"]]
        sends.ends[shorten(event["end"])] += 1
        if event["end"] == "served" and event["first_seconds"] is not None:
            sends.first_seconds.append(event["first_seconds"])
            sends.gap_seconds.append(event["longest_gap_seconds"])
    return dict(routes)


def shorten(end: str) -> str:
    """Return an end without the address that it names."""
    return end.partition(":")[0]


def describe_sends(name: str, sends: RouteSends) -> str:
    """Return a line on a route."""
    ends = ", ".join(f"{end} {n}" for end, n in sends.ends.most_common(6))
    first = describe_times(sends.first_seconds)
    gaps = describe_times(sends.gap_seconds)
    return f"{name}: {ends}; first part {first}; longest pause {gaps}"


def describe_times(seconds: list[float]) -> str:
    """Return the median and the slowest tenth and hundredth."""
    if not seconds:
        return "none"
    ordered = sorted(seconds)
    points = (ordered[int(share * (len(ordered) - 1))] for share in (0.5, 0.9, 0.99))
    return "/".join(f"{point:.2f}" for point in points) + " s"


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("report", type=pathlib.Path)
    parser.add_argument("log", type=pathlib.Path, nargs="?")
    arguments = parser.parse_args()
    report = json.loads(arguments.report.read_text())
    losses = find_losses(report)
    shown = [loss for loss in losses if loss.worth >= LEAST_SHOWN]
    rest = sum(loss.worth for loss in losses) - sum(loss.worth for loss in shown)
    print(f"worth {report['G']:.3f}, lost {sum(loss.worth for loss in losses):.3f}")
    for loss in [*shown, Loss("all others", rest)]:
        print(f"  {loss.worth:.4f}  {loss.reason}")
    print(*describe_classes(report), sep="\n")
    if arguments.log is None:
        return
    with arguments.log.open(errors="replace") as lines:
        routes = sum_up_sends(read_lines(lines))
    for name, sends in sorted(routes.items(), key=lambda item: -item[1].ends.total()):
        print(describe_sends(name, sends))


if __name__ == "__main__":
    main()
