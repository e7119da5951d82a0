"""One start of one target: who it is, and since when.

A target keeps its name when it starts again, and then holds nothing of before: no
cached prompt, no count of orders, no work. So what is known of a target is known of
one start of it, and two starts are told apart by the time that the target states.
Only starts of one target are compared, by that target's own clock.
"""

from dataclasses import dataclass

from lycheepost.core.ids import Incarnation, TargetId


@dataclass(frozen=True, slots=True)
class TargetStart:
    """One start of one target.

    Attributes:
        started_ms: Unix millisecond of the start, by the target's clock; None where
            the target does not state it and has a new name after each start.
    """

    target: TargetId
    started_ms: int | None = None

    @property
    def incarnation(self) -> Incarnation:
        """Return what the decisions tell starts apart by."""
        if self.started_ms is None:
            return Incarnation(self.target)
        return Incarnation(f"{self.target}@{self.started_ms}")

    def is_newer_than(self, other: "TargetStart") -> bool:
        """Tell whether this is a later start of the same target."""
        if self.started_ms is None:
            return False
        return other.started_ms is None or self.started_ms > other.started_ms

    def is_older_than(self, other: "TargetStart") -> bool:
        """Tell whether this is an earlier start of the same target.

        Whoever states no time speaks of an earlier start, or is another writer, once
        the target has stated one.
        """
        return other.is_newer_than(self)
