"""The largest of recent values."""

from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class _Reading:
    """A value and when it was read last."""

    value: float
    until_seconds: float


class HeldMaximum:
    """The largest of recent values.

    Args:
        held_seconds: How long a value counts after it was read last.
    """

    def __init__(self, held_seconds: float) -> None:
        self._held_seconds = held_seconds
        self._readings: deque[_Reading] = deque()

    def note(self, value: float, now_seconds: float) -> float:
        """Add a value; return the largest one that counts."""
        while self._readings and self._readings[-1].value <= value:
            self._readings.pop()
        self._readings.append(_Reading(value, now_seconds))
        while self._readings[0].until_seconds < now_seconds - self._held_seconds:
            self._readings.popleft()
        return self._readings[0].value
