"""``lycheepost bench control`` and ``lycheepost bench leases``."""

import json
from dataclasses import asdict
from typing import Annotated, Any

import structlog
import typer

from lycheepost.bench.control import measure_control, to_document
from lycheepost.bench.leasechaos import measure_leases

_ERROR_LOG_LEVEL = 40


def control(
    seed: Annotated[int, typer.Option(help="Seed of the jitter.")] = 1,
    size: Annotated[
        list[int], typer.Option(help="Fleet size; repeat to measure the growth.")
    ] = [20, 60, 180],  # noqa: B006
    herd: Annotated[
        int, typer.Option(help="Number of daemons that restart at once.")
    ] = 540,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print a list of records.")
    ] = False,
) -> None:
    """Measure the shared state: propagation, costs, a mass restart, an outage."""
    _log_errors_only()
    records = measure_control(seed, tuple(size), herd)
    _print([to_document(record) for record in records], as_json)


def leases(
    runs: Annotated[
        int, typer.Option(help="Number of randomized runs of each case.")
    ] = 1000,
    seed: Annotated[int, typer.Option(help="Seed of the first run.")] = 1,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print a list of records.")
    ] = False,
) -> None:
    """Count orders out of turn; exit 1 if the policy "lycheepost" allowed one.

    Runs that pause between the check of the lease and the write to the socket are
    counted separately: only targets that check fencing numbers refuse these orders.
    """
    _log_errors_only()
    records = measure_leases(runs, seed)
    _print([asdict(record) for record in records], as_json)
    own_records = [record for record in records if record.policy == "lycheepost"]
    is_broken = any(
        record.n_out_of_turn_checking
        or record.n_doubled_numbers
        or record.n_left_unrepaired
        or (record.n_out_of_turn_ignoring and not record.hits_window)
        for record in own_records
    )
    raise typer.Exit(1 if is_broken else 0)


def _print(documents: list[dict[str, Any]], as_json: bool) -> None:
    if as_json:
        print(json.dumps(documents, indent=1))
        return
    for document in documents:
        print("  ".join(f"{name}={value}" for name, value in document.items()))


def _log_errors_only() -> None:
    wrapper = structlog.make_filtering_bound_logger(_ERROR_LOG_LEVEL)
    structlog.configure(wrapper_class=wrapper)
