"""Where a request goes: the target with the lowest predicted cost.

Cost = predicted time to the first token, plus what its prefill costs those that
wait behind it, plus the prefill that another target would have spared, each by
the deployment's weight. Prairie weighs the wait, Mercia the recomputation. The
second part keeps a busy fleet from melting down: without it each request that
finds its owner full is recomputed elsewhere, which makes the fleet busier, and
the next owner full. A small preference by ring order makes daemons agree
on a new prefix before cache events reach them, and lets a hot prefix gain
owners as its first ones fill up and lose them when demand falls.
"""

import random
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from lycheepost.core.ids import PrefixDigest, TargetId
from lycheepost.decide.load import TargetLoad
from lycheepost.decide.rates import make_rates
from lycheepost.decide.records import TargetState, Work
from lycheepost.decide.ring import Ring
from lycheepost.decide.settings import SchedulerSettings

SCORE_ALL_TARGETS = 12
"""Up to this many targets are all scored; above, only candidates, so that a
decision costs the same before 100 and before 12,000 servers."""

OWNER_SECONDS = 0.01
"""Cost of each step away from the first owner: below what a caller notices,
above the noise of predictions."""

MAX_DELAYED = 10.0
"""Requests counted as delayed by one more prefill; beyond it the estimate of
those that wait is too coarse to outweigh everything else."""

PRESSURE_PRICE = 20.0
"""Price of avoidable prefill while the queue is never empty. Each second of it
is then a second taken from someone who is refused, however short this request's
own wait may get; saving a second of wait is worth a twentieth of it."""

OWNER_STEPS = 4
"""Steps after which all other targets count alike."""

RANDOM_CANDIDATES = 2
"""Two random targets bound the load where owners and holders are all full."""

HOLDERS_PER_DIGEST = 6
MAX_HELD_DIGESTS = 100_000
"""Bounds memory to about 20 MB for the prefixes that one daemon sees."""


@dataclass(frozen=True, slots=True)
class Choice:
    """A placement that was weighed.

    Attributes:
        wait_seconds: Predicted time to the first token.
        uncached_tokens: Prompt tokens to prefill there.
        can_take: Whether the target has room for it now.
    """

    load: TargetLoad
    wait_seconds: float
    cached_tokens: int
    uncached_tokens: int
    ahead_tokens: float
    can_take: bool


class Placement:
    """Candidates and scores within one target group."""

    def __init__(self, settings: SchedulerSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._ring = Ring()
        self._holders: OrderedDict[PrefixDigest, list[TargetId]] = OrderedDict()
        self.loads: dict[TargetId, TargetLoad] = {}
        self._serving: list[TargetLoad] = []
        self.rates = make_rates(settings)
        self.pressure = 0.0

    def refresh(self) -> None:
        """Follow a change of the targets."""
        self._serving = [load for load in self.loads.values() if _takes_new_work(load)]
        self._ring.replace({load.view.target for load in self._serving})

    def is_empty(self) -> bool:
        """Tell whether no target takes new work."""
        return not self._serving

    def has_room(self, now_seconds: float) -> bool:
        """Tell whether some target may take work now; guesses in large groups."""
        if len(self._serving) > SCORE_ALL_TARGETS:
            return True
        return any(self._can_take(load, now_seconds) for load in self._serving)

    def note_holder(self, work: Work, target: TargetId) -> None:
        """Remember that ``target`` is about to hold the levels of ``work``."""
        if len(self._serving) <= SCORE_ALL_TARGETS:
            return
        for level in work.levels:
            holders = self._holders.setdefault(level.digest, [])
            self._holders.move_to_end(level.digest)
            if target in holders:
                continue
            holders.append(target)
            del holders[:-HOLDERS_PER_DIGEST]
        while len(self._holders) > MAX_HELD_DIGESTS:
            self._holders.popitem(last=False)

    def _candidates(self, work: Work, owners: Sequence[TargetId]) -> list[TargetLoad]:
        if len(self._serving) <= SCORE_ALL_TARGETS:
            return self._serving
        names = list(owners)
        for level in reversed(work.levels):
            if len(names) >= self._settings.candidates:
                break
            names.extend(self._holders.get(level.digest, ()))
        loads = {name: self.loads[name] for name in names if name in self.loads}
        for _ in range(RANDOM_CANDIDATES):
            load = self._serving[int(self._rng.random() * len(self._serving))]
            loads[load.view.target] = load
        return [load for load in loads.values() if _takes_new_work(load)]

    def best(
        self,
        work: Work,
        now_seconds: float,
        avoid: frozenset[TargetId] | set[TargetId],
        extra_tokens: dict[TargetId, int],
        only_free: bool = False,
    ) -> Choice | None:
        """Return the best placement of ``work``; None when no target fits.

        Args:
            work: The request to place.
            now_seconds: The present time.
            avoid: Targets that must not get this request.
            extra_tokens: Prompt tokens of requests ahead in the queue that
                wait for a target, by target.
            only_free: Leave out targets without room now.
        """
        owners = self._ring.owners(_owner_key(work), OWNER_STEPS)
        weighed: list[Choice] = []
        for load in self._candidates(work, owners):
            target = load.view.target
            if target in avoid or not _has_weights(load, work):
                continue
            ahead = extra_tokens.get(target, 0) if extra_tokens else 0
            weighed.append(self._weigh(load, work, now_seconds, ahead))
        if only_free:
            weighed = [choice for choice in weighed if choice.can_take]
        if not weighed:
            return None
        least_uncached = min(choice.uncached_tokens for choice in weighed)
        return min(
            weighed, key=lambda choice: self._score(choice, least_uncached, owners)
        )

    def _weigh(
        self, load: TargetLoad, work: Work, now_seconds: float, ahead: int
    ) -> Choice:
        cached = min(load.belief.cached_tokens(work.levels), work.prompt_tokens)
        uncached = work.prompt_tokens - cached
        rates = self.rates
        ahead_tokens = load.backlog_tokens(now_seconds) + ahead
        tokens = ahead_tokens + uncached
        wait = rates.first_token_seconds + tokens * rates.token_seconds
        wait *= load.slowness
        excess = load.n_running(now_seconds) + 1 - load.limit()
        if excess > 0:
            wait += excess * rates.hold_seconds / load.limit()
        can_take = self._can_take(load, now_seconds)
        return Choice(load, wait, cached, uncached, ahead_tokens, can_take)

    def _score(
        self, choice: Choice, least_uncached: int, owners: list[TargetId]
    ) -> float:
        avoidable = choice.uncached_tokens - least_uncached
        recompute = avoidable * self.rates.token_seconds
        target = choice.load.view.target
        steps = owners.index(target) if target in owners else OWNER_STEPS
        delayed_requests = choice.ahead_tokens / self.rates.uncached_tokens
        prefill = choice.uncached_tokens * self.rates.token_seconds
        delay_of_others = prefill * min(MAX_DELAYED, delayed_requests)
        price = self._settings.recompute_weight + PRESSURE_PRICE * self.pressure
        return (
            self._settings.wait_weight * (choice.wait_seconds + delay_of_others)
            + price * recompute
            + steps * OWNER_SECONDS
        )

    def _can_take(self, load: TargetLoad, now_seconds: float) -> bool:
        if load.n_running(now_seconds) >= load.limit():
            return False
        return not load.queued_tokens or load.queued_tokens < load.window.tokens


def _takes_new_work(load: TargetLoad) -> bool:
    return load.view.state in (TargetState.SERVING, TargetState.WARMING)


def _has_weights(load: TargetLoad, work: Work) -> bool:
    return not work.weights_version or (
        load.view.weights_version == work.weights_version
    )


def _owner_key(work: Work) -> int:
    """Return what a prefix is owned by: the deepest level that may be shared.

    The last level ends with the request's own text, which hardly ever comes
    again; the one above is the album or the batch of letters.
    """
    levels = work.levels
    if not levels:
        return int(work.fingerprint)
    return int(levels[-2 if len(levels) > 1 else -1].digest)
