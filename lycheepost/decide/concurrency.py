"""How much of our work may wait inside one engine: adaptive, by delay.

The failure: load reports are a second or two old, so daemons that trust them
all see an idle engine and fill it together, then all see it full and stop. It
shows as engines that swing between idle and seconds of queue. Each daemon
therefore bounds its own waiting tokens per target by a window that follows the
delay its own requests meet there, as delay-based congestion control does: it
grows while first tokens come promptly, and shrinks when they do not.
"""

from dataclasses import dataclass

MIN_TOKENS = 512
"""One prefill chunk; less would leave the engine's iterations half empty."""

MAX_TOKENS = 65_536
"""Several seconds of prefill on one engine, whatever the delay says."""

INITIAL_TOKENS = 8192
"""Half a second of prefill: a restarted daemon neither floods an engine nor
lets it idle while the window is still unknown."""

GROWTH_TOKENS = 256
SHRINK = 0.8
SHRINK_SECONDS = 0.25
"""Additive growth, multiplicative shrinking, one shrink per burst of late
first tokens: windows of several daemons converge to equal parts."""


@dataclass(slots=True)
class Window:
    """Bound of our own prompt tokens that wait at one target."""

    tokens: float = INITIAL_TOKENS
    shrunk_seconds: float = float("-inf")

    def observe(
        self,
        delay_seconds: float,
        target_seconds: float,
        is_limiting: bool,
        now_seconds: float,
    ) -> None:
        """Follow one request's delay in the engine's queue.

        Args:
            delay_seconds: What it waited there beyond its own prefill.
            target_seconds: Delay aimed at.
            is_limiting: Whether the window was near full when it was sent.
            now_seconds: The present time.
        """
        if delay_seconds <= target_seconds:
            if is_limiting:
                self.tokens = min(MAX_TOKENS, self.tokens + GROWTH_TOKENS)
            return
        if now_seconds - self.shrunk_seconds < SHRINK_SECONDS:
            return
        self.shrunk_seconds = now_seconds
        self.tokens = max(MIN_TOKENS, self.tokens * SHRINK)
