"""Retry decisions for forwarded requests that a target did not serve.

Whether a request may be sent again depends on whether it may have run. A request that
certainly did not run can safely go to another target. One that may have run is retried
only if its route allows repetition, and only on as many targets as the route allows.
"""

from dataclasses import dataclass
from enum import Enum

from lycheepost.core.routing import Route

MAX_ATTEMPTS = 5
"""Attempts of one request, whatever their outcome. A further attempt a few milliseconds
later would find the fleet in the same state, so a refusal with a retry time serves the
caller better."""

MIN_ATTEMPT_SECONDS = 0.03
"""Time of a round trip and the shortest processing; no target can respond in less."""


class AttemptEnd(Enum):
    """How an attempt ended that did not serve the request completely."""

    NOT_SENT = "not_sent"
    """No byte reached the target."""
    NOT_RUN = "not_run"
    """The target stated that it did not run the request."""
    LOST = "lost"
    """Sent, but no usable response came."""
    BROKEN = "broken"
    """Part of the response came; none of it was sent to the caller."""
    CUT = "cut"
    """Part of the response was sent to the caller."""
    FAILED = "failed"
    """The target ran the request and responded with its own error."""


class Step(Enum):
    """What to do after an attempt."""

    TRY_AGAIN = "try_again"
    REFUSE = "refuse"
    """Respond that the request did not run."""
    GIVE_UP = "give_up"
    """Respond that it is unknown whether the request ran."""
    PASS_ON = "pass_on"
    """Forward the target's own error to the caller."""
    CUT_OFF = "cut_off"
    """Abort the caller's response, so that it is recognizably incomplete."""


@dataclass(frozen=True, slots=True)
class Sends:
    """Counts of a request's attempts so far.

    Attributes:
        n_sends: Attempts, whatever their outcome.
        n_runs: Attempts that may have run.
        n_arrivals: Arrivals at targets, also of attempts that the targets rejected.
    """

    n_sends: int = 0
    n_runs: int = 0
    n_arrivals: int = 0

    def add(self, end: AttemptEnd, n_arrivals: int | None = None) -> "Sends":
        """Return the counts after one more attempt.

        Args:
            end: How it ended.
            n_arrivals: How often the request arrived at targets in it, if known.
        """
        has_run = end not in (AttemptEnd.NOT_SENT, AttemptEnd.NOT_RUN)
        if n_arrivals is None:
            n_arrivals = int(end is not AttemptEnd.NOT_SENT)
        return Sends(
            self.n_sends + 1, self.n_runs + has_run, self.n_arrivals + n_arrivals
        )


def next_step(
    route: Route, attempts: Sends, end: AttemptEnd, remaining_seconds: float
) -> Step:
    """Return what to do after an attempt that ended in ``end``.

    Args:
        route: The route, which limits repetition.
        attempts: Counts including this attempt.
        end: How it ended.
        remaining_seconds: Time until the caller's timeout.
    """
    has_time = (
        remaining_seconds >= MIN_ATTEMPT_SECONDS and attempts.n_sends < MAX_ATTEMPTS
    )
    may_repeat = route.is_repeatable and attempts.n_runs < route.max_runs
    if has_time and (may_repeat or attempts.n_runs == 0):
        return Step.TRY_AGAIN
    return last_step(attempts, end)


def last_step(attempts: Sends, end: AttemptEnd) -> Step:
    """Return how a request ends when no further attempt is possible."""
    match end:
        case AttemptEnd.FAILED:
            return Step.PASS_ON
        case AttemptEnd.CUT:
            return Step.CUT_OFF
        case _:
            return Step.REFUSE if attempts.n_runs == 0 else Step.GIVE_UP
