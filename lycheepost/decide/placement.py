"""Placement: chooses the target with the lowest predicted cost for a request.

Cost = predicted time to the first token, plus the prefill that another target would
avoid, each by the deployment's weight, plus the target's penalty, plus the pauses that
it makes in streams (``decide.pauses``). Some deployments give
more weight to the wait, others to the recomputation. Owners are the first targets of a
prefix on the ring; holders are targets that were recently sent it. Under pressure
avoidable prefill costs more: otherwise each request that finds its owner full is
recomputed elsewhere, which loads the group further and fills the next owner, until most
of the group's work is recomputation. A small preference by ring order makes daemons
agree on a new prefix before cache events reach them. It also lets a hot prefix gain
owners as its first ones fill up, and lose them when demand falls.
"""

import math
import random
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, replace

from lycheepost.core.hashing import hash_bytes
from lycheepost.core.ids import PrefixDigest, SoftwareVersion, TargetId
from lycheepost.decide.load import TargetLoad
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.pausecosts import PauseCosts, PlacementState
from lycheepost.decide.pauses import PauseGuard
from lycheepost.decide.rates import make_rates
from lycheepost.decide.records import PrefixLevel, TargetState, Work
from lycheepost.decide.ring import Ring
from lycheepost.decide.room import GroupRoom
from lycheepost.decide.settings import SchedulerSettings
from lycheepost.decide.sharedlevel import shared_digest

SCORE_ALL_TARGETS = 12
"""Groups of up to this size are scored completely; in larger ones only candidates are,
so that a decision costs the same with 100 and with 12,000 servers."""

MAX_STEP_SECONDS = 0.01
"""Maximum cost of a step away from the first owner: below what a caller notices, above
the noise of the predictions."""

MIN_STEP_SECONDS = 0.0003
"""Minimum cost of a step. Even where nothing is shared, ties between equally good
targets are broken in an order that differs from request to request."""

PRESSURE_PRICE = 20.0
"""Price of a second of avoidable prefill at full pressure (1.0), in seconds of wait.
Avoidable prefill takes engine time from another request, which is then refused; that
outweighs a shorter wait of this request."""

MAX_OWNER_STEPS = 4
"""All targets beyond this many steps have the same cost."""

RANDOM_CANDIDATES = 2
"""Two random targets are added, in case all owners and holders are full."""

SUITABLE_CANDIDATES = 4
"""Random targets where pauses count, of those that suit the request: an engine that
neither reads a long prompt nor generates its response is to be among them."""

OVERFLOW_CANDIDATES = 6
"""Random targets of all kinds for a request that would be late where it suits."""

MAX_HOLD_SHARE = 0.5
"""Largest part of its objective after which a request is predicted to have its first
token from a target that it waits for to spare streams a pause. Predictions of waits are
low by half where demand rises quickly."""

NO_SOFTWARE = SoftwareVersion("")

HOLDERS_PER_DIGEST = 6
"""Most recent holders remembered per prefix."""

MAX_HELD_DIGESTS = 100_000
"""Bounds memory to about 20 MB for the prefixes that one daemon handles."""


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen placement of a request.

    Attributes:
        wait_seconds: Predicted time to the first token.
        cached_tokens: Prompt tokens that need no prefill there: cached by the target,
            or fetched by it from a KV store.
        uncached_tokens: Prompt tokens to prefill there.
        can_take: Whether the target has capacity for it now.
        throttled_seconds: The part of the wait that is due to the target's rate limit
            or back-off.
        has_room: Whether its memory has room for the request.
    """

    load: TargetLoad
    wait_seconds: float
    cached_tokens: int
    uncached_tokens: int
    ahead_tokens: float
    can_take: bool
    throttled_seconds: float = 0.0
    has_room: bool = True


class WaitingByTarget:
    """This daemon's queued requests by the target that they wait for.

    Without them the predicted wait for the target of a hot prefix would include only
    its running work, however many queued requests already wait for it.
    """

    def __init__(self) -> None:
        self.tokens: dict[TargetId, int] = {}
        self.requests: dict[TargetId, int] = {}

    def add(self, target: TargetId, n_tokens: int) -> None:
        """Count one more request that waits for ``target``."""
        self.tokens[target] = self.tokens.get(target, 0) + n_tokens
        self.requests[target] = self.requests.get(target, 0) + 1

    def remove(self, target: TargetId, n_tokens: int) -> None:
        """Remove one request that waited for ``target``."""
        self.tokens[target] -= n_tokens
        self.requests[target] -= 1
        if not self.requests[target]:
            del self.tokens[target]
            del self.requests[target]


class Placement:
    """Selects and scores candidates within one target group.

    Attributes:
        pressure: From 0 to 1; smoothed share of recent ticks in which requests waited
            while at least ``PRESSURE_FULL_SHARE`` of the targets were full.
    """

    def __init__(self, settings: SchedulerSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._ring = Ring()
        self._holders: OrderedDict[PrefixDigest, list[TargetId]] = OrderedDict()
        self.loads: dict[TargetId, TargetLoad] = {}
        self._serving: list[TargetLoad] = []
        self._serving_by_id: dict[TargetId, TargetLoad] = {}
        self.rates = make_rates(settings)
        self.room = GroupRoom(Mechanism.MEMORY_ROOM not in settings.switched_off)
        self.pauses = PauseGuard(self.rates, settings.switched_off)
        self.pressure = 0.0
        self._now_seconds = 0.0

    def refresh(self) -> None:
        """Rebuild the serving targets after a change."""
        self._serving = [load for load in self.loads.values() if _takes_new_work(load)]
        self._serving_by_id = {load.view.target: load for load in self._serving}
        self._ring.replace(set(self._serving_by_id))
        self.room.set_memories(load.view.memory_tokens for load in self.loads.values())
        self.pauses.replace_targets(self._serving_by_id)

    def serving(self) -> list[TargetId]:
        """Return the targets that take new work, in the same order on every daemon."""
        return sorted(self._serving_by_id)

    def serving_software(self) -> frozenset[SoftwareVersion | None]:
        """Return the software versions of the targets that take new work."""
        return frozenset(load.view.software_version for load in self._serving)

    def is_empty(self) -> bool:
        """Return whether no target takes new work."""
        return not self._serving

    def has_capacity(self, now_seconds: float) -> bool:
        """Return whether any target has capacity; assumed in large groups."""
        if len(self._serving) > SCORE_ALL_TARGETS:
            return True
        return any(
            load.has_capacity(load.estimate(now_seconds)[1], now_seconds)
            for load in self._serving
        )

    def full_share(self, now_seconds: float) -> float:
        """Return the share of targets without capacity; sampled in large groups.

        Throttled targets are not counted unless all are: their throttling does not show
        how busy the others are.
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

    def note_peer_prompt(self, prompt_tokens: int) -> None:
        """Record the size of a prompt that a peer has placed."""
        self.pauses.note_prompt(prompt_tokens, self._now_seconds)

    def note_holder(self, levels: Sequence[PrefixLevel], target: TargetId) -> None:
        """Record that ``target`` is about to cache ``levels``."""
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

    def reserve_room(self, work: Work, load: TargetLoad, now_seconds: float) -> None:
        """Keep room on a target for a request that waits there for memory."""
        n_tokens = min(load.view.memory_tokens, self.room.expected_tokens(work))
        self.room.counts.n_waited += 1
        self.room.reserve(work, load.view.target, n_tokens, now_seconds)

    def room_status(self, now_seconds: float) -> dict[str, object]:
        """Return the room left on the fullest target, and what its lack has caused."""
        left = [
            load.view.memory_tokens - load.all_held_tokens(now_seconds)
            for load in self._serving
            if load.view.memory_tokens
        ]
        return {"least_left_tokens": min(left, default=None), **self.room.status()}

    def _candidates(
        self, work: Work, owners: Sequence[TargetId], costs: PauseCosts | None
    ) -> list[TargetLoad]:
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
        n_drawn = RANDOM_CANDIDATES if costs is None else SUITABLE_CANDIDATES
        for load in self._draw(costs, n_drawn):
            loads[load.view.target] = load
        return list(loads.values())

    def _draw(self, costs: PauseCosts | None, n_drawn: int) -> list[TargetLoad]:
        """Return random targets that suit a request; of all if it has no costs."""
        suitable = () if costs is None else self.pauses.suitable(costs)
        if not suitable:
            n_serving = len(self._serving)
            return [
                self._serving[int(self._rng.random() * n_serving)]
                for _ in range(n_drawn)
            ]
        names = [
            suitable[int(self._rng.random() * len(suitable))] for _ in range(n_drawn)
        ]
        return [self._serving_by_id[name] for name in names]

    def best(
        self,
        work: Work,
        now_seconds: float,
        avoid: frozenset[TargetId] | set[TargetId],
        waiting_ahead: WaitingByTarget,
        ignores_pressure: bool = False,
    ) -> Choice | None:
        """Return the best placement of ``work``; None if no target can run it.

        Args:
            work: The request to place.
            now_seconds: The current time.
            avoid: Targets that must not get this request.
            waiting_ahead: Requests ahead in the queue, by the target they wait for.
            ignores_pressure: Leave out the price of recomputation under pressure.
        """
        self._now_seconds = now_seconds
        self.pauses.update(self._serving_by_id, now_seconds)
        costs = self.pauses.costs(work, now_seconds)
        ring = (
            self._ring if costs is None else self.pauses.ring_for(costs) or self._ring
        )
        owners = ring.owners(_owner_key(work), MAX_OWNER_STEPS)
        usable = _usable(self._candidates(work, owners, costs), work, avoid)
        free = _not_throttled(usable, now_seconds)
        if not free:
            # All candidates are excluded or throttled. This is rare, so every target
            # is scored rather than refusing the request while others could serve it.
            usable = _usable(self._serving, work, avoid)
            free = _not_throttled(usable, now_seconds)
        if not usable:
            return None
        candidates = _Candidates(free or usable, owners, waiting_ahead)
        choice = self._cheapest(candidates, now_seconds, work, ignores_pressure, costs)
        if costs is None or choice.can_take or _may_hold(work, choice, now_seconds):
            return choice
        candidates = self._with_capacity(candidates, work, avoid, now_seconds)
        if not candidates.usable:
            return choice
        return self._cheapest(candidates, now_seconds, work, ignores_pressure, costs)

    def _with_capacity(
        self,
        candidates: "_Candidates",
        work: Work,
        avoid: frozenset[TargetId] | set[TargetId],
        now_seconds: float,
    ) -> "_Candidates":
        """Return candidates that have capacity now, of all kinds of engines."""
        usable = {item[0].view.target: item for item in candidates.usable}
        for item in _usable(self._draw(None, OVERFLOW_CANDIDATES), work, avoid):
            usable[item[0].view.target] = item
        with_capacity = [
            item
            for item in usable.values()
            if item[0].has_capacity(item[0].estimate(now_seconds)[1], now_seconds)
        ]
        return replace(candidates, usable=with_capacity)

    def _step_seconds(self, work: Work) -> float:
        """Return the cost of a step away from the first owner.

        It is at most the prefill that owners avoid: a short prompt, or a request of a
        plain service, goes where the wait is shortest, not where its hash points.
        """
        saved_seconds = _shared_tokens(work) * self.rates.token_seconds
        return min(
            MAX_STEP_SECONDS, max(MIN_STEP_SECONDS, saved_seconds / MAX_OWNER_STEPS)
        )

    def _cheapest(
        self,
        candidates: "_Candidates",
        now_seconds: float,
        work: Work,
        ignores_pressure: bool,
        costs: PauseCosts | None,
    ) -> Choice:
        """Return the placement with the lowest cost.

        A single loop with few calls per target, for speed: it runs for each arriving
        request, 100 per second in a daemon, and for waiting requests whenever capacity
        becomes free.
        """
        usable, owners = candidates.usable, candidates.owners
        waiting_ahead = candidates.waiting_ahead
        rates = self.rates
        token_seconds = rates.token_seconds
        wait_weight = self._settings.wait_weight
        price = self._settings.recompute_weight
        if not ignores_pressure:
            price += PRESSURE_PRICE * self.pressure
        step_seconds = self._step_seconds(work)
        is_room_short = self.room.need.is_short
        min_uncached = min([item[1] for item in usable])
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
            slowness = load.duration_ratio(now_seconds)
            wait *= slowness
            if (
                load.rate_limiter is not None
                or load.backoff_until_seconds > now_seconds
            ):
                wait += load.throttled_seconds(now_seconds, n_ahead)
            excess = load.excess_requests(n_running + n_ahead + 1.0)
            if excess > 0.0:
                wait += excess * rates.hold_seconds / load.max_requests()
            if is_room_short:
                wait += load.room_wait_seconds(work, now_seconds)
            steps = owners.index(target) if target in owners else MAX_OWNER_STEPS
            score = (
                wait_weight * wait
                + price * (uncached - min_uncached) * token_seconds
                + steps * step_seconds
                + load.view.penalty_seconds
            )
            if costs is not None and score < best_score:
                speed = token_seconds * slowness
                state = PlacementState(n_running, speed, uncached * speed, wait)
                score += costs.cost_seconds(load, state, now_seconds)
            if score < best_score:
                best_score = score
                best = (load, uncached, wait, ahead, n_running)
        assert best is not None
        load, uncached, wait, ahead, n_running = best
        has_room = load.has_room(work, now_seconds)
        can_take = has_room and load.has_capacity(n_running, now_seconds)
        cached = work.prompt_tokens - uncached
        n_ahead = waiting_ahead.requests.get(load.view.target, 0)
        throttled_seconds = load.throttled_seconds(now_seconds, n_ahead)
        return Choice(
            load,
            wait,
            cached,
            uncached,
            ahead,
            can_take,
            throttled_seconds,
            has_room,
        )


@dataclass(frozen=True, slots=True)
class _Candidates:
    """What a placement is chosen from.

    Attributes:
        usable: Targets with the tokens that each must prefill and fetch.
        owners: The first targets of the prefix, from the ring.
        waiting_ahead: Requests ahead in the queue, by the target they wait for.
    """

    usable: list[tuple[TargetLoad, int, int]]
    owners: list[TargetId]
    waiting_ahead: WaitingByTarget


def _may_hold(work: Work, choice: Choice, now_seconds: float) -> bool:
    """Return whether a request may wait for a target to spare streams a pause."""
    waited_seconds = now_seconds - work.arrived_seconds
    longest_seconds = MAX_HOLD_SHARE * work.objective_seconds
    return waited_seconds + choice.wait_seconds <= longest_seconds


def _usable(
    loads: Sequence[TargetLoad],
    work: Work,
    avoid: frozenset[TargetId] | set[TargetId],
) -> list[tuple[TargetLoad, int, int]]:
    """Return the targets that may run ``work``, with the tokens each must load.

    Returns:
        The target, the prompt tokens that it has to prefill, and those that it can
        fetch from a KV store instead. A fetch takes a small part of the time of a
        prefill and no engine time, so stored tokens are no reason to prefer one
        target.
    """
    version = work.weights_version
    software_versions = work.software_versions
    stored_tokens = work.stored_tokens
    usable: list[tuple[TargetLoad, int, int]] = []
    for load in loads:
        view = load.view
        if view.target in avoid or (version and view.weights_version != version):
            continue
        if (
            software_versions is not None
            and view.software_version not in software_versions
        ):
            continue
        cached = load.cache_estimate.cached_tokens(work.levels)
        stored = 0
        if stored_tokens and view.fetch_token_seconds > 0.0:
            stored = stored_tokens.get(view.software_version or NO_SOFTWARE, 0)
        fetched = stored - cached if stored > cached else 0
        uncached = work.prompt_tokens - cached - fetched
        usable.append((load, uncached if uncached > 0 else 0, fetched))
    return usable


def _not_throttled(
    usable: list[tuple[TargetLoad, int, int]], now_seconds: float
) -> list[tuple[TargetLoad, int, int]]:
    """Return the targets that are not throttled for this daemon now.

    If a hot prompt is cached by a throttled target, work that waited for the end of its
    rate limit or back-off would be late, and its queue would cause refusals of others.
    """
    return [item for item in usable if not item[0].is_throttled(now_seconds)]


def _takes_new_work(load: TargetLoad) -> bool:
    return load.view.state in (TargetState.SERVING, TargetState.WARMING)


def _owner_key(work: Work) -> int:
    """Return the ring key: a prompt's shared prefix, or what is the request's own.

    Many requests of a plain service may have the same body at once. No target has it
    cached, so they have no reason to go to the same one.
    """
    digest = shared_digest(work.levels)
    if digest is not None:
        return int(digest)
    if work.prompt_tokens:
        return int(work.fingerprint)
    return hash_bytes(work.request.encode())


def _shared_tokens(work: Work) -> int:
    """Return the tokens that other prompts may share."""
    return work.levels[-2].end_tokens if len(work.levels) > 1 else 0
