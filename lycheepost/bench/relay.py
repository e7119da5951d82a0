"""Real-time cost of relaying streams, beside a plain aiohttp relay.

This process relays; a paced source and a counting sink (``bench.relaypeer``) run
as two processes of their own, because they would otherwise share one interpreter
lock with the relay. Whoever measures starts them. The relay under test is the
daemon's own (``targets.relay`` over ``targets.engine``); the baseline is ``iter_any``
to ``StreamResponse.write``.

Two figures: tokens a second that a full core can relay (events relayed per
second of this process's processor time), and the time to first token that the
relay adds over a direct connection at a few hundred open streams.
"""

import asyncio
import json
import logging
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, replace
from enum import Enum
from typing import Any

import aiohttp
import numpy
import uvloop
import yarl
from aiohttp import web

from lycheepost.bench.relaypeer import SINK_PORT, SOURCE_PORT, SinkSettings
from lycheepost.core.clock import SystemClock
from lycheepost.core.ids import RequestId, TargetId, WeightsVersion
from lycheepost.generated.settings import StreamSettings
from lycheepost.targets.calls import CHAT_PATH, EngineCall
from lycheepost.targets.engine import EngineClient, make_engine_client
from lycheepost.targets.relay import relay
from lycheepost.utils.collector import tune_collector

_HOST = "127.0.0.1"
_STREAM_HEADERS = {"Content-Type": "text/event-stream"}

_LINE_BYTES = 1 << 22
"""Longest line of the sink: the report with all its times to first token."""

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class RelayForm(Enum):
    """What stands between the sink and the source."""

    DIRECT = "direct"
    PLAIN = "plain"
    LYCHEEPOST = "lycheepost"


@dataclass(frozen=True, slots=True)
class RelayBenchSettings:
    """Size of the runs.

    Attributes:
        n_streams: Open streams of the throughput run; 1,980 at 62 ms between
            tokens are 31,900 tokens a second.
        n_latency_streams: Open streams of the latency run.
        n_tokens: Tokens of an answer in the throughput run; 320 last 20 s, so
            that 1,980 streams begin about 100 requests a second.
        n_latency_tokens: Tokens of an answer in the latency run; short ones
            give more first tokens to measure.
        source_port: Where ``bench relay-source`` listens.
        sink_port: Where ``bench relay-sink`` listens.
    """

    n_streams: int = 1980
    n_latency_streams: int = 200
    n_tokens: int = 320
    n_latency_tokens: int = 32
    warm_seconds: float = 6.0
    seconds: float = 8.0
    source_port: int = SOURCE_PORT
    sink_port: int = SINK_PORT


@dataclass(frozen=True, slots=True)
class RelayRecord:
    """One run; fields that a run does not measure are None.

    Attributes:
        tokens_per_core_second: Events relayed per second of processor time.
        core_share: Processor time of this process over the window's length.
        added_p99_seconds: 99th percentile of the time to first token over that
            of the direct run.
    """

    relay: str
    run: str
    n_streams: int
    n_tokens: int
    n_broken: int
    tokens_per_second: float
    requests_per_second: float
    core_share: float | None
    tokens_per_core_second: float | None
    ttft_p50_seconds: float
    ttft_p99_seconds: float
    gap_p99_seconds: float
    added_p50_seconds: float | None = None
    added_p99_seconds: float | None = None


def run_relay_bench(settings: RelayBenchSettings) -> list[RelayRecord]:
    """Run the throughput and the latency runs of each form of relay.

    The direct throughput run shows that source and sink are not the limit.
    """
    # Streams that are open when the sink stops end with an error per handler.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    tune_collector()  # As a daemon does; both forms of relay gain by it.
    return uvloop.run(_run(settings))


async def _run(settings: RelayBenchSettings) -> list[RelayRecord]:
    records = []
    latency = []
    source_url = f"http://{_HOST}:{settings.source_port}"
    for form in RelayForm:
        size = SinkSize(settings.n_streams, settings.n_tokens)
        records.append(await _measure(form, "throughput", source_url, size, settings))
    for form in RelayForm:
        size = SinkSize(settings.n_latency_streams, settings.n_latency_tokens)
        latency.append(await _measure(form, "latency", source_url, size, settings))
    return records + _compare(latency)


def _compare(latency: list[RelayRecord]) -> list[RelayRecord]:
    """Fill in what each form adds over the direct run, which comes first."""
    direct = latency[0]
    return [
        replace(
            record,
            added_p50_seconds=record.ttft_p50_seconds - direct.ttft_p50_seconds,
            added_p99_seconds=record.ttft_p99_seconds - direct.ttft_p99_seconds,
        )
        for record in latency
    ]


@dataclass(frozen=True, slots=True)
class SinkSize:
    """Open streams and the length of their answers."""

    n_streams: int
    n_tokens: int


@dataclass(slots=True)
class Window:
    """Processor time of this process at both ends of the measured window."""

    start_seconds: float = 0.0
    end_seconds: float = 0.0


async def _measure(
    form: RelayForm,
    run: str,
    source_url: str,
    size: SinkSize,
    settings: RelayBenchSettings,
) -> RelayRecord:
    async with _open_relay(form, source_url) as url:
        report, window = await _run_sink(url, size, settings)
    if not report["n_tokens"]:
        raise RuntimeError("not one token arrived at the sink")
    seconds = report["seconds"]
    cpu_seconds = window.end_seconds - window.start_seconds
    is_relay = form is not RelayForm.DIRECT
    firsts = report["first_token_seconds"] or [0.0]
    return RelayRecord(
        relay=form.value,
        run=run,
        n_streams=size.n_streams,
        n_tokens=report["n_tokens"],
        n_broken=report["n_broken"],
        tokens_per_second=report["n_tokens"] / seconds,
        requests_per_second=len(report["first_token_seconds"]) / seconds,
        core_share=cpu_seconds / seconds if is_relay else None,
        tokens_per_core_second=report["n_tokens"] / cpu_seconds if is_relay else None,
        ttft_p50_seconds=float(numpy.percentile(firsts, 50)),
        ttft_p99_seconds=float(numpy.percentile(firsts, 99)),
        gap_p99_seconds=report["gap_p99_seconds"],
    )


async def _run_sink(
    url: str, size: SinkSize, settings: RelayBenchSettings
) -> tuple[dict[str, Any], Window]:
    window = Window()
    report: dict[str, Any] = {}
    address = yarl.URL(url)
    asked = SinkSettings(
        host=address.host or "",
        port=address.port or 0,
        n_streams=size.n_streams,
        n_tokens=size.n_tokens,
        warm_seconds=settings.warm_seconds,
        seconds=settings.seconds,
    )
    async with _ask_sink(settings.sink_port, asked) as lines:
        while not report:
            line = await _read_line(lines)
            match line["event"]:
                case "start":
                    window.start_seconds = time.process_time()
                case "end":
                    window.end_seconds = time.process_time()
                case "report":
                    report = line["report"]
    return report, window


@asynccontextmanager
async def _ask_sink(
    port: int, asked: SinkSettings
) -> AsyncIterator[asyncio.StreamReader]:
    reader, writer = await asyncio.open_connection(_HOST, port, limit=_LINE_BYTES)
    try:
        writer.write(json.dumps(asdict(asked)).encode() + b"\n")
        yield reader
    finally:
        writer.close()


async def _read_line(reader: asyncio.StreamReader) -> dict[str, Any]:
    line = await reader.readline()
    if not line:
        raise RuntimeError("the sink stopped early")
    read: dict[str, Any] = json.loads(line)
    return read


@asynccontextmanager
async def _open_relay(form: RelayForm, source_url: str) -> AsyncIterator[str]:
    match form:
        case RelayForm.DIRECT:
            yield source_url
        case RelayForm.PLAIN:
            connector = aiohttp.TCPConnector(limit=0)
            async with aiohttp.ClientSession(connector=connector) as session:
                async with _serve(_make_plain_handler(session, source_url)) as url:
                    yield url
        case RelayForm.LYCHEEPOST:
            client = make_engine_client(StreamSettings(), SystemClock())
            await client.start()
            try:
                async with _serve(_make_relay_handler(client, source_url)) as url:
                    yield url
            finally:
                await client.stop()


@asynccontextmanager
async def _serve(handler: Handler) -> AsyncIterator[str]:
    app = web.Application()
    app.router.add_post(CHAT_PATH, handler)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.0)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0, backlog=4096)
    await site.start()
    try:
        yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()


def _make_plain_handler(session: aiohttp.ClientSession, source_url: str) -> Handler:
    async def handle(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        headers = {
            name: request.headers[name]
            for name in ("X-Request-Id", "X-Weights-Version", "Content-Type")
        }
        url = source_url + CHAT_PATH
        async with session.post(url, data=body, headers=headers) as upstream:
            response = web.StreamResponse(headers=_STREAM_HEADERS)
            await response.prepare(request)
            async for data in upstream.content.iter_any():
                await response.write(data)
        return response

    return handle


def _make_relay_handler(client: EngineClient, source_url: str) -> Handler:
    async def handle(request: web.Request) -> web.StreamResponse:
        call = EngineCall(
            target=TargetId("source"),
            url=source_url,
            request=RequestId(request.headers["X-Request-Id"]),
            path=CHAT_PATH,
            body=await request.read(),
            weights_version=WeightsVersion(request.headers["X-Weights-Version"]),
            levels=(),
            expects_stream=True,
        )
        stream = (await client.start_call(call)).unwrap()
        response = web.StreamResponse(headers=_STREAM_HEADERS)
        await response.prepare(request)
        await relay(stream, response, request)
        return response

    return handle
