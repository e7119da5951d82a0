"""``lycheepost settings``: check a settings file, make peer keys."""

import json
import pathlib
from dataclasses import asdict
from typing import Annotated

import typer
import zmq
from returns.result import Failure

from lycheepost.app.settings import read_settings
from lycheepost.commands.output import ExitCode, fail_with_faults

app = typer.Typer(help="Check settings files.", no_args_is_help=True)


@app.command()
def check(
    file: Annotated[pathlib.Path, typer.Argument(help="Settings file in YAML.")],
    json_output: Annotated[
        bool, typer.Option("--json", help="Print the faults as a JSON list.")
    ] = False,
) -> None:
    """Check a settings file; print every fault at once.

    Exit code 0 when it is in order, 2 when it has faults.
    """
    match read_settings(file):
        case Failure(faults):
            if json_output:
                print(json.dumps([asdict(fault) for fault in faults]))
                raise typer.Exit(ExitCode.BAD_INPUT)
            fail_with_faults(faults)
        case _:
            print("[]" if json_output else f"{file}: no faults")


@app.command("peer-keys")
def peer_keys() -> None:
    """Print a new CURVE key pair for the peers section of one daemon."""
    public_key, secret_key = zmq.curve_keypair()
    print(f"public_key: '{public_key.decode()}'")
    print(f"secret_key: '{secret_key.decode()}'")
