"""Measured speeds of a target group's engines.

First tokens tell how fast prompts are worked off in general; ``decide.slow``
sets each target against it.
"""

from dataclasses import dataclass

from lycheepost.decide.settings import SchedulerSettings

SMOOTHING_WEIGHT = 0.05
"""Weight of one observation; some twenty settle a figure."""

MAX_RATIO = 4.0
"""One hanging target must not make slowness the usual."""

MAX_FIXED_COST_TOKENS = 300
"""Below this the fixed part of a first token is nearly all of it."""

MIN_TOKEN_COST_TOKENS = 800
"""Above this the time per token can be told from the fixed part."""


@dataclass(slots=True)
class Rates:
    """Speeds of one target group.

    Attributes:
        token_seconds: Time per prompt token that waits or is one's own.
        first_token_seconds: Fixed part of a first token.
        hold_seconds: How long a request occupies a slot.
        uncached_share: Share of prompt tokens that engines had to compute.
        usual_ratio: Observed over predicted first-token time of all targets,
            which each target is compared with.
    """

    token_seconds: float
    first_token_seconds: float
    hold_seconds: float = 1.0
    uncached_share: float = 0.5
    usual_ratio: float = 1.0

    def observe_first_token(self, elapsed_seconds: float, n_tokens: float) -> float:
        """Learn from one first token; returns observed over predicted time.

        Args:
            elapsed_seconds: From the dispatch to the first token.
            n_tokens: Uncached tokens of it and of those ahead of it.
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
        """Learn how long a request occupied its slot."""
        self.hold_seconds += SMOOTHING_WEIGHT * (held_seconds - self.hold_seconds)

    def observe_uncached(self, uncached_tokens: int, prompt_tokens: int) -> None:
        """Learn how much of a prompt had to be computed."""
        share = uncached_tokens / max(1, prompt_tokens)
        self.uncached_share += SMOOTHING_WEIGHT * (share - self.uncached_share)


def make_rates(settings: SchedulerSettings) -> Rates:
    """Return the first guesses."""
    return Rates(settings.prefill_seconds_per_token, settings.first_token_seconds)
