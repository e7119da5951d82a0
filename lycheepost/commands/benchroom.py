"""``lycheepost bench room``: compare ways to keep within the memory of engines."""

import json
from typing import Annotated

import typer

from lycheepost.bench.room import RoomRecord, measure_room


def room(
    seeds: Annotated[
        int, typer.Option(min=1, help="Number of seeds, counted from 1.")
    ] = 3,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print a list of records.")
    ] = False,
) -> None:
    """Compare what daemons count before they send requests to engines."""
    records = list(measure_room(tuple(range(1, seeds + 1))))
    if as_json:
        print(json.dumps([record.to_dict() for record in records], indent=1))
        return
    print(
        f"{'scenario':<30}{'way':<13}{'on time':>8}{'paused':>8}{'refused':>9}"
        f"{'put back':>10}{'read again':>12}{'used':>6}"
    )
    for record in records:
        print(_format(record))


def _format(record: RoomRecord) -> str:
    return (
        f"{record.scenario:<30}{record.way:<13}{record.on_time_share:>8.3f}"
        f"{record.paused_share:>8.3f}{record.refused_share:>9.3f}"
        f"{record.put_back_share:>10.3f}{record.read_again_share:>12.3f}"
        f"{record.used_share:>6.2f}"
    )
