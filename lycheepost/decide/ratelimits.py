"""Which targets limit their requests, as far as this daemon has heard.

The load: a target in need names in its answers how many requests a second it takes
from all daemons together, until an answer names none. Answers overtake each other and
daemons hear at different moments, so each word counts by when the target said it.
"""

from collections.abc import Collection
from dataclasses import dataclass, replace

from lycheepost.core.ids import TargetId

REPORT_END_SECONDS = 5.0
"""How long peers are told that a limit has ended. One that misses it hears it with its
own next answer."""


@dataclass(frozen=True, slots=True)
class ReportedLimit:
    """What a target said of its limit.

    Attributes:
        per_second: Requests a second from all daemons; None once it names no limit.
        reported_seconds: When it said so, on the clock of this daemon.
        is_own: It said so to this daemon.
    """

    per_second: float | None
    reported_seconds: float
    is_own: bool = True


def _is_expired_end(reported: ReportedLimit, now_seconds: float) -> bool:
    is_ended = reported.per_second is None
    return is_ended and now_seconds - reported.reported_seconds > REPORT_END_SECONDS


class TargetLimits:
    """The last word of each target that has named a limit."""

    def __init__(self) -> None:
        self._reported: dict[TargetId, ReportedLimit] = {}

    def in_force(self) -> dict[TargetId, float]:
        """Return the limits of all targets that name one, in requests a second."""
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
        """Take what an answer to this daemon says.

        An answer that names no limit ends one only if its request was sent after the
        limit was heard: an earlier one may have been answered before that.

        Args:
            target: Who answered.
            per_second: The limit; None where the answer names none.
            sent_seconds: When its request was sent.
            now_seconds: The present time.

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
        """Take what a peer heard; return whether the limit has changed."""
        before = self._reported.get(target)
        if before is None and reported.per_second is None:
            return False
        if before is not None and reported.reported_seconds <= before.reported_seconds:
            return False
        self._reported[target] = replace(reported, is_own=False)
        return before is None or before.per_second != reported.per_second

    def own(self, now_seconds: float) -> dict[TargetId, ReportedLimit]:
        """Return what targets said to this daemon, for the peers.

        What a peer told isn't told on, and the end of a limit only for a while.
        """
        return {
            target: reported
            for target, reported in self._reported.items()
            if reported.is_own and not _is_expired_end(reported, now_seconds)
        }

    def keep(self, targets: Collection[TargetId]) -> None:
        """Forget targets that are not among these."""
        for target in self._reported.keys() - set(targets):
            del self._reported[target]
