"""Delay-based window for this daemon's tokens that wait inside one engine.

Load reports are a second or two old. Daemons that rely on them alone all see an idle
engine and fill it together, then all see it full and stop, so that engines swing
between idle and seconds of queue. Each daemon therefore bounds its own waiting tokens
per target by a window that follows the queueing delay of its own requests, as in
delay-based congestion control: it grows while first tokens come promptly and shrinks
when they are late.
"""

from dataclasses import dataclass

MIN_TOKENS = 512
"""One prefill chunk; with less the engine's iterations would be half empty."""

MAX_TOKENS = 65_536
"""Upper bound at any delay: some four seconds of prefill on one engine at 16,000
tokens a second."""

INITIAL_TOKENS = 8192
"""Half a second of prefill at 16,000 tokens a second: a restarted daemon neither
overloads an engine nor lets it idle before the window has adapted."""

GROWTH_TOKENS = 256
SHRINK_FACTOR = 0.8
SHRINK_INTERVAL_SECONDS = 0.25
"""Additive increase and multiplicative decrease, with one decrease per burst of late
first tokens: the windows of several daemons converge to equal shares."""


@dataclass(slots=True)
class Window:
    """Bound of this daemon's prompt tokens that wait at one target."""

    tokens: float = INITIAL_TOKENS
    shrunk_seconds: float = float("-inf")

    def observe(
        self,
        delay_seconds: float,
        target_seconds: float,
        is_limiting: bool,
        now_seconds: float,
    ) -> None:
        """Adapt the window to one request's delay in the engine's queue.

        Args:
            delay_seconds: Its wait there beyond its own prefill.
            target_seconds: Intended delay.
            is_limiting: Whether more than half of the window is in use.
            now_seconds: The current time.
        """
        if delay_seconds <= target_seconds:
            if is_limiting:
                self.tokens = min(MAX_TOKENS, self.tokens + GROWTH_TOKENS)
            return
        if now_seconds - self.shrunk_seconds < SHRINK_INTERVAL_SECONDS:
            return
        self.shrunk_seconds = now_seconds
        self.tokens = max(MIN_TOKENS, self.tokens * SHRINK_FACTOR)
