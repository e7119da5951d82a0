"""What a target says of itself in the head of an answer, beside its load."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetNotice:
    """What one answer says of its target.

    Attributes:
        limit_per_second: Requests a second that it takes from all daemons together;
            None where it names no limit.
        is_leaving: It serves what it has, and will end.
        retry_after_seconds: It turned this daemon away, and wants no request from it
            for so long; None where it asks for nothing.
    """

    limit_per_second: float | None = None
    is_leaving: bool = False
    retry_after_seconds: float | None = None


NO_NOTICE = TargetNotice()
