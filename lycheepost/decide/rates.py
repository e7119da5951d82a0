"""Measured processing rates of a target group's engines.

First-token times give the group's usual prefill rate; ``decide.slow`` compares each
target with it.
"""

from dataclasses import dataclass

from lycheepost.decide.settings import SchedulerSettings

SMOOTHING_WEIGHT = 0.05
"""Weight of one observation in an average, which needs some twenty to settle."""

MAX_RATIO = 4.0
"""Bounds the influence of one hanging target on the group's usual ratio."""

MAX_FIXED_COST_TOKENS = 300
"""Below this the fixed part dominates the first-token time."""

MIN_TOKEN_COST_TOKENS = 800
"""Above this the time per token can be separated from the fixed part."""


@dataclass(slots=True)
class Rates:
    """Processing rates of one target group.

    Attributes:
        token_seconds: Prefill time per prompt token, queued or of the request itself.
        first_token_seconds: Fixed part of the first-token time.
        hold_seconds: How long a request occupies a slot.
        uncached_share: Fraction of prompt tokens that engines had to compute.
        usual_ratio: Observed over predicted first-token time, averaged over all
            targets; each target is compared with it.
    """

    token_seconds: float
    first_token_seconds: float
    hold_seconds: float = 1.0
    uncached_share: float = 0.5
    usual_ratio: float = 1.0

    def observe_first_token(self, elapsed_seconds: float, n_tokens: float) -> float:
        """Update the rates by one first token; return observed over predicted time.

        Args:
            elapsed_seconds: Time from the dispatch to the first token.
            n_tokens: Uncached tokens of the request and of those ahead of it.
        """
        predicted = self.first_token_seconds + n_tokens * self.token_seconds
        if n_tokens < MAX_FIXED_COST_TOKENS:
            self.first_token_seconds += SMOOTHING_WEIGHT * (
                elapsed_seconds - self.first_token_seconds
            )
        elif n_tokens > MIN_TOKEN_COST_TOKENS:
            seconds = max(0.0, elapsed_seconds - self.first_token_seconds) / n_tokens
            self.token_seconds += SMOOTHING_WEIGHT * (seconds - self.token_seconds)
        ratio = elapsed_seconds / max(predicted, 1e-3)
        self.usual_ratio += SMOOTHING_WEIGHT * (
            min(ratio, MAX_RATIO) - self.usual_ratio
        )
        return ratio

    def observe_hold(self, held_seconds: float) -> None:
        """Update the average time for which a request occupies its slot."""
        self.hold_seconds += SMOOTHING_WEIGHT * (held_seconds - self.hold_seconds)

    def observe_uncached(self, uncached_tokens: int, prompt_tokens: int) -> None:
        """Update the average fraction of a prompt that had to be computed."""
        share = uncached_tokens / max(1, prompt_tokens)
        self.uncached_share += SMOOTHING_WEIGHT * (share - self.uncached_share)


def make_rates(settings: SchedulerSettings) -> Rates:
    """Return the initial estimates."""
    return Rates(settings.prefill_seconds_per_token, settings.first_token_seconds)
