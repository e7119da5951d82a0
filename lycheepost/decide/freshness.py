"""Whether a key may still be trusted.

The failure: a daemon that is cut off from the store goes on serving a key that
was taken away, because it cannot hear of it. It shows as requests that run after
the revocation should be in force everywhere. So a keyed request is served only
while the configuration was confirmed as the newest within a bound. The bound is
counted from before the confirming call was sent, by a clock that counts
suspension: an answer that was long on its way, or a daemon that slept, makes the
confirmation older, never younger.
"""

from dataclasses import dataclass

WATCH_LAG_SECONDS = 1.0
"""A watch on the store may hear nothing for a second while changes are made."""

CHECK_SECONDS = 0.2
"""From this check until the request's first byte reaches its target."""


@dataclass(frozen=True, slots=True)
class KeyTrustRule:
    """How long a key may be trusted without confirmation.

    Attributes:
        revoke_seconds: After its removal was acknowledged, a key must not be
            served for longer than this.
        is_strict: Whether the bound holds for daemons that are cut off, too.
    """

    revoke_seconds: float
    is_strict: bool

    @property
    def trusted_seconds(self) -> float:
        """Return the greatest age of a confirmation that keys may rest on."""
        return max(0.0, self.revoke_seconds - WATCH_LAG_SECONDS - CHECK_SECONDS)


MAX_LONG_POLL_SECONDS = 1.8
"""Longest time that a question to the store is held. A connection that went silent
is noticed after about this time, and leaving targets must be known sooner."""

LONG_POLL_SHARE = 0.4
"""Part of the trusted time that a question is held. The answer confirms what was
true when the question was sent, so keys rest on confirmations up to twice as old."""


def long_poll_seconds(rule: KeyTrustRule) -> float:
    """Return how long a question to the store may be held."""
    return min(MAX_LONG_POLL_SECONDS, LONG_POLL_SHARE * rule.trusted_seconds)


def may_trust_key(
    rule: KeyTrustRule, confirmed_seconds: float | None, now_seconds: float
) -> bool:
    """Return whether a keyed request may be sent now.

    Args:
        rule: The bound in force.
        confirmed_seconds: When the configuration was last known to be the newest;
            None when it never was.
        now_seconds: The present time, by a clock that counts suspension.
    """
    if confirmed_seconds is None:
        return False
    if not rule.is_strict:
        return True
    return now_seconds - confirmed_seconds <= rule.trusted_seconds
