"""Client of the operators' API, used by the commands.

A confirm is retried with the same idempotency key when its response is lost, so that
the operator learns the outcome and still gets a new caller key.
"""

import asyncio
import json
import ssl
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from returns.result import Failure, Result, Success

from lycheepost.core.errors import LycheepostError
from lycheepost.utils.boundedreads import make_bounded_connector

_TIMEOUT_SECONDS = 30.0
_MAX_CONFIRM_ATTEMPTS = 3
_RETRY_SECONDS = 0.5
"""Pause before the second attempt; each further pause is longer by this time."""
_MAX_CONCURRENT_CALLS = 32


@dataclass(frozen=True)
class ApiConnection:
    """The address of the operators' API and the key for it.

    Attributes:
        ca_file: Certificates to trust in addition to the system's; empty for none.
    """

    url: str
    key: str = field(repr=False)
    ca_file: str = ""


@dataclass(frozen=True)
class ApiRefused(LycheepostError):
    """The daemon refused the call.

    Attributes:
        body: The ``ErrorBody`` as JSON objects.
    """

    status: int
    body: dict[str, Any]


@dataclass(frozen=True)
class ApiUnreachable(LycheepostError):
    """No valid response was received; a confirm may still have been applied."""


ApiAnswer = Result[Any, ApiRefused | ApiUnreachable]


async def call_api(
    connection: ApiConnection,
    method: str,
    path: str,
    document: Any = None,
    headers: dict[str, str] | None = None,
) -> ApiAnswer:
    """Call the API once and return the decoded body, or the error."""
    sent = dict(headers or {})
    if connection.key:
        sent["Authorization"] = f"Bearer {connection.key}"
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
    try:
        connector = make_bounded_connector("operators", ssl=_make_ssl(connection))
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            async with session.request(
                method, connection.url.rstrip("/") + path, json=document, headers=sent
            ) as response:
                return _read_answer(response.status, await response.read())
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = str(error) or type(error).__name__
        return Failure(ApiUnreachable(f"No answer from {connection.url}: {reason}"))


def _make_ssl(connection: ApiConnection) -> ssl.SSLContext | bool:
    if not connection.ca_file:
        return True
    return ssl.create_default_context(cafile=connection.ca_file)


def _read_answer(status: int, data: bytes) -> ApiAnswer:
    try:
        body = json.loads(data)
    except ValueError:
        return Failure(ApiUnreachable(f"The answer of status {status} is not JSON."))
    if status < 300:
        return Success(body)
    if not isinstance(body, dict) or "reason" not in body:
        return Failure(ApiUnreachable(f"Something else answers there: {status}."))
    return Failure(ApiRefused(body["reason"], status, body))


async def confirm(
    connection: ApiConnection, plan_id: str, token: str, allow_unrelated: bool
) -> ApiAnswer:
    """Confirm a plan; retry the same call while its outcome is unknown."""
    path = f"/v1/plans/{plan_id}/confirm"
    if allow_unrelated:
        path += "?allow_unrelated=true"
    answer: ApiAnswer = Failure(ApiUnreachable("The confirm was not tried."))
    for number in range(_MAX_CONFIRM_ATTEMPTS):
        await asyncio.sleep(_RETRY_SECONDS * number)
        answer = await call_api(
            connection, "POST", path, headers={"Idempotency-Key": token}
        )
        if isinstance(answer, Success) or not _is_outcome_unknown(answer.failure()):
            return answer
    return answer


def _is_outcome_unknown(error: ApiRefused | ApiUnreachable) -> bool:
    match error:
        case ApiUnreachable():
            return True
        case ApiRefused(status=503):
            return True
        case ApiRefused():
            return False


async def ask_revisions(
    daemons: list[dict[str, Any]], ca_file: str = ""
) -> dict[str, int]:
    """Return the revision in force at each daemon; omit unreachable daemons.

    Daemons do not exchange this: doing so would cost each of 540 daemons more than its
    budget for control traffic, while operators ask only occasionally.
    """
    limit = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)

    async def ask(daemon: dict[str, Any]) -> tuple[str, int | None]:
        connection = ApiConnection(daemon["callers_url"], "", ca_file)
        async with limit:
            answer = await call_api(connection, "GET", "/admin/status")
        body: Any = answer.value_or({})
        revision = body.get("revision") if isinstance(body, dict) else None
        return daemon["daemon_id"], revision

    reachable = [daemon for daemon in daemons if daemon["callers_url"]]
    answers = await asyncio.gather(*map(ask, reachable))
    return {name: revision for name, revision in answers if revision is not None}
