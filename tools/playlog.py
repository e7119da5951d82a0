"""Read what daemons logged in a played day, as a bench prints it with ``--log all``."""

import json
import re
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

_LINE = re.compile(r"^\s*(-?[\d.]+)\s+(\S+)\s+(\{.*\})\s*$")


@dataclass(frozen=True)
class LogLine:
    """What one daemon wrote.

    Attributes:
        at_seconds: Simulated time.
        record: As it was logged.
    """

    at_seconds: float
    daemon: str
    record: dict[str, Any]


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield what the daemons logged; other lines are passed over.

    A line that was cut off, as the play ended or the log ran full, is left out; how
    many there were is told on the standard error at the end.
    """
    n_cut = 0
    for line in lines:
        match = _LINE.match(line)
        if match is None:
            continue
        try:
            record = json.loads(match[3])
        except json.JSONDecodeError:
            n_cut += 1
            continue
        yield LogLine(float(match[1]), match[2], record)
    if n_cut:
        print(f"{n_cut} lines were cut off and left out", file=sys.stderr)
