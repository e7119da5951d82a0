"""Ways to keep the back-offs that targets ask for, in virtual time.

Some targets of a group turn requests away for a while, all of them or a part, and ask
the daemon that sent one for a pause. A request that is turned away goes to another
target at once, as far as its tries last.
"""

import heapq
import itertools
import random
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from enum import Enum

from lycheepost.core.ids import TargetId
from lycheepost.decide.attempts import MAX_ATTEMPTS
from lycheepost.decide.backoff import BackOffs

PAUSE_SECONDS = 3.0
"""What targets ask for."""

GRACE_SECONDS = 0.5
"""Requests that arrive so soon after the word may have been sent before it."""

SHEDDING_SECONDS = 30.0
ANSWER_SECONDS = 0.005
PEER_SECONDS = 0.01
"""How late a peer hears what was asked of another daemon."""


class Way(Enum):
    """Who keeps a back-off."""

    IGNORED = "ignored"
    OWN = "own"
    """The daemon that was asked for it."""
    TOLD = "told"
    """All daemons, for what is left of it."""


@dataclass(frozen=True, slots=True)
class BackOffScenario:
    """One load.

    Attributes:
        n_shedding: Targets that turn requests away.
        shed_share: Part of the requests that they turn away.
        per_second: Requests of the whole fleet.
    """

    name: str
    n_daemons: int
    n_targets: int
    n_shedding: int
    shed_share: float
    per_second: float


SCENARIOS = (
    BackOffScenario("7 daemons, 3 of 9 shed all", 7, 9, 3, 1.0, 36.0),
    BackOffScenario("7 daemons, 3 of 9 shed half", 7, 9, 3, 0.5, 36.0),
    BackOffScenario("7 daemons, 3 of 9 shed a tenth", 7, 9, 3, 0.1, 36.0),
    BackOffScenario("7 daemons, 2 of 4 shed half", 7, 4, 2, 0.5, 13.0),
    BackOffScenario("10 daemons, 15 of 45 shed all", 10, 45, 15, 1.0, 290.0),
    BackOffScenario("10 daemons, 15 of 45 shed half", 10, 45, 15, 0.5, 290.0),
)


@dataclass(frozen=True, slots=True)
class BackOffRecord:
    """What one way did in one scenario, over all seeds.

    Attributes:
        most_in_pause: Most requests of one daemon that reached a target from half a
            second after it was asked for a pause to the end of it.
        lost_try_share: Sends that were turned away, over requests.
        unserved_share: Requests that found no target.
        used_share: Requests that shedding targets served, over what they would have
            served with an even part of all.
    """

    scenario: str
    way: str
    most_in_pause: int
    lost_try_share: float
    unserved_share: float
    used_share: float

    def to_dict(self) -> dict[str, object]:
        """Return the record for JSON."""
        return asdict(self)


@dataclass(slots=True)
class _Daemon:
    backoffs: BackOffs = field(default_factory=BackOffs)
    asked: dict[TargetId, list[float]] = field(default_factory=dict)
    """When targets asked it for a pause."""
    sent: dict[TargetId, list[float]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Request:
    daemon: int
    tried: frozenset[TargetId] = frozenset()


@dataclass(frozen=True, slots=True)
class _TurnedAway:
    request: _Request
    target: TargetId


@dataclass(frozen=True, slots=True)
class _Told:
    daemon: int
    target: TargetId
    left_seconds: float


_Event = _Request | _TurnedAway | _Told


class BackOffPlay:
    """One run of one way.

    Args:
        scenario: The load.
        way: Who keeps a back-off.
        seed: Seeds arrivals, placements and what is turned away.

    Attributes:
        n_requests: Requests that came.
        n_lost_tries: Sends that were turned away.
        n_unserved: Requests that found no target.
        n_served_there: Requests that targets which turn some away have served.
    """

    def __init__(self, scenario: BackOffScenario, way: Way, seed: int) -> None:
        self._scenario = scenario
        self._way = way
        self._rng = random.Random(seed)
        self._daemons = [_Daemon() for _ in range(scenario.n_daemons)]
        self._targets = [TargetId(f"t{n}") for n in range(scenario.n_targets)]
        self._shedding = frozenset(self._targets[: scenario.n_shedding])
        self._order = itertools.count()
        self._events: list[tuple[float, int, _Event]] = []
        self.n_requests = 0
        self.n_lost_tries = 0
        self.n_unserved = 0
        self.n_served_there = 0

    def run(self) -> None:
        """Play while the targets turn requests away."""
        self._add_arrivals()
        while self._events:
            now_seconds, _, event = heapq.heappop(self._events)
            match event:
                case _Request():
                    self._place(event, now_seconds)
                case _TurnedAway(request, target):
                    self._take_turned_away(request, target, now_seconds)
                case _Told(daemon, target, left_seconds):
                    backoffs = self._daemons[daemon].backoffs
                    backoffs.note(target, left_seconds, now_seconds)

    def _push(self, at_seconds: float, event: _Event) -> None:
        heapq.heappush(self._events, (at_seconds, next(self._order), event))

    def _add_arrivals(self) -> None:
        now_seconds = 0.0
        while now_seconds < SHEDDING_SECONDS:
            now_seconds += self._rng.expovariate(self._scenario.per_second)
            daemon = self._rng.randrange(self._scenario.n_daemons)
            self._push(now_seconds, _Request(daemon))
            self.n_requests += 1

    def _place(self, request: _Request, now_seconds: float) -> None:
        daemon = self._daemons[request.daemon]
        usable = [
            target
            for target in self._targets
            if target not in request.tried
            and daemon.backoffs.until_seconds(target) <= now_seconds
        ]
        if not usable or len(request.tried) >= MAX_ATTEMPTS:
            self.n_unserved += 1
            return
        target = self._rng.choice(usable)
        daemon.sent.setdefault(target, []).append(now_seconds)
        if target not in self._shedding:
            return
        if self._rng.random() < self._scenario.shed_share:
            answered_seconds = now_seconds + ANSWER_SECONDS
            self._push(answered_seconds, _TurnedAway(request, target))
        else:
            self.n_served_there += 1

    def _take_turned_away(
        self, request: _Request, target: TargetId, now_seconds: float
    ) -> None:
        self.n_lost_tries += 1
        daemon = self._daemons[request.daemon]
        daemon.asked.setdefault(target, []).append(now_seconds)
        if self._way is not Way.IGNORED:
            daemon.backoffs.note(target, PAUSE_SECONDS, now_seconds)
        if self._way is Way.TOLD:
            left_seconds = PAUSE_SECONDS - PEER_SECONDS
            for other in range(self._scenario.n_daemons):
                told = _Told(other, target, left_seconds)
                self._push(now_seconds + PEER_SECONDS, told)
        tried = request.tried | {target}
        self._push(now_seconds, _Request(request.daemon, tried))

    def most_in_pause(self) -> int:
        """Return the most requests of one daemon within a pause it was asked for."""
        return max(
            (
                sum(
                    GRACE_SECONDS < sent_seconds - asked_seconds <= PAUSE_SECONDS
                    for sent_seconds in daemon.sent[target]
                )
                for daemon in self._daemons
                for target, times in daemon.asked.items()
                for asked_seconds in times
            ),
            default=0,
        )

    def used_share(self) -> float:
        """Return what shedding targets served over their even part."""
        scenario = self._scenario
        even = self.n_requests * scenario.n_shedding / scenario.n_targets
        return self.n_served_there / even


def measure_way(
    scenario: BackOffScenario, way: Way, seeds: tuple[int, ...]
) -> BackOffRecord:
    """Play one way in one scenario with each seed."""
    plays = [BackOffPlay(scenario, way, seed) for seed in seeds]
    for play in plays:
        play.run()
    n_requests = sum(play.n_requests for play in plays)
    return BackOffRecord(
        scenario=scenario.name,
        way=way.value,
        most_in_pause=max(play.most_in_pause() for play in plays),
        lost_try_share=sum(play.n_lost_tries for play in plays) / n_requests,
        unserved_share=sum(play.n_unserved for play in plays) / n_requests,
        used_share=sum(play.used_share() for play in plays) / len(plays),
    )


def measure_backoffs(seeds: tuple[int, ...]) -> Iterator[BackOffRecord]:
    """Play all ways in all scenarios."""
    for scenario in SCENARIOS:
        for way in Way:
            yield measure_way(scenario, way, seeds)
