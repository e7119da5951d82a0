"""Estimates how many prompt tokens a target still has to prefill.

If a whole prompt counted as waiting until its first token, an engine that has nearly
finished a prompt would look as full as one that has just begun. With prompts of 9,000
tokens (a sixth of a second of prefill at 54,000 tokens a second) the next one would be
sent only after the first token has come back and all peers were notified, and the
engine would idle for a fifth of its time while requests wait.

The remainder is therefore estimated from the group's measured prefill throughput. A
first token ends the prompt's part of the backlog; until then a minimum share of it
stays, as the target may be slower than the others.
"""

from dataclasses import dataclass

MIN_LEFT_SHARE = 0.25
"""Share of the sent tokens that counts as left until the first token. A target that
hangs is thus sent at most four times the tokens that may wait there."""


@dataclass(slots=True)
class Backlog:
    """Prompt tokens sent to one target.

    Attributes:
        sent_tokens: Tokens of all prompts without a first token yet.
        left_tokens: Those of them that were still to prefill at ``at_seconds``.
    """

    sent_tokens: float = 0.0
    left_tokens: float = 0.0
    at_seconds: float = 0.0

    def set_sent(
        self, sent_tokens: float, token_seconds: float, now_seconds: float
    ) -> None:
        """Update the tokens that were sent and have no first token.

        Args:
            sent_tokens: Their current sum.
            token_seconds: Prefill time of one token at the target.
            now_seconds: The current time.
        """
        added_tokens = max(0.0, sent_tokens - self.sent_tokens)
        left_tokens = self._left_after(token_seconds, now_seconds) + added_tokens
        self.sent_tokens = sent_tokens
        self.left_tokens = min(left_tokens, sent_tokens)
        self.at_seconds = now_seconds

    def left(self, token_seconds: float, now_seconds: float) -> float:
        """Return the tokens that are left to prefill."""
        left_tokens = self._left_after(token_seconds, now_seconds)
        return max(left_tokens, MIN_LEFT_SHARE * self.sent_tokens)

    def _left_after(self, token_seconds: float, now_seconds: float) -> float:
        elapsed_seconds = max(0.0, now_seconds - self.at_seconds)
        prefilled_tokens = elapsed_seconds / max(token_seconds, _MIN_TOKEN_SECONDS)
        return max(0.0, self.left_tokens - prefilled_tokens)


_MIN_TOKEN_SECONDS = 1e-6
"""Lower bound; no engine prefills a million tokens per second."""
