"""Notices of targets about themselves: limits, leaving and back-offs."""

from collections.abc import Collection
from dataclasses import dataclass

from lycheepost.core.ids import TargetId
from lycheepost.core.notices import TargetNotice
from lycheepost.core.starts import TargetStart
from lycheepost.decide.backoff import BackOffs
from lycheepost.decide.leaving import LeavingTargets
from lycheepost.decide.ratelimits import TargetLimits


@dataclass(frozen=True, slots=True)
class LimitChanged:
    """A target has set another limit, or ended its limit (None)."""

    target: TargetId
    per_second: float | None


@dataclass(frozen=True, slots=True)
class TargetLeaving:
    """A start of a target is leaving."""

    start: TargetStart


@dataclass(frozen=True, slots=True)
class BackOffRequested:
    """A target accepts no request from this daemon before ``until_seconds``."""

    target: TargetId
    until_seconds: float


NoticeChange = LimitChanged | TargetLeaving | BackOffRequested


class TargetNotices:
    """The last notice of each kind from each target.

    Attributes:
        limits: Requests a second that targets accept from all daemons.
        leaving: Targets that are leaving.
        backoffs: Targets that accept no request from this daemon for a while.
    """

    def __init__(self) -> None:
        self.limits = TargetLimits()
        self.leaving = LeavingTargets()
        self.backoffs = BackOffs()

    def note_answer(
        self,
        start: TargetStart,
        notice: TargetNotice,
        sent_seconds: float,
        now_seconds: float,
        is_sealed: bool = True,
        was_not_run: bool = False,
    ) -> list[NoticeChange]:
        """Apply the notice in a response to this daemon; return what it changed.

        Args:
            start: The target start that responded.
            notice: The notice.
            sent_seconds: When the request was sent.
            now_seconds: The current time.
            is_sealed: Whether the response carries the target's seal, a header that
                targets add to their responses. A response without it may be corrupted,
                so it ends no limit.
            was_not_run: Whether the target states that it did not run the request. A
                response with neither this nor a seal does not mark a target as leaving,
                which would be permanent.
        """
        target = start.target
        changes: list[NoticeChange] = []
        per_second = notice.limit_per_second
        if (is_sealed or per_second is not None) and self.limits.note_answer(
            target, per_second, sent_seconds, now_seconds
        ):
            changes.append(LimitChanged(target, per_second))
        is_trusted = is_sealed or was_not_run
        if notice.is_leaving and is_trusted and self.leaving.note(start):
            changes.append(TargetLeaving(start))
        for_seconds = notice.retry_after_seconds
        if for_seconds is not None and self.backoffs.note(
            target, for_seconds, now_seconds
        ):
            until_seconds = self.backoffs.until_seconds(target)
            changes.append(BackOffRequested(target, until_seconds))
        return changes

    def keep(self, targets: Collection[TargetId], now_seconds: float) -> None:
        """For all targets except these, drop the limits and the ended back-offs."""
        self.limits.keep(targets)
        self.backoffs.keep(targets, now_seconds)
