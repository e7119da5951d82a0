"""Interface of the links between daemons.

``peers.sockets`` carries messages over ZeroMQ, ``standin.network`` in memory.
Messages may be lost or dropped at any time, so essential state is sent repeatedly.
"""

from collections.abc import Callable
from typing import Protocol

from lycheepost.core.ids import DaemonId

OnMessage = Callable[[DaemonId, bytes], None]


class Transport(Protocol):
    """Links to other daemons."""

    bytes_out: int
    bytes_in: int
    n_dropped: int

    @property
    def endpoint(self) -> str:
        """Return where peers reach this daemon; known after ``start``."""
        ...

    async def start(self, on_message: OnMessage) -> None:
        """Open the listening socket and pass every message to ``on_message``."""
        ...

    async def stop(self) -> None:
        """Close all links."""
        ...

    def connect(self, daemon: DaemonId, endpoint: str) -> None:
        """Open a new link, replacing an existing one."""
        ...

    def disconnect(self, daemon: DaemonId) -> None:
        """Close the link that this side opened."""
        ...

    def send(self, daemon: DaemonId, data: bytes) -> bool:
        """Send without blocking; False when there is no link or its queue is full."""
        ...
