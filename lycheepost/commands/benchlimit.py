"""``lycheepost bench limit``: ways to hold a fleet to the limit of a target."""

import json
from typing import Annotated

import typer

from lycheepost.bench.ratelimits import LimitRecord, measure_limits


def limit(
    seeds: Annotated[int, typer.Option(min=1, help="Seeds, from 1 on.")] = 20,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print a list of records.")
    ] = False,
) -> None:
    """Compare ways to hold to the requests a second that a target names."""
    records = list(measure_limits(tuple(range(1, seeds + 1))))
    if as_json:
        print(json.dumps([record.to_dict() for record in records], indent=1))
        return
    print(f"{'scenario':<36}{'way':<17}{'worst':>7}{'used':>7}")
    for record in records:
        print(_format(record))


def _format(record: LimitRecord) -> str:
    used = "-" if record.used_share is None else f"{record.used_share:.2f}"
    return f"{record.scenario:<36}{record.way:<17}{record.worst_overrun:>7.2f}{used:>7}"
