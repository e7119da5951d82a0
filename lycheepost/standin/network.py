"""In-memory model of the links between many daemons.

``LinkModel`` has the interface of ``peers.transport.Transport``, so that the peer
exchange runs on it as on sockets, with delays, partitions and counted bytes.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from lycheepost.core.ids import DaemonId

OnMessage = Callable[[DaemonId, bytes], None]

_OVERHEAD_BYTES = 100
"""Overhead of each message beside its payload: IP and TCP headers (52), the
acknowledgement (another 52, shared by two messages), ZMTP and CURVE framing."""


@dataclass
class NetworkModel:
    """All links and their faults.

    Attributes:
        delay_seconds: Delay in one direction.
        jitter_seconds: Maximum random delay that is added.
        cut: Pairs of sender and receiver whose messages are dropped.
    """

    delay_seconds: float = 0.001
    jitter_seconds: float = 0.001
    seed: int = 0
    cut: set[tuple[DaemonId, DaemonId]] = field(default_factory=set)
    links: dict[DaemonId, "LinkModel"] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def isolate(self, daemon: DaemonId) -> None:
        """Drop all messages from and to one daemon, without an error."""
        for other in self.links:
            self.cut.add((daemon, other))
            self.cut.add((other, daemon))

    def heal(self) -> None:
        """Deliver all messages again."""
        self.cut.clear()

    def deliver(self, sender: DaemonId, receiver: DaemonId, data: bytes) -> None:
        """Deliver one message after the delay, unless the link is cut."""
        if (sender, receiver) in self.cut:
            return
        delay_seconds = self.delay_seconds + self._random.random() * self.jitter_seconds
        loop = asyncio.get_running_loop()
        loop.call_later(delay_seconds, self._receive_delayed, sender, receiver, data)

    def _receive_delayed(
        self, sender: DaemonId, receiver: DaemonId, data: bytes
    ) -> None:
        link = self.links.get(receiver)
        if link is not None and link.is_open:
            link.receive(sender, data)


class LinkModel:
    """One daemon's end of the network."""

    def __init__(self, network: NetworkModel, daemon: DaemonId) -> None:
        self._network = network
        self._daemon = daemon
        self._on_message: OnMessage | None = None
        self.is_open = False
        self.bytes_out = 0
        self.bytes_in = 0
        self.messages_out = 0
        self.n_dropped = 0
        network.links[daemon] = self

    @property
    def endpoint(self) -> str:
        """Return the endpoint at which peers reach this daemon."""
        return f"tcp://{self._daemon}"

    async def start(self, on_message: OnMessage) -> None:
        """Start receiving."""
        self._on_message = on_message
        self.is_open = True

    async def stop(self) -> None:
        """Stop receiving."""
        self.is_open = False

    def connect(self, daemon: DaemonId, endpoint: str) -> None:
        """Do nothing: every daemon reaches every other."""

    def disconnect(self, daemon: DaemonId) -> None:
        """Do nothing: the model has no connections."""

    def send(self, daemon: DaemonId, data: bytes) -> bool:
        """Send one message; return False if it was dropped."""
        self.messages_out += 1
        self.bytes_out += len(data) + _OVERHEAD_BYTES
        self._network.deliver(self._daemon, daemon, data)
        return True

    def receive(self, sender: DaemonId, data: bytes) -> None:
        """Receive one message from the network."""
        self.bytes_in += len(data) + _OVERHEAD_BYTES
        if self._on_message is not None:
            self._on_message(sender, data)
