"""Exit codes and error output shared by the commands."""

import sys
from enum import IntEnum
from typing import TYPE_CHECKING, NoReturn

import typer

if TYPE_CHECKING:
    # Not imported at run time: a daemon must not load the schema library.
    from lycheepost.utils.documents import Fault


class ExitCode(IntEnum):
    """Exit codes of every command."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3


def fail(message: str, code: ExitCode) -> NoReturn:
    """Print a message to standard error and exit."""
    print(message, file=sys.stderr)
    raise typer.Exit(code)


def fail_with_faults(faults: "list[Fault]") -> NoReturn:
    """Print every fault, one a line, and exit."""
    for fault in faults:
        print(fault, file=sys.stderr)
    raise typer.Exit(ExitCode.BAD_INPUT)
