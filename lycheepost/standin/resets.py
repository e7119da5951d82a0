"""Resets connections.

``Transport.abort`` closes the socket, and the peer gets a regular end of the stream
unless bytes were left unread.
"""

import asyncio
import socket
import struct

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which a close resets the connection."""


def reset(transport: asyncio.BaseTransport) -> None:
    """Reset the connection of a transport; what it has not sent is dropped."""
    connection = transport.get_extra_info("socket")
    if connection is not None and not transport.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    if isinstance(transport, asyncio.WriteTransport):
        transport.abort()
    else:
        transport.close()
