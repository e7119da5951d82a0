"""``lycheepost bench processor``: processor time of a daemon by fleet size."""

import json
from dataclasses import asdict
from typing import Annotated

import typer

from lycheepost.app.processorcost import (
    SIZES,
    ProcessorRecord,
    fit_processor_slopes,
    measure_processor,
)
from lycheepost.bench.slopes import Slope, to_document
from lycheepost.generated.settings import LogLevel, LogSettings
from lycheepost.utils.logs import configure_logs


def processor(
    size: Annotated[
        list[int], typer.Option(min=2, help="Daemons of the fleet; repeat it.")
    ] = list(SIZES),  # noqa: B006
    as_json: Annotated[
        bool, typer.Option("--json", help="Print a list of records.")
    ] = False,
) -> None:
    """Measure the processor time of a daemon, idle and under load, by fleet size."""
    # Keeps log lines out of standard output, which carries only the records.
    configure_logs(LogSettings(level=LogLevel.ERROR))
    records = []
    if not as_json:
        print("daemons  entry  targets  requests/s  processor ms/s  messages/s")
    for record in measure_processor(tuple(size)):
        records.append(record)
        if not as_json:
            print(_format_record(record), flush=True)
    slopes = fit_processor_slopes(records) if len(set(size)) > 1 else []
    if as_json:
        documents = [asdict(record) for record in records]
        documents += [to_document(slope) for slope in slopes]
        print(json.dumps(documents, indent=1))
        return
    for slope in slopes:
        print(_format_slope(slope))


def _format_record(record: ProcessorRecord) -> str:
    return (
        f"{record.n_daemons:>7}{record.n_entry:>7}{record.n_targets:>9}"
        f"{record.requests_per_second:>12.0f}{1000 * record.processor_seconds:>16.2f}"
        f"{record.n_messages:>12.1f}"
    )


def _format_slope(slope: Slope) -> str:
    return (
        f"{slope.part}: {1000 * slope.at_zero:.2f} ms/s, and "
        f"{1000 * slope.per_unit:.4f} ms/s for each daemon of the fleet"
    )
