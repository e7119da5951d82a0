"""``lycheepost standin``: run one stand-in as a separate process."""

import pathlib
from typing import Annotated

import typer
from returns.result import Failure, Success

from lycheepost.app.run import run_until_signal
from lycheepost.app.standin import StandinApplication, StandinKind, make_standin
from lycheepost.commands.output import ExitCode, fail, fail_with_faults
from lycheepost.generated.settings import LogFormat, LogLevel, LogSettings
from lycheepost.generated.standin import StandinSettings
from lycheepost.utils.documents import Fault, convert_document, parse_yaml
from lycheepost.utils.logs import configure_logs


def standin(
    kind: Annotated[StandinKind, typer.Argument(help="Kind of stand-in.")],
    settings_file: Annotated[
        pathlib.Path, typer.Option("--settings", help="Settings file in YAML.")
    ],
) -> None:
    """Run one stand-in until a signal; its first line of output is its address.

    Exit code 0 after a stop, 2 when the settings have faults, 1 when the port
    is taken.
    """
    settings = _read(settings_file)
    configure_logs(LogSettings(level=LogLevel.INFO, format=LogFormat.CONSOLE))
    application = StandinApplication(make_standin(kind, settings))

    async def print_address(_application: object) -> None:
        print(application.standin.url, flush=True)

    try:
        run_until_signal(lambda: application, print_address)
    except OSError as error:
        fail(f"The stand-in cannot start: {error}.", ExitCode.FAILED)


def _read(path: pathlib.Path) -> StandinSettings:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fail_with_faults([Fault("(file)", str(path), str(error))])
    checked = parse_yaml(text).bind(
        lambda document: convert_document("standin", document or {}, StandinSettings)
    )
    match checked:
        case Success(settings):
            return settings
        case Failure(faults):
            fail_with_faults(faults)
    raise AssertionError("a result is a success or a failure")
