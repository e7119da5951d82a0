"""How a daemon that was told to stop spends its time."""

from dataclasses import dataclass

ACCEPT_SHARE = 0.36
FINISH_SHARE = 0.55
"""Shares of the time until the platform kills a process. The first is 2.9 of eight
seconds: clients have learned of other addresses by then, and a request that is taken
has more than four seconds to end. The rest is for closing."""


@dataclass(frozen=True, slots=True)
class LeavePlan:
    """The two spans of leaving.

    Attributes:
        accept_seconds: It goes on taking requests of clients that still have its
            address. What it takes later might not be finished in time.
        finish_seconds: Then it finishes what it took, at most this long.
    """

    accept_seconds: float
    finish_seconds: float


def make_leave_plan(grace_seconds: float) -> LeavePlan:
    """Return the plan for a platform that kills after ``grace_seconds``."""
    return LeavePlan(ACCEPT_SHARE * grace_seconds, FINISH_SHARE * grace_seconds)
