"""How much of the prompts that were sent to a target it still has to read.

The load: prompts of nine thousand tokens, each a sixth of a second of an engine's
time. What was sent counts as waiting until its first token comes. Taken so, an engine
that has all but read a prompt looks as full as one that has just begun, and the next
prompt is sent only after the first token has come back and all daemons were told: the
engine idles for a fifth of its time, and callers wait before it.

So what is left is reckoned from the speed at which the targets of the group have been
seen to read. A first token still settles it; a part counts as left until then, as a
target may be slower than the others.
"""

from dataclasses import dataclass

MIN_LEFT_SHARE = 0.25
"""Part of what was sent that counts as left until its first token has come. A target
that hangs is not sent more than four times what is to wait there."""


@dataclass(slots=True)
class Backlog:
    """Prompt tokens sent to one target.

    Attributes:
        sent_tokens: Of all prompts without a first token yet.
        left_tokens: Those of them that were left to read at ``at_seconds``.
    """

    sent_tokens: float = 0.0
    left_tokens: float = 0.0
    at_seconds: float = 0.0

    def set_sent(
        self, sent_tokens: float, token_seconds: float, now_seconds: float
    ) -> None:
        """Follow what was sent and has no first token.

        Args:
            sent_tokens: The sum now.
            token_seconds: Time that the target needs for one token.
            now_seconds: The present time.
        """
        added_tokens = max(0.0, sent_tokens - self.sent_tokens)
        left_tokens = self._drained(token_seconds, now_seconds) + added_tokens
        self.sent_tokens = sent_tokens
        self.left_tokens = min(left_tokens, sent_tokens)
        self.at_seconds = now_seconds

    def left(self, token_seconds: float, now_seconds: float) -> float:
        """Return the tokens that are left to read."""
        drained = self._drained(token_seconds, now_seconds)
        return max(drained, MIN_LEFT_SHARE * self.sent_tokens)

    def _drained(self, token_seconds: float, now_seconds: float) -> float:
        elapsed_seconds = max(0.0, now_seconds - self.at_seconds)
        read_tokens = elapsed_seconds / max(token_seconds, _MIN_TOKEN_SECONDS)
        return max(0.0, self.left_tokens - read_tokens)


_MIN_TOKEN_SECONDS = 1e-6
"""No engine reads a million prompt tokens a second."""
