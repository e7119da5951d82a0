"""Send one plain-service call as a caller does, with the same key each time.

A kiosk that gets no answer cannot know whether its order ran. It sends the same
bytes with the same key again, through another address, until it has an answer
or its shopper has left.
"""

import asyncio
from collections.abc import Callable

import aiohttp
import numpy as np

from lycheepost.loadgen.addresses import AddressBook
from lycheepost.loadgen.completions import (
    EXECUTED_HEADER,
    PATIENCE_HEADER,
    REQUEST_ID_HEADER,
    Line,
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

_SENDS_PER_CALL = 8
"""Bounds the load that one call adds while the system refuses it."""
_LOST_AFTER_SECONDS = (0.001, 0.05)
"""When a lost answer's connection breaks: before, during and after the run."""
_PAUSE_SECONDS = 0.3
"""Wait before another send when the refusal names no time."""
_LONGEST_PAUSE_SECONDS = 5.0
_CONFLICT_STATUSES = frozenset({409, 425, 429, 502, 503, 504})
"""Refusals that may end differently on another send."""

MakeLine = Callable[[str], Line]
MakeRequestId = Callable[[], str]


async def send_call(
    call: ServiceCall, request_id: str, line: Line, service_path: str
) -> CallOutcome:
    """Send ``call`` once and return its end; errors become outcomes."""
    sent_seconds = asyncio.get_running_loop().time()
    headers = {
        "Authorization": f"Bearer {line.key}",
        "Content-Type": "application/json",
        "Idempotency-Key": call.key,
        "X-Non-Idempotent": "true",
        REQUEST_ID_HEADER: request_id,
        PATIENCE_HEADER: f"{call.patience_seconds:g}",
    }
    try:
        async with asyncio.timeout(call.patience_seconds):
            async with line.session.post(
                f"{line.address}{service_path}", data=call.body, headers=headers
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
    """Tell a refusal from the service's own answer, which is relayed."""
    executed = response.headers.get(EXECUTED_HEADER, Executed.YES.value)
    return response.status >= 400 and executed != Executed.YES.value


async def run_call(
    call: ServiceCall,
    book: AddressBook,
    make_line: MakeLine,
    make_request_id: MakeRequestId,
    service_path: str,
    rng: np.random.Generator,
) -> CallRecord:
    """Send ``call`` until it is answered, refused for good or out of time."""
    loop = asyncio.get_running_loop()
    until_seconds = loop.time() + call.patience_seconds
    attempts: list[CallAttempt] = []
    if call.repeat is Repeat.AFTER_LOST_ANSWER:
        line = make_line(book.choices()[0])
        request_id = make_request_id()
        drop_seconds = rng.uniform(*_LOST_AFTER_SECONDS)
        outcome = await _send_and_drop(
            call, request_id, line, service_path, drop_seconds
        )
        attempts.append(CallAttempt(request_id, outcome))
    if call.repeat is Repeat.AT_ONCE:
        attempts += await _send_at_once(
            call, book, make_line, make_request_id, service_path
        )
    # One more send than needed, where a caller repeats, shows that a settled
    # call is answered again with the same bytes and does not run again.
    n_extra = 0 if call.repeat is Repeat.NEVER else 1
    while len(attempts) < _SENDS_PER_CALL and loop.time() < until_seconds:
        if _is_settled(attempts):
            if n_extra == 0:
                break
            n_extra -= 1
        choices = book.choices()
        address = choices[len(attempts) % len(choices)]
        request_id = make_request_id()
        outcome = await send_call(call, request_id, make_line(address), service_path)
        attempts.append(CallAttempt(request_id, outcome))
        if isinstance(outcome, Unreached):
            book.mark_failed(address)
        await _pause(outcome, until_seconds)
    return CallRecord(call, tuple(attempts))


async def _send_and_drop(
    call: ServiceCall,
    request_id: str,
    line: Line,
    service_path: str,
    drop_seconds: float,
) -> CallOutcome:
    """Send ``call`` and close the connection before reading an answer."""
    try:
        async with asyncio.timeout(drop_seconds):
            await send_call(call, request_id, line, service_path)
    except TimeoutError:
        pass
    return Dropped()


async def _send_at_once(
    call: ServiceCall,
    book: AddressBook,
    make_line: MakeLine,
    make_request_id: MakeRequestId,
    service_path: str,
) -> list[CallAttempt]:
    """Send ``call`` twice at the same time, through two addresses if known."""
    choices = book.choices()
    request_ids = (make_request_id(), make_request_id())
    outcomes = await asyncio.gather(
        *(
            send_call(
                call, request_id, make_line(choices[index % len(choices)]), service_path
            )
            for index, request_id in enumerate(request_ids)
        )
    )
    return [
        CallAttempt(request_id, outcome)
        for request_id, outcome in zip(request_ids, outcomes, strict=True)
    ]


def _is_settled(attempts: list[CallAttempt]) -> bool:
    """Whether another send can tell the caller nothing more."""
    for attempt in attempts:
        match attempt.outcome:
            case ServiceAnswered():
                return True
            case Refused(status=status) if status not in _CONFLICT_STATUSES:
                return True
    return False


async def _pause(outcome: CallOutcome, until_seconds: float) -> None:
    """Wait as long as a refusal asks for, never past the caller's patience."""
    match outcome:
        case ServiceAnswered():
            return
        case Refused(executed=Executed.YES):
            pause_seconds = _PAUSE_SECONDS
        case Refused(retry_after_seconds=float() as seconds):
            pause_seconds = min(seconds, _LONGEST_PAUSE_SECONDS)
        case _:
            pause_seconds = _PAUSE_SECONDS
    left_seconds = until_seconds - asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, min(pause_seconds, left_seconds)))
