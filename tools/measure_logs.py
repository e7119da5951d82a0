"""Measure which part of the processor time of daemons goes into their logs.

Runs three daemons before a model of the platform under traffic, in one process, and
adds up the processor time of all log calls, from the call to the written line.

    python tools/measure_logs.py [SECONDS]
"""

import os
import sys
import time
from typing import Any, TextIO, cast

import typer
from structlog._base import BoundLoggerBase

from lycheepost.commands import demo
from lycheepost.generated.settings import LogSettings
from lycheepost.utils.logs import configure_logs
from lycheepost.utils.logwriter import LogWriter

DEFAULT_SECONDS = "10"


class Meter:
    """Counts log calls and their processor time."""

    def __init__(self) -> None:
        self.n_lines = 0
        self.spent_seconds = 0.0

    def wrap(self, call: Any) -> Any:
        """Return ``call`` with its time added up."""

        def timed(*args: Any, **fields: Any) -> Any:
            started_seconds = time.thread_time()
            try:
                return call(*args, **fields)
            finally:
                self.spent_seconds += time.thread_time() - started_seconds
                self.n_lines += 1

        return timed


def log_as_daemon(*_settings: Any) -> None:
    """Log as a daemon on the platform does, to nowhere."""
    nowhere = os.open(os.devnull, os.O_WRONLY)
    configure_logs(LogSettings(), "demo", cast("TextIO", LogWriter(nowhere)))


def main() -> int:
    """Run the demo and print the ratio."""
    seconds = sys.argv[1] if len(sys.argv) > 1 else DEFAULT_SECONDS
    meter = Meter()
    wrapped = meter.wrap(BoundLoggerBase._proxy_to_logger)
    BoundLoggerBase._proxy_to_logger = wrapped  # type: ignore[method-assign]
    started_seconds = time.process_time()
    demo.configure_logs = log_as_daemon  # type: ignore[assignment]
    app = typer.Typer()
    app.command()(demo.demo)
    app(["--platform", "--seconds", seconds], standalone_mode=False)
    total_seconds = time.process_time() - started_seconds
    share = meter.spent_seconds / total_seconds
    print(f"log lines {meter.n_lines}, seconds {meter.spent_seconds:.3f}")
    print(f"processor seconds {total_seconds:.3f}, share of logs {share:.4f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
