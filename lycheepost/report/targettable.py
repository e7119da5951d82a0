"""A table of targets, from the status page of a daemon."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from lycheepost.report.beliefs import StatusUnreadable


@dataclass(frozen=True, slots=True)
class TargetRow:
    """One target as a daemon knows it.

    Attributes:
        n_estimated: Requests of all daemons there.
        reading_seconds: Time to prefill the prompts that wait there.
        rate_ratio: Duration of work there compared with its group.
        momentary_ratio: Duration of work at the moment compared with its usual one.
        stated_age_seconds: Time since it stated its speed; None if it states none.
    """

    state: str
    zone: str
    n_estimated: float
    n_slots: int
    n_streams: int
    reading_seconds: float
    is_reading_engine: bool
    held_tokens: int
    memory_tokens: int
    slowness: float
    rate_ratio: float
    momentary_ratio: float
    stated_age_seconds: float | None


@dataclass(frozen=True, slots=True)
class _Group:
    targets: dict[str, TargetRow]


@dataclass(frozen=True, slots=True)
class _Queues:
    groups: dict[str, _Group]


@dataclass(frozen=True, slots=True)
class _Status:
    queues: _Queues


def read_targets(
    body: bytes,
) -> Result[dict[str, dict[str, TargetRow]], StatusUnreadable]:
    """Return the targets of each group that a daemon's status page states."""
    try:
        status = msgspec.json.decode(body, type=_Status)
    except msgspec.MsgspecError as error:
        return Failure(StatusUnreadable(f"unreadable: {error}"))
    return Success({n: group.targets for n, group in status.queues.groups.items()})


def describe_targets(groups: dict[str, dict[str, TargetRow]]) -> Iterable[str]:
    """Yield the lines of a table, the targets of each group by name."""
    for name, targets in sorted(groups.items()):
        yield name
        yield (
            f"  {'target':<16}{'zone':<14}{'state':<9}{'running':>12}{'streams':>9}"
            f"{'reading, s':>12}{'memory':>16}{'duration':>10}{'age, s':>8}"
        )
        for target, row in sorted(targets.items()):
            yield f"  {target:<16}{_describe(row)}"


def _describe(row: TargetRow) -> str:
    running = f"{row.n_estimated:g}/{row.n_slots}"
    reading = f"{row.reading_seconds:.3f}{'*' if row.is_reading_engine else ' '}"
    memory = f"{row.held_tokens}/{row.memory_tokens}" if row.memory_tokens else "-"
    duration = row.slowness * row.rate_ratio * row.momentary_ratio
    age = row.stated_age_seconds
    return (
        f"{row.zone:<14}{row.state:<9}{running:>12}{row.n_streams:>9}{reading:>12}"
        f"{memory:>16}{duration:>10.2f}{'-' if age is None else f'{age:.1f}':>8}"
    )
