"""``lycheepost bench limit``: compare ways to keep a target's rate limit."""

import json
from typing import Annotated

import typer

from lycheepost.bench.ratelimits import LimitRecord, measure_limits


def limit(
    seeds: Annotated[
        int, typer.Option(min=1, help="Number of seeds, counted from 1.")
    ] = 20,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print a list of records.")
    ] = False,
) -> None:
    """Compare ways for a fleet to keep to a target's limit of requests per second."""
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
