"""``lycheepost bench``: measure policies and costs, with baselines in the same run."""

import json
import pathlib
from typing import Annotated

import typer

from lycheepost.app.slopes import measure_daemon_slopes
from lycheepost.bench.decision import DecisionRecord, measure_decisions
from lycheepost.bench.policy import POLICIES, list_runs, measure_all
from lycheepost.bench.policylimits import check_limits, measure_capacity
from lycheepost.bench.policyload import DEPLOYMENTS, SCENARIOS
from lycheepost.bench.policyreport import (
    check_ratios,
    format_table,
    write_plots,
)
from lycheepost.bench.slopes import Slope, measure_slopes, to_document
from lycheepost.commands import (
    benchbackoff,
    benchcapacity,
    benchcontrol,
    benchlimit,
    benchorder,
    benchpauses,
    benchprocessor,
    benchquota,
    benchrelay,
    benchroom,
)
from lycheepost.generated.settings import LogLevel, LogSettings
from lycheepost.utils.logs import configure_logs

app = typer.Typer(
    help="Measure policies and costs, each against a baseline.", no_args_is_help=True
)

app.command()(benchcontrol.control)
app.command()(benchbackoff.backoff)
app.command()(benchlimit.limit)
app.command()(benchorder.order)
app.command()(benchpauses.pauses)
app.command()(benchquota.quota)
app.command()(benchroom.room)
app.command()(benchcontrol.leases)
app.command()(benchrelay.relay)
app.command()(benchcapacity.capacity)
app.command()(benchprocessor.processor)
app.command()(benchcapacity.capacity_look)
app.command(hidden=True)(benchrelay.relay_source)
app.command(hidden=True)(benchrelay.relay_sink)


def _check_names(names: list[str], known: list[str], option: str) -> None:
    for name in names:
        if name not in known:
            raise typer.BadParameter(
                f"{name}: must be one of {', '.join(known)}", param_hint=option
            )


@app.command()
def policy(
    deployment: Annotated[
        list[str], typer.Option(help="prairie or mercia; all if omitted.")
    ] = [],  # noqa: B006
    scenario: Annotated[list[str], typer.Option(help="Scenario; all if omitted.")] = [],  # noqa: B006
    policy: Annotated[list[str], typer.Option(help="Policy; all if omitted.")] = [],  # noqa: B006
    seed: Annotated[
        list[int], typer.Option(help="Seed of the demand; may be repeated.")
    ] = [1],  # noqa: B006
    as_json: Annotated[
        bool, typer.Option("--json", help="Print a list of records.")
    ] = False,
    check: Annotated[
        bool, typer.Option(help="Print whether each target is met.")
    ] = False,
    capacity: Annotated[
        bool, typer.Option(help="Only print the engines' capacity in requests/s.")
    ] = False,
    plots: Annotated[
        pathlib.Path | None, typer.Option(help="Write plots to this directory.")
    ] = None,
) -> None:
    """Compare policies on the engine model, in virtual time."""
    _check_names(deployment, list(DEPLOYMENTS), "--deployment")
    _check_names(scenario, list(SCENARIOS), "--scenario")
    _check_names(policy, list(POLICIES), "--policy")
    if capacity:
        _print_capacity(deployment, seed)
        return
    records = list(measure_all(list_runs(deployment, scenario, policy, seed)))
    if as_json:
        print(json.dumps([record.to_dict() for record in records], indent=1))
    else:
        print(format_table(records))
    if plots is not None:
        for name in write_plots(records, plots):
            typer.echo(name, err=True)
    if check:
        checks = check_ratios(records)
        for name in deployment or list(DEPLOYMENTS):
            checks.extend(check_limits(name, seed[0]))
        for item in checks:
            typer.echo(str(item), err=as_json)


def _print_capacity(deployments: list[str], seeds: list[int]) -> None:
    for name in deployments or list(DEPLOYMENTS):
        for seed in seeds:
            print(f"{name} seed {seed}: {measure_capacity(name, seed):.1f} requests/s")


@app.command()
def decision(
    seed: Annotated[int, typer.Option(help="Seed of the requests.")] = 1,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print a list of records.")
    ] = False,
) -> None:
    """Measure the cost of one routing decision by the number of servers."""
    records = measure_decisions(seed)
    if as_json:
        print(json.dumps([record.to_dict() for record in records], indent=1))
        return
    print(f"{'policy':<12}{'servers':>8}{'p50 us':>10}{'p99 us':>10}{'mean us':>10}")
    for record in records:
        print(_format_decision(record))


def _format_decision(record: DecisionRecord) -> str:
    return (
        f"{record.policy:<12}{record.n_servers:>8}{record.p50_microseconds:>10.1f}"
        f"{record.p99_microseconds:>10.1f}{record.mean_microseconds:>10.1f}"
    )


@app.command()
def slopes(
    as_json: Annotated[
        bool, typer.Option("--json", help="Print a list of records.")
    ] = False,
) -> None:
    """Measure how the costs of a daemon's components grow with their sizes."""
    # Keeps log lines out of standard output, which carries only the records.
    configure_logs(LogSettings(level=LogLevel.ERROR))
    records = measure_slopes() + measure_daemon_slopes()
    if as_json:
        print(json.dumps([to_document(record) for record in records], indent=1))
        return
    for record in records:
        print(_format_slope(record))


def _format_slope(record: Slope) -> str:
    points = ", ".join(
        f"{size}: {value:.4g}"
        for size, value in zip(record.sizes, record.values, strict=True)
    )
    return (
        f"{record.part}: {record.cost} by {record.size}: {points}; "
        f"{record.per_unit:.3g} each; {record.at_design_size:.4g} at "
        f"{record.design_size}"
    )
