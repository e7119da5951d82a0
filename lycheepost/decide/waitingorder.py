"""One order for the waiting requests of all customers and kinds.

While demand exceeds capacity, a short request with a tight objective waits behind long
requests of other customers, and all of them are a little late. Here requests of
customers inside their fair share go by the time until which their callers need them,
with a bounded advantage for short and for urgent work. Requests that can't be on time
any more leave the order and are served in their own (``decide.latework``).

With tens of daemons each has one or two waiting requests, so their order in each daemon
is not enough. Short requests with the tightest objective may therefore join the backlog
of a target where they are on time: the engine runs them before less urgent work.

Pure logic.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from lycheepost.decide.records import Work

MIN_OBJECTIVE_RATIO = 1.5
"""Longest to tightest objective from which the slack decides the order. With closer
objectives the order of arrival is nearly the same."""

RANK_ADVANTAGE_SHARE = 0.1
"""Share of the tightest objective by which one rank goes before the next. Bounded, as
waiting work of any rank comes first eventually."""

COST_DELAY_SHARE = 0.1
MAX_COST_RATIO = 4.0
"""A request goes later by ``COST_DELAY_SHARE`` of its objective for each mean cost that
it takes, up to ``MAX_COST_RATIO`` of them. The bound keeps the longest requests from
starving."""

KIND_SECONDS = 60.0
"""A kind of request that has not arrived for this long no longer counts."""

MAX_KINDS = 32
"""Bounds memory and status; a configuration names a few objectives and ranks."""

MEAN_GAIN = 0.02
"""Weight of one request in a mean, which adapts within about fifty requests."""


RETURN_SHARE = 1 / 3
"""Share of its remaining time for which a caller waits before it comes back."""

MIN_RETURN_SECONDS = 0.1
"""A caller that comes back sooner finds the same work ahead."""


class Claim(Enum):
    """What capacity of a target a request may use."""

    AHEAD = "ahead"
    """A slot, whatever waits there, if the request is on time behind it."""
    USUAL = "usual"
    """The capacity that the target has for any request."""


@dataclass(slots=True)
class Kind:
    """Requests of one objective and rank.

    Attributes:
        mean_tokens: Mean prompt tokens to prefill for one request.
    """

    objective_seconds: float
    rank: int
    mean_tokens: float
    seen_seconds: float


@dataclass(frozen=True, slots=True)
class OrderCondition:
    """Whether the slack decides the order of a group's waiting requests, and why.

    Attributes:
        tightest_seconds: The tightest objective.
        first_rank: The most urgent rank.
    """

    is_met: bool
    reason: str
    tightest_seconds: float = math.inf
    first_rank: int = 0


def order_condition(kinds: Iterable[Kind]) -> OrderCondition:
    """Return whether objectives of a group's requests differ enough for this order."""
    found = [kind for kind in kinds if math.isfinite(kind.objective_seconds)]
    if len(found) < 2:
        return OrderCondition(False, "fewer than two kinds with an objective")
    objectives = [kind.objective_seconds for kind in found]
    tightest, longest = min(objectives), max(objectives)
    is_met = longest >= MIN_OBJECTIVE_RATIO * tightest
    reason = f"objectives from {tightest:.3f} s to {longest:.3f} s"
    return OrderCondition(is_met, reason, tightest, min(kind.rank for kind in found))


class WaitingOrder:
    """The kinds of requests of one target group, and their order.

    Args:
        is_switched_off: Whether the order is never used.
    """

    def __init__(self, is_switched_off: bool) -> None:
        self._is_switched_off = is_switched_off
        self._kinds: dict[tuple[float, int], Kind] = {}
        self._mean_tokens = 0.0
        self._checked_seconds = -math.inf
        self.condition = OrderCondition(False, "no requests yet")

    @property
    def is_used(self) -> bool:
        """Return whether the order is in use."""
        return self.condition.is_met

    def observe(self, work: Work, uncached_tokens: int, now_seconds: float) -> None:
        """Count a request that arrived."""
        if self._is_switched_off:
            return
        self._mean_tokens = _moved(self._mean_tokens, uncached_tokens)
        key = (work.objective_seconds, work.rank)
        kind = self._kinds.get(key)
        if kind is not None:
            kind.mean_tokens = _moved(kind.mean_tokens, uncached_tokens)
            kind.seen_seconds = now_seconds
        elif len(self._kinds) < MAX_KINDS:
            self._kinds[key] = Kind(*key, uncached_tokens, now_seconds)
            self._check(now_seconds)
        if now_seconds - self._checked_seconds > KIND_SECONDS:
            self._check(now_seconds)

    def _check(self, now_seconds: float) -> None:
        self._checked_seconds = now_seconds
        self._kinds = {
            key: kind
            for key, kind in self._kinds.items()
            if now_seconds - kind.seen_seconds <= KIND_SECONDS
        }
        self.condition = order_condition(self._kinds.values())

    def place_seconds(self, work: Work, uncached_tokens: int) -> float:
        """Return the place of a request in the order; lower goes first."""
        if not self.is_used:
            return work.arrived_seconds
        tightest_seconds = self.condition.tightest_seconds
        objective_seconds = work.objective_seconds
        if math.isinf(objective_seconds):
            objective_seconds = work.first_token_timeout_seconds
        cost_ratio = min(MAX_COST_RATIO, uncached_tokens / max(self._mean_tokens, 1.0))
        return (
            work.arrived_seconds
            + objective_seconds * (1.0 + COST_DELAY_SHARE * cost_ratio)
            + RANK_ADVANTAGE_SHARE * tightest_seconds * work.rank
        )

    def is_short_and_urgent(self, work: Work) -> bool:
        """Return whether ``work`` is of a kind that may go ahead of others.

        Its objective is the tightest of the group, no kind has a more urgent rank, and
        it takes less than the mean engine time, so that it delays others little.
        """
        if not self.is_used:
            return False
        kind = self._kinds.get((work.objective_seconds, work.rank))
        return (
            kind is not None
            and work.objective_seconds <= self.condition.tightest_seconds
            and work.rank <= self.condition.first_rank
            and kind.mean_tokens < self._mean_tokens
        )

    def claim(self, work: Work, is_inside: bool) -> Claim:
        """Return what capacity a request that can be on time may use.

        Args:
            work: The request.
            is_inside: Whether its customer is inside its fair share.
        """
        if is_inside and self.is_short_and_urgent(work):
            return Claim.AHEAD
        return Claim.USUAL


def _moved(mean: float, value: float) -> float:
    return mean + MEAN_GAIN * (value - mean) if mean else value


def return_seconds(wait_seconds: float, left_seconds: float, point: float) -> float:
    """Return when a refused caller may come back.

    Callers come back at the latest after ``RETURN_SHARE`` of the time that they have
    left, so that all of those with a later time would come back together. The times
    are therefore spread over the time in which the work ahead is served.

    Args:
        wait_seconds: Predicted wait.
        left_seconds: Time until the caller's timeout.
        point: Uniformly distributed in [0, 1).
    """
    last_seconds = max(MIN_RETURN_SECONDS, RETURN_SHARE * left_seconds)
    first_seconds = min(max(MIN_RETURN_SECONDS, wait_seconds / 2), last_seconds / 2)
    end_seconds = min(last_seconds, max(1.5 * wait_seconds, 2 * first_seconds))
    return first_seconds + point * (end_seconds - first_seconds)
