"""How long a target may say nothing before its request goes elsewhere.

The failure: a target takes a request and falls silent, because it hangs, is gone
without a word, or its connection carries nothing any more. It shows as callers that
wait until they leave. But a busy engine is silent too: it reads prompts between the
tokens of its streams, and whoever takes streams away from it has them read once more
by the others, which are as busy. So a stream is given up only well after the pause
that is on time, when its answer is late in any case, and well before its caller
leaves.
"""

from lycheepost.core.routing import Route, RouteKind
from lycheepost.decide.attempts import Sends

CALLER_SECONDS = 2.0
CALLER_OBJECTIVES = 4.0
CALLER_GAPS = 8.0
"""A caller leaves a stream that stays silent for the longest of these: two
seconds, four objectives, eight times the pause that is on time."""

TRY_SHARE = 0.45
"""Part of the remaining time that a first try of a repeatable request may take
without an answer. It leaves a second target as long as the first had."""

PLAIN_SECONDS = 0.2
"""A plain service's answer is not late before this: ten times its usual work."""

PLAIN_OBJECTIVES = 3.0
"""Silence of so many objectives is far outside of what load explains."""

STREAM_SHARE = 0.6
"""Part of the caller's patience with a silent stream after which another target gets
it. The rest is four times what a loaded engine takes to its first token."""

GAP_PAUSES = 2.5
"""Longest pauses that are on time, between two events. Under full load engines pause
for 0.4 to 0.6 s where 0.5 s are on time; with a limit of 0.45 s a fleet of 45 engines
gave up 635 runs of 4,276 and read their prompts again."""


def stream_patience_seconds(route: Route) -> float:
    """Return how long a caller waits for the next part of a stream."""
    return max(
        CALLER_SECONDS,
        CALLER_OBJECTIVES * route.objective_seconds,
        CALLER_GAPS * route.gap_seconds,
    )


def silence_seconds(route: Route, sends: Sends, remaining_seconds: float) -> float:
    """Return how long to wait for the first part of an answer.

    A request that may run again goes elsewhere while there is time for it; any
    other has no use for an earlier end.
    """
    may_repeat = route.is_repeatable and sends.n_runs + 1 < route.max_runs
    if not may_repeat:
        return remaining_seconds
    if route.kind is RouteKind.STREAM:
        usual = STREAM_SHARE * stream_patience_seconds(route)
    else:
        usual = max(PLAIN_SECONDS, PLAIN_OBJECTIVES * route.objective_seconds)
    return min(usual, TRY_SHARE * remaining_seconds)


def gap_limit_seconds(route: Route, sends: Sends) -> float | None:
    """Return how long a stream may pause before another target continues it.

    None where nobody else may continue, so that an earlier end would help nobody.
    """
    may_continue = route.is_resumable and sends.n_runs + 1 < route.max_runs
    return GAP_PAUSES * route.gap_seconds or None if may_continue else None
