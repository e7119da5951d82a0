"""Delivers the messages of a ZeroMQ socket on the event loop.

ZeroMQ's file descriptor is edge-triggered: it signals once, and not again until all
messages have been read. So each event reads until the socket is empty, and each send,
which may consume an event, schedules a read as well.

``zmq.asyncio`` does the same with a future for each message, which takes longer than
the message itself.
"""

import asyncio
from collections.abc import Callable

import structlog
import zmq

MAX_MESSAGES_PER_READ = 64
"""Messages delivered in sequence before the event loop runs other callbacks."""

NOBLOCK = int(zmq.NOBLOCK)
"""As a plain integer: an operation on pyzmq's flags takes longer than a receive."""

_EVENTS = int(zmq.EVENTS)
_POLLIN = int(zmq.POLLIN)

OnParts = Callable[[list[bytes]], None]

_log = structlog.get_logger(part="peers")


class SocketReader:
    """Reads one socket until it is closed.

    Args:
        socket: The socket to read.
        on_parts: Called with the frames of each message.
    """

    def __init__(self, socket: zmq.Socket[bytes], on_parts: OnParts) -> None:
        self._socket = socket
        self._on_parts = on_parts
        self._loop = asyncio.get_running_loop()
        self._descriptor = int(socket.getsockopt(zmq.FD))
        self._is_closed = False
        self._scheduled_read: asyncio.Handle | None = None
        self._loop.add_reader(self._descriptor, self._read)
        self.schedule_read()

    def schedule_read(self) -> None:
        """Read the socket on the next iteration of the event loop."""
        if self._scheduled_read is None and not self._is_closed:
            self._scheduled_read = self._loop.call_soon(self._run_scheduled_read)

    def close(self) -> None:
        """Stop reading; called before the socket is closed."""
        self._is_closed = True
        self._loop.remove_reader(self._descriptor)
        if self._scheduled_read is not None:
            self._scheduled_read.cancel()

    def _run_scheduled_read(self) -> None:
        self._scheduled_read = None
        self._read()

    def _read(self) -> None:
        for _ in range(MAX_MESSAGES_PER_READ):
            if self._is_closed or not self._has_message():
                return
            try:
                parts = self._socket.recv_multipart(NOBLOCK)
            except zmq.Again:
                return
            self._deliver(parts)
        self.schedule_read()

    def _has_message(self) -> bool:
        """Return whether a receive would succeed.

        Most reads find one message or none. The exception of a receive that finds none
        takes longer than the check and the receive together.
        """
        return bool(int(self._socket.getsockopt(_EVENTS)) & _POLLIN)

    def _deliver(self, parts: list[bytes]) -> None:
        try:
            self._on_parts(parts)
        except Exception:
            # If raised, the messages behind this one would stay unread until the next
            # event.
            _log.exception("peers: a message could not be handled")
