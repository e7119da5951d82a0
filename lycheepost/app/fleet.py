"""Joins the fleet where daemons discover each other through the store.

Links need the keys shared by the daemons, which are kept in the store. The links
open once the store has responded; until then the daemon serves without peers.
"""

import asyncio
from dataclasses import dataclass

import structlog
from returns.result import Failure, Success

from lycheepost.core.ids import DaemonId
from lycheepost.peers.exchange import PeerExchange
from lycheepost.peers.sockets import (
    PeerError,
    PeerKeys,
    SocketTransport,
    make_peer_keys,
)
from lycheepost.ports.table import TablePort
from lycheepost.state.memberrows import MemberRow, MemberRows
from lycheepost.state.members import MemberManager
from lycheepost.state.peerkeys import StoredKeys, load_peer_keys
from lycheepost.utils.tasks import start_task

RETRY_SECONDS = 0.5
"""Interval between attempts while the store does not respond."""

_log = structlog.get_logger(part="fleet")


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity of this daemon.

    Attributes:
        boot: Id that is unique for each start.
    """

    daemon: DaemonId
    boot: str
    availability_zone: str
    host: str


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
        self._is_open = False

    async def start(self) -> None:
        """Start joining the fleet."""
        self._task = start_task(self._join(), "fleet-join")

    async def drain(self) -> None:
        """Announce that this daemon is leaving, and remove its row."""
        self._members.announce_leaving()
        match await self._rows.remove(self._identity.daemon, self._identity.boot):
            case Failure(error):
                _log.info("fleet: row not removed", reason=error.reason)

    async def stop(self) -> None:
        """Close the links."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._is_open:
            await self._members.stop()
            await self._exchange.stop()

    async def _join(self) -> None:
        keys = await self._keys()
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
        while True:
            match await load_peer_keys(self._table, _make_keys):
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
