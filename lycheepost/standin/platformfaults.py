"""Faults that can be injected into a stand-in of a platform service.

Each stand-in has one mutable record, whose fields tests, benches and the demo set
while it runs. Counted faults ("the next N calls") count down to zero, so that a
scenario can cause exactly one lost answer.
"""

from dataclasses import dataclass, fields


@dataclass(slots=True)
class Faults:
    """Faults of one service.

    Attributes:
        is_down: Refuse every call before it has any effect.
        delay_seconds: Delay of each call before it takes effect.
        answer_delay_seconds: Delay of each answer after the effect.
        n_refused: Refuse this many of the next calls.
        n_lost_answers: Lose this many of the next write answers after their
            effect.
        n_late_writes: Lose this many of the next write answers and let the
            write take effect only ``late_seconds`` later.
        late_seconds: Delay until a late write takes effect.
        n_stale_reads: Answer this many of the next reads from the state before
            each key's last write.
        n_partial_lists: Truncate this many of the next listings to their first half.
        lag_seconds: Age of the state that a lagging list shows.
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
        """Consume one counted fault ``name``; return False if none is left."""
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True

    def refuses(self) -> bool:
        """Return whether this call is refused before it has any effect."""
        return self.is_down or self.take("n_refused")
