"""``lycheepost explain``: from a request's id to the cause of its end."""

import json
import pathlib
import sys
from collections.abc import Iterator
from typing import Annotated

import typer

from lycheepost.commands.output import ExitCode, fail
from lycheepost.report.explain import Explanation, LogLine
from lycheepost.report.explain import explain as explain_lines

_SHOWN_FIRST = ("timestamp", "daemon_id", "event")


def explain(
    request_id: Annotated[str, typer.Argument(help="The id its caller gave it.")],
    logs: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(help="Log files of any daemons; standard input when none."),
    ] = None,
    json_output: Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
) -> None:
    """Gather the log lines of one request and say why it ended as it did.

    Exit code 0 when lines were found, 1 when none names the request, 2 when a file
    cannot be read.
    """
    found = explain_lines(_read(logs or []), request_id)
    if json_output:
        lines = [line.fields for line in found.lines]
        print(json.dumps({"cause": found.cause, "lines": lines}))
    else:
        _print(found)
    if not found.lines:
        raise typer.Exit(ExitCode.FAILED)


def _read(paths: list[pathlib.Path]) -> Iterator[str]:
    if not paths:
        yield from sys.stdin
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            fail(f"{path} cannot be read: {error.strerror}.", ExitCode.BAD_INPUT)


def _print(found: Explanation) -> None:
    for line in found.lines:
        print(_describe(line))
    print(found.cause)


def _describe(line: LogLine) -> str:
    first = " ".join(line.text(name) for name in _SHOWN_FIRST)
    hidden = (*_SHOWN_FIRST, "request_id", "part", "level")
    rest = [
        f"{name}={value}" for name, value in line.fields.items() if name not in hidden
    ]
    return " ".join([first, *rest])
