"""A target that is slow compared with its peers: used less, probed, used again.

The failure: one accelerator throttles, and its target takes four times as long
without failing. It shows as a tail of late first tokens while health checks and
load reports look normal. Each first token is set against what the group's
measured rates predict, so a fleet that is busy as a whole raises nobody's
slowness. A slow target's predicted wait grows with its slowness, so it gets
less work and, while all others are free, none. With none it would stay slow in
our eyes for ever; so while nothing of ours runs there its slowness fades, until
one request goes there as a probe and tells how it is now.
"""

from dataclasses import dataclass

SMOOTHING_WEIGHT = 0.15
"""Weight of one observation: a slow target is told within ten first tokens."""

MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
"""One wild observation must not outweigh the twenty that follow."""

DECAY_HALF_LIFE_SECONDS = 10.0
"""Half-life while unobserved. One probe per some tens of seconds risks one late
first token in a thousand requests, and a recovered target is back in a minute."""


@dataclass(slots=True)
class Slowness:
    """Observed over predicted first-token time of one target, smoothed."""

    value: float = 1.0
    observed_seconds: float = float("-inf")

    def observe(self, ratio: float, now_seconds: float) -> None:
        """Learn from one first token."""
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        value = self.now(now_seconds)
        self.value = value + SMOOTHING_WEIGHT * (ratio - value)
        self.observed_seconds = now_seconds

    def now(self, now_seconds: float) -> float:
        """Return the slowness, faded by the time since the last observation."""
        value = self.value
        if value <= 1.0:
            return value
        elapsed = now_seconds - self.observed_seconds
        return float(1.0 + (value - 1.0) * 0.5 ** (elapsed / DECAY_HALF_LIFE_SECONDS))
