"""Wait for the head of a target's answer, and leave none behind.

The failure: a caller leaves, or its time runs out, in the very moment in which its
answer begins. The answer belongs to nobody then, and its target works on until the
connection is closed by chance. So whoever stops waiting closes what comes.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from returns.result import Result, Success

from lycheepost.targets.errors import TargetError
from lycheepost.targets.forward import ForwardResponse

Sent = Result[ForwardResponse, TargetError]


async def await_head(
    send: Coroutine[Any, Any, Sent], wait_seconds: float, may_leave: Callable[[], bool]
) -> Sent:
    """Return what came of a send.

    Args:
        send: The send; it is cancelled when it is not waited for to its end.
        wait_seconds: How long to wait before ``may_leave`` is asked.
        may_leave: Whether to give the send up; False to wait once more.

    Raises:
        TimeoutError: Nothing came in time, and the send was given up.
    """
    sending = asyncio.ensure_future(send)
    try:
        while True:
            ended, _ = await asyncio.wait({sending}, timeout=wait_seconds)
            if ended:
                return sending.result()
            if may_leave():
                raise TimeoutError
    except BaseException:
        sending.cancel()
        sending.add_done_callback(_close_unwanted)
        raise


def _close_unwanted(sending: "asyncio.Future[Sent]") -> None:
    """Close an answer that came when nobody waited for it any more."""
    if sending.cancelled() or sending.exception() is not None:
        return
    match sending.result():
        case Success(answer):
            answer.close()
