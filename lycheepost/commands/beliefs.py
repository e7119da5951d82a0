"""``lycheepost fleet beliefs``: compare the state that daemons report."""

import asyncio
import sys
from dataclasses import asdict

import msgspec
import typer
from returns.result import Failure, Success

from lycheepost.commands.operatorcalls import Json
from lycheepost.commands.output import ExitCode
from lycheepost.commands.statuspages import Addresses, fetch_all
from lycheepost.report.beliefs import (
    Belief,
    describe,
    find_differences,
    read_belief,
)


def beliefs(addresses: Addresses, json_output: Json = False) -> None:
    """Show the state that daemons on the platform report, its age and differences.

    Exit codes: 0 no difference, 1 some differ, 3 a daemon gave no answer.
    """
    answers = asyncio.run(fetch_all(addresses, read_belief))
    received: list[Belief] = []
    n_missing = 0
    for address, answer in zip(addresses, answers, strict=True):
        match answer:
            case Success(belief):
                received.append(belief)
            case Failure(error):
                n_missing += 1
                print(f"{address}: {error.reason}", file=sys.stderr)
    differences = find_differences(received)
    if json_output:
        document = {
            "beliefs": [asdict(belief) for belief in received],
            "differences": [asdict(item) for item in differences],
        }
        print(msgspec.json.encode(document).decode())
    else:
        for belief in received:
            print(describe(belief))
        for item in differences:
            for value, daemons in item.told.items():
                print(f"differs: {item.subject}: {value}: {', '.join(daemons)}")
    if n_missing:
        raise typer.Exit(ExitCode.UNREACHABLE)
    if differences:
        raise typer.Exit(ExitCode.FAILED)
