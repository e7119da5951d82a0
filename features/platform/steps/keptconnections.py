"""A client that keeps connections open and records how each request ended."""

import asyncio
import time
from dataclasses import dataclass, field

_LENGTH = "content-length"
_CHUNKED = "transfer-encoding"


@dataclass
class Ending:
    """How one request ended for its client.

    Attributes:
        status: The status; None if the connection ended before it.
        headers: The response headers, with names in lower case.
        body: What arrived of the body.
        is_whole: Whether the response was complete.
        is_timed_out: Whether the client gave up.
        first_seconds: From the last byte sent to the status; None without one.
        seconds: From the last byte sent to the end.
    """

    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    is_timed_out: bool = False
    first_seconds: float | None = None
    seconds: float = 0.0


@dataclass
class KeptConnections:
    """The connections of one client to one daemon.

    Unlike usual clients it never repeats a request by itself.
    """

    host: str
    port: int
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(
        default_factory=list
    )

    async def ask(self, data: bytes, give_up_seconds: float) -> Ending:
        """Send the bytes of one request and read the response."""
        if self.idle:
            reader, writer = self.idle.pop()
        else:
            reader, writer = await asyncio.open_connection(self.host, self.port)
        ending = Ending()
        sent_seconds = time.monotonic()
        try:
            writer.write(data)
            async with asyncio.timeout(give_up_seconds):
                await _read(reader, ending, sent_seconds)
        except TimeoutError:
            ending.is_timed_out = True
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        ending.seconds = time.monotonic() - sent_seconds
        if ending.is_whole and ending.headers.get("connection", "") != "close":
            self.idle.append((reader, writer))
        else:
            writer.transport.abort()
        return ending

    def close(self) -> None:
        """Close all connections."""
        for _, writer in self.idle:
            writer.transport.abort()


async def _read(
    reader: asyncio.StreamReader, ending: Ending, sent_seconds: float
) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    ending.first_seconds = time.monotonic() - sent_seconds
    ending.status = int(first.split(" ")[1])
    pairs = (line.partition(":") for line in lines)
    ending.headers = {name.lower(): value.strip() for name, _, value in pairs}
    if ending.headers.get(_CHUNKED) == "chunked":
        while n_bytes := int(await reader.readuntil(b"\r\n"), 16):
            ending.body += await reader.readexactly(n_bytes + 2)
        await reader.readexactly(2)
    elif _LENGTH in ending.headers:
        ending.body = await reader.readexactly(int(ending.headers[_LENGTH]))
    else:
        ending.body = await reader.read(-1)
    ending.is_whole = True
