"""``lycheepost serve``: run one daemon."""

import pathlib
from typing import Annotated

import typer
from returns.result import Failure, Success

from lycheepost.app.daemon import make_daemon
from lycheepost.app.run import run_until_signal
from lycheepost.app.settings import read_settings
from lycheepost.commands.output import ExitCode, fail, fail_with_faults
from lycheepost.utils.logs import configure_logs
from lycheepost.utils.tls import TlsError


def serve(
    settings_file: Annotated[
        pathlib.Path, typer.Option("--settings", help="Settings file in YAML.")
    ],
) -> None:
    """Run one daemon until SIGTERM, which drains it; a second one stops it.

    Exit code 0 after a stop, 2 when the settings have faults, 1 when a port is
    taken or a certificate cannot be used.
    """
    match read_settings(settings_file):
        case Success(settings):
            pass
        case Failure(faults):
            fail_with_faults(faults)
    configure_logs(settings.logs, settings.daemon.daemon_id)
    try:
        run_until_signal(lambda: make_daemon(settings))
    except (OSError, TlsError) as error:
        fail(f"The daemon cannot start: {error}.", ExitCode.FAILED)
