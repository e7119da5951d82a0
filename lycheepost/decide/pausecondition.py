"""Whether long prompts can pause streams for longer than their gap objective."""

from lycheepost.decide.partcondition import PartCondition

N_PROMPTS_IN_A_ROW = 2
"""Long prompts that an engine reads one after the other often enough to matter."""

OFF_SHARE = 0.9
"""Share of the bound below which the guard is given up again, so that variations of the
measured rates do not switch it."""


def check_condition(
    gap_seconds: float | None,
    long_tokens: float | None,
    token_seconds: float | None,
    was_met: bool,
) -> PartCondition:
    """Return whether long prompts can pause streams for longer than they may wait.

    Args:
        gap_seconds: The tightest gap objective of recent streams; None for none.
        long_tokens: Size of a typical long prompt; None if there are none.
        token_seconds: Time to read one token; None while not measured.
        was_met: Whether the condition held before.
    """
    if gap_seconds is None:
        return PartCondition(False, "no stream has a gap objective")
    if long_tokens is None:
        return PartCondition(False, "few prompts are long")
    if token_seconds is None:
        return PartCondition(False, "the time to read a token is not measured yet")
    pause_seconds = N_PROMPTS_IN_A_ROW * long_tokens * token_seconds
    bound_seconds = gap_seconds * (OFF_SHARE if was_met else 1.0)
    is_met = pause_seconds > bound_seconds
    relation = "more" if is_met else "no more"
    return PartCondition(
        is_met,
        f"{N_PROMPTS_IN_A_ROW} long prompts of {long_tokens:.0f} tokens take "
        f"{pause_seconds:.2f} s to read, {relation} than {bound_seconds:.2f} s",
    )
