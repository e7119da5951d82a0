"""``lycheepost bench relay``: compare the cost of relaying with a plain relay."""

import json
from dataclasses import asdict
from typing import Annotated

import typer
import uvloop

from lycheepost.bench.relay import (
    RelayBenchSettings,
    RelayRecord,
    run_relay_bench,
)
from lycheepost.bench.relaypeer import SINK_PORT, SOURCE_PORT, Source, serve_sink
from lycheepost.commands.output import ExitCode, fail


def relay(
    n_streams: Annotated[
        int, typer.Option(help="Open streams, throughput run.")
    ] = 1980,
    n_latency_streams: Annotated[
        int, typer.Option(help="Open streams, latency run.")
    ] = 200,
    seconds: Annotated[float, typer.Option(help="Duration of each window.")] = 8.0,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
    source_port: Annotated[
        int, typer.Option(help="Port of relay-source.")
    ] = SOURCE_PORT,
    sink_port: Annotated[int, typer.Option(help="Port of relay-sink.")] = SINK_PORT,
) -> None:
    """Measure the cost of relaying streams.

    Start `lycheepost bench relay-source` and `relay-sink` first, in separate
    terminals. Exit code 3 when one of them does not answer.
    """
    settings = RelayBenchSettings(
        n_streams=n_streams,
        n_latency_streams=n_latency_streams,
        seconds=seconds,
        source_port=source_port,
        sink_port=sink_port,
    )
    try:
        records = run_relay_bench(settings)
    except ConnectionError as error:
        fail(f"The source or the sink does not answer: {error}.", ExitCode.UNREACHABLE)
    if as_json:
        typer.echo(json.dumps([asdict(record) for record in records]))
        return
    for record in records:
        typer.echo(_describe(record))


def relay_source(
    port: Annotated[int, typer.Option(help="Port to listen on.")] = SOURCE_PORT,
) -> None:
    """Serve paced streams for the relay bench until stopped."""
    uvloop.run(Source().run(port))


def relay_sink(
    port: Annotated[int, typer.Option(help="Port to listen on.")] = SINK_PORT,
) -> None:
    """Read streams on request of the relay bench until stopped."""
    uvloop.run(serve_sink(port))


def _describe(record: RelayRecord) -> str:
    """Format a record as one line."""
    parts = [
        f"{record.run:<10} {record.relay:<10} {record.n_streams:>5} streams",
        f"{record.tokens_per_second:>8.0f} tokens/s",
        f"{record.requests_per_second:>6.1f} requests/s",
    ]
    if record.tokens_per_core_second is not None:
        parts.append(f"{record.tokens_per_core_second:>8.0f} tokens/s per core")
    if record.core_share is not None:
        parts.append(f"{record.core_share:>5.2f} of a core")
    parts.append(f"first token p99 {record.ttft_p99_seconds * 1000:.2f} ms")
    if record.added_p99_seconds is not None:
        parts.append(f"added p99 {record.added_p99_seconds * 1000:+.2f} ms")
    parts.append(f"gap p99 {record.gap_p99_seconds * 1000:.1f} ms")
    parts.append(f"{record.n_broken} broken")
    return ", ".join(parts)
