"""Opens the listening sockets before the other modules are loaded.

A killed process takes half a second to restart, most of it for loading libraries.
Connections in that time would be refused at once, and clients that may try twice would
use up both attempts within a few milliseconds. With the ports open from the start,
connections wait in the accept queue until the daemon serves.
"""

import socket
from dataclasses import dataclass, replace

from lycheepost.decide.clientlimits import (
    MIN_QUEUED,
    RECEIVE_BUFFER_BYTES,
    SMALL_RECEIVE_BUFFER_BYTES,
)
from lycheepost.platform.settings import Endpoint, NodeSettings


@dataclass(frozen=True, slots=True)
class EarlySockets:
    """Listening sockets by the service on them; None for a disabled service."""

    clients: socket.socket | None
    readiness: socket.socket | None
    directory: socket.socket | None


def open_socket(
    endpoint: Endpoint,
    n_queued: int = MIN_QUEUED,
    receive_buffer_bytes: int = SMALL_RECEIVE_BUFFER_BYTES,
) -> socket.socket:
    """Return a listening, non-blocking socket.

    Args:
        endpoint: Where to listen.
        n_queued: Connections that may wait to be accepted.
        receive_buffer_bytes: Receive buffer of each connection. What the kernel has
            received counts as memory of the VM.

    Raises:
        OSError: The port is in use or the address is not local.
    """
    found = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    found.setblocking(False)
    try:
        found.bind((endpoint.host, endpoint.port))
        found.listen(n_queued)
    except OSError:
        found.close()
        raise
    return found


def open_sockets(node: NodeSettings) -> EarlySockets:
    """Return the listening sockets of all configured services.

    Raises:
        OSError: A port is in use.
    """
    return EarlySockets(
        clients=_open(
            node.clients, node.client_limits.max_queued, RECEIVE_BUFFER_BYTES
        ),
        readiness=_open(node.readiness),
        directory=_open(node.directory),
    )


def _open(
    endpoint: Endpoint | None,
    n_queued: int = MIN_QUEUED,
    receive_buffer_bytes: int = SMALL_RECEIVE_BUFFER_BYTES,
) -> socket.socket | None:
    if endpoint is None:
        return None
    return open_socket(endpoint, n_queued, receive_buffer_bytes)


def with_real_ports(node: NodeSettings, sockets: EarlySockets) -> NodeSettings:
    """Return the settings with open ports (0) replaced by the bound ports."""
    return replace(
        node,
        clients=_endpoint_of(sockets.clients),
        readiness=_endpoint_of(sockets.readiness),
        directory=_endpoint_of(sockets.directory),
    )


def _endpoint_of(listening: socket.socket | None) -> Endpoint | None:
    if listening is None:
        return None
    host, port = listening.getsockname()
    return Endpoint(host, port)
