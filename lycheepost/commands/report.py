"""``lycheepost report``: report on service levels."""

import asyncio
import pathlib
from typing import Annotated

import typer

from lycheepost.commands.output import ExitCode, fail
from lycheepost.report.gather import gather_burn
from lycheepost.report.render import encode, render_table

app = typer.Typer(help="Reports for on-call engineers.", no_args_is_help=True)


@app.command()
def burn(
    addresses: Annotated[
        list[str],
        typer.Option(
            "--addresses", help="Base URL of a daemon's operator port; repeatable."
        ),
    ],
    operator_key: Annotated[
        str,
        typer.Option(envvar="LYCHEEPOST_OPERATOR_KEY", help="Operator key."),
    ] = "",
    json_output: Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
    html: Annotated[
        pathlib.Path | None,
        typer.Option("--html", help="Write a page with plots to this file."),
    ] = None,
) -> None:
    """Show error budgets and burn rates per customer, model and service level.

    Exit code 0 for a complete report, 1 when a daemon or part of the history is
    missing, 3 when no daemon answered.
    """
    urls = tuple(address.rstrip("/") for address in addresses)
    report = asyncio.run(gather_burn(urls, operator_key))
    if report is None:
        fail("no daemon answered", ExitCode.UNREACHABLE)
    if html is not None:
        # Imported lazily: matplotlib would slow down every other command.
        from lycheepost.report.page import render_page

        html.write_text(render_page(report), encoding="utf-8")
    print(encode(report).decode() if json_output else render_table(report))
    raise typer.Exit(ExitCode.OK if report.is_complete else ExitCode.FAILED)
