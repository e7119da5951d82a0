"""``lycheepost fleet targets``: the targets as one daemon knows them."""

import asyncio
import sys
from typing import Annotated

import typer
from returns.result import Failure, Success

from lycheepost.commands.output import ExitCode
from lycheepost.commands.statuspages import fetch_all
from lycheepost.report.targettable import describe_targets, read_targets


def targets(
    address: Annotated[str, typer.Argument(help="IP:PORT of a daemon's metrics page.")],
) -> None:
    """Show load, memory and speed of each target.

    Reading engines are marked with ``*``. The duration of work is compared with the
    target's group. Exit codes: 0 shown, 3 the daemon gave no answer.
    """
    [answer] = asyncio.run(fetch_all([address], read_targets))
    match answer:
        case Success(groups):
            for line in describe_targets(groups):
                print(line)
        case Failure(error):
            print(f"{address}: {error.reason}", file=sys.stderr)
            raise typer.Exit(ExitCode.UNREACHABLE)
