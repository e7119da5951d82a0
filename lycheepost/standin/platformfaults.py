"""Faults that a stand-in of a platform service can be told to show.

One mutable record per stand-in: tests, benches and the demo set its fields
while it runs. Counted faults ("the next N calls") fall back to none by
themselves, so that a scenario can provoke exactly one lost answer.
"""

from dataclasses import dataclass, fields


@dataclass(slots=True)
class Faults:
    """What goes wrong with a service.

    Attributes:
        is_down: Refuse every call before it has any effect.
        delay_seconds: Time each call takes before it has its effect.
        answer_delay_seconds: Time each answer takes after the effect.
        n_refused: Refuse this many of the next calls.
        n_lost_answers: Lose this many of the next write answers after their
            effect.
        n_late_writes: Lose this many of the next write answers and let the
            write take effect only ``late_seconds`` later.
        late_seconds: How late a late write takes effect.
        n_stale_reads: Answer this many of the next reads from the state before
            each key's last write.
        n_partial_lists: Cut this many of the next listings to their first half.
        lag_seconds: How far a lagging list is behind.
    """

    is_down: bool = False
    delay_seconds: float = 0.0
    answer_delay_seconds: float = 0.0
    n_refused: int = 0
    n_lost_answers: int = 0
    n_late_writes: int = 0
    late_seconds: float = 1.0
    n_stale_reads: int = 0
    n_partial_lists: int = 0
    lag_seconds: float = 0.0

    def clear(self) -> None:
        """End every fault."""
        for item in fields(self):
            setattr(self, item.name, item.default)

    def take(self, name: str) -> bool:
        """Use up one of the counted faults ``name``; False when none is left."""
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True

    def refuses(self) -> bool:
        """Return whether this call is refused before it has any effect."""
        return self.is_down or self.take("n_refused")
