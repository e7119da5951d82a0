"""Listen before anything else is loaded.

The failure: a process that was killed is back after half a second, most of which it
spends on loading its libraries. Connections that come meanwhile are refused at once,
and clients that may try twice have used up both tries in a few milliseconds. With
the ports open from the first moment they wait in the queue of the socket instead,
and are served as soon as the daemon runs.
"""

import socket
from dataclasses import dataclass, replace

from lycheepost.platform.settings import Endpoint, NodeSettings

BACKLOG = 1024
"""Connections of a whole burst; beyond it an opening is dropped and sent again only
after a second."""


@dataclass(frozen=True, slots=True)
class EarlySockets:
    """Listening sockets by what is served on them; None where nothing is."""

    clients: socket.socket | None
    readiness: socket.socket | None
    directory: socket.socket | None


def open_socket(endpoint: Endpoint) -> socket.socket:
    """Return a socket that listens.

    Raises:
        OSError: The port is taken or the address is not ours.
    """
    found = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    found.setblocking(False)
    try:
        found.bind((endpoint.host, endpoint.port))
        found.listen(BACKLOG)
    except OSError:
        found.close()
        raise
    return found


def open_sockets(node: NodeSettings) -> EarlySockets:
    """Return the sockets of all that this process serves to others.

    Raises:
        OSError: A port is taken.
    """
    return EarlySockets(
        clients=_open(node.clients),
        readiness=_open(node.readiness),
        directory=_open(node.directory),
    )


def _open(endpoint: Endpoint | None) -> socket.socket | None:
    return None if endpoint is None else open_socket(endpoint)


def with_real_ports(node: NodeSettings, sockets: EarlySockets) -> NodeSettings:
    """Return the settings with the ports that were taken where they leave them open."""
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
