"""Relay one verified answer to its caller.

The caller's pace holds the target back: nothing is read from the target while
the caller's connection has more than the buffer's bound unsent.
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
    """The caller got the whole answer."""

    n_events: int
    usage: Usage | None


@dataclass(frozen=True, slots=True)
class RelayLost:
    """The answer cannot be completed from this target.

    The response is left open: the caller's stream may be continued from
    another target, or must be ended without ``[DONE]``.
    """

    error: StreamLost


@dataclass(frozen=True, slots=True)
class RelayCallerGone:
    """The caller left; the engine was told to stop."""

    n_events: int


RelayOutcome = RelayComplete | RelayLost | RelayCallerGone


async def relay(stream: EngineStream, response: web.StreamResponse) -> RelayOutcome:
    """Write a stream's answer to a prepared response until either side ends."""
    try:
        while True:
            data = await stream.read()
            if data is None:
                return RelayComplete(stream.n_events, stream.usage)
            await response.write(data)
    except StreamLost as error:
        return RelayLost(error)
    except ConnectionError:
        await stream.cancel()
        return RelayCallerGone(stream.n_events)
    except BaseException:
        # The handler was cancelled, because the caller left or the daemon stops.
        await stream.cancel()
        raise
