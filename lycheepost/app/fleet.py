"""Joins the fleet where daemons discover each other through the store.

Links need the keys shared by the daemons, which are kept in the store. The links
open once the store has responded; until then the daemon serves without peers.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.ids import DaemonId
from lycheepost.peers.exchange import PeerExchange
from lycheepost.peers.sockets import (
    PeerError,
    PeerKeys,
    SocketTransport,
    make_peer_keys,
)
from lycheepost.ports.table import TableError, TablePort
from lycheepost.state.memberrows import MemberRow, MemberRows
from lycheepost.state.members import MemberManager
from lycheepost.state.peerkeys import StoredKeys, find_peer_keys, load_peer_keys
from lycheepost.utils.tasks import start_task

RETRY_SECONDS = 0.5
"""Interval between attempts while the store does not respond."""

REWRITE_SPREAD_SECONDS = 0.5
"""Time over which the daemons write their rows again after a restore."""

KEYS_WAIT_SECONDS = 3.5
"""How long a daemon that starts waits for the running ones to write the peer keys again
after a restore: their long poll of the store, their back-off and
``REWRITE_SPREAD_SECONDS``."""

_Keys = TypeVar("_Keys", bound=StoredKeys | None)

_Attempt = Callable[[], Awaitable[Result[_Keys, TableError]]]

_log = structlog.get_logger(part="fleet")


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity of this daemon.

    Attributes:
        boot: Id that is unique for each start.
        is_first_start: Whether the whole fleet starts for the first time.
    """

    daemon: DaemonId
    boot: str
    availability_zone: str
    host: str
    is_first_start: bool = False


class Fleet:
    """Opens the links and maintains this daemon's row in the table.

    Args:
        identity: The identity of this daemon.
        table: The table that holds keys and rows.
        transport: The links.
        exchange: Sends and receives messages over the links.
        members: The members of the fleet.
    """

    def __init__(
        self,
        identity: Identity,
        table: TablePort,
        transport: SocketTransport,
        exchange: PeerExchange,
        members: MemberManager,
    ) -> None:
        self._identity = identity
        self._table = table
        self._rows = MemberRows(table)
        self._transport = transport
        self._exchange = exchange
        self._members = members
        self._task: asyncio.Task[None] | None = None
        self._rewriting: asyncio.Task[None] | None = None
        self._keys_in_use: StoredKeys | None = None
        self._is_open = False
        self._is_leaving = False

    async def start(self) -> None:
        """Start joining the fleet."""
        self._task = start_task(self._join(), "fleet-join")

    async def drain(self) -> None:
        """Announce that this daemon is leaving, and remove its row."""
        self._members.announce_leaving()
        self._is_leaving = True
        match await self._rows.remove(self._identity.daemon, self._identity.boot):
            case Failure(error):
                _log.info("fleet: row not removed", reason=error.reason)

    async def stop(self) -> None:
        """Close the links."""
        for task in (self._task, self._rewriting):
            if task is not None:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
        if self._is_open:
            await self._members.stop()
            await self._exchange.stop()

    def note_restored(self) -> None:
        """Write again what this daemon wrote: a restored store may have lost it."""
        if self._keys_in_use is None or self._is_leaving:
            return
        if self._rewriting is not None:
            self._rewriting.cancel()
        self._rewriting = start_task(self._rewrite(self._keys_in_use), "fleet-rewrite")

    async def _rewrite(self, keys: StoredKeys) -> None:
        await asyncio.sleep(random.uniform(0.0, REWRITE_SPREAD_SECONDS))
        stored = await self._settle(lambda: load_peer_keys(self._table, lambda: keys))
        if stored != keys:
            _log.error("fleet: the store holds other peer keys than those in use")
        if self._is_open:
            await self._register()
        _log.info("fleet: rows written again after a restore of the store")

    async def _join(self) -> None:
        keys = await self._keys()
        self._keys_in_use = keys
        self._transport.set_keys(PeerKeys(keys.public, keys.secret))
        try:
            await self._exchange.start()
        except PeerError as error:
            _log.error("fleet: no links", reason=error.reason)
            return
        self._is_open = True
        await self._register()
        await self._members.start()
        _log.info("fleet: joined", endpoint=self._transport.endpoint)

    async def _keys(self) -> StoredKeys:
        if not self._identity.is_first_start:
            found = await self._find_keys()
            if found is not None:
                return found
        return await self._settle(lambda: load_peer_keys(self._table, _make_keys))

    async def _find_keys(self) -> StoredKeys | None:
        """Return the peer keys, or None if nobody writes them for a while."""
        loop = asyncio.get_running_loop()
        until_seconds = float("inf")
        while loop.time() < until_seconds:
            found = await self._settle(lambda: find_peer_keys(self._table))
            if found is not None:
                return found
            until_seconds = min(until_seconds, loop.time() + KEYS_WAIT_SECONDS)
            await asyncio.sleep(RETRY_SECONDS)
        return None

    async def _settle(self, attempt: _Attempt[_Keys]) -> _Keys:
        """Repeat an attempt until the store responds."""
        while True:
            match await attempt():
                case Success(keys):
                    return keys
                case Failure(error):
                    _log.warning("fleet: no peer keys yet", reason=error.reason)
            await asyncio.sleep(RETRY_SECONDS)

    async def _register(self) -> None:
        me = self._members.me()
        row = MemberRow(
            availability_zone=self._identity.availability_zone,
            host=self._identity.host,
            callers_url=me.callers_url,
            peer_endpoint=me.peer_endpoint,
            boot=self._identity.boot,
        )
        while True:
            match await self._rows.register(self._identity.daemon, row):
                case Success():
                    return
                case Failure(error):
                    _log.warning("fleet: not registered yet", reason=error.reason)
            await asyncio.sleep(RETRY_SECONDS)


def _make_keys() -> StoredKeys:
    keys = make_peer_keys()
    return StoredKeys(keys.public, keys.secret)
