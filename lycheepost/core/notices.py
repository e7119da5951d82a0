"""Notices of a target about itself in its response headers, apart from its load."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetNotice:
    """The notice in one response of a target.

    Attributes:
        limit_per_second: Requests a second that it accepts from all daemons together;
            None for no limit.
        is_leaving: Whether it finishes its current requests and then exits.
        retry_after_seconds: Time for which it accepts no request from this daemon,
            after it rejected one; None for no back-off.
        brittle_per_second: Requests that it may reject in a second for want of room
            without crashing; None if it is not brittle.
    """

    limit_per_second: float | None = None
    is_leaving: bool = False
    retry_after_seconds: float | None = None
    brittle_per_second: float | None = None


NO_NOTICE = TargetNotice()
