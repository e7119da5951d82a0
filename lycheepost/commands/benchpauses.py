"""``lycheepost bench pauses``: compare ways to keep streams from pausing."""

import json
from typing import Annotated

import typer

from lycheepost.bench.pauses import SCENARIOS, PauseRecord, measure_pauses


def pauses(
    seed: Annotated[
        list[int], typer.Option(help="Seed of the demand; may be repeated.")
    ] = [1],  # noqa: B006
    scenario: Annotated[list[str], typer.Option(help="Scenario; all if omitted.")] = [],  # noqa: B006
    as_json: Annotated[
        bool, typer.Option("--json", help="Print a list of records.")
    ] = False,
) -> None:
    """Compare ways to place long prompts beside streams, in virtual time."""
    known = [item.name for item in SCENARIOS]
    for name in scenario:
        if name not in known:
            raise typer.BadParameter(f"{name}: must be one of {', '.join(known)}")
    chosen = tuple(x for x in SCENARIOS if not scenario or x.name in scenario)
    records = list(measure_pauses(tuple(seed), chosen))
    if as_json:
        print(json.dumps([record.to_dict() for record in records], indent=1))
        return
    print(
        f"{'scenario':<32}{'way':<17}{'short: paused':>14}{'late':>8}"
        f"{'long: paused':>14}{'late':>8}{'engines':>9}"
    )
    for record in records:
        print(_format(record))


def _format(record: PauseRecord) -> str:
    return (
        f"{record.scenario:<32}{record.way:<17}{record.short_paused_share:>14.4f}"
        f"{record.short_late_share:>8.4f}{record.long_paused_share:>14.4f}"
        f"{record.long_late_share:>8.4f}{record.n_reading_engines:>9.1f}"
    )
