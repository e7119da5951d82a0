"""Detection of targets that are slow compared with their group.

If an accelerator throttles, its target takes four times as long without failing, which
causes late first tokens while health checks and load reports look normal. Each
first-token time is compared with the prediction from the group's measured rates, so a
busy fleet raises no target's slowness. A slow target's predicted wait grows with its
slowness, so it gets less work, or none while all others are free. Without requests its
slowness could never be corrected. So it decays while the target gets none, until one
request is sent there as a probe.
"""

from dataclasses import dataclass

SMOOTHING_WEIGHT = 0.15
"""Weight of one observation; detects a slow target within ten first tokens."""

MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
"""Bounds one observation, so that an outlier doesn't outweigh the next twenty."""

DECAY_HALF_LIFE_SECONDS = 10.0
"""Half-life without observations. One probe per some tens of seconds risks one late
first token in a thousand requests, and a recovered target is used again within a
minute."""


@dataclass(slots=True)
class Slowness:
    """Smoothed ratio of observed to predicted first-token time of one target."""

    value: float = 1.0
    observed_seconds: float = float("-inf")

    def observe(self, ratio: float, now_seconds: float) -> None:
        """Update the ratio by one first token."""
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        value = self.now(now_seconds)
        self.value = value + SMOOTHING_WEIGHT * (ratio - value)
        self.observed_seconds = now_seconds

    def now(self, now_seconds: float) -> float:
        """Return the slowness, decayed since the last observation."""
        value = self.value
        if value <= 1.0:
            return value
        elapsed = now_seconds - self.observed_seconds
        return float(1.0 + (value - 1.0) * 0.5 ** (elapsed / DECAY_HALF_LIFE_SECONDS))

    def remove_explained(self, ratio: float) -> None:
        """Remove what a newly known ratio of the target's durations explains.

        Otherwise it would count twice until the next dozen of first tokens.
        """
        if ratio < 1.0 and self.value < 1.0:
            self.value = min(1.0, self.value / ratio)
        elif ratio > 1.0 and self.value > 1.0:
            self.value = max(1.0, self.value / ratio)
