"""``lycheepost bench capacity``: check capacity intents in randomized runs."""

import json
from dataclasses import asdict
from typing import Annotated

import structlog
import typer

from lycheepost.bench.capacity_check import CapacitySummary, run_capacity_checks
from lycheepost.bench.capacity_look import measure_looks
from lycheepost.commands.output import ExitCode


def capacity(
    runs: Annotated[int, typer.Option(help="Number of randomized runs.")] = 200,
    first_seed: Annotated[int, typer.Option(help="Seed of the first run.")] = 0,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Check capacity intents under suspended lease holders, crashes and lost answers.

    Exit codes: 0 no guarantee was violated, 1 one was; its seed repeats the run.
    """
    # Drops log lines: thousands of runs would log every injected fault.
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    summary = CapacitySummary()
    for run in run_capacity_checks(range(first_seed, first_seed + runs)):
        summary.add(run)
        if run.violations:
            typer.echo(f"seed {run.seed}: {'; '.join(run.violations)}", err=True)
    typer.echo(json.dumps(asdict(summary)) if as_json else summary.describe())
    raise typer.Exit(ExitCode.FAILED if summary.n_broken else ExitCode.OK)


def capacity_look(
    sizes: Annotated[
        list[int], typer.Option("--targets", help="Number of targets; repeatable.")
    ] = [750, 3000, 12000],  # noqa: B006
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Measure the cost of one tick of the capacity duty, by fleet size.

    Exit code 0 after the measurement.
    """
    records = measure_looks(tuple(sizes))
    if as_json:
        typer.echo(json.dumps([asdict(record) for record in records]))
        return
    for record in records:
        typer.echo(
            f"{record.n_targets} targets: {record.quiet_ms} ms per tick,"
            f" {record.rollout_ms} ms during a rollout,"
            f" {record.core_share:.2%} of a core"
        )
