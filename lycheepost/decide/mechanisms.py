"""Mechanisms of the decisions that can be switched off, to measure what they are worth.

A daemon is told by a list of names; all daemons of a fleet are told the same. Nothing
is off unless somebody measures, or finds that a mechanism does harm in a deployment.
"""

from enum import Enum

from returns.result import Failure, Result, Success


class Mechanism(Enum):
    """What can be switched off; each value is the name in settings."""

    KV_SENDS = "kv_sends"
    """Prompts go to a KV store only while it lacks their shared parts; off: always."""
    KV_FETCHES = "kv_fetches"
    """What a KV store keeps does not count as prefill; off: it does."""
    CACHE_EVENTS = "cache_events"
    """Placement follows engines' cache events; off: only its own requests."""
    RANDOM_ADMISSION = "random_admission"
    """Daemons divide room that all of them see at random; off: each takes it."""
    LATE_LAST = "late_last"
    """Requests that are late get a lower priority; off: all go by their arrival."""
    RUNS_END = "runs_end"
    """Targets are ordered once their runs have ended; off: after a moment."""
    NEW_WEIGHTS = "new_weights"
    """Targets with the newest weights are preferred; off: all count alike."""


def parse_mechanisms(text: str) -> Result[frozenset[Mechanism], str]:
    """Return the mechanisms that a text names, or which of its names is none.

    Args:
        text: Names joined by commas; empty for none.
    """
    found: set[Mechanism] = set()
    for name in filter(None, (word.strip() for word in text.split(","))):
        try:
            found.add(Mechanism(name))
        except ValueError:
            known = ", ".join(sorted(item.value for item in Mechanism))
            return Failure(f"{name!r} is none of {known}")
    return Success(frozenset(found))


def names_of(mechanisms: frozenset[Mechanism]) -> list[str]:
    """Return the names of mechanisms in order, for logs and status pages."""
    return sorted(item.value for item in mechanisms)
