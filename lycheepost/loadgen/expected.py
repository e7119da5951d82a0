"""Expected answers and records of the stand-in engines and services.

Both are available without the system under test: the stand-in engine's answer is a
function of the prompt, and the stand-ins keep their own records.
"""

from collections import Counter
from collections.abc import AsyncIterator, Iterable
from typing import Any

import aiohttp
import msgspec

from lycheepost.core.hashing import hash_bytes
from lycheepost.loadgen.audit import Evidence, ExpectedAnswers
from lycheepost.loadgen.completions import make_messages
from lycheepost.loadgen.requests import Completion
from lycheepost.standin.answers import chat_prompt_text, expected_words
from lycheepost.standin.engine import EngineStandin
from lycheepost.standin.service import ServiceStandin
from lycheepost.utils.boundedreads import make_bounded_connector

_MAX_ORDERS = 200_000
"""Limits the reading of a record that other callers continue to fill."""


def _prompt_text(request: Completion) -> str:
    return chat_prompt_text(make_messages(request))


def _expected_text(request: Completion) -> str:
    words = expected_words(_prompt_text(request), request.max_tokens)
    return "".join(f" {word}" for word in words)


def _prompt_hash(request: Completion) -> int:
    return hash_bytes(_prompt_text(request).encode())


def make_standin_answers() -> ExpectedAnswers:
    """Return the expected answers of the stand-in engines."""
    return ExpectedAnswers(text=_expected_text, prompt_hash=_prompt_hash)


def count_orders(bodies: Iterable[bytes]) -> Counter[str]:
    """Count the runs of each ``order_id``; bodies without one are skipped."""
    runs: Counter[str] = Counter()
    for body in bodies:
        try:
            order = msgspec.json.decode(body)["order_id"]
        except (msgspec.DecodeError, KeyError, TypeError):
            continue
        runs[str(order)] += 1
    return runs


def collect_evidence(
    engines: Iterable[EngineStandin], services: Iterable[ServiceStandin]
) -> Evidence:
    """Return the records of stand-ins in this process."""
    bodies = (order.body for service in services for order in service.orders)
    hashes = (record.prompt_hash for engine in engines for record in engine.records)
    return Evidence(order_runs=count_orders(bodies), prompt_hashes=frozenset(hashes))


async def read_order_runs(service_urls: Iterable[str]) -> Evidence:
    """Read the orders that stand-in services in other processes ran.

    Raises:
        aiohttp.ClientError: A service could not be read. An audit without its
            record could not detect lost or repeated orders.
    """
    runs: Counter[str] = Counter()
    connector = make_bounded_connector("load")
    async with aiohttp.ClientSession(connector=connector) as session:
        for url in service_urls:
            async for order in _orders(session, url):
                runs[str(order.get("order_id", ""))] += 1
    return Evidence(order_runs=runs)


async def _orders(
    session: aiohttp.ClientSession, url: str
) -> AsyncIterator[dict[str, Any]]:
    for number in range(1, _MAX_ORDERS):
        async with session.get(f"{url}/orders/{number}") as response:
            if response.status == 404:
                return
            response.raise_for_status()
            order = (await response.json())["order"]
        if isinstance(order, dict):
            yield order
