"""Timeouts after which a request is tried at another target.

A target may accept a request and then send nothing, because it hangs, has crashed, or
its connection is dead. Without a timeout its callers wait until they disconnect. But a
busy engine pauses too, since it prefills prompts between the tokens of its streams.
Trying its streams elsewhere makes other engines, which are as busy, prefill the prompts
again. So the timeout is well above the gap objective, when the response is late anyway,
and well below the time at which the caller disconnects.
"""

from collections.abc import Iterator

from lycheepost.core.routing import Route, RouteKind
from lycheepost.decide.attempts import Sends

MIN_CALLER_TIMEOUT_SECONDS = 2.0
CALLER_TIMEOUT_OBJECTIVES = 4.0
CALLER_TIMEOUT_GAPS = 8.0
"""A caller disconnects from a silent stream after the longest of these: two seconds,
four first-token objectives, eight gap objectives."""

FIRST_ATTEMPT_SHARE = 0.45
"""Fraction of the remaining time that one attempt of a repeatable request may wait for
its response. It leaves a second target as much time as the first had."""

MIN_PLAIN_TIMEOUT_SECONDS = 0.2
"""Minimum timeout of a plain service: ten times its usual processing time."""

PLAIN_TIMEOUT_OBJECTIVES = 3.0
"""A wait of this many objectives can't be explained by load."""

STREAM_TIMEOUT_SHARE = 0.6
"""Fraction of the caller's stream timeout after which another target is tried. The rest
is four times what a loaded engine takes to its first token."""

TIMER_SLACK_SECONDS = 0.02
"""Timers of a busy daemon fire so much late."""

MAX_SOUND_SILENCE_SECONDS = 1.5
"""A sound target may send nothing for a second, and go on. Shorter silence is therefore
no failure of a target that has sent nothing to anybody meanwhile."""

QUIET_SECONDS = 0.7
"""A daemon that waits for a response and has heard nothing from any target for this
time probes its paths. Under load some target sends something many times as often."""

IDLE_TIMEOUT_GAPS = 2.5
"""Idle timeout between two events, in gap objectives. Under full load engines pause for
about one objective; with a lower limit the prompts of many sound streams would be
prefilled again."""


def caller_stream_timeout_seconds(route: Route) -> float:
    """Return how long a caller waits for the next event of a stream."""
    return max(
        MIN_CALLER_TIMEOUT_SECONDS,
        CALLER_TIMEOUT_OBJECTIVES * route.objective_seconds,
        CALLER_TIMEOUT_GAPS * route.gap_seconds,
    )


def first_byte_timeout_seconds(
    route: Route, attempts: Sends, remaining_seconds: float
) -> float:
    """Return how long to wait for the first byte of a response.

    A request that may run again moves to another target while there is time for it. Any
    other request gains nothing from an earlier timeout.
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


def is_sound_silence(silent_seconds: float, heard_ago_seconds: float) -> bool:
    """Return whether a target that sends nothing may be sound.

    One that answers other requests meanwhile does not pause: it has lost this one.

    Args:
        silent_seconds: For how long it has sent nothing on one request.
        heard_ago_seconds: When it last sent something on any.
    """
    is_brief = silent_seconds < MAX_SOUND_SILENCE_SECONDS
    return is_brief and heard_ago_seconds >= silent_seconds - TIMER_SLACK_SECONDS


def new_connection_check_seconds(route: Route, remaining_seconds: float) -> float:
    """Return after which silence on a new connection this daemon checks its paths.

    Open connections may work while new ones lead nowhere, so it does not matter whether
    this daemon hears from a target elsewhere. The request itself may not be repeated;
    the check is for those after it.

    Args:
        route: The route of the request that waits.
        remaining_seconds: Until its deadline.
    """
    if route.kind is RouteKind.STREAM:
        return QUIET_SECONDS
    usual_seconds = max(
        MIN_PLAIN_TIMEOUT_SECONDS, PLAIN_TIMEOUT_OBJECTIVES * route.objective_seconds
    )
    return min(QUIET_SECONDS, usual_seconds, FIRST_ATTEMPT_SHARE * remaining_seconds)


def header_waits_seconds(
    timeout_seconds: float, check_seconds: float
) -> Iterator[float]:
    """Yield the waits for a response: slices up to the timeout, then whole timeouts.

    After each slice this daemon checks whether it still hears from any target.

    Args:
        timeout_seconds: Timeout of the response.
        check_seconds: Length of a slice.
    """
    left_seconds = timeout_seconds
    while left_seconds > check_seconds:
        yield check_seconds
        left_seconds -= check_seconds
    yield left_seconds
    while True:
        yield timeout_seconds


def idle_timeout_seconds(route: Route, attempts: Sends) -> float | None:
    """Return how long a stream may pause before another target continues it.

    None if no other target may continue the stream.
    """
    may_continue = route.is_resumable and attempts.n_runs + 1 < route.max_runs
    return IDLE_TIMEOUT_GAPS * route.gap_seconds or None if may_continue else None
