"""Ways to keep within the memory of engines, in virtual time.

Several daemons, each with a scheduler of its own, send to a few engines that share
memory between running requests. The daemons hear of each other's load a moment later,
as they do over their links.
"""

import random
from collections.abc import Iterator
from dataclasses import asdict, dataclass, replace
from enum import Enum
from functools import partial

from lycheepost.bench.memoryengine import EngineRun, MemoryEngine
from lycheepost.core.hashing import fingerprint_body
from lycheepost.core.ids import (
    AvailabilityZone,
    CustomerId,
    DaemonId,
    Incarnation,
    ModelId,
    RequestId,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.peerloads import PeerLoads
from lycheepost.decide.records import (
    Dispatch,
    FinishKind,
    Outcome,
    Priority,
    TargetState,
    TargetView,
    Work,
)
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import SchedulerSettings

STEP_SECONDS = 0.01
"""One step of an engine, in which each running request makes one token."""

EXCHANGE_STEPS = 3
"""Steps between two reports of a daemon's load to its peers."""

TICK_STEPS = 2
LOAD_SECONDS = 12.0
LAST_SECONDS = 20.0

GROUP = TargetGroupId("engines")
MODEL = ModelId("model")
WEIGHTS = WeightsVersion("1")


class Way(Enum):
    """What a daemon counts before it sends a request."""

    SLOTS = "slots"
    NO_HINTS = "no hints"
    """Tokens of memory, with the stated maximum as the expected output."""
    EXPECTED = "expected"
    """Tokens of memory, with the output expected from hints."""
    NO_YIELDING = "no yielding"
    """As ``EXPECTED``, but nothing is displaced on purpose."""


@dataclass(frozen=True, slots=True)
class Requests:
    """One kind of request.

    Attributes:
        burst_ratio: Rate in every third span of two seconds, over the usual one.
        prompt_tokens: At the median.
        output_tokens: At the median; the stated maximum is six times as much.
        hint_ratio: Hint over actual output at the median; 0 without hints.
        gap_seconds: Longest pause of a stream; 0 if pauses do not count.
    """

    per_second: float
    burst_ratio: float
    prompt_tokens: int
    output_tokens: int
    hint_ratio: float
    rank: int
    objective_seconds: float
    gap_seconds: float


@dataclass(frozen=True, slots=True)
class RoomScenario:
    """One load before one group of engines."""

    name: str
    n_daemons: int
    n_engines: int
    memory_tokens: int
    n_slots: int
    requests: tuple[Requests, ...]


_LONG = Requests(5.0, 2.0, 9_200, 150, 1.0, 0, 1.5, 0.4)
_SHORT = Requests(20.0, 1.0, 830, 50, 1.0, 2, 2.0, 0.4)
_WRITING = Requests(10.0, 2.0, 3_000, 600, 1.0, 2, 2.0, 0.4)
_BATCH = replace(_WRITING, rank=6, objective_seconds=10.0, gap_seconds=0.0)

SCENARIOS = (
    RoomScenario("bursts of long prompts", 4, 3, 61_747, 24, (_LONG, _SHORT)),
    RoomScenario("long answers", 4, 3, 61_747, 24, (_WRITING, _SHORT)),
    RoomScenario(
        "long answers, hints a tenth",
        4,
        3,
        61_747,
        24,
        (replace(_WRITING, hint_ratio=0.1), _SHORT),
    ),
    RoomScenario(
        "urgent beside batches",
        4,
        3,
        61_747,
        24,
        (_BATCH, replace(_LONG, per_second=2.5)),
    ),
    RoomScenario("memory for all slots", 4, 3, 400_000, 24, (_LONG, _SHORT)),
)


@dataclass(frozen=True, slots=True)
class RoomRecord:
    """What one way did in one scenario, over all seeds.

    Attributes:
        on_time_share: Requests with their first token within the objective and no
            pause that counts.
        paused_share: Requests late by a pause alone.
        refused_share: Requests that no engine was sent.
        put_back_share: Times that engines put a request back, over requests.
        read_again_share: Tokens read again after that, over all tokens read.
        used_share: Memory held by running requests while the load lasts.
    """

    scenario: str
    way: str
    on_time_share: float
    paused_share: float
    refused_share: float
    put_back_share: float
    read_again_share: float
    used_share: float

    def to_dict(self) -> dict[str, object]:
        """Return the record for JSON."""
        return asdict(self)


class RoomPlay:
    """One run of one way.

    Args:
        scenario: The load.
        way: What daemons count.
        seed: Seeds arrivals and sizes.
    """

    def __init__(self, scenario: RoomScenario, way: Way, seed: int) -> None:
        self._scenario = scenario
        self._way = way
        self._rng = random.Random(seed)
        off = frozenset({Mechanism.MEMORY_ROOM} if way is Way.SLOTS else ())
        settings = SchedulerSettings(
            prefill_seconds_per_token=1.0 / 38_400, switched_off=off
        )
        self._daemons = [
            Scheduler(settings, seed * 100 + n) for n in range(scenario.n_daemons)
        ]
        self._peers = [PeerLoads() for _ in self._daemons]
        self.engines = {
            TargetId(f"engine-{n}"): MemoryEngine(
                scenario.memory_tokens, scenario.n_slots, round(38_400 * STEP_SECONDS)
            )
            for n in range(scenario.n_engines)
        }
        self.runs: dict[RequestId, EngineRun] = {}
        self._works: dict[RequestId, tuple[int, Work]] = {}
        self.n_refused = 0
        self._used: list[float] = []

    def run(self) -> None:
        """Play the load and let what it left end."""
        for scheduler in self._daemons:
            scheduler.replace_targets(tuple(map(self._view, self.engines)), 0.0)
        for step in range(round(LAST_SECONDS / STEP_SECONDS)):
            now_seconds = step * STEP_SECONDS
            if now_seconds < LOAD_SECONDS:
                self._arrive(now_seconds)
                held = sum(engine.held_tokens for engine in self.engines.values())
                self._used.append(held / self._scenario.memory_tokens)
            self._advance_engines(now_seconds)
            if step % TICK_STEPS == 0:
                for index, scheduler in enumerate(self._daemons):
                    self._apply(index, scheduler.tick(now_seconds), now_seconds)
            if step % EXCHANGE_STEPS == 0:
                self._exchange(now_seconds)

    def _view(self, target: TargetId) -> TargetView:
        return TargetView(
            target=target,
            target_group=GROUP,
            availability_zone=AvailabilityZone("zone"),
            state=TargetState.SERVING,
            incarnation=Incarnation("1"),
            weights_version=WEIGHTS,
            concurrency_limit=self._scenario.n_slots,
            cache_tokens=self._scenario.memory_tokens,
            memory_tokens=self._scenario.memory_tokens,
        )

    def _arrive(self, now_seconds: float) -> None:
        for kind, requests in enumerate(self._scenario.requests):
            is_burst = int(now_seconds / 2.0) % 3 == 2
            per_second = requests.per_second * (requests.burst_ratio if is_burst else 1)
            if self._rng.random() >= per_second * STEP_SECONDS:
                continue
            index = self._rng.randrange(len(self._daemons))
            work = self._make_work(kind, requests, now_seconds)
            self._works[work.request] = (index, work)
            if self._way is Way.NO_YIELDING:
                work = replace(work, rank=0)
            outcomes = self._daemons[index].arrive(work, now_seconds)
            self._apply(index, outcomes, now_seconds)

    def _make_work(self, kind: int, requests: Requests, now_seconds: float) -> Work:
        name = f"request-{len(self._works)}"
        prompt_tokens = round(requests.prompt_tokens * self._rng.lognormvariate(0, 0.4))
        output_tokens = round(requests.output_tokens * self._rng.lognormvariate(0, 0.5))
        max_tokens = 6 * requests.output_tokens
        output_tokens = max(1, min(max_tokens, output_tokens))
        error = self._rng.lognormvariate(0.0, 0.5)
        hint_tokens = round(output_tokens * requests.hint_ratio * error)
        run = EngineRun(requests.rank, prompt_tokens, output_tokens, now_seconds)
        self.runs[RequestId(name)] = run
        return Work(
            request=RequestId(name),
            customer=CustomerId(f"customer-{kind}"),
            target_group=GROUP,
            model=MODEL,
            weights_version=WEIGHTS,
            levels=(),
            prompt_tokens=prompt_tokens,
            output_tokens=max_tokens,
            priority=Priority.NORMAL,
            arrived_seconds=now_seconds,
            first_token_timeout_seconds=4 * requests.objective_seconds,
            fingerprint=fingerprint_body(CustomerId(""), name.encode()),
            objective_seconds=requests.objective_seconds,
            gap_seconds=requests.gap_seconds,
            rank=requests.rank,
            hint_tokens=0 if self._way is Way.NO_HINTS else hint_tokens,
        )

    def _apply(self, index: int, outcomes: list[Outcome], now_seconds: float) -> None:
        for outcome in outcomes:
            match outcome:
                case Dispatch(request=request, target=target):
                    self.engines[target].submit(request, self.runs[request])
                case _:
                    self.n_refused += 1

    def _advance_engines(self, now_seconds: float) -> None:
        for engine in self.engines.values():
            started, ended = engine.advance(now_seconds)
            for request in started:
                index = self._works[request][0]
                self._daemons[index].first_token(request, now_seconds, None)
            for request in ended:
                index = self._works[request][0]
                daemon = self._daemons[index]
                daemon.note_events(request, self.runs[request].output_tokens)
                outcomes = daemon.finish(request, now_seconds, FinishKind.COMPLETE)
                self._apply(index, outcomes, now_seconds)

    def _exchange(self, now_seconds: float) -> None:
        """Let each daemon use what the others told, then tell anew."""
        for index, scheduler in enumerate(self._daemons):
            peers = self._peers[index]
            for target in self.engines:
                load = peers.at(target, now_seconds)
                scheduler.set_peer_load(target, load, now_seconds)
            n_waiting = sum(
                bool(other.waiting_groups())
                for other in self._daemons
                if other is not scheduler
            )
            scheduler.draw_admission(partial(_constant, n_waiting), now_seconds)
            outcomes = scheduler.dispatch_waiting(now_seconds)
            self._apply(index, outcomes, now_seconds)
        for index, scheduler in enumerate(self._daemons):
            loads = scheduler.under_way()
            for other, peers in enumerate(self._peers):
                if other != index:
                    peers.observe(DaemonId(str(index)), loads, now_seconds)

    def is_on_time(self, request: RequestId) -> bool:
        """Return whether a request met its objective and was never paused."""
        return self.has_first_on_time(request) and not self._is_paused(request)

    def has_first_on_time(self, request: RequestId) -> bool:
        """Return whether a request's first token met its objective."""
        run, work = self.runs[request], self._works[request][1]
        if run.first_seconds is None or run.ended_seconds is None:
            return False
        return run.first_seconds - work.arrived_seconds <= work.objective_seconds

    def _is_paused(self, request: RequestId) -> bool:
        gap_seconds = self._works[request][1].gap_seconds
        return 0 < gap_seconds < self.runs[request].longest_gap_seconds

    def used_share(self) -> float:
        """Return the mean share of memory held while the load lasted."""
        return sum(self._used) / len(self._used) / len(self.engines)


def _constant(value: int, _: TargetGroupId) -> int:
    return value


def measure_way(scenario: RoomScenario, way: Way, seeds: tuple[int, ...]) -> RoomRecord:
    """Play one way in one scenario with each seed."""
    plays = [RoomPlay(scenario, way, seed) for seed in seeds]
    for play in plays:
        play.run()
    n_requests = sum(len(play.runs) for play in plays)
    engines = [engine for play in plays for engine in play.engines.values()]
    n_first = sum(play.has_first_on_time(name) for play in plays for name in play.runs)
    n_on_time = sum(play.is_on_time(name) for play in plays for name in play.runs)
    n_read = sum(engine.n_read_tokens for engine in engines)
    return RoomRecord(
        scenario=scenario.name,
        way=way.value,
        on_time_share=n_on_time / n_requests,
        paused_share=(n_first - n_on_time) / n_requests,
        refused_share=sum(play.n_refused for play in plays) / n_requests,
        put_back_share=sum(engine.n_put_back for engine in engines) / n_requests,
        read_again_share=sum(engine.n_read_again for engine in engines) / n_read,
        used_share=sum(play.used_share() for play in plays) / len(plays),
    )


def measure_room(seeds: tuple[int, ...]) -> Iterator[RoomRecord]:
    """Play all ways in all scenarios."""
    for scenario in SCENARIOS:
        for way in Way:
            yield measure_way(scenario, way, seeds)
