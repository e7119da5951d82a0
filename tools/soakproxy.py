"""A loopback proxy that delays, resets, cuts one way and silences connections."""

import asyncio
import random
from dataclasses import dataclass, field
from enum import Enum

from lycheepost.standin.resets import reset

CHUNK_BYTES = 65536


class LinkState(Enum):
    """What happens to the bytes of a proxy's connections."""

    OPEN = "open"
    DELAYED = "delayed"
    """Every chunk waits."""
    ONE_WAY = "one_way"
    """What the far end answers is lost; what is sent to it arrives."""
    SILENT = "silent"
    """Nothing passes, in either direction, and nothing is closed."""


@dataclass
class Proxy:
    """One listening port before one far end.

    Attributes:
        far: ``(host, port)`` behind it; may change while it runs.
        state: What happens to bytes from now on.
        delay_seconds: While delayed.
        port: The port it listens on, or listened on before it stopped.
    """

    far: tuple[str, int]
    state: LinkState = LinkState.OPEN
    delay_seconds: float = 0.2
    _passing: asyncio.Event = field(default_factory=asyncio.Event)
    port: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def set_state(self, state: LinkState) -> None:
        """Change what happens to bytes from now on."""
        self.state = state
        if state is LinkState.SILENT:
            self._passing.clear()
        else:
            self._passing.set()

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self.set_state(self.state)
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self, rng: random.Random | None = None, share: float = 1.0) -> None:
        """Reset some of the connections that are open."""
        for writer in list(self._writers):
            if rng is None or rng.random() < share:
                reset(writer.transport)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.far)
        except OSError:
            reset(writer.transport)
            return
        self._writers |= {writer, far_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, far_writer, is_answer=False))
                group.create_task(self._pump(far_reader, writer, is_answer=True))
        except* (ConnectionError, OSError):
            # What broke on one side must not look like a regular end on the other.
            reset(writer.transport)
            reset(far_writer.transport)
        finally:
            self._writers -= {writer, far_writer}
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._passing.wait()
            if self.state is LinkState.ONE_WAY and is_answer:
                continue
            if self.state is LinkState.DELAYED:
                await asyncio.sleep(self.delay_seconds)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
