"""Whether a target that broke off has ended, by what its daemon has seen.

A request may only be blamed for a target that has ended. A target that does not answer
may as well be out of this daemon's reach, or the daemon was suspended while it asked.
So a target counts as ended only if another one answered at the same time.
"""

from dataclasses import dataclass
from enum import Enum

from lycheepost.core.starts import StartVerdict


class StartAnswer(Enum):
    """What answered at the address of a target."""

    SAME = "same"
    """The start that was asked for."""
    OTHER = "other"
    """Another start of it, or another target that has its address now."""
    NONE = "none"


class ReachEvidence(Enum):
    """What a probe of a target and of others in its group has reached."""

    TARGET = "target"
    OTHERS_ONLY = "others_only"
    NONE = "none"
    LATE = "late"
    """The probe lasted longer than its time-out allows; what it missed says nothing."""


@dataclass(frozen=True, slots=True)
class ProbedReach:
    """A probe of a target, beside a probe of others in its group.

    Attributes:
        is_target_reached: Whether the target answered.
        are_others_reached: Whether another one did.
        is_late: Whether the probe lasted longer than its time-out allows.
    """

    is_target_reached: bool
    are_others_reached: bool
    is_late: bool


def judge_reach(probed: ProbedReach) -> ReachEvidence:
    """Return what a probe says of a target."""
    if probed.is_target_reached:
        return ReachEvidence.TARGET
    if probed.is_late:
        return ReachEvidence.LATE
    return (
        ReachEvidence.OTHERS_ONLY if probed.are_others_reached else ReachEvidence.NONE
    )


def judge_answer(answer: StartAnswer, is_newest_start: bool) -> StartVerdict | None:
    """Return what the answer of a target says; None if a probe has to tell.

    Args:
        answer: The answer at its address.
        is_newest_start: Whether no later start of it is known.
    """
    if answer is StartAnswer.OTHER or not is_newest_start:
        return StartVerdict.ENDED
    return StartVerdict.SAME if answer is StartAnswer.SAME else None


def judge_silent(reach: ReachEvidence) -> StartVerdict:
    """Return what a probe says of the start of a target that gave no answer.

    A target that a probe reaches may be the same, or be back already.
    """
    if reach is ReachEvidence.OTHERS_ONLY:
        return StartVerdict.ENDED
    return StartVerdict.UNKNOWN
