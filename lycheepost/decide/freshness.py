"""Decides whether a key may still be accepted, by the age of the configuration.

A daemon that is cut off from the store does not learn of a revoked key, and would go on
serving it after the revocation should be in force everywhere. A keyed request is
therefore served only if the configuration was confirmed as the newest within a bound.
The age is counted from before the confirming call was sent, by a clock that includes
time spent suspended: a slow response or a suspended daemon makes the confirmation
older, never younger.
"""

from dataclasses import dataclass

WATCH_LAG_SECONDS = 1.0
"""A watch on the store may receive changes up to one second late."""

CHECK_SECONDS = 0.2
"""Time from this check until the request's first byte reaches its target."""


@dataclass(frozen=True, slots=True)
class KeyTrustRule:
    """How long a key may be accepted without confirmation.

    Attributes:
        revoke_seconds: Longest time that a key may still be served after its removal
            was acknowledged.
        is_strict: Whether the bound also holds for daemons that are cut off.
        apply_seconds: Time after which a configuration must be in force everywhere.
    """

    revoke_seconds: float
    is_strict: bool
    apply_seconds: float

    @property
    def trusted_seconds(self) -> float:
        """Return the maximum age of a confirmation for accepting keys."""
        return max(0.0, self.revoke_seconds - WATCH_LAG_SECONDS - CHECK_SECONDS)


MAX_LONG_POLL_SECONDS = 1.8
"""Longest time that the store holds a poll open. A silent connection is detected after
about this time, and leaving targets must be known soon."""

LONG_POLL_SHARE = 0.4
"""Share of the trusted time that a poll is held open. The response confirms the state
at the time the poll was sent, so confirmations in use are up to twice as old as a poll
is held open."""


def long_poll_seconds(rule: KeyTrustRule) -> float:
    """Return how long the store may hold a poll open."""
    return min(MAX_LONG_POLL_SECONDS, LONG_POLL_SHARE * rule.trusted_seconds)


def may_trust_key(
    rule: KeyTrustRule, confirmed_seconds: float | None, now_seconds: float
) -> bool:
    """Return whether a keyed request may be sent now.

    Args:
        rule: The bound in force.
        confirmed_seconds: When the configuration was last known to be the newest;
            None when it never was.
        now_seconds: The current time, by a clock that includes time spent suspended.
    """
    if confirmed_seconds is None:
        return False
    if not rule.is_strict:
        return True
    return now_seconds - confirmed_seconds <= rule.trusted_seconds


def may_refuse(
    rule: KeyTrustRule, confirmed_seconds: float | None, now_seconds: float
) -> bool:
    """Return whether a request may be refused for an unknown route or key.

    A caller does not come back after such a refusal. So it takes a configuration from
    after any change that the caller may rely on: one that was the newest within the
    time that changes have to come into force.

    Args:
        rule: The bound in force.
        confirmed_seconds: When the configuration was last known to be the newest;
            None when it never was.
        now_seconds: The current time, by a clock that includes time spent suspended.
    """
    if confirmed_seconds is None:
        return False
    return now_seconds - confirmed_seconds <= rule.apply_seconds
