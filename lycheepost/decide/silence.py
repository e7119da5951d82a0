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

MIN_CALLER_TIMEOUT_SECONDS = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4.0
CALLER_TIMEOUT_GAPS = 8.0
"""A caller leaves a stream that stays silent for the longest of these: two
seconds, four objectives, eight times the pause that is on time."""

FIRST_ATTEMPT_SHARE = 0.45
"""Part of the remaining time that a first try of a repeatable request may take
without an answer. It leaves a second target as long as the first had."""

MIN_PLAIN_TIMEOUT_SECONDS = 0.2
"""A plain service's answer is not late before this: ten times its usual work."""

PLAIN_TIMEOUT_OBJECTIVES = 3.0
"""Silence of so many objectives is far outside of what load explains."""

STREAM_TIMEOUT_SHARE = 0.6
"""Part of the caller's patience with a silent stream after which another target gets
it. The rest is four times what a loaded engine takes to its first token."""

IDLE_TIMEOUT_GAPS = 2.5
"""Longest pauses that are on time, between two events. Under full load engines pause
for 0.4 to 0.6 s where 0.5 s are on time; with a limit of 0.45 s a fleet of 45 engines
gave up 635 runs of 4,276 and read their prompts again."""


def caller_stream_timeout_seconds(route: Route) -> float:
    """Return how long a caller waits for the next part of a stream."""
    return max(
        MIN_CALLER_TIMEOUT_SECONDS,
        CALLER_TIMEOUT_OBJECTIVES * route.objective_seconds,
        CALLER_TIMEOUT_GAPS * route.gap_seconds,
    )


def first_byte_timeout_seconds(
    route: Route, attempts: Sends, remaining_seconds: float
) -> float:
    """Return how long to wait for the first part of an answer.

    A request that may run again goes elsewhere while there is time for it; any
    other has no use for an earlier end.
    """
    may_repeat = route.is_repeatable and attempts.n_runs + 1 < route.max_runs
    if not may_repeat:
        return remaining_seconds
    if route.kind is RouteKind.STREAM:
        timeout_seconds = STREAM_TIMEOUT_SHARE * caller_stream_timeout_seconds(route)
    else:
        timeout_seconds = max(
            MIN_PLAIN_TIMEOUT_SECONDS,
            PLAIN_TIMEOUT_OBJECTIVES * route.objective_seconds,
        )
    return min(timeout_seconds, FIRST_ATTEMPT_SHARE * remaining_seconds)


def idle_timeout_seconds(route: Route, attempts: Sends) -> float | None:
    """Return how long a stream may pause before another target continues it.

    None where nobody else may continue, so that an earlier end would help nobody.
    """
    may_continue = route.is_resumable and attempts.n_runs + 1 < route.max_runs
    return IDLE_TIMEOUT_GAPS * route.gap_seconds or None if may_continue else None
