"""Sends one plain-service call as a caller does, with one idempotency key.

A kiosk that gets no answer cannot know whether its order ran. It sends the same
bytes with the same key again, through another address, until it gets an answer or
its time-out ends.
"""

import asyncio
from collections.abc import Callable

import aiohttp
import numpy as np

from lycheepost.loadgen.addresses import AddressBook
from lycheepost.loadgen.completions import (
    EXECUTED_HEADER,
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
    Client,
    read_refusal,
)
from lycheepost.loadgen.outcomes import (
    CallAttempt,
    CallOutcome,
    CallRecord,
    Dropped,
    Executed,
    GaveUp,
    Refused,
    ServiceAnswered,
    Unreached,
)
from lycheepost.loadgen.requests import Repeat, ServiceCall

_MAX_ATTEMPTS_PER_CALL = 8
"""Limits the load of one call while the system rejects it."""
_DROP_AFTER_SECONDS = (0.001, 0.05)
"""Range of times after which the connection of a lost answer is closed: before,
during and after the run."""
_RETRY_PAUSE_SECONDS = 0.3
"""Wait before another attempt if the refusal names no time."""
_MAX_RETRY_PAUSE_SECONDS = 5.0
_RETRYABLE_STATUSES = frozenset({409, 425, 429, 502, 503, 504})
"""Statuses of refusals that another attempt may resolve."""

MakeClient = Callable[[str], Client]
MakeRequestId = Callable[[], str]


async def send_call(
    call: ServiceCall, request_id: str, client: Client, service_path: str
) -> CallOutcome:
    """Send ``call`` once and return its outcome; errors are outcomes too."""
    sent_seconds = asyncio.get_running_loop().time()
    headers = {
        "Authorization": f"Bearer {client.key}",
        "Content-Type": "application/json",
        "Idempotency-Key": call.key,
        "X-Non-Idempotent": "true",
        REQUEST_ID_HEADER: request_id,
        TIMEOUT_HEADER: f"{call.timeout_seconds:g}",
    }
    try:
        async with asyncio.timeout(call.timeout_seconds):
            async with client.session.post(
                f"{client.address}{service_path}", data=call.body, headers=headers
            ) as response:
                if _is_refusal(response):
                    return await read_refusal(response, sent_seconds)
                return ServiceAnswered(
                    status=response.status,
                    body=await response.read(),
                    echoed_request=response.headers.get(REQUEST_ID_HEADER, ""),
                    seconds=asyncio.get_running_loop().time() - sent_seconds,
                )
    except TimeoutError:
        return GaveUp(asyncio.get_running_loop().time() - sent_seconds)
    except (aiohttp.ClientError, OSError) as error:
        return Unreached(type(error).__name__)


def _is_refusal(response: aiohttp.ClientResponse) -> bool:
    """Return whether it is a refusal and not a relayed answer of the service."""
    executed = response.headers.get(EXECUTED_HEADER, Executed.YES.value)
    return response.status >= 400 and executed != Executed.YES.value


async def run_call(
    call: ServiceCall,
    book: AddressBook,
    make_client: MakeClient,
    make_request_id: MakeRequestId,
    service_path: str,
    rng: np.random.Generator,
) -> CallRecord:
    """Send ``call`` until it is answered, finally rejected or timed out."""
    loop = asyncio.get_running_loop()
    deadline_seconds = loop.time() + call.timeout_seconds
    attempts: list[CallAttempt] = []
    if call.repeat is Repeat.AFTER_LOST_ANSWER:
        client = make_client(book.choices()[0])
        request_id = make_request_id()
        drop_seconds = rng.uniform(*_DROP_AFTER_SECONDS)
        outcome = await _send_and_disconnect(
            call, request_id, client, service_path, drop_seconds
        )
        attempts.append(CallAttempt(request_id, outcome))
    if call.repeat is Repeat.AT_ONCE:
        attempts += await _send_twice(
            call, book, make_client, make_request_id, service_path
        )
    # Callers that repeat make one attempt more than needed, to check that a call
    # with a final answer gets the same bytes again and does not run again.
    n_extra = 0 if call.repeat is Repeat.NEVER else 1
    while len(attempts) < _MAX_ATTEMPTS_PER_CALL and loop.time() < deadline_seconds:
        if _is_final(attempts):
            if n_extra == 0:
                break
            n_extra -= 1
        choices = book.choices()
        address = choices[len(attempts) % len(choices)]
        request_id = make_request_id()
        outcome = await send_call(call, request_id, make_client(address), service_path)
        attempts.append(CallAttempt(request_id, outcome))
        if isinstance(outcome, Unreached):
            book.mark_failed(address)
        await _pause(outcome, deadline_seconds)
    return CallRecord(call, tuple(attempts))


async def _send_and_disconnect(
    call: ServiceCall,
    request_id: str,
    client: Client,
    service_path: str,
    drop_seconds: float,
) -> CallOutcome:
    """Send ``call`` and close the connection without reading the answer."""
    try:
        async with asyncio.timeout(drop_seconds):
            await send_call(call, request_id, client, service_path)
    except TimeoutError:
        pass
    return Dropped()


async def _send_twice(
    call: ServiceCall,
    book: AddressBook,
    make_client: MakeClient,
    make_request_id: MakeRequestId,
    service_path: str,
) -> list[CallAttempt]:
    """Send ``call`` twice concurrently, through two addresses if known."""
    choices = book.choices()
    request_ids = (make_request_id(), make_request_id())
    outcomes = await asyncio.gather(
        *(
            send_call(
                call,
                request_id,
                make_client(choices[index % len(choices)]),
                service_path,
            )
            for index, request_id in enumerate(request_ids)
        )
    )
    return [
        CallAttempt(request_id, outcome)
        for request_id, outcome in zip(request_ids, outcomes, strict=True)
    ]


def _is_final(attempts: list[CallAttempt]) -> bool:
    """Return whether no further attempt can change the result."""
    for attempt in attempts:
        match attempt.outcome:
            case ServiceAnswered():
                return True
            case Refused(status=status) if status not in _RETRYABLE_STATUSES:
                return True
    return False


async def _pause(outcome: CallOutcome, deadline_seconds: float) -> None:
    """Wait as long as a refusal asks, but not beyond the caller's time-out."""
    match outcome:
        case ServiceAnswered():
            return
        case Refused(executed=Executed.YES):
            pause_seconds = _RETRY_PAUSE_SECONDS
        case Refused(retry_after_seconds=float() as seconds):
            pause_seconds = min(seconds, _MAX_RETRY_PAUSE_SECONDS)
        case _:
            pause_seconds = _RETRY_PAUSE_SECONDS
    left_seconds = deadline_seconds - asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, min(pause_seconds, left_seconds)))
