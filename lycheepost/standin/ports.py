"""Reserves the port of a server that stops and restarts on the same port."""

import socket


def reserve_port(host: str) -> socket.socket:
    """Return a bound socket whose port can be listened on, but not connected from.

    Outgoing connections of any process get their ports from the same range. Without
    the reservation, one of them could take the port of a server that is down for a
    moment, and the server could not restart.

    Args:
        host: IP address on which the server listens.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((host, 0))
    return reserved


def port_of(reserved: socket.socket) -> int:
    """Return the port to which a socket is bound."""
    return int(reserved.getsockname()[1])
