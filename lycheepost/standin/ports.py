"""Keeps the port of a server that stops and comes back on it."""

import socket


def reserve_port(host: str) -> socket.socket:
    """Return a bound socket whose port others may listen on, but not connect from.

    Outgoing connections of any process get their ports from the same range. One that
    takes the port of a server which is down for a moment keeps it from coming back.

    Args:
        host: IP number that the server listens on.
    """
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((host, 0))
    return held


def port_of(held: socket.socket) -> int:
    """Return the port that a socket holds."""
    return int(held.getsockname()[1])
