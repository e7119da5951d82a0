"""Notices of targets about themselves: limits, leaving, back-offs, brittleness."""

from collections.abc import Collection
from dataclasses import dataclass

from lycheepost.core.ids import TargetId
from lycheepost.core.notices import TargetNotice
from lycheepost.core.starts import TargetStart
from lycheepost.decide.backoff import BackOffs
from lycheepost.decide.brittle import pause_seconds
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


@dataclass(frozen=True, slots=True)
class BrittleChanged:
    """A target bears another number of rejections, or is not brittle (None)."""

    target: TargetId
    per_second: float | None


NoticeChange = LimitChanged | TargetLeaving | BackOffRequested | BrittleChanged


class TargetNotices:
    """The last notice of each kind from each target.

    Attributes:
        limits: Requests a second that targets accept from all daemons.
        brittle: Rejections a second that brittle targets bear, of all daemons.
        leaving: Targets that are leaving.
        backoffs: Targets that accept no request from this daemon for a while.
    """

    def __init__(self) -> None:
        self.limits = TargetLimits()
        self.brittle = TargetLimits()
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
        brittle = notice.brittle_per_second
        if (is_sealed or brittle is not None) and self.brittle.note_answer(
            target, brittle, sent_seconds, now_seconds
        ):
            changes.append(BrittleChanged(target, brittle))
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

    def note_rejected(
        self, target: TargetId, n_daemons: int, now_seconds: float
    ) -> list[NoticeChange]:
        """Apply a rejection for want of room; return what it changed.

        Args:
            target: The target that rejected a request of this daemon.
            n_daemons: Daemons that the rejections it bears are divided among.
            now_seconds: The current time.
        """
        bearable = self.brittle.of(target)
        if bearable is None:
            return []
        seconds = pause_seconds(bearable, n_daemons)
        if not self.backoffs.note(target, seconds, now_seconds):
            return []
        return [BackOffRequested(target, self.backoffs.until_seconds(target))]

    def keep(self, targets: Collection[TargetId], now_seconds: float) -> None:
        """For all targets except these, drop what they stated and ended back-offs."""
        self.limits.keep(targets)
        self.brittle.keep(targets)
        self.backoffs.keep(targets, now_seconds)
