"""What daemons believe, read from their status pages and compared.

A pure pass over documents of ``/admin/status``: what two daemons believe differently
is where a search for the cause of a failure begins.
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
    """A status page is not what a daemon on the platform tells."""


@dataclass(frozen=True, slots=True)
class Belief:
    """One daemon's account of itself.

    Attributes:
        configuration: Version in force; None before the first.
        confirmed_age_seconds: Since it was last known to be the newest.
        watch_age_seconds: By table of the store.
        source: Who tells it of the store: ``store`` or a daemon.
        n_members: Daemons by their state.
        n_targets: Targets by their state.
        weights: Targets by model and weights version.
        duties: Duties that it holds.
        switched_off: Mechanisms of the decisions that it does not use.
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
    """Something that not all daemons believe alike.

    Attributes:
        told: What is believed, and by whom.
    """

    subject: str
    told: Mapping[str, tuple[str, ...]]


def read_belief(document: bytes) -> Result[Belief, StatusUnreadable]:
    """Return what a status page tells.

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
    """Return what the daemons believe differently."""
    known = tuple(beliefs)
    subjects = {
        "configuration": {item.daemon: str(item.configuration) for item in known},
        "switched off": {
            item.daemon: ", ".join(item.switched_off) or "nothing" for item in known
        },
        "members": {item.daemon: _say(item.n_members) for item in known},
        "targets": {item.daemon: _say(item.n_targets) for item in known},
        "weights": {
            item.daemon: "; ".join(
                f"{model}: {_say(found)}" for model, found in item.weights.items()
            )
            for item in known
        },
    }
    found = [_difference(subject, told) for subject, told in subjects.items()]
    found.append(_duties_twice(known))
    return tuple(item for item in found if item is not None)


def _say(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{n} {name}" for name, n in sorted(counts.items())) or "none"


def _difference(subject: str, told: Mapping[str, str]) -> Difference | None:
    by_word: dict[str, list[str]] = defaultdict(list)
    for daemon, word in told.items():
        by_word[word].append(daemon)
    if len(by_word) <= 1:
        return None
    return Difference(subject, {word: tuple(who) for word, who in by_word.items()})


def _duties_twice(beliefs: Iterable[Belief]) -> Difference | None:
    """Return the duties that several daemons say they hold."""
    holders: dict[str, list[str]] = defaultdict(list)
    for belief in beliefs:
        for duty in belief.duties:
            holders[duty].append(belief.daemon)
    twice = {duty: tuple(who) for duty, who in holders.items() if len(who) > 1}
    return Difference("duties", twice) if twice else None


def describe(belief: Belief) -> str:
    """Return one line on one daemon."""
    ages = ", ".join(
        f"{table} {_say_age(age)}" for table, age in belief.watch_age_seconds.items()
    )
    weights = "; ".join(
        f"{model}: {_say(found)}" for model, found in belief.weights.items()
    )
    return (
        f"{belief.daemon}{' (leaving)' if belief.is_leaving else ''}:"
        f" configuration {belief.configuration} confirmed"
        f" {_say_age(belief.confirmed_age_seconds)}; {ages}, told by {belief.source};"
        f" members {_say(belief.n_members)}; targets {_say(belief.n_targets)};"
        f" weights {weights or 'none'}; holds {', '.join(belief.duties) or 'no duty'}"
        f"{_say_switched_off(belief)}"
    )


def _say_switched_off(belief: Belief) -> str:
    if not belief.switched_off:
        return ""
    return f"; does without {', '.join(belief.switched_off)}"


def _say_age(age_seconds: float | None) -> str:
    return "never" if age_seconds is None else f"{age_seconds:.1f} s ago"
