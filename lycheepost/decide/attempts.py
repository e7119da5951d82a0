"""What follows when a target did not serve a forwarded request.

Whether a request may be sent again rests on one question: may it have run? A
request that certainly did not run goes to another target at no risk. One that
may have run goes on only if its route says that it may be repeated, and only to
as many targets as the route allows.
"""

from dataclasses import dataclass
from enum import Enum

from lycheepost.core.routing import Route

MAX_ATTEMPTS = 5
"""Sends of one request, whatever they came to. Each further one finds the fleet in
the same state a few milliseconds later; its caller is served better by a refusal
that tells when to come back."""

MIN_ATTEMPT_SECONDS = 0.03
"""With less time left no target can answer: a round trip and the shortest work."""


class AttemptEnd(Enum):
    """How one send ended without an answer for the caller."""

    NOT_SENT = "not_sent"
    """No byte reached the target."""
    NOT_RUN = "not_run"
    """The target said that it did not run it."""
    LOST = "lost"
    """Sent, and no usable answer."""
    BROKEN = "broken"
    """Part of the answer came, none of it went to the caller."""
    CUT = "cut"
    """Part of the answer went to the caller."""
    FAILED = "failed"
    """The target ran it and answered with its own failure."""


class Step(Enum):
    """What to do next."""

    TRY_AGAIN = "try_again"
    REFUSE = "refuse"
    """Answer that the request did not run."""
    GIVE_UP = "give_up"
    """Answer that it is not known whether the request ran."""
    PASS_ON = "pass_on"
    """Hand the target's own failure to the caller."""
    CUT_OFF = "cut_off"
    """End the caller's answer so that it cannot be taken for whole."""


@dataclass(frozen=True, slots=True)
class Sends:
    """What has become of a request so far.

    Attributes:
        n_sends: Sends, whatever they came to.
        n_runs: Sends that may have run.
    """

    n_sends: int = 0
    n_runs: int = 0

    def add(self, end: AttemptEnd) -> "Sends":
        """Return the counts after one more send."""
        has_run = end not in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_RUN)
        return Sends(self.n_sends + 1, self.n_runs + has_run)


def next_step(
    route: Route, attempts: Sends, end: AttemptEnd, remaining_seconds: float
) -> Step:
    """Return what follows a send that ended in ``end``.

    Args:
        route: Says what may be repeated, and how often.
        attempts: Counts with this send.
        end: How it ended.
        remaining_seconds: Time until the caller leaves.
    """
    has_time = (
        remaining_seconds >= MIN_ATTEMPT_SECONDS and attempts.n_sends < MAX_ATTEMPTS
    )
    may_repeat = route.is_repeatable and attempts.n_runs < route.max_runs
    if has_time and (may_repeat or attempts.n_runs == 0):
        return Step.TRY_AGAIN
    return last_step(attempts, end)


def last_step(attempts: Sends, end: AttemptEnd) -> Step:
    """Return how a request ends when nothing more can be tried."""
    match end:
        case AttemptEnd.FAILED:
            return Step.PASS_ON
        case AttemptEnd.CUT:
            return Step.CUT_OFF
        case _:
            return Step.REFUSE if attempts.n_runs == 0 else Step.GIVE_UP
