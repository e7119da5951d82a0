"""``lycheepost bench quota``: compare ways to enforce quotas in a fleet."""

import json
from typing import Annotated

import typer

from lycheepost.bench.quotas import QuotaRecord, measure_quotas


def quota(
    daemons: Annotated[int, typer.Option(min=1, help="Number of daemons.")] = 10,
    customers: Annotated[int, typer.Option(min=3, help="Customers.")] = 16,
    seed: Annotated[
        list[int], typer.Option(help="Seed of the demand; may be repeated.")
    ] = [1],  # noqa: B006
    as_json: Annotated[
        bool, typer.Option("--json", help="Print a list of records.")
    ] = False,
) -> None:
    """Compare ways to enforce customers' quotas, under load and faults."""
    records = list(measure_quotas(daemons, customers, seed))
    if as_json:
        print(json.dumps([record.to_dict() for record in records], indent=1))
        return
    print(
        f"{'scenario':<26}{'policy':<9}{'worst':>7}{'share':>7}{'refused':>9}"
        f"{'B/s':>9}{'us':>7}"
    )
    for record in records:
        print(_format(record))


def _format(record: QuotaRecord) -> str:
    refused = "-" if record.refused_share is None else f"{record.refused_share:.5f}"
    return (
        f"{record.scenario:<26}{record.policy:<9}{record.worst_overrun:>7.3f}"
        f"{record.most_share:>7.3f}{refused:>9}{record.n_bytes_per_second:>9.0f}"
        f"{record.take_microseconds:>7.2f}"
    )
