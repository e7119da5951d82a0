"""What targets have said of themselves: one record for all kinds of notice."""

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
    """A target names another limit, or none any more (None)."""

    target: TargetId
    per_second: float | None


@dataclass(frozen=True, slots=True)
class TargetLeaving:
    """A start of a target is leaving."""

    start: TargetStart


@dataclass(frozen=True, slots=True)
class BackOffRequested:
    """A target wants no request from this daemon until then."""

    target: TargetId
    until_seconds: float


NoticeChange = LimitChanged | TargetLeaving | BackOffRequested


class TargetNotices:
    """The last word of each target, of each kind.

    Attributes:
        limits: Requests a second that targets take from all daemons.
        leaving: Targets that are leaving.
        backoffs: Targets that want no request from this daemon for a while.
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
        """Take what an answer to this daemon says; return what has changed by it.

        Args:
            start: Who answered.
            notice: What it says.
            sent_seconds: When its request was sent.
            now_seconds: The present time.
            is_sealed: The target vouches for the answer. Another one may be spoilt, so
                it ends no limit.
            was_not_run: The target says that it didn't run the request. An answer that
                neither is sealed nor says so takes no target out for good.
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
        """Forget what targets that are not among these have said, where it is over."""
        self.limits.keep(targets)
        self.backoffs.keep(targets, now_seconds)
