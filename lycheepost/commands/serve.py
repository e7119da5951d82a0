"""``lycheepost serve``: run one daemon."""

import pathlib
import sys
from typing import Annotated, TextIO, cast

import typer
from returns.result import Failure, Success

from lycheepost.commands.output import ExitCode, fail, fail_with_faults
from lycheepost.utils.logs import configure_logs
from lycheepost.utils.logwriter import LogWriter


def serve(
    settings_file: Annotated[
        pathlib.Path | None, typer.Option("--settings", help="Settings file in YAML.")
    ] = None,
    node_file: Annotated[
        pathlib.Path | None,
        typer.Option(
            "--node-file",
            envvar="LYCHEEPOST_NODE_FILE",
            help="Settings file of the users' platform, if it runs the daemon.",
        ),
    ] = None,
) -> None:
    """Run one daemon; SIGTERM drains it, a second SIGTERM stops it at once.

    Exit code 0 after a stop, 2 when the settings have faults, 1 when a port is
    taken or a certificate cannot be used.
    """
    if settings_file is not None:
        _serve_alone(settings_file)
    elif node_file is not None:
        _serve_on_platform(node_file)
    else:
        fail("--settings or --node-file is required.", ExitCode.BAD_INPUT)


def _standard_output() -> TextIO:
    """Return a non-blocking writer of log lines to standard output."""
    return cast("TextIO", LogWriter(sys.stdout.fileno()))


def _serve_alone(settings_file: pathlib.Path) -> None:
    """Run a daemon with a settings file of lycheepost."""
    # Imported lazily: a daemon on the platform must not load these modules.
    from lycheepost.app.daemon import make_daemon
    from lycheepost.app.run import run_until_signal
    from lycheepost.app.settings import read_settings
    from lycheepost.utils.tls import TlsError

    match read_settings(settings_file):
        case Success(settings):
            pass
        case Failure(faults):
            fail_with_faults(faults)
    configure_logs(settings.logs, settings.daemon.daemon_id, _standard_output())
    try:
        run_until_signal(lambda: make_daemon(settings))
    except (OSError, TlsError) as error:
        fail(f"The daemon cannot start: {error}.", ExitCode.FAILED)


def _serve_on_platform(node_file: pathlib.Path) -> None:
    """Run a daemon with the settings file of the platform."""
    from lycheepost.app.platformrun import run

    raise typer.Exit(run(node_file))
