"""Divides the platform's termination grace period of a daemon."""

from dataclasses import dataclass

ACCEPT_SHARE = 0.36
FINISH_SHARE = 0.55
"""Shares of the grace period, after which the platform kills the process. Of eight
seconds, 2.9 s are for accepting requests: by then clients have learned other addresses,
and an accepted request has more than four seconds to finish. The rest is for closing
connections."""


@dataclass(frozen=True, slots=True)
class LeavePlan:
    """The two phases of a graceful shutdown.

    Attributes:
        accept_seconds: How long new requests are accepted from clients that still use
            its address. Requests accepted later might not finish in time.
        finish_seconds: How long the accepted requests may take to finish after that.
    """

    accept_seconds: float
    finish_seconds: float


def make_leave_plan(grace_seconds: float) -> LeavePlan:
    """Return the plan for a platform that kills the process after ``grace_seconds``."""
    return LeavePlan(ACCEPT_SHARE * grace_seconds, FINISH_SHARE * grace_seconds)
