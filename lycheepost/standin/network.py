"""A model of the links between daemons, in memory, for many daemons at once.

``LinkModel`` has the shape of ``peers.transport.Transport``: the same exchange
runs on it as on sockets, with delays, partitions and counted bytes.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from lycheepost.core.ids import DaemonId

OnMessage = Callable[[DaemonId, bytes], None]

_FRAME_BYTES = 100
"""Counted for each message beside its payload: IP and TCP headers (52), the
acknowledgement (its own 52 shared by two messages), ZMTP and CURVE framing."""


@dataclass
class NetworkModel:
    """All links and what is wrong with them.

    Attributes:
        delay_seconds: One way.
        jitter_seconds: Added at random, up to this.
        cut: Pairs of daemons between which nothing passes, in one direction.
    """

    delay_seconds: float = 0.001
    jitter_seconds: float = 0.001
    seed: int = 0
    cut: set[tuple[DaemonId, DaemonId]] = field(default_factory=set)
    links: dict[DaemonId, "LinkModel"] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)

    def isolate(self, daemon: DaemonId) -> None:
        """Cut every link of one daemon, silently."""
        for other in self.links:
            self.cut.add((daemon, other))
            self.cut.add((other, daemon))

    def heal(self) -> None:
        """Let everything pass again."""
        self.cut.clear()

    def deliver(self, sender: DaemonId, receiver: DaemonId, data: bytes) -> None:
        """Pass one message on after the delay, unless the link is cut."""
        if (sender, receiver) in self.cut:
            return
        delay_seconds = self.delay_seconds + self._random.random() * self.jitter_seconds
        loop = asyncio.get_running_loop()
        loop.call_later(delay_seconds, self._arrive, sender, receiver, data)

    def _arrive(self, sender: DaemonId, receiver: DaemonId, data: bytes) -> None:
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
        """Return where peers reach this daemon."""
        return f"tcp://{self._daemon}"

    async def start(self, on_message: OnMessage) -> None:
        """Begin to receive."""
        self._on_message = on_message
        self.is_open = True

    async def stop(self) -> None:
        """Cease to receive."""
        self.is_open = False

    def connect(self, daemon: DaemonId, endpoint: str) -> None:
        """Do nothing: every daemon reaches every other."""

    def disconnect(self, daemon: DaemonId) -> None:
        """Do nothing: there is no connection."""

    def send(self, daemon: DaemonId, data: bytes) -> bool:
        """Send one message; False when it was dropped."""
        self.messages_out += 1
        self.bytes_out += len(data) + _FRAME_BYTES
        self._network.deliver(self._daemon, daemon, data)
        return True

    def receive(self, sender: DaemonId, data: bytes) -> None:
        """Take one message from the network."""
        self.bytes_in += len(data) + _FRAME_BYTES
        if self._on_message is not None:
            self._on_message(sender, data)
