"""Relay one verified answer to its caller.

Back-pressure: nothing is read from the target while the caller's connection has more
than its buffer's limit unsent.
"""

from dataclasses import dataclass

import structlog
from aiohttp import web

from lycheepost.targets.errors import StreamLost
from lycheepost.targets.sse import Usage
from lycheepost.targets.stream import EngineStream

_log = structlog.get_logger(part="targets")


@dataclass(frozen=True, slots=True)
class RelayComplete:
    """The caller got the complete answer."""

    n_events: int
    usage: Usage | None


@dataclass(frozen=True, slots=True)
class RelayLost:
    """The answer cannot be completed by this target.

    The response is left open: either another target continues the caller's stream,
    or it must be ended without ``[DONE]``.
    """

    error: StreamLost


@dataclass(frozen=True, slots=True)
class RelayCallerGone:
    """The caller has left; the engine's request was cancelled."""

    n_events: int


RelayOutcome = RelayComplete | RelayLost | RelayCallerGone


async def relay(
    stream: EngineStream,
    response: web.StreamResponse,
    request: web.BaseRequest | None = None,
) -> RelayOutcome:
    """Write a stream's answer to a prepared response until either side ends.

    Args:
        stream: The verified answer.
        response: The caller's response, already prepared.
        request: The caller's request. If given, each piece is written to the
            caller's transport in the callback that read it.
    """
    try:
        # The first piece is written through the response, because aiohttp sends
        # the headers together with it.
        data = await stream.read()
        if data is None:
            return RelayComplete(stream.n_events, stream.usage)
        await response.write(data)
        if request is None or not await _relay_directly(stream, response, request):
            while (data := await stream.read()) is not None:
                await response.write(data)
        return RelayComplete(stream.n_events, stream.usage)
    except StreamLost as error:
        return RelayLost(error)
    except ConnectionError:
        await stream.cancel()
        return RelayCallerGone(stream.n_events)
    except BaseException:
        # The handler was cancelled: the caller has left or the daemon is stopping.
        await stream.cancel()
        raise


async def _relay_directly(
    stream: EngineStream, response: web.StreamResponse, request: web.BaseRequest
) -> bool:
    """Relay from the read callback to the transport.

    Returns:
        Whether the response allows that; if not, nothing was relayed.
    """
    transport = request.transport
    is_chunked = response.headers.get("Transfer-Encoding") == "chunked"
    if transport is None or response.compression or not is_chunked:
        return False

    def write(data: bytes) -> bool:
        if transport.is_closing():
            return False
        transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        return not protocol.writing_paused

    protocol = request.protocol
    while not await stream.pump(write):
        if transport.is_closing():
            raise ConnectionResetError("the caller has left")
        # The caller reads slower than the target sends. The target is not read
        # until the transport has sent its buffer, so the daemon buffers at most
        # the transport's limit and one read for each such stream.
        await request.writer.drain()
        stream.resume_reading()
    return True
