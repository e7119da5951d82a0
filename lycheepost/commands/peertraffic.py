"""``lycheepost fleet traffic``: what the daemons send to each other."""

import asyncio
import sys

import typer
from returns.result import Failure, Success

from lycheepost.commands.output import ExitCode
from lycheepost.commands.statuspages import Addresses, fetch_all
from lycheepost.report.peertraffic import (
    KindBytes,
    add_up,
    describe_rows,
    read_peer_traffic,
)


def traffic(addresses: Addresses) -> None:
    """Show the bytes that daemons sent to peers since their start, by message.

    Exit codes: 0 shown, 3 a daemon gave no answer.
    """
    answers = asyncio.run(fetch_all(addresses, read_peer_traffic))
    received: list[dict[str, KindBytes]] = []
    for address, answer in zip(addresses, answers, strict=True):
        match answer:
            case Success(by_kind):
                received.append(by_kind)
            case Failure(error):
                print(f"{address}: {error.reason}", file=sys.stderr)
    for line in describe_rows(add_up(received)):
        print(line)
    if len(received) < len(addresses):
        raise typer.Exit(ExitCode.UNREACHABLE)
