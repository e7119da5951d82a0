"""One start of one target, identified by the target and its start time.

A target that reports its start time keeps its name across restarts but loses its state:
cached prompts, requests and its count of accepted orders to load weights. So whatever
is known of a target holds for one start of it. Starts are distinguished by the start
time that the target reports on its own clock, and only starts of the same target are
compared.
"""

from dataclasses import dataclass
from enum import Enum

from lycheepost.core.ids import Incarnation, StartKey, TargetId


@dataclass(frozen=True, slots=True)
class TargetStart:
    """One start of one target.

    Attributes:
        started_ms: Unix time of the start in milliseconds, on the target's clock; None
            if the target doesn't report it and gets a new name with each start.
    """

    target: TargetId
    started_ms: int | None = None

    @property
    def incarnation(self) -> Incarnation:
        """Return the identifier by which the scheduler distinguishes starts."""
        if self.started_ms is None:
            return Incarnation(self.target)
        return Incarnation(f"{self.target}@{self.started_ms}")

    def is_newer_than(self, other: "TargetStart") -> bool:
        """Return whether this is a later start of the same target."""
        if self.started_ms is None:
            return False
        return other.started_ms is None or self.started_ms > other.started_ms

    def is_older_than(self, other: "TargetStart") -> bool:
        """Return whether this is an earlier start of the same target.

        Once the target has reported a start time, a registration without one is of an
        earlier start, or was not written by the target itself.
        """
        return other.is_newer_than(self)


def start_key(target: TargetId, incarnation: Incarnation) -> StartKey:
    """Return the key of one start of a target; incarnations may be empty or alike."""
    return StartKey(f"{target}/{incarnation}")


class StartVerdict(Enum):
    """Whether a start of a target has ended, as far as a daemon can tell."""

    SAME = "same"
    ENDED = "ended"
    UNKNOWN = "unknown"
    """The target gave no answer, which may be due to this daemon's own paths."""
