"""``lycheepost bench order``: compare ways to order waiting requests."""

import json
from typing import Annotated

import typer

from lycheepost.bench.orderload import LOADS
from lycheepost.bench.ordersim import OrderRecord, Way, mean_record, measure_orders


def order(
    load: Annotated[list[str], typer.Option(help="Load; all if omitted.")] = [],  # noqa: B006
    way: Annotated[list[Way], typer.Option(help="Way; all if omitted.")] = [],  # noqa: B006
    seeds: Annotated[
        int, typer.Option(min=1, help="Number of seeds, counted from 1.")
    ] = 3,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print a list of records.")
    ] = False,
) -> None:
    """Compare orders of waiting requests that compete for the same engines."""
    for name in load:
        if name not in LOADS:
            raise typer.BadParameter(f"{name}: must be one of {', '.join(LOADS)}")
    loads, ways = tuple(load) or tuple(LOADS), tuple(way) or tuple(Way)
    records = list(measure_orders(loads, ways, tuple(range(1, seeds + 1))))
    if as_json:
        print(json.dumps([record.to_dict() for record in records], indent=1))
        return
    print(
        f"{'load':<13}{'way':<19}{'on time':>16}{'served':>16}{'p90 s':>16}"
        f"{'customer':>10}{'largest':>9}"
    )
    for start in range(0, len(records), seeds):
        print(_format(mean_record(records[start : start + seeds])))


def _format(record: OrderRecord) -> str:
    return (
        f"{record.load:<13}{record.way:<19}"
        f"{record.brief_on_time_share:>8.3f}{record.digest_on_time_share:>8.3f}"
        f"{record.brief_served_share:>8.3f}{record.digest_served_share:>8.3f}"
        f"{record.brief_p90_seconds:>8.3f}{record.digest_p90_seconds:>8.3f}"
        f"{record.least_customer_share:>10.3f}{record.largest_share:>9.3f}"
    )
