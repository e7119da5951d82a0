"""Wait for the headers of a target's response, and close it when abandoned.

A caller may leave, or its time-out may pass, at the moment its response begins. The
response then has no reader, and the target keeps working until its connection is
closed. An abandoned response is therefore closed when it arrives.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

from returns.result import Result, Success

from lycheepost.targets.errors import TargetError
from lycheepost.targets.forward import ForwardResponse
from lycheepost.utils.runningtime import is_done_within

AttemptResult = Result[ForwardResponse, TargetError]


async def await_headers(
    send: Coroutine[Any, Any, AttemptResult],
    waits_seconds: Iterator[float],
    on_silent: Callable[[], None],
) -> AttemptResult:
    """Return the result of an attempt; it is ended when the wait for it is cancelled.

    Args:
        send: The attempt.
        waits_seconds: How long to wait before each call of ``on_silent``; after the
            last one there is no time-out.
        on_silent: Called while the target sends nothing.
    """
    sending = asyncio.ensure_future(send)
    try:
        while True:
            wait_seconds = next(waits_seconds, None)
            if await is_done_within(sending, "headers", wait_seconds):
                return sending.result()
            on_silent()
    except BaseException:
        sending.cancel()
        sending.add_done_callback(_close_unwanted)
        raise


def _close_unwanted(sending: "asyncio.Future[AttemptResult]") -> None:
    """Close a response that arrived after its attempt was abandoned."""
    if sending.cancelled() or sending.exception() is not None:
        return
    match sending.result():
        case Success(answer):
            answer.close()
