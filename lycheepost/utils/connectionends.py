"""How the connection of a response has ended, as the system tells.

A response without a length ends with its connection. If an end of stream and a reset
have both arrived, the event loop reports only a regular end. One that comes before the
request has been sent may still be followed by a reset.
"""

import asyncio
import fcntl
import socket
import struct
import termios

import structlog

_UNACKNOWLEDGED = getattr(termios, "TIOCOUTQ", None)
"""Asks for the bytes that the far end has not acknowledged; ``SIOCOUTQ`` on Linux."""
_INTEGER = struct.Struct("i")
_TCP_INFO = getattr(socket, "TCP_INFO", None)
_TCP_CLOSE = 7
"""State of a connection that was reset; ``TCP_CLOSE`` of ``netinet/tcp.h``."""

_log = structlog.get_logger(part="http")


def is_reset(transport: asyncio.BaseTransport) -> bool:
    """Return whether a connection was reset; False where the system does not tell."""
    connection = transport.get_extra_info("socket")
    if connection is None or _TCP_INFO is None:
        return False
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, _TCP_INFO, 1)
    except OSError as error:
        _log.debug("http: state of a connection is unknown", error=str(error))
        return False
    return bool(info) and info[0] == _TCP_CLOSE


def n_unacknowledged_bytes(transport: asyncio.WriteTransport) -> int:
    """Return how many bytes the far end of a connection has not acknowledged.

    One that has read a whole request has acknowledged all of it. Where the system does
    not tell, only the bytes in the transport's buffer count.
    """
    n_buffered = transport.get_write_buffer_size()
    connection = transport.get_extra_info("socket")
    if connection is None or _UNACKNOWLEDGED is None:
        return n_buffered
    answer = bytearray(_INTEGER.size)
    try:
        fcntl.ioctl(connection.fileno(), _UNACKNOWLEDGED, answer)
    except OSError as error:
        _log.debug("http: unacknowledged bytes are unknown", error=str(error))
        return n_buffered
    return n_buffered + int(_INTEGER.unpack(answer)[0])
