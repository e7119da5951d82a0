"""Where a request goes: the target with the lowest predicted cost.

Cost = predicted time to the first token, plus the prefill that another target
would have spared, each by the deployment's weight, plus what an answer from there is
worth less. Prairie weighs the wait,
Mercia the recomputation. Under pressure avoidable prefill has a further price:
without it each request that finds its owner full is recomputed elsewhere, which
makes the fleet busier, and the next owner full, until it does little else. A
small preference by ring order makes daemons agree
on a new prefix before cache events reach them, and lets a hot prefix gain
owners as its first ones fill up and lose them when demand falls.
"""

import math
import random
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from lycheepost.core.ids import PrefixDigest, TargetId
from lycheepost.decide.load import TargetLoad
from lycheepost.decide.rates import make_rates
from lycheepost.decide.records import PrefixLevel, TargetState, Work
from lycheepost.decide.ring import Ring
from lycheepost.decide.settings import SchedulerSettings
from lycheepost.decide.sharedlevel import shared_digest

SCORE_ALL_TARGETS = 12
"""Up to this many targets are all scored; above, only candidates, so that a
decision costs the same before 100 and before 12,000 servers."""

OWNER_SECONDS = 0.01
"""Most that a step away from the first owner costs: below what a caller notices,
above the noise of predictions."""

TIE_SECONDS = 0.0003
"""Least that it costs. Where nothing is shared, targets that are equally good are still
taken in an order that differs from request to request."""

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
        cached_tokens: Prompt tokens that need no prefill there: cached by the target,
            or fetched by it from a KV store.
        uncached_tokens: Prompt tokens to prefill there.
        can_take: Whether the target has room for it now.
        throttled_seconds: The part of the wait that the target's limit or its back-off
            makes.
    """

    load: TargetLoad
    wait_seconds: float
    cached_tokens: int
    uncached_tokens: int
    ahead_tokens: float
    can_take: bool
    throttled_seconds: float = 0.0


class WaitingByTarget:
    """Requests of our own queue that wait for a target, by target.

    Without them the target of a hot prefix looks as if only its running work
    lay ahead, however many of ours already wait for it.
    """

    def __init__(self) -> None:
        self.tokens: dict[TargetId, int] = {}
        self.requests: dict[TargetId, int] = {}

    def add(self, target: TargetId, n_tokens: int) -> None:
        """Count one more request that waits for ``target``."""
        self.tokens[target] = self.tokens.get(target, 0) + n_tokens
        self.requests[target] = self.requests.get(target, 0) + 1

    def remove(self, target: TargetId, n_tokens: int) -> None:
        """Stop counting one."""
        self.tokens[target] -= n_tokens
        self.requests[target] -= 1
        if not self.requests[target]:
            del self.tokens[target]
            del self.requests[target]


class Placement:
    """Candidates and scores within one target group."""

    def __init__(self, settings: SchedulerSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._ring = Ring()
        self._holders: OrderedDict[PrefixDigest, list[TargetId]] = OrderedDict()
        self.loads: dict[TargetId, TargetLoad] = {}
        self._serving: list[TargetLoad] = []
        self._serving_by_id: dict[TargetId, TargetLoad] = {}
        self.rates = make_rates(settings)
        self.pressure = 0.0

    def refresh(self) -> None:
        """Follow a change of the targets."""
        self._serving = [load for load in self.loads.values() if _takes_new_work(load)]
        self._serving_by_id = {load.view.target: load for load in self._serving}
        self._ring.replace(set(self._serving_by_id))

    def serving(self) -> list[TargetId]:
        """Return the targets that take new work, in an order that daemons share."""
        return sorted(self._serving_by_id)

    def is_empty(self) -> bool:
        """Tell whether no target takes new work."""
        return not self._serving

    def has_capacity(self, now_seconds: float) -> bool:
        """Tell whether some target may take work now; guesses in large groups."""
        if len(self._serving) > SCORE_ALL_TARGETS:
            return True
        return any(
            load.has_capacity(load.estimate(now_seconds)[1], now_seconds)
            for load in self._serving
        )

    def full_share(self, now_seconds: float) -> float:
        """Return the share of targets without room; sampled in large groups.

        Targets that are held back from this daemon don't count unless all are: they say
        nothing of how busy the others are.
        """
        loads = self._serving
        if len(loads) > SCORE_ALL_TARGETS:
            loads = self._rng.sample(loads, SCORE_ALL_TARGETS)
        loads = [load for load in loads if not load.is_throttled(now_seconds)] or loads
        n_full = sum(
            not load.has_capacity(load.estimate(now_seconds)[1], now_seconds)
            for load in loads
        )
        return n_full / max(1, len(loads))

    def note_holder(self, levels: Sequence[PrefixLevel], target: TargetId) -> None:
        """Remember that ``target`` is about to hold ``levels``."""
        if len(self._serving) <= SCORE_ALL_TARGETS:
            return
        for level in levels:
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
        del names[self._settings.candidates :]
        serving = self._serving_by_id
        loads = {name: serving[name] for name in names if name in serving}
        for _ in range(RANDOM_CANDIDATES):
            load = self._serving[int(self._rng.random() * len(self._serving))]
            loads[load.view.target] = load
        return list(loads.values())

    def best(
        self,
        work: Work,
        now_seconds: float,
        avoid: frozenset[TargetId] | set[TargetId],
        waiting_ahead: WaitingByTarget,
        ignores_pressure: bool = False,
    ) -> Choice | None:
        """Return the best placement of ``work``; None when no target fits.

        Args:
            work: The request to place.
            now_seconds: The present time.
            avoid: Targets that must not get this request.
            waiting_ahead: Requests ahead in the queue that wait for a target.
            ignores_pressure: Leave out the price of recomputation under pressure.
        """
        owners = self._ring.owners(_owner_key(work), OWNER_STEPS)
        usable = _usable(self._candidates(work, owners), work, avoid)
        free = _not_throttled(usable, now_seconds)
        if not free:
            # All candidates have failed it, or are kept from it or held back:
            # rare enough to look at every target rather than refuse it before
            # thousands.
            usable = _usable(self._serving, work, avoid)
            free = _not_throttled(usable, now_seconds)
        if not usable:
            return None
        chosen_from = free or usable
        return self._lowest(
            chosen_from, owners, now_seconds, waiting_ahead, work, ignores_pressure
        )

    def _step_seconds(self, work: Work) -> float:
        """Return what a step away from the first owner costs.

        No more than the prefill that owners spare: a short prompt, or a request of a
        plain service, goes where the wait is shortest, and not where its hash says.
        """
        saved_seconds = _shared_tokens(work) * self.rates.token_seconds
        return min(OWNER_SECONDS, max(TIE_SECONDS, saved_seconds / OWNER_STEPS))

    def _lowest(
        self,
        usable: list[tuple[TargetLoad, int, int]],
        owners: list[TargetId],
        now_seconds: float,
        waiting_ahead: WaitingByTarget,
        work: Work,
        ignores_pressure: bool,
    ) -> Choice:
        """Return the target of lowest cost.

        One loop without calls per target where it can be avoided: it runs for
        each arriving request, 100 of them a second in a daemon, and for each
        waiting one whenever room appears.
        """
        rates = self.rates
        token_seconds = rates.token_seconds
        wait_weight = self._settings.wait_weight
        price = self._settings.recompute_weight
        if not ignores_pressure:
            price += PRESSURE_PRICE * self.pressure
        step_seconds = self._step_seconds(work)
        least_uncached = min([item[1] for item in usable])
        best_score = math.inf
        best: tuple[TargetLoad, int, float, float, float] | None = None
        for load, uncached, fetched in usable:
            target = load.view.target
            ahead, n_running = load.estimate(now_seconds)
            if waiting_ahead.tokens:
                ahead += waiting_ahead.tokens.get(target, 0)
                n_ahead = waiting_ahead.requests.get(target, 0)
            else:
                n_ahead = 0
            prefill = uncached * token_seconds
            prefill += fetched * load.view.fetch_token_seconds
            wait = rates.first_token_seconds + ahead * token_seconds + prefill
            wait *= load.slowness.now(now_seconds)
            if (
                load.rate_limiter is not None
                or load.backoff_until_seconds > now_seconds
            ):
                wait += load.throttled_seconds(now_seconds, n_ahead)
            excess = n_running + n_ahead + 1.0 - load.limit()
            if excess > 0.0:
                wait += excess * rates.hold_seconds / load.limit()
            steps = owners.index(target) if target in owners else OWNER_STEPS
            score = (
                wait_weight * wait
                + price * (uncached - least_uncached) * token_seconds
                + steps * step_seconds
                + load.view.penalty_seconds
            )
            if score < best_score:
                best_score = score
                best = (load, uncached, wait, ahead, n_running)
        assert best is not None
        load, uncached, wait, ahead, n_running = best
        can_take = load.has_capacity(n_running, now_seconds)
        cached = work.prompt_tokens - uncached
        n_ahead = waiting_ahead.requests.get(load.view.target, 0)
        throttled_seconds = load.throttled_seconds(now_seconds, n_ahead)
        return Choice(load, wait, cached, uncached, ahead, can_take, throttled_seconds)


def _usable(
    loads: Sequence[TargetLoad],
    work: Work,
    avoid: frozenset[TargetId] | set[TargetId],
) -> list[tuple[TargetLoad, int, int]]:
    """Return the targets that may run ``work``, with what each must do first.

    Returns:
        The target, the prompt tokens that it has to prefill, and those that it can
        fetch from a KV store instead. A fetch takes a small part of a prefill and
        none of the engine's time, so what the store keeps binds a prompt to no target.
    """
    version = work.weights_version
    usable: list[tuple[TargetLoad, int, int]] = []
    for load in loads:
        view = load.view
        if view.target in avoid or (version and view.weights_version != version):
            continue
        cached = load.cache_estimate.cached_tokens(work.levels)
        kept = work.kept_tokens if view.fetch_token_seconds > 0.0 else 0
        fetched = kept - cached if kept > cached else 0
        uncached = work.prompt_tokens - cached - fetched
        usable.append((load, uncached if uncached > 0 else 0, fetched))
    return usable


def _not_throttled(
    usable: list[tuple[TargetLoad, int, int]], now_seconds: float
) -> list[tuple[TargetLoad, int, int]]:
    """Return the targets that are not held back from this daemon now.

    The load: a hot prompt that a target in need caches. Work that waited for its limit,
    or for the end of its back-off, would be late, and the queue that it makes would
    have others refused.
    """
    return [item for item in usable if not item[0].is_throttled(now_seconds)]


def _takes_new_work(load: TargetLoad) -> bool:
    return load.view.state in (TargetState.SERVING, TargetState.WARMING)


def _owner_key(work: Work) -> int:
    """Return what a prompt is placed by: what others share of it, or itself."""
    digest = shared_digest(work.levels)
    return int(work.fingerprint if digest is None else digest)


def _shared_tokens(work: Work) -> int:
    """Return the tokens that other prompts may share."""
    return work.levels[-2].end_tokens if len(work.levels) > 1 else 0
