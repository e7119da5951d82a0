"""The two ends of the relay bench: a paced source and a counting sink.

Both run in processes of their own, so that the processor time of the relaying
process is that of relaying alone. They do as little as possible per token: the
source writes ready-made chunks to the transport at each tick, the sink counts
event ends in what it receives.
"""

import asyncio
import functools
import json
import random
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import cast

import numpy
from aiohttp import web

TOKEN_GAP_SECONDS = 0.062
"""The pace at which 95 in 100 tokens shall follow each other."""
_N_SLOTS = 62
"""Ticks per gap: streams are spread over them, as answers start at any time."""
_EVENT_END = b"\n\n"
_REQUEST_BODY = json.dumps(
    {
        "model": "bench",
        "stream": True,
        "messages": [{"role": "user", "content": "x" * 4000}],
    }
).encode()


@dataclass(frozen=True, slots=True)
class SinkReport:
    """What the sink saw in its measured window.

    Attributes:
        n_tokens: Events received in the window.
        n_complete: Streams that ended with ``[DONE]`` in the window.
        n_broken: Streams that ended in any other way, ever.
        first_token_seconds: Time from a request to its first event, for the
            requests sent in the window.
        gap_p99_seconds: 99th percentile of the time between reads of a stream.
    """

    n_tokens: int
    n_complete: int
    n_broken: int
    seconds: float
    first_token_seconds: list[float]
    gap_p99_seconds: float


SOURCE_PORT = 9301
SINK_PORT = 9302
"""Where the two ends listen unless they are told otherwise."""

Say = Callable[[dict[str, object]], None]


class Source:
    """Serves streams whose tokens come at an even pace."""

    def __init__(self) -> None:
        self._slots: list[set[SourceStream]] = [set() for _ in range(_N_SLOTS)]
        self._slot = 0

    async def run(self, port: int = SOURCE_PORT) -> None:
        """Listen on ``port`` and serve for good."""
        app = web.Application()
        app.router.add_post("/v1/chat/completions", self._serve)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", port, backlog=4096)
        await site.start()
        await self._tick()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        await request.read()
        name = request.headers["X-Request-Id"]
        headers = {
            "Content-Type": "text/event-stream",
            "X-Request-Id": name,
            "X-Boot-Id": "bench",
            "X-Weights-Version": request.headers.get("X-Weights-Version", ""),
        }
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(request)
        n_tokens = int(request.headers.get("X-Bench-Tokens", name.split("-")[0]))
        stream = SourceStream(request, f"chatcmpl-{name}", n_tokens)
        stream.send()
        slot = self._slots[(self._slot - 1) % _N_SLOTS]
        slot.add(stream)
        try:
            await stream.ended
        finally:
            slot.discard(stream)
        return response

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        next_seconds = loop.time()
        while True:
            for stream in tuple(self._slots[self._slot]):
                stream.send()
            self._slot = (self._slot + 1) % _N_SLOTS
            next_seconds += TOKEN_GAP_SECONDS / _N_SLOTS
            await asyncio.sleep(max(0.0, next_seconds - loop.time()))


class SourceStream:
    """One paced answer."""

    def __init__(self, request: web.Request, answer_id: str, n_tokens: int) -> None:
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._transport = request.transport
        self._n_sent = 0
        self._n_tokens = n_tokens
        self._chunk = (
            f'data: {{"id":"{answer_id}","object":"chat.completion.chunk",'
            '"created":0,"model":"bench","choices":[{"index":0,'
            '"finish_reason":null,"delta":{"content":" palimpo"}}]}\n\n'
        ).encode()

    def send(self) -> None:
        """Write the next token, or the end."""
        transport = self._transport
        if self.ended.done():
            return
        if transport is None or transport.is_closing():
            self.ended.set_result(None)
            return
        self._n_sent += 1
        is_last = self._n_sent > self._n_tokens
        data = b"data: [DONE]\n\n" if is_last else self._chunk
        event = b"id: %d\n%b" % (self._n_sent, data)
        transport.write(b"%x\r\n%b\r\n" % (len(event), event))
        if is_last:
            self.ended.set_result(None)


@dataclass
class SinkCounts:
    """Counts that all sink streams share."""

    is_measuring: bool = False
    n_tokens: int = 0
    n_complete: int = 0
    n_broken: int = 0
    first_token_seconds: list[float] = field(default_factory=list)
    gap_seconds: list[float] = field(default_factory=list)


class SinkStream(asyncio.Protocol):
    """One caller: sends a request, counts events, closes after ``[DONE]``."""

    def __init__(self, counts: SinkCounts, host: str, n_tokens: int) -> None:
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._counts = counts
        self._host = host
        self._n_tokens = n_tokens
        self._started = 0.0
        self._last = 0.0
        self._is_complete = False
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self._transport = cast(asyncio.Transport, transport)
        name = f"{self._n_tokens}-{random.getrandbits(64):016x}"
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: {self._host}\r\n"
            f"X-Request-Id: {name}\r\nX-Weights-Version: w\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(_REQUEST_BODY)}\r\n\r\n"
        )
        self._started = time.monotonic()
        self._transport.write(head.encode() + _REQUEST_BODY)

    def data_received(self, data: bytes) -> None:
        """Count the events of one read."""
        counts = self._counts
        n_events = data.count(_EVENT_END)
        if not n_events:
            if not self._last and not data.startswith(b"HTTP/1.1 200"):
                self._close()  # A refusal; it counts as broken.
            return
        if counts.is_measuring:
            now = time.monotonic()
            counts.n_tokens += n_events
            if not self._last:
                counts.first_token_seconds.append(now - self._started)
            elif not counts.n_tokens % 16:
                counts.gap_seconds.append(now - self._last)
        self._last = time.monotonic()
        if b"data: [DONE]" in data:
            self._is_complete = True
            counts.n_complete += counts.is_measuring
            self._close()

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Note the end."""
        if not self._is_complete:
            self._counts.n_broken += 1
        if not self.ended.done():
            self.ended.set_result(None)


@dataclass(frozen=True, slots=True)
class SinkSettings:
    """What the sink asks for.

    Attributes:
        n_tokens: Length of each answer, but for the first of each stream, whose
            random length spreads the ends evenly from the start.
    """

    host: str
    port: int
    n_streams: int
    n_tokens: int
    warm_seconds: float
    seconds: float


async def serve_sink(port: int = SINK_PORT) -> None:
    """Make the runs that are asked for on ``port``, one after another, for good.

    A run is asked for with its settings as one JSON line; it is answered with JSON
    lines as it goes on.
    """
    server = await asyncio.start_server(_answer, "127.0.0.1", port)
    async with server:
        await server.serve_forever()


async def _answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    settings = SinkSettings(**json.loads(await reader.readline()))

    def say(record: dict[str, object]) -> None:
        writer.write(json.dumps(record).encode() + b"\n")

    await run_sink(settings, say)
    await writer.drain()
    writer.close()


async def run_sink(settings: SinkSettings, say: Say) -> None:
    """Keep streams open; tell ``start``, ``end`` and a report."""
    counts = SinkCounts()
    tasks = [
        asyncio.create_task(_keep_stream(settings, counts, index))
        for index in range(settings.n_streams)
    ]
    await asyncio.sleep(settings.warm_seconds)
    counts.is_measuring = True
    say({"event": "start"})
    started = time.monotonic()
    await asyncio.sleep(settings.seconds)
    counts.is_measuring = False
    seconds = time.monotonic() - started
    say({"event": "end"})
    gaps = counts.gap_seconds or [0.0]
    report = SinkReport(
        n_tokens=counts.n_tokens,
        n_complete=counts.n_complete,
        n_broken=counts.n_broken,
        seconds=seconds,
        first_token_seconds=counts.first_token_seconds,
        gap_p99_seconds=float(numpy.percentile(gaps, 99)),
    )
    say({"event": "report", "report": asdict(report)})
    for task in tasks:
        task.cancel()


async def _keep_stream(settings: SinkSettings, counts: SinkCounts, index: int) -> None:
    chooser = random.Random(index)
    n_tokens = chooser.randint(1, settings.n_tokens)
    # The first connections come spread over half the warm-up, not as one flood.
    await asyncio.sleep(chooser.random() * settings.warm_seconds / 2)
    loop = asyncio.get_running_loop()
    while True:
        stream = SinkStream(counts, settings.host, n_tokens)
        try:
            await loop.create_connection(
                functools.partial(_same, stream), settings.host, settings.port
            )
        except OSError:
            counts.n_broken += 1
            await asyncio.sleep(0.1)
            continue
        await stream.ended
        n_tokens = settings.n_tokens


def _same(stream: SinkStream) -> SinkStream:
    return stream
