"""``lycheepost bench relay``: the cost of relaying beside a plain relay."""

import json
from dataclasses import asdict
from typing import Annotated

import typer
import uvloop
import yarl

from lycheepost.bench.relay import (
    RelayBenchSettings,
    RelayRecord,
    run_relay_bench,
)
from lycheepost.bench.relaypeer import SinkSettings, Source, run_sink


def relay(
    n_streams: Annotated[int, typer.Option(help="Open streams, throughput.")] = 1980,
    n_latency_streams: Annotated[
        int, typer.Option(help="Open streams, latency.")
    ] = 200,
    seconds: Annotated[float, typer.Option(help="Length of each window.")] = 8.0,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Measure what relaying a stream costs; starts two child processes."""
    settings = RelayBenchSettings(
        n_streams=n_streams, n_latency_streams=n_latency_streams, seconds=seconds
    )
    records = run_relay_bench(settings)
    if as_json:
        typer.echo(json.dumps([asdict(record) for record in records]))
        return
    for record in records:
        typer.echo(_describe(record))


def relay_source() -> None:
    """Serve paced streams for the relay bench until killed."""
    uvloop.run(Source().run())


def relay_sink(
    url: Annotated[str, typer.Option()],
    n_streams: Annotated[int, typer.Option()],
    n_tokens: Annotated[int, typer.Option()],
    warm_seconds: Annotated[float, typer.Option()],
    seconds: Annotated[float, typer.Option()],
) -> None:
    """Read streams for the relay bench and print what was seen."""
    address = yarl.URL(url)
    settings = SinkSettings(
        host=address.host or "",
        port=address.port or 0,
        n_streams=n_streams,
        n_tokens=n_tokens,
        warm_seconds=warm_seconds,
        seconds=seconds,
    )
    uvloop.run(run_sink(settings))


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
