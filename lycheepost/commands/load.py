"""``lycheepost load``: send load to running daemons and audit answers."""

import asyncio
import pathlib
import sys
from typing import Annotated

import aiohttp
import typer
import yaml

from lycheepost.commands.output import ExitCode, fail
from lycheepost.core.ids import CustomerId
from lycheepost.loadgen.audit import Evidence
from lycheepost.loadgen.drive import LoadPlan, Progress, run_load
from lycheepost.loadgen.expected import make_standin_answers, read_order_runs
from lycheepost.loadgen.mixes import Deployment, make_mix
from lycheepost.loadgen.report import LoadReport, encode, render_table
from lycheepost.utils.boundedreads import make_bounded_connector


def load(
    addresses: Annotated[
        list[str], typer.Option("--addresses", help="Base URL of a daemon; repeatable.")
    ],
    key: Annotated[
        list[str] | None,
        typer.Option("--key", help="CUSTOMER=KEY; repeatable, most traffic first."),
    ] = None,
    keys: Annotated[
        pathlib.Path | None,
        typer.Option("--keys", help="YAML or JSON file that maps customers to keys."),
    ] = None,
    deployment: Annotated[
        Deployment, typer.Option(help="Deployment whose traffic to send.")
    ] = Deployment.PRAIRIE,
    model: Annotated[
        str, typer.Option(help="Model to request; the first listed model if empty.")
    ] = "",
    service_path: Annotated[
        str,
        typer.Option(help="Path of the plain service; the deployment's if empty."),
    ] = "",
    no_calls: Annotated[
        bool, typer.Option("--no-calls", help="Send no plain-service calls.")
    ] = False,
    record: Annotated[
        list[str] | None,
        typer.Option(
            "--record", help="Base URL of a stand-in service whose orders are audited."
        ),
    ] = None,
    seconds: Annotated[
        float, typer.Option(min=0.1, help="Duration of the run.")
    ] = 10.0,
    rate: Annotated[
        float, typer.Option(min=0.1, help="Requests per second at the daily peak.")
    ] = 20.0,
    seed: Annotated[int, typer.Option(min=0, help="Random seed.")] = 0,
    max_requests: Annotated[int, typer.Option(min=1)] = 100_000,
    max_in_flight: Annotated[int, typer.Option(min=1)] = 2_000,
    json_output: Annotated[
        bool, typer.Option("--json", help="Print the report as one JSON object.")
    ] = False,
) -> None:
    """Send traffic to running daemons and audit every answer.

    The answers of stand-in engines are compared word by word. Exit code 0 when
    the audit found no fault, 1 when it found one or no request was answered, 2 for
    invalid arguments, 3 when no address or record could be reached.
    """
    chosen = deployment
    plan_keys = _read_keys(keys, key or [])
    path = service_path or f"/services/{make_mix(chosen).service_group}/orders"
    urls = tuple(address.rstrip("/") for address in addresses)

    async def read_evidence() -> Evidence:
        return await read_order_runs(record) if record else Evidence()

    async def run() -> LoadReport:
        plan = LoadPlan(
            addresses=urls,
            keys=plan_keys,
            deployment=chosen,
            model=model or await _first_model(urls, next(iter(plan_keys.values()))),
            service_path="" if no_calls else path,
            answers=make_standin_answers(),
            n_seconds=seconds,
            rate_per_second=rate,
            seed=seed,
            max_requests=max_requests,
            max_in_flight=max_in_flight,
            read_evidence=read_evidence,
            on_progress=_show_progress,
        )
        return await run_load(plan)

    try:
        report = asyncio.run(run())
    except (aiohttp.ClientError, OSError) as error:
        fail(f"unreachable: {error}", ExitCode.UNREACHABLE)
    print(encode(report).decode() if json_output else render_table(report))
    raise typer.Exit(report.exit_code)


def _read_keys(path: pathlib.Path | None, pairs: list[str]) -> dict[CustomerId, str]:
    document: object = {}
    if path is not None:
        try:
            document = yaml.safe_load(path.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
            fail(f"{path} cannot be read: {type(error).__name__}", ExitCode.BAD_INPUT)
    if not isinstance(document, dict):
        fail(f"{path}: must be a mapping of customers to keys", ExitCode.BAD_INPUT)
    keys = {CustomerId(str(name)): str(value) for name, value in document.items()}
    for pair in pairs:
        customer, separator, value = pair.partition("=")
        if not (customer and separator and value):
            fail("--key must be CUSTOMER=KEY", ExitCode.BAD_INPUT)
        keys[CustomerId(customer)] = value
    if not keys:
        fail("--key CUSTOMER=KEY or --keys FILE is required", ExitCode.BAD_INPUT)
    return keys


async def _first_model(addresses: tuple[str, ...], key: str) -> str:
    """Return the first listed model of the first address that answers."""
    headers = {"Authorization": f"Bearer {key}"}
    errors: list[str] = []
    connector = make_bounded_connector("load")
    async with aiohttp.ClientSession(headers=headers, connector=connector) as session:
        for address in addresses:
            try:
                async with session.get(f"{address}/v1/models") as response:
                    response.raise_for_status()
                    return str((await response.json())["data"][0]["id"])
            except (aiohttp.ClientError, OSError, KeyError, IndexError) as error:
                errors.append(f"{address}: {type(error).__name__}: {error}")
    raise aiohttp.ClientConnectionError("; ".join(errors))


def _show_progress(progress: Progress) -> None:
    print(
        f"{progress.elapsed_seconds:6.1f} s  sent {progress.n_sent}  ended "
        f"{progress.n_ended}  open {progress.n_in_flight}  refused "
        f"{progress.n_refused}",
        file=sys.stderr,
    )
