"""``lycheepost explain``: find out why a request ended as it did."""

import json
import pathlib
import sys
from collections.abc import Iterator
from typing import Annotated

import typer

from lycheepost.commands.output import ExitCode, fail
from lycheepost.report.explain import Explanation, LogLine
from lycheepost.report.explain import explain as explain_lines

_LEADING_FIELDS = ("timestamp", "daemon_id", "event")


def explain(
    request_id: Annotated[str, typer.Argument(help="Request id from the caller.")],
    logs: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(help="Log files of daemons; standard input if omitted."),
    ] = None,
    json_output: Annotated[
        bool, typer.Option("--json", help="Print one JSON object.")
    ] = False,
) -> None:
    """Show the log lines of one request and the cause of its end.

    Exit code 0 when lines were found, 1 when none contains the id, 2 when a file
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
    first = " ".join(line.text(name) for name in _LEADING_FIELDS)
    hidden = (*_LEADING_FIELDS, "request_id", "part", "level")
    rest = [
        f"{name}={value}" for name, value in line.fields.items() if name not in hidden
    ]
    return " ".join([first, *rest])
