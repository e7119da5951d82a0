"""Reads and compares the state that daemons report on their status pages.

Pure functions over documents of ``/admin/status``. A belief is one daemon's view of
the fleet. A difference between two daemons is where to start the search for the cause
of a failure.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from lycheepost.core.errors import LycheepostError


@dataclass(frozen=True)
class StatusUnreadable(LycheepostError):
    """A document is not the status page of a daemon on the platform."""


@dataclass(frozen=True, slots=True)
class Belief:
    """One daemon's view of itself and of the fleet.

    Attributes:
        configuration: Version in force; None before the first.
        confirmed_age_seconds: Time since the configuration was last confirmed to be
            the newest.
        watch_age_seconds: Time since the last successful read, by table of the store.
        source: Where it gets changes of the store: ``store`` or a daemon's id.
        n_members: Number of daemons in each state.
        n_targets: Number of targets in each state.
        weights: Number of targets for each model and weights version.
        duties: Duties that it holds.
        switched_off: Decision mechanisms that are disabled.
    """

    daemon: str
    is_leaving: bool
    configuration: int | None
    confirmed_age_seconds: float | None
    watch_age_seconds: Mapping[str, float | None] = field(default_factory=dict)
    source: str = "store"
    n_members: Mapping[str, int] = field(default_factory=dict)
    n_targets: Mapping[str, int] = field(default_factory=dict)
    weights: Mapping[str, Mapping[str, int]] = field(default_factory=dict)
    duties: tuple[str, ...] = ()
    switched_off: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Difference:
    """A subject on which the daemons' views differ.

    Attributes:
        told: Ids of the daemons by the value that they report.
    """

    subject: str
    told: Mapping[str, tuple[str, ...]]


def read_belief(document: bytes) -> Result[Belief, StatusUnreadable]:
    """Parse a status page.

    Args:
        document: JSON of ``/admin/status``.
    """
    try:
        return Success(_to_belief(msgspec.json.decode(document)))
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError) as error:
        reason = f"The status page cannot be read: {error!r}."
        return Failure(StatusUnreadable(reason))


def _to_belief(status: Any) -> Belief:
    return Belief(
        daemon=status["daemon_id"],
        is_leaving=status["is_leaving"],
        configuration=status["configuration"]["version"],
        confirmed_age_seconds=status["configuration"]["confirmed_age_seconds"],
        watch_age_seconds={
            watch["table"]: watch["age_seconds"] for watch in status["watches"]
        },
        source=status["feed"]["source"],
        n_members=Counter(status["members"].values()),
        n_targets=Counter(
            target["state"] or "unknown" for target in status["targets"].values()
        ),
        weights=_count_weights(status["targets"].values()),
        duties=tuple(duty["duty"] for duty in status["duties"] if duty["is_held"]),
        switched_off=tuple(status["switched_off"]),
    )


def _count_weights(targets: Iterable[Any]) -> dict[str, dict[str, int]]:
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for target in targets:
        for model, version in (target["weights"] or {}).items():
            counts[model][version] += 1
    return {model: dict(found) for model, found in sorted(counts.items())}


def find_differences(beliefs: Iterable[Belief]) -> tuple[Difference, ...]:
    """Return the subjects on which the daemons' views differ."""
    all_beliefs = tuple(beliefs)
    subjects = {
        "configuration": {item.daemon: str(item.configuration) for item in all_beliefs},
        "switched off": {
            item.daemon: ", ".join(item.switched_off) or "nothing"
            for item in all_beliefs
        },
        "members": {
            item.daemon: _format_counts(item.n_members) for item in all_beliefs
        },
        "targets": {
            item.daemon: _format_counts(item.n_targets) for item in all_beliefs
        },
        "weights": {
            item.daemon: "; ".join(
                f"{model}: {_format_counts(found)}"
                for model, found in item.weights.items()
            )
            for item in all_beliefs
        },
    }
    differences = [
        _find_difference(subject, reported) for subject, reported in subjects.items()
    ]
    differences.append(_find_duplicate_duties(all_beliefs))
    return tuple(item for item in differences if item is not None)


def _format_counts(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{n} {name}" for name, n in sorted(counts.items())) or "none"


def _find_difference(subject: str, reported: Mapping[str, str]) -> Difference | None:
    by_value: dict[str, list[str]] = defaultdict(list)
    for daemon, value in reported.items():
        by_value[value].append(daemon)
    if len(by_value) <= 1:
        return None
    return Difference(subject, {value: tuple(ids) for value, ids in by_value.items()})


def _find_duplicate_duties(beliefs: Iterable[Belief]) -> Difference | None:
    """Return the duties that more than one daemon claims to hold."""
    holders: dict[str, list[str]] = defaultdict(list)
    for belief in beliefs:
        for duty in belief.duties:
            holders[duty].append(belief.daemon)
    duplicates = {duty: tuple(ids) for duty, ids in holders.items() if len(ids) > 1}
    return Difference("duties", duplicates) if duplicates else None


def describe(belief: Belief) -> str:
    """Return a one-line summary of one daemon's view."""
    ages = ", ".join(
        f"{table} {_format_age(age)}" for table, age in belief.watch_age_seconds.items()
    )
    weights = "; ".join(
        f"{model}: {_format_counts(found)}" for model, found in belief.weights.items()
    )
    return (
        f"{belief.daemon}{' (leaving)' if belief.is_leaving else ''}:"
        f" configuration {belief.configuration} confirmed"
        f" {_format_age(belief.confirmed_age_seconds)}; {ages}, told by"
        f" {belief.source}; members {_format_counts(belief.n_members)};"
        f" targets {_format_counts(belief.n_targets)};"
        f" weights {weights or 'none'}; holds {', '.join(belief.duties) or 'no duty'}"
        f"{_format_switched_off(belief)}"
    )


def _format_switched_off(belief: Belief) -> str:
    if not belief.switched_off:
        return ""
    return f"; does without {', '.join(belief.switched_off)}"


def _format_age(age_seconds: float | None) -> str:
    return "never" if age_seconds is None else f"{age_seconds:.1f} s ago"
