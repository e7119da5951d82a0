"""Scheduling mechanisms that can be switched off, to measure their effect.

They are configured as a list of names, which is the same for all daemons of a fleet. By
default none is off. They are switched off for measurements, or in a deployment where a
mechanism does harm.
"""

from enum import Enum

from returns.result import Failure, Result, Success


class Mechanism(Enum):
    """A mechanism that can be switched off; its value is the name in the settings."""

    KV_SENDS = "kv_sends"
    """Prompts are sent to a KV store only if it lacks their shared parts; off:
    always."""
    KV_FETCHES = "kv_fetches"
    """Tokens that a KV store holds don't count as prefill; off: they do."""
    CACHE_EVENTS = "cache_events"
    """Placement uses the engines' cache events; off: only this daemon's requests."""
    RANDOM_ADMISSION = "random_admission"
    """Daemons randomly divide free slots that all of them see; off: each takes them."""
    LATE_LAST = "late_last"
    """Late requests get a lower priority; off: they stay in the order of the
    fair queue."""
    RUNS_END = "runs_end"
    """Orders to targets wait until their runs have ended; off: for a fixed time."""
    NEW_WEIGHTS = "new_weights"
    """Targets with the newest weights are preferred; off: all are equal."""
    PAUSE_GUARD = "pause_guard"
    """Prompts are kept from engines where they would pause streams beyond their gap
    objective; off: placement ignores streams."""
    READING_ENGINES = "reading_engines"
    """Long prompts go to few engines and streams to the others; off: only the budget
    of reading keeps them apart."""
    READING_BUDGET = "reading_budget"
    """A placement costs the streams that it is expected to pause; off: only the reading
    engines keep them apart."""
    SLACK_ORDER = "slack_order"
    """Waiting requests of all customers are ordered by their slack inside fair shares;
    off: by virtual time alone."""
    MEMORY_ROOM = "memory_room"
    """Requests are sent only where the target's memory has room; off: slots alone
    count."""
    TARGET_RATES = "target_rates"
    """Each target has measured rates of its own; off: those of its group."""
    MACHINE_STATES = "machine_states"
    """The momentary speed that targets report counts for placement; off: it is
    ignored."""
    QUOTA_RECORD = "quota_record"
    """Daemons record the use of quotas in the store for the next start; off: each start
    begins without it."""
    ROLLOUT_PACE = "rollout_pace"
    """Fewer targets load new weights at the same time while demand needs them; off:
    always the same share."""
    PATH_RELAY = "path_relay"
    """Requests for a group of which a daemon reaches no target are served by its peers;
    off: it refuses them."""
    PATH_STEERING = "path_steering"
    """A daemon that reaches no target of a group is left out of address responses; off:
    it stays in them."""


def parse_mechanisms(text: str) -> Result[frozenset[Mechanism], str]:
    """Return the mechanisms listed in a text, or an error for an unknown name.

    Args:
        text: Comma-separated names; may be empty.
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
    """Return the sorted names of mechanisms, for logs and status pages."""
    return sorted(item.value for item in mechanisms)
