"""Fetches the status pages of daemons."""

import asyncio
from collections.abc import Callable
from typing import Annotated, TypeVar

import aiohttp
import typer
from returns.result import Failure, Result

from lycheepost.app.metricspage import STATUS_PATH
from lycheepost.report.beliefs import StatusUnreadable
from lycheepost.utils.boundedreads import make_bounded_connector

ANSWER_TIMEOUT_SECONDS = 3.0
"""A serving daemon answers within milliseconds, a restarting one within a second."""

Addresses = Annotated[
    list[str], typer.Argument(help="IP:PORT of each daemon's metrics page.")
]

T = TypeVar("T")
ReadPage = Callable[[bytes], Result[T, StatusUnreadable]]


async def fetch_all(
    addresses: list[str], read_page: ReadPage[T]
) -> list[Result[T, StatusUnreadable]]:
    """Return what ``read_page`` reads from the page of each daemon."""
    timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_SECONDS)
    connector = make_bounded_connector("status_pages")
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        return await asyncio.gather(
            *(_fetch(session, item, read_page) for item in addresses)
        )


async def _fetch(
    session: aiohttp.ClientSession, address: str, read_page: ReadPage[T]
) -> Result[T, StatusUnreadable]:
    try:
        async with session.get(f"http://{address}{STATUS_PATH}") as response:
            body = await response.read()
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        return Failure(StatusUnreadable(f"no answer: {type(error).__name__}"))
    return read_page(body)
