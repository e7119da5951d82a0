"""Reads cache events from the platform's engines and KV stores."""

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from lycheepost.core.ids import ModelId
from lycheepost.decide.promptlevels import part_digest, split_scope
from lycheepost.generated.engine import CacheEvent, CacheEventKind
from lycheepost.platform.sessions import make_call_session
from lycheepost.targets.cachewatch import CacheEventBatch
from lycheepost.targets.errors import TargetError, TargetLost
from lycheepost.targets.network import TargetNetwork
from lycheepost.utils.boundedreads import read_bounded
from lycheepost.utils.decoding import UNREADABLE
from lycheepost.utils.runningtime import running_timeout

LONG_POLL_MS = 1000
"""How long a server may hold a long poll before it answers."""
CALL_TIMEOUT_SECONDS = 1.8
"""``LONG_POLL_MS`` plus 0.8 s for the response of a busy engine."""
CONNECT_TIMEOUT_SECONDS = 0.3
"""As in ``orders``: connecting takes a few milliseconds."""
KEEPALIVE_SECONDS = 5.0
"""Ten times the pause between two polls."""

_MAX_PAGE_BYTES = 2 * 1024 * 1024
"""Servers keep only their newest events, of about a hundred bytes each."""

_WireEvent = tuple[int, str, str, str, int, str]
"""Sequence number, ``+`` or ``-``, cache scope, part id, tokens now cached, model."""


class _WireEvents(msgspec.Struct):
    """A page of events.

    ``boot_epoch`` changes when the engine restarts; ``lost`` marks a gap in the events.
    """

    boot_epoch: int
    next: int
    lost: bool
    events: list[_WireEvent]


class CacheEventsClient:
    """Implements ``targets.cachewatch.CacheEventsPort``.

    Args:
        network: Opens the connections.
    """

    def __init__(self, network: TargetNetwork | None = None) -> None:
        self._network = network
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        self._session = make_call_session(
            "cache_events",
            CONNECT_TIMEOUT_SECONDS,
            KEEPALIVE_SECONDS,
            self._network,
        )

    async def drain(self) -> None:
        """Do nothing: the watch that calls this client has ended."""

    async def stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def read_events(
        self, address: str, since: int, is_store: bool
    ) -> Result[CacheEventBatch, TargetError]:
        """Return the events with a sequence number after ``since``."""
        if self._session is None:
            raise RuntimeError("the HTTP session is not open")
        try:
            async with (
                running_timeout("cache events", CALL_TIMEOUT_SECONDS),
                self._session.get(
                    f"http://{address}/kv-events",
                    params={"since": str(since)},
                    headers={"Wait-Ms": str(LONG_POLL_MS)},
                ) as response,
            ):
                if response.status != 200:
                    return Failure(TargetError(f"status {response.status}"))
                body = await read_bounded(response, _MAX_PAGE_BYTES)
                return _decode(body, is_store)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(TargetLost(f"no response: {type(error).__name__}"))


def _decode(body: bytes, is_store: bool) -> Result[CacheEventBatch, TargetError]:
    try:
        wire = msgspec.json.decode(body, type=_WireEvents)
    except UNREADABLE as error:
        return Failure(TargetError(f"cache events cannot be decoded: {error}"))
    events = tuple(_to_event(event, is_store) for event in wire.events)
    return Success(CacheEventBatch(wire.boot_epoch, wire.next, wire.lost, events))


def _to_event(wire: _WireEvent, is_store: bool) -> CacheEvent:
    number, sign, scope_text, part_id, n_tokens, model = wire
    scope = split_scope(scope_text)
    if not is_store:
        scope = scope.within_engine
    kind = CacheEventKind.EVICTED
    if n_tokens > 0:
        kind = CacheEventKind.STORED if sign == "+" else CacheEventKind.TRIMMED
    return CacheEvent(
        sequence=number,
        kind=kind,
        digest=part_digest(scope, ModelId(model), part_id),
        n_tokens=n_tokens,
    )
