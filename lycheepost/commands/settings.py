"""``lycheepost settings``: check a settings file, generate peer keys."""

import json
import pathlib
import re
from dataclasses import asdict
from typing import Annotated

import typer
import zmq
from returns.result import Failure, Result

from lycheepost.app.settings import read_settings
from lycheepost.commands.output import ExitCode, fail_with_faults
from lycheepost.platform.settings import read_node_settings
from lycheepost.utils.documents import Fault

_NODE_FILE_LINE = re.compile(r"^[a-z0-9_.-]+=")

app = typer.Typer(help="Check settings files.", no_args_is_help=True)


@app.command()
def check(
    file: Annotated[pathlib.Path, typer.Argument(help="Settings file in YAML.")],
    json_output: Annotated[
        bool, typer.Option("--json", help="Print the faults as a JSON list.")
    ] = False,
) -> None:
    """Check a settings file and print all its faults.

    A file of lines ``a.b=value`` is assumed to be a settings file of the users'
    platform, any other to be YAML of lycheepost. Exit code 0 without faults, 2 with
    faults.
    """
    match _read(file):
        case Failure(faults):
            if json_output:
                print(json.dumps([asdict(fault) for fault in faults]))
                raise typer.Exit(ExitCode.BAD_INPUT)
            fail_with_faults(faults)
        case _:
            print("[]" if json_output else f"{file}: no faults")


def _read(file: pathlib.Path) -> Result[object, list[Fault]]:
    """Read a settings file of lycheepost or of the platform."""
    if not _is_node_file(file):
        return read_settings(file)
    return read_node_settings(file).alt(
        lambda error: [Fault("(file)", str(file), fault) for fault in error.faults]
    )


def _is_node_file(file: pathlib.Path) -> bool:
    try:
        lines = file.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError):
        return False
    non_empty = [line for line in lines if line.strip()]
    return bool(non_empty) and all(_NODE_FILE_LINE.match(line) for line in non_empty)


@app.command("peer-keys")
def peer_keys() -> None:
    """Print a new CURVE key pair for the peers section of one daemon."""
    public_key, secret_key = zmq.curve_keypair()
    print(f"public_key: '{public_key.decode()}'")
    print(f"secret_key: '{secret_key.decode()}'")
