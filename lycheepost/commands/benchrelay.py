"""``lycheepost bench relay``: the cost of relaying beside a plain relay."""

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
    n_streams: Annotated[int, typer.Option(help="Open streams, throughput.")] = 1980,
    n_latency_streams: Annotated[
        int, typer.Option(help="Open streams, latency.")
    ] = 200,
    seconds: Annotated[float, typer.Option(help="Length of each window.")] = 8.0,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
    source_port: Annotated[int, typer.Option(help="Of relay-source.")] = SOURCE_PORT,
    sink_port: Annotated[int, typer.Option(help="Of relay-sink.")] = SINK_PORT,
) -> None:
    """Measure what relaying a stream costs.

    Start `lycheepost bench relay-source` and `relay-sink` first, each in a terminal
    of its own. Exit code 3 when one of them does not answer.
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
    port: Annotated[int, typer.Option(help="Where to listen.")] = SOURCE_PORT,
) -> None:
    """Serve paced streams for the relay bench until stopped."""
    uvloop.run(Source().run(port))


def relay_sink(
    port: Annotated[int, typer.Option(help="Where to listen.")] = SINK_PORT,
) -> None:
    """Read streams for the relay bench, as it asks, until stopped."""
    uvloop.run(serve_sink(port))


def _describe(record: RelayRecord) -> str:
    """Return one line of the table."""
    parts = [
        f"{record.run:<10} {record.relay:<10} {record.n_streams:>5} streams",
        f"{record.tokens_per_second:>8.0f} tokens/s",
        f"{record.requests_per_second:>6.1f} requests/s",
    ]
    if record.tokens_per_core_second is not None:
        parts.append(f"{record.tokens_per_core_second:>8.0f} tokens/s a core")
    if record.core_share is not None:
        parts.append(f"{record.core_share:>5.2f} of a core")
    parts.append(f"first token p99 {record.ttft_p99_seconds * 1000:.2f} ms")
    if record.added_p99_seconds is not None:
        parts.append(f"added p99 {record.added_p99_seconds * 1000:+.2f} ms")
    parts.append(f"gap p99 {record.gap_p99_seconds * 1000:.1f} ms")
    parts.append(f"{record.n_broken} broken")
    return ", ".join(parts)
