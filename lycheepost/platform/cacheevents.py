"""Cache events of the platform's engines and stores."""

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from lycheepost.core.ids import ModelId
from lycheepost.decide.promptlevels import part_digest, split_scope
from lycheepost.generated.engine import CacheEvent, CacheEventKind
from lycheepost.platform.sessions import make_call_session
from lycheepost.targets.cachewatch import CacheEventBatch
from lycheepost.targets.errors import TargetError, TargetLost
from lycheepost.utils.decoding import UNREADABLE

HELD_MS = 1000
"""The longest that a question may be held."""
CALL_SECONDS = 1.8
"""The time of holding, and as much again less a fifth for an engine that is busy."""
CONNECT_SECONDS = 0.3
"""As for orders: a connection takes a few milliseconds."""
KEPT_SECONDS = 5.0
"""Ten times the pause between two questions."""

_WireEvent = tuple[int, str, str, str, int, str]
"""Number, ``+`` or ``-``, cache scope, part id, tokens kept now, model."""


class _WireNews(msgspec.Struct):
    """``boot_epoch`` changes at a restart; ``lost`` tells of a gap."""

    boot_epoch: int
    next: int
    lost: bool
    events: list[_WireEvent]


class CacheEventsClient:
    """Implements ``targets.cachewatch.CacheEventsPort``."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        self._session = make_call_session(CALL_SECONDS, CONNECT_SECONDS, KEPT_SECONDS)

    async def drain(self) -> None:
        """Do nothing: the watch ends first."""

    async def stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def read_events(
        self, address: str, since: int
    ) -> Result[CacheEventBatch, TargetError]:
        """Return the events after ``since``."""
        if self._session is None:
            raise RuntimeError("the session is not open")
        try:
            async with self._session.get(
                f"http://{address}/kv-events",
                params={"since": str(since)},
                headers={"Wait-Ms": str(HELD_MS)},
            ) as response:
                if response.status != 200:
                    return Failure(TargetError(f"status {response.status}"))
                return _decode(await response.read())
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return Failure(TargetLost(f"no answer: {type(error).__name__}"))


def _decode(body: bytes) -> Result[CacheEventBatch, TargetError]:
    try:
        wire = msgspec.json.decode(body, type=_WireNews)
    except UNREADABLE as error:
        return Failure(TargetError(f"events cannot be read: {error}"))
    events = tuple(_to_event(event) for event in wire.events)
    return Success(CacheEventBatch(wire.boot_epoch, wire.next, wire.lost, events))


def _to_event(wire: _WireEvent) -> CacheEvent:
    number, sign, scope, part_id, n_tokens, model = wire
    kind = CacheEventKind.EVICTED
    if n_tokens > 0:
        kind = CacheEventKind.STORED if sign == "+" else CacheEventKind.TRIMMED
    return CacheEvent(
        sequence=number,
        kind=kind,
        digest=part_digest(split_scope(scope), ModelId(model), part_id),
        n_tokens=n_tokens,
    )
