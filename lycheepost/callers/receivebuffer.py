"""The kernel's receive buffers of open connections."""

import asyncio
import socket

import structlog

_log = structlog.get_logger(part="http")


def set_receive_buffer(transport: asyncio.BaseTransport | None, n_bytes: int) -> None:
    """Set the receive buffer of an open connection; nothing if it is closed."""
    found = None if transport is None else transport.get_extra_info("socket")
    if found is None:
        return
    try:
        found.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, n_bytes)
        # The buffer of the listening socket bounds the window until it is set.
        found.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, 2 * n_bytes)
    except OSError as error:
        _log.debug("http: receive buffer not set", reason=str(error))
