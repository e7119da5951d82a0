"""``lycheepost demo``: run and audit a deployment in one process."""

import asyncio
import json
import pathlib
import signal
import sys
from typing import Annotated

import typer
import uvloop
from returns.result import Failure, Success

from lycheepost.app.demo import (
    DEFAULT_SECONDS,
    RATE_PER_SECOND,
    DemoFleet,
    DemoPlan,
    demo_shape,
    encode_description,
    run_demo,
    run_fleet,
)
from lycheepost.app.platformdemo import PlatformDemoPlan, run_platform_demo
from lycheepost.app.settings import read_settings
from lycheepost.commands.output import ExitCode, fail_with_faults
from lycheepost.generated.settings import LogFormat, LogLevel, LogSettings, Settings
from lycheepost.loadgen.drive import Progress
from lycheepost.loadgen.report import encode, render_table
from lycheepost.utils.logs import configure_logs


def demo(
    seconds: Annotated[
        float, typer.Option(min=1, max=3600, help="Duration of the traffic.")
    ] = DEFAULT_SECONDS,
    rate: Annotated[
        float, typer.Option(min=0.1, max=500, help="Requests per second at the peak.")
    ] = RATE_PER_SECOND,
    seed: Annotated[int, typer.Option(min=0, help="Seed of the traffic.")] = 1,
    keep: Annotated[
        bool, typer.Option("--keep", help="Send no traffic; run until a signal.")
    ] = False,
    kill_engine: Annotated[
        bool, typer.Option("--kill-engine", help="Crash an engine under traffic.")
    ] = False,
    settings_file: Annotated[
        pathlib.Path | None,
        typer.Option(
            "--settings", help="File whose limits, objectives, streams apply."
        ),
    ] = None,
    json_output: Annotated[
        bool, typer.Option("--json", help="Print JSON lines instead of text.")
    ] = False,
    platform: Annotated[
        bool,
        typer.Option("--platform", help="Run on a model of the users' platform."),
    ] = False,
) -> None:
    """Run stand-ins and three daemons in one process and send mixed traffic.

    Exit code 0 only if every answer was complete, in order and delivered to its own
    caller, and no non-idempotent call ran twice; 1 otherwise.
    """
    configure_logs(LogSettings(level=LogLevel.ERROR, format=LogFormat.CONSOLE))
    if platform:
        platform_plan = PlatformDemoPlan(seconds, rate, seed)
        raise typer.Exit(uvloop.run(_run_on_platform(platform_plan, json_output)))
    settings = _read_base_settings(settings_file)
    plan = DemoPlan(seconds, rate, seed, kill_engine, settings)
    if keep:
        uvloop.run(_run_until_signal(plan, json_output))
        return
    raise typer.Exit(uvloop.run(_run_with_traffic(plan, json_output)))


async def _run_on_platform(plan: PlatformDemoPlan, json_output: bool) -> int:
    report = await run_platform_demo(plan)
    results = report.describe()
    if json_output:
        print(json.dumps(results))
    else:
        for name, value in results.items():
            print(f"{name}: {value}")
    return ExitCode.FAILED if report.violations else ExitCode.OK


def _read_base_settings(settings_file: pathlib.Path | None) -> Settings | None:
    if settings_file is None:
        return None
    match read_settings(settings_file):
        case Success(settings):
            return settings
        case Failure(faults):
            fail_with_faults(faults)
    raise AssertionError("a result is a success or a failure")


async def _run_until_signal(plan: DemoPlan, json_output: bool) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with run_fleet(demo_shape(), plan.settings) as fleet:
        _print_fleet(fleet, json_output)
        await stopped.wait()


async def _run_with_traffic(plan: DemoPlan, json_output: bool) -> int:
    async with run_fleet(demo_shape(), plan.settings) as fleet:
        _print_fleet(fleet, json_output)
        report = await run_demo(fleet, plan, _print_progress)
    print(encode(report).decode() if json_output else render_table(report))
    return ExitCode.OK if report.exit_code == 0 else ExitCode.FAILED


def _print_fleet(fleet: DemoFleet, json_output: bool) -> None:
    if json_output:
        print(encode_description(fleet), flush=True)
        return
    description = fleet.describe()
    print("Addresses: " + " ".join(description["base_urls"]))
    print("Models: " + " ".join(description["models"]))
    print("Plain services: " + " ".join(description["services"]))
    for customer, key in description["keys"].items():
        print(f"Key of {customer}: {key}")
    print(f"Operator key: {description['operator_key']}", flush=True)


def _print_progress(progress: Progress) -> None:
    print(
        f"{progress.elapsed_seconds:5.1f} s: {progress.n_sent} sent, "
        f"{progress.n_ended} ended, {progress.n_in_flight} in flight, "
        f"{progress.n_refused} refused",
        file=sys.stderr,
        flush=True,
    )
