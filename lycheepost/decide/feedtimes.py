"""How long a daemon that follows the store waits for whom, derived from one bound.

An operator's change must be in force everywhere within a bound after the store has
accepted it. A daemon can't know whether there is a change that it hasn't heard of, only
when it last knew that there was none: the age of its copy. So all waits end at an age:
the first peer is left at one, a second peer at another, and then the store is asked
itself, early enough for its answer. However many daemons the copy passes through, and
whichever of them fail, the sum of the waits is the last of these ages and the time for
that answer.

In quiet times no wait reaches its age: the daemon that asks the store gets an answer
once in ``store_hold_seconds``, and each answer is passed on at once.
"""

from dataclasses import dataclass

STORE_HOLD_SHARE = 0.4
"""Share of the bound for which the store holds a request without a change."""

PEER_DUE_SHARE = 0.6
"""Share of the bound after which a daemon leaves its first peer. It exceeds the time
that the store holds a request by a fifth of the bound, for the messages in between."""

STORE_DUE_SHARE = 0.75
"""Share of the bound after which a daemon asks the store itself. A quarter of the bound
is left for the store's answer."""

ANSWER_SHARE = 0.1
"""Share of the bound that an answer of a peer may travel."""

LOST_INTERVAL_SHARE = 0.2
"""Share of the bound between two requests to a store that has just failed to answer:
one more fits into what is left for its answer."""

RETURN_SECONDS = 1.0
"""Time from the first answer of a store that is back until all daemons have the newest
state, through two hops of daemons that ask again twice a second."""

MIN_LOST_STORE_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class FeedTimes:
    """Waits of a daemon that follows the store.

    Attributes:
        bound_seconds: Time within which a change must be known.
        store_hold_seconds: How long the store holds a request without a change.
        peer_due_seconds: Age of the copy at which the first peer is left. An older copy
            is not passed on.
        store_due_seconds: Age of the copy at which the store is asked.
        answer_seconds: Time beyond the hold time after which a peer counts as failed.
        lost_interval_seconds: Minimum time between two requests to a store that does
            not answer, while the copy is younger than the bound.
        lost_store_interval_seconds: The same for an older copy of a daemon that no peer
            asks.
    """

    bound_seconds: float
    store_hold_seconds: float
    peer_due_seconds: float
    store_due_seconds: float
    answer_seconds: float
    lost_interval_seconds: float
    lost_store_interval_seconds: float


def make_feed_times(bound_seconds: float, contact_seconds: float) -> FeedTimes:
    """Return the waits that keep a bound.

    Args:
        bound_seconds: Time within which a change must be known.
        contact_seconds: Time after the return of the store, or of the path to it, from
            which the bound holds again.
    """
    return FeedTimes(
        bound_seconds=bound_seconds,
        store_hold_seconds=STORE_HOLD_SHARE * bound_seconds,
        peer_due_seconds=PEER_DUE_SHARE * bound_seconds,
        store_due_seconds=STORE_DUE_SHARE * bound_seconds,
        answer_seconds=ANSWER_SHARE * bound_seconds,
        lost_interval_seconds=LOST_INTERVAL_SHARE * bound_seconds,
        lost_store_interval_seconds=max(
            MIN_LOST_STORE_INTERVAL_SECONDS, contact_seconds - RETURN_SECONDS
        ),
    )


def longest_seconds(times: FeedTimes, store_answer_seconds: float) -> float:
    """Return the longest time after which a daemon in touch knows a change.

    Args:
        times: The waits.
        store_answer_seconds: Time in which the store answers this daemon.
    """
    through_peers = times.store_due_seconds + store_answer_seconds
    by_itself = times.store_hold_seconds + store_answer_seconds
    return max(through_peers, by_itself)
