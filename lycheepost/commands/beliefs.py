"""``lycheepost fleet beliefs``: compare the state that daemons report."""

import asyncio
import sys
from dataclasses import asdict
from typing import Annotated

import aiohttp
import msgspec
import typer
from returns.result import Failure, Result, Success

from lycheepost.app.metricspage import STATUS_PATH
from lycheepost.commands.operatorcalls import Json
from lycheepost.commands.output import ExitCode
from lycheepost.report.beliefs import (
    Belief,
    StatusUnreadable,
    describe,
    find_differences,
    read_belief,
)

ANSWER_TIMEOUT_SECONDS = 3.0
"""A serving daemon answers within milliseconds, a restarting one within a second."""

Addresses = Annotated[
    list[str], typer.Argument(help="IP:PORT of each daemon's metrics page.")
]


def beliefs(addresses: Addresses, json_output: Json = False) -> None:
    """Show the state that daemons on the platform report, its age and differences.

    Exit codes: 0 no difference, 1 some differ, 3 a daemon gave no answer.
    """
    answers = asyncio.run(_fetch_all(addresses))
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


async def _fetch_all(addresses: list[str]) -> list[Result[Belief, StatusUnreadable]]:
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        return await asyncio.gather(*(_fetch(session, item) for item in addresses))


async def _fetch(
    session: aiohttp.ClientSession, address: str
) -> Result[Belief, StatusUnreadable]:
    try:
        async with session.get(f"http://{address}{STATUS_PATH}") as response:
            body = await response.read()
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        return Failure(StatusUnreadable(f"no answer: {type(error).__name__}"))
    return read_belief(body)
