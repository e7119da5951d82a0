"""Rates that targets have stated in their responses, such as rate limits.

An overloaded target states in its responses how many requests a second it accepts from
all daemons together, until a response states no limit. Responses may arrive out of
order and daemons learn of limits at different times, so reports are ordered by the time
at which the target made them.
"""

from collections.abc import Collection
from dataclasses import dataclass, replace

from lycheepost.core.ids import TargetId

REPORT_END_SECONDS = 5.0
"""How long the end of a limit is sent to peers. A peer that misses it learns of it from
the target's next response."""


@dataclass(frozen=True, slots=True)
class ReportedLimit:
    """A limit, or the end of one, as reported by a target.

    Attributes:
        per_second: Requests a second from all daemons; None if the limit has ended.
        reported_seconds: When the target reported it, on the clock of this daemon.
        is_own: Whether the target reported it to this daemon, not to a peer.
    """

    per_second: float | None
    reported_seconds: float
    is_own: bool = True


def _is_expired_end(reported: ReportedLimit, now_seconds: float) -> bool:
    is_ended = reported.per_second is None
    return is_ended and now_seconds - reported.reported_seconds > REPORT_END_SECONDS


class TargetLimits:
    """The last report of each target that has set a limit."""

    def __init__(self) -> None:
        self._reported: dict[TargetId, ReportedLimit] = {}

    def in_force(self) -> dict[TargetId, float]:
        """Return the limits in force by target, in requests a second."""
        return {
            target: reported.per_second
            for target, reported in self._reported.items()
            if reported.per_second is not None
        }

    def of(self, target: TargetId) -> float | None:
        """Return the limit of a target in requests a second; None for no limit."""
        reported = self._reported.get(target)
        return None if reported is None else reported.per_second

    def note_answer(
        self,
        target: TargetId,
        per_second: float | None,
        sent_seconds: float,
        now_seconds: float,
    ) -> bool:
        """Apply the limit in a response to this daemon.

        A response without a limit ends the limit only if its request was sent after the
        limit arrived. Otherwise the target may have responded before it set the limit.

        Args:
            target: The target that responded.
            per_second: The limit; None if the response states none.
            sent_seconds: When its request was sent.
            now_seconds: The current time.

        Returns:
            Whether the limit has changed.
        """
        before = self._reported.get(target)
        if per_second is None and (
            before is None
            or before.per_second is None
            or sent_seconds < before.reported_seconds
        ):
            return False
        self._reported[target] = ReportedLimit(per_second, now_seconds)
        return before is None or before.per_second != per_second

    def note_peer_report(self, target: TargetId, reported: ReportedLimit) -> bool:
        """Apply a peer's report; return whether the limit has changed."""
        before = self._reported.get(target)
        if before is None and reported.per_second is None:
            return False
        if before is not None and reported.reported_seconds <= before.reported_seconds:
            return False
        self._reported[target] = replace(reported, is_own=False)
        return before is None or before.per_second != reported.per_second

    def own(self, now_seconds: float) -> dict[TargetId, ReportedLimit]:
        """Return what targets reported to this daemon, to be sent to the peers.

        Reports of peers are not forwarded, and the end of a limit is sent only for
        ``REPORT_END_SECONDS``.
        """
        return {
            target: reported
            for target, reported in self._reported.items()
            if reported.is_own and not _is_expired_end(reported, now_seconds)
        }

    def keep(self, targets: Collection[TargetId]) -> None:
        """Drop all targets except these."""
        for target in self._reported.keys() - set(targets):
            del self._reported[target]
