"""``lycheepost bench backoff``: compare ways to honour back-off requests."""

import json
from typing import Annotated

import typer

from lycheepost.bench.backoffs import BackOffRecord, measure_backoffs


def backoff(
    seeds: Annotated[
        int, typer.Option(min=1, help="Number of seeds, counted from 1.")
    ] = 20,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print a list of records.")
    ] = False,
) -> None:
    """Compare ways to honour the back-offs that targets request."""
    records = list(measure_backoffs(tuple(range(1, seeds + 1))))
    if as_json:
        print(json.dumps([record.to_dict() for record in records], indent=1))
        return
    print(
        f"{'scenario':<34}{'way':<9}{'most':>5}{'lost':>7}{'unserved':>10}{'used':>7}"
    )
    for record in records:
        print(_format(record))


def _format(record: BackOffRecord) -> str:
    return (
        f"{record.scenario:<34}{record.way:<9}{record.most_in_pause:>5}"
        f"{record.lost_try_share:>7.3f}{record.unserved_share:>10.4f}"
        f"{record.used_share:>7.2f}"
    )
