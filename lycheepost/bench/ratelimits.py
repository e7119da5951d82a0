"""Ways to hold a fleet to the limit that a target names, in virtual time.

One target of a group, whose other targets take what it doesn't. Daemons hear its limit
with their own answers, or from a peer. The target counts what it gets in sliding
windows, as the platform does: also what came shortly before the limit was heard, of
daemons that have heard it since.
"""

import heapq
import itertools
import random
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from enum import Enum

from lycheepost.decide.requestpacer import RequestPacer, make_request_pacer

WINDOW_SECONDS = 4.0
GRACE_SECONDS = 3.0
TOLERATED_SHARE = 1.5
TOLERATED_REQUESTS = 5.0
KNOWN_SECONDS = 0.5
"""So long after it heard the limit what a daemon has sent counts."""

BEFORE_SECONDS = 5.0
AFTER_SECONDS = 60.0
ANSWER_SECONDS = 0.1
PEER_SECONDS = 0.01
TELL_SECONDS = 0.03
"""How late a peer hears what was sent, where daemons count together."""


class Way(Enum):
    """How the daemons hold to a limit."""

    DIVIDED = "divided"
    """Each has its part; who hears the limit tells the others."""
    DIVIDED_UNTOLD = "divided, untold"
    """Each has its part once it has heard the limit itself."""
    COUNTED = "counted"
    """All have one bucket, less what each tells that it has sent."""
    WHOLE = "whole"
    """Each holds to the whole limit by itself."""


@dataclass(frozen=True, slots=True)
class LimitScenario:
    """One load.

    Attributes:
        per_second: The limit.
        usual_per_second: What the target got before.
        wanted_per_second: What would go there at any time if it were free to take it.
        first_share: Part of the requests that comes to one daemon; 0 for an equal part.
        quiet_seconds: So long after the limit was named nothing comes.
    """

    name: str
    n_daemons: int
    per_second: float
    usual_per_second: float
    wanted_per_second: float
    first_share: float = 0.0
    quiet_seconds: float = 0.0


SCENARIOS = (
    LimitScenario("7 daemons, limit 1", 7, 1.0, 3.0, 20.0),
    LimitScenario("7 daemons, limit 1, half on one", 7, 1.0, 3.0, 20.0, 0.5),
    LimitScenario("7 daemons, limit 1, hardly wanted", 7, 1.0, 3.0, 2.0),
    LimitScenario("10 daemons, limit 12 of 40", 10, 12.0, 40.0, 100.0),
    LimitScenario("24 daemons, limit 1", 24, 1.0, 5.0, 300.0),
    LimitScenario("24 daemons, limit 1, after quiet", 24, 1.0, 5.0, 300.0, 0.0, 30.0),
    LimitScenario("24 daemons, limit 2", 24, 2.0, 7.0, 300.0),
    LimitScenario("7 daemons, limit 0", 7, 0.0, 3.0, 20.0),
)


@dataclass(frozen=True, slots=True)
class LimitRecord:
    """What one way did in one scenario, over all seeds.

    Attributes:
        worst_overrun: The worst window over what is tolerated; above 1 is too much.
        used_share: Part of the limit that was used, from 10 s after its naming.
    """

    scenario: str
    way: str
    worst_overrun: float
    used_share: float | None

    def to_dict(self) -> dict[str, object]:
        """Return the record for JSON."""
        return asdict(self)


@dataclass(slots=True)
class CountedPace:
    """A bucket of the fleet as one daemon sees it; holds one request at most."""

    per_second: float
    level: float
    at_seconds: float

    def catch_up(self, now_seconds: float) -> None:
        """Add what has come back."""
        earned = (now_seconds - self.at_seconds) * self.per_second
        self.level = min(1.0, self.level + earned)
        self.at_seconds = now_seconds

    def may_send(self, now_seconds: float) -> bool:
        """Tell whether a request may go."""
        self.catch_up(now_seconds)
        return self.level >= 1.0

    def note_sent(self, now_seconds: float) -> None:
        """Count a request of this daemon or of another."""
        self.catch_up(now_seconds)
        self.level -= 1.0


@dataclass(slots=True)
class _Daemon:
    pace: RequestPacer | CountedPace | None = None
    heard_seconds: float = float("inf")
    """When an answer to it first named the limit."""
    sent_seconds: list[float] = field(default_factory=list)


class _Kind(Enum):
    ARRIVAL = 0
    ANSWER = 1
    TOLD_LIMIT = 2
    TOLD_SENT = 3


class LimitPlay:
    """One run of one way; time 0 is when the target names its limit.

    Args:
        scenario: The load.
        way: How daemons hold to the limit.
        seed: Seeds arrivals and paces.
    """

    def __init__(self, scenario: LimitScenario, way: Way, seed: int) -> None:
        self._scenario = scenario
        self._way = way
        self._rng = random.Random(seed)
        self._daemons = [_Daemon() for _ in range(scenario.n_daemons)]
        self._order = itertools.count()
        self._events: list[tuple[float, int, _Kind, int]] = []

    def run(self) -> None:
        """Play from before the limit is named to long after."""
        self._add_arrivals()
        while self._events:
            at_seconds, _, kind, index = heapq.heappop(self._events)
            match kind:
                case _Kind.ARRIVAL:
                    self._arrive(index, at_seconds)
                case _Kind.ANSWER:
                    self._answer(index, at_seconds)
                case _Kind.TOLD_LIMIT:
                    self._hear(self._daemons[index], at_seconds)
                case _Kind.TOLD_SENT:
                    self._count_other(self._daemons[index], at_seconds)

    def _push(self, at_seconds: float, kind: _Kind, index: int) -> None:
        heapq.heappush(self._events, (at_seconds, next(self._order), kind, index))

    def _add_arrivals(self) -> None:
        scenario, now_seconds = self._scenario, -BEFORE_SECONDS
        while now_seconds < AFTER_SECONDS:
            is_limited = now_seconds > 0.0
            rate = scenario.usual_per_second
            if is_limited:
                rate = scenario.wanted_per_second
            now_seconds += self._rng.expovariate(rate)
            if 0.5 < now_seconds < scenario.quiet_seconds:
                continue
            self._push(now_seconds, _Kind.ARRIVAL, self._pick_daemon())

    def _pick_daemon(self) -> int:
        if self._rng.random() < self._scenario.first_share:
            return 0
        return self._rng.randrange(self._scenario.n_daemons)

    def _arrive(self, index: int, now_seconds: float) -> None:
        daemon = self._daemons[index]
        if daemon.pace is None and now_seconds > 0.0:
            # Nothing is known yet, so the target gets its usual part.
            usual = self._scenario.usual_per_second / self._scenario.wanted_per_second
            if self._rng.random() > usual:
                return
        if not self._may_send(daemon, now_seconds):
            return
        daemon.sent_seconds.append(now_seconds)
        if daemon.pace is not None:
            daemon.pace.note_sent(now_seconds)
        self._push(now_seconds + ANSWER_SECONDS, _Kind.ANSWER, index)
        if self._way is Way.COUNTED:
            self._tell_others(index, now_seconds + TELL_SECONDS, _Kind.TOLD_SENT)

    def _may_send(self, daemon: _Daemon, now_seconds: float) -> bool:
        match daemon.pace:
            case None:
                return True
            case RequestPacer():
                daemon.pace.redraw_expired(now_seconds, self._rng)
                return daemon.pace.next_seconds <= now_seconds
            case CountedPace():
                return daemon.pace.may_send(now_seconds)

    def _answer(self, index: int, now_seconds: float) -> None:
        daemon = self._daemons[index]
        if now_seconds < 0.0 or daemon.heard_seconds <= now_seconds:
            return
        daemon.heard_seconds = now_seconds
        self._hear(daemon, now_seconds)
        if self._way is not Way.DIVIDED_UNTOLD:
            self._tell_others(index, now_seconds + PEER_SECONDS, _Kind.TOLD_LIMIT)

    def _tell_others(self, index: int, at_seconds: float, kind: _Kind) -> None:
        for other in range(self._scenario.n_daemons):
            if other != index:
                self._push(at_seconds, kind, other)

    def _hear(self, daemon: _Daemon, now_seconds: float) -> None:
        if daemon.pace is not None:
            return
        per_second = self._scenario.per_second
        match self._way:
            case Way.COUNTED:
                daemon.pace = CountedPace(per_second, 0.0, now_seconds)
            case Way.WHOLE:
                daemon.pace = self._make_pace(daemon, 1, now_seconds)
            case Way.DIVIDED | Way.DIVIDED_UNTOLD:
                n_daemons = self._scenario.n_daemons
                daemon.pace = self._make_pace(daemon, n_daemons, now_seconds)

    def _make_pace(
        self, daemon: _Daemon, n_daemons: int, now_seconds: float
    ) -> RequestPacer:
        return make_request_pacer(
            self._scenario.per_second,
            n_daemons,
            now_seconds,
            self._rng,
        )

    def _count_other(self, daemon: _Daemon, now_seconds: float) -> None:
        if daemon.pace is not None:
            daemon.pace.note_sent(now_seconds)

    def worst_overrun(self) -> float:
        """Return the worst window over what is tolerated."""
        scenario = self._scenario
        allowed = TOLERATED_SHARE * WINDOW_SECONDS * scenario.per_second
        allowed += TOLERATED_REQUESTS
        sent = sorted(
            (at, daemon.heard_seconds + KNOWN_SECONDS)
            for daemon in self._daemons
            for at in daemon.sent_seconds
        )
        worst, begin = 0, 0
        for index, (end, _) in enumerate(sent):
            while sent[begin][0] <= end - WINDOW_SECONDS:
                begin += 1
            if end >= GRACE_SECONDS:
                n = sum(known <= end for _, known in sent[begin : index + 1])
                worst = max(worst, n)
        return worst / allowed

    def used_share(self) -> float | None:
        """Return the part of the limit that was used; None for a limit of 0."""
        scenario = self._scenario
        from_seconds = max(10.0, scenario.quiet_seconds)
        allowed = scenario.per_second * (AFTER_SECONDS - from_seconds)
        if not allowed:
            return None
        n_sent = sum(
            at > from_seconds for daemon in self._daemons for at in daemon.sent_seconds
        )
        return n_sent / allowed


def measure_way(
    scenario: LimitScenario, way: Way, seeds: tuple[int, ...]
) -> LimitRecord:
    """Play one way in one scenario with each seed."""
    overruns, shares = [], []
    for seed in seeds:
        play = LimitPlay(scenario, way, seed)
        play.run()
        overruns.append(play.worst_overrun())
        shares.append(play.used_share())
    used = [share for share in shares if share is not None]
    mean = sum(used) / len(used) if used else None
    return LimitRecord(scenario.name, way.value, max(overruns), mean)


def measure_limits(seeds: tuple[int, ...]) -> Iterator[LimitRecord]:
    """Play all ways in all scenarios."""
    for scenario in SCENARIOS:
        for way in Way:
            yield measure_way(scenario, way, seeds)
