"""Accepts the connections of clients, a few at a time, while there is a place for them.

The event loop's own servers accept all that wait, before any of their protocols runs; a
crowd would take the descriptors that the daemon needs for its targets.
"""

import asyncio
import socket

import structlog

from lycheepost.callers.boundedserver import BoundedServer
from lycheepost.callers.clientaccount import ClientAccount
from lycheepost.utils.tasks import start_task

MAX_ACCEPTED = 16
"""Connections accepted at one port in one turn of the loop."""

RETRY_SECONDS = 0.1
"""Pause after a connection could not be accepted, for want of descriptors."""

_log = structlog.get_logger(part="app")


class Acceptor:
    """Accepts connections at one socket.

    Args:
        listening: The socket; closed by ``stop``.
        server: Makes the protocol of each connection.
        account: What is held for all clients.
    """

    def __init__(
        self, listening: socket.socket, server: BoundedServer, account: ClientAccount
    ) -> None:
        self._listening = listening
        self._server = server
        self._account = account
        self._loop = asyncio.get_running_loop()
        self._opening: set[asyncio.Task[None]] = set()
        self._is_stopped = False

    def start(self) -> None:
        """Start accepting, also what is in the queue already."""
        if not self._is_stopped:
            self._loop.add_reader(self._listening.fileno(), self._accept)

    def stop(self) -> None:
        """Accept nothing more, and close the socket."""
        self._is_stopped = True
        self._loop.remove_reader(self._listening.fileno())
        self._listening.close()

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTED):
            try:
                accepted, _address = self._listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._pause(error)
                return
            self._open(accepted)

    def _open(self, accepted: socket.socket) -> None:
        if not self._account.make_place():
            accepted.close()
            return
        accepted.setblocking(False)
        task = start_task(self._connect(accepted), "accept")
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._server, accepted)
        except OSError as error:
            accepted.close()
            _log.info("app: connection lost at once", reason=str(error))

    def _pause(self, error: OSError) -> None:
        _log.warning("app: connection not accepted", reason=str(error))
        self._loop.remove_reader(self._listening.fileno())
        self._loop.call_later(RETRY_SECONDS, self.start)
