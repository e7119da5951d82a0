"""One event heap over the decisions and the engine model, in virtual time.

No network and no processes: the same ``Scheduler`` as in the daemon, once per
entry VM, before the engines of one deployment. Network time is left out; it is
the same for all policies and below a few milliseconds.
"""

import heapq
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import partial
from typing import Any, Protocol

from lycheepost.bench.policybaselines import Policy
from lycheepost.bench.policyload import (
    GROUP,
    WEIGHTS,
    Arrival,
    Demand,
    Deployment,
    Scenario,
)
from lycheepost.bench.policytrace import (
    Fate,
    Trace,
    make_engine_request,
    make_policy,
)
from lycheepost.core.ids import (
    AvailabilityZone,
    Incarnation,
    PrefixDigest,
    RequestId,
    TargetId,
)
from lycheepost.decide.records import (
    Dispatch,
    FinishKind,
    LoadReport,
    Outcome,
    Refuse,
    TargetState,
    TargetView,
)
from lycheepost.standin.enginemodel import Engine
from lycheepost.standin.enginerecords import (
    EngineEvent,
    EngineEventKind,
    EngineSettings,
)

TICK_SECONDS = 0.02
LOAD_POLL_SECONDS = 1.0
EVENTS_POLL_SECONDS = 0.5
DETECT_LOSS_SECONDS = 0.05
"""A crashed engine closes its connections; the daemon sees it at once."""
RETURN_SECONDS = 4.0
"""A crashed engine is away this long before it serves again, empty."""
NOTICE_SECONDS = 1.0
"""Membership tells all daemons of a target's state after this time."""
MAX_TRIES = 3
N_ZONES = 3


class Kind(Enum):
    """Kinds of entries on the event heap."""

    ENGINE = 0
    LEAVE = 1
    TICK = 2
    POLL_LOAD = 3
    POLL_EVENTS = 4
    RETRY = 5
    CALL = 6


class SeededDemand(Protocol):
    """The requests of one run."""

    def arrivals(self) -> Iterator[tuple[float, Arrival]]:
        """Yield the arrivals in order of time."""
        ...


@dataclass(slots=True)
class _Daemon:
    policy: Policy
    sequences: dict[TargetId, tuple[Incarnation, int]] = field(default_factory=dict)


def _engine_settings(
    settings: EngineSettings, scenario: Scenario, index: int
) -> EngineSettings:
    if scenario.fast_every and index % scenario.fast_every == 0:
        return replace(settings, slowness=0.5)
    return settings


class Simulation:
    """One run of one policy."""

    def __init__(
        self,
        deployment: Deployment,
        scenario: Scenario,
        policy: str,
        seed: int,
        changes: dict[str, Any] | None = None,
    ) -> None:
        self.deployment = deployment
        self.scenario = scenario
        self._policy_name = policy
        self._seed = seed
        self._changes = changes
        self.rng = random.Random(f"simulation/{seed}")
        self.demand: SeededDemand = Demand(deployment, scenario, seed)
        settings = EngineSettings(cache_tokens=deployment.cache_tokens)
        self.engines = {
            TargetId(f"engine-{index}"): Engine(
                f"engine-{index}", _engine_settings(settings, scenario, index), seed
            )
            for index in range(deployment.n_engines)
        }
        self._states = dict.fromkeys(self.engines, TargetState.SERVING)
        self._wakes: dict[TargetId, float] = {}
        self._daemons = [self._make_daemon(i) for i in range(deployment.n_daemons)]
        self.traces: dict[RequestId, Trace] = {}
        self._computed: set[PrefixDigest] = set()
        self._heap: list[tuple[float, int, Kind, object]] = []
        self._n_pushed = 0
        self.end_seconds = scenario.duration_seconds

    def _make_daemon(self, index: int) -> _Daemon:
        seed = self._seed * 1000 + index
        policy = make_policy(self._policy_name, self.deployment, seed, self._changes)
        return _Daemon(policy)

    def _views(self) -> tuple[TargetView, ...]:
        return tuple(
            TargetView(
                target=target,
                target_group=GROUP,
                availability_zone=AvailabilityZone(f"zone-{index % N_ZONES}"),
                state=self._states[target],
                incarnation=engine.incarnation,
                weights_version=WEIGHTS,
                concurrency_limit=engine.settings.max_running,
                cache_tokens=engine.settings.cache_tokens,
            )
            for index, (target, engine) in enumerate(self.engines.items())
        )

    def _push(self, at_seconds: float, kind: Kind, payload: object) -> None:
        self._n_pushed += 1
        heapq.heappush(self._heap, (at_seconds, self._n_pushed, kind, payload))

    def run(self) -> list[Trace]:
        """Run to the end and return the traces of all requests."""
        for daemon in self._daemons:
            daemon.policy.replace_targets(self._views(), 0.0)
        self._schedule_fixed()
        arrivals = self.demand.arrivals()
        upcoming = next(arrivals, None)
        while True:
            if upcoming is not None and (
                not self._heap or upcoming[0] <= self._heap[0][0]
            ):
                self._arrive(upcoming[1], upcoming[0])
                upcoming = next(arrivals, None)
                continue
            at_seconds, _, kind, payload = heapq.heappop(self._heap)
            if upcoming is None and self._is_settled(at_seconds):
                break
            self._handle(kind, payload, at_seconds)
        return list(self.traces.values())

    def _is_settled(self, now_seconds: float) -> bool:
        return now_seconds > self.end_seconds and all(
            trace.fate is not None for trace in self.traces.values()
        )

    def _schedule_fixed(self) -> None:
        for index in range(len(self._daemons)):
            offset = index / len(self._daemons)
            self._push(TICK_SECONDS * offset, Kind.TICK, index)
            self._push(LOAD_POLL_SECONDS * offset, Kind.POLL_LOAD, index)
            self._push(EVENTS_POLL_SECONDS * offset, Kind.POLL_EVENTS, index)
        for at_seconds, engine in self.scenario.crashes:
            target = TargetId(f"engine-{engine}")
            self._call_at(at_seconds, partial(self._crash, target))
        for at_seconds, index in self.scenario.daemon_restarts:
            self._call_at(at_seconds, partial(self._restart, index))
        if self.scenario.slow_engine is not None:
            start, stop, slowness = self.scenario.slow_engine
            target = TargetId("engine-0")
            self._call_at(start, partial(self._slow, target, slowness))
            self._call_at(stop, partial(self._slow, target, 1.0))

    def _call_at(self, at_seconds: float, call: Callable[[float], None]) -> None:
        self._push(at_seconds, Kind.CALL, call)

    def _handle(self, kind: Kind, payload: object, now_seconds: float) -> None:
        match kind:
            case Kind.ENGINE:
                assert isinstance(payload, str)
                self._wake(TargetId(payload), now_seconds)
            case Kind.LEAVE:
                assert isinstance(payload, Trace)
                self._leave(payload, now_seconds)
            case Kind.TICK:
                assert isinstance(payload, int)
                policy = self._daemons[payload].policy
                self._apply(policy.tick(now_seconds), now_seconds)
                self._push(now_seconds + TICK_SECONDS, Kind.TICK, payload)
            case Kind.POLL_LOAD:
                assert isinstance(payload, int)
                self._poll_load(self._daemons[payload], now_seconds)
                self._push(now_seconds + LOAD_POLL_SECONDS, Kind.POLL_LOAD, payload)
            case Kind.POLL_EVENTS:
                assert isinstance(payload, int)
                self._poll_events(self._daemons[payload], now_seconds)
                self._push(now_seconds + EVENTS_POLL_SECONDS, Kind.POLL_EVENTS, payload)
            case Kind.RETRY:
                assert isinstance(payload, Trace)
                self._retry(payload, now_seconds)
            case Kind.CALL:
                assert callable(payload)
                payload(now_seconds)

    def _arrive(self, arrival: Arrival, now_seconds: float) -> None:
        work = arrival.work
        trace = Trace(work, arrival.daemon)
        self.traces[work.request] = trace
        self._push(now_seconds + work.first_token_timeout_seconds, Kind.LEAVE, trace)
        policy = self._daemons[arrival.daemon].policy
        self._apply(policy.arrive(work, now_seconds), now_seconds)

    def _apply(self, outcomes: list[Outcome], now_seconds: float) -> None:
        for outcome in outcomes:
            trace = self.traces[outcome.request]
            match outcome:
                case Dispatch(target=target):
                    self._submit(trace, target, now_seconds)
                case Refuse(retry_after_seconds=seconds):
                    trace.retry_after_seconds = seconds
                    self._end(trace, Fate.REFUSED, now_seconds)

    def _end(self, trace: Trace, fate: Fate, now_seconds: float) -> None:
        if trace.fate is None:
            trace.fate = fate
            trace.ended_seconds = now_seconds

    def _submit(self, trace: Trace, target: TargetId, now_seconds: float) -> None:
        trace.target = target
        trace.n_targets += 1
        work = trace.work
        if self._states[target] is TargetState.GONE:
            self._push(now_seconds + DETECT_LOSS_SECONDS, Kind.RETRY, trace)
            return
        spec = make_engine_request(work)
        events = self.engines[target].submit(spec, now_seconds)
        self._observe(target, events, now_seconds)

    def _wake(self, target: TargetId, now_seconds: float) -> None:
        if self._wakes.get(target) != now_seconds:
            return
        del self._wakes[target]
        events = self.engines[target].advance(now_seconds)
        self._observe(target, events, now_seconds)

    def _observe(
        self, target: TargetId, events: list[EngineEvent], now_seconds: float
    ) -> None:
        next_seconds = self.engines[target].next_event_seconds()
        if next_seconds is not None and self._wakes.get(target) != next_seconds:
            self._wakes[target] = next_seconds
            self._push(next_seconds, Kind.ENGINE, target)
        for event in events:
            self._observe_one(event, now_seconds)

    def _observe_one(self, event: EngineEvent, now_seconds: float) -> None:
        trace = self.traces[event.request]
        policy = self._daemons[trace.daemon].policy
        match event.kind:
            case EngineEventKind.FIRST_TOKEN:
                self._first_token(trace, event, now_seconds)
                policy.first_token(event.request, now_seconds, event.cached_tokens)
            case EngineEventKind.FINISHED:
                self._end(trace, Fate.SERVED, now_seconds)
                outcomes = policy.finish(
                    event.request, now_seconds, FinishKind.COMPLETE
                )
                self._apply(outcomes, now_seconds)
            case EngineEventKind.LOST:
                self._push(now_seconds + DETECT_LOSS_SECONDS, Kind.RETRY, trace)

    def _first_token(
        self, trace: Trace, event: EngineEvent, now_seconds: float
    ) -> None:
        work = trace.work
        if trace.waited_seconds is None:
            trace.waited_seconds = now_seconds - work.arrived_seconds
        trace.cached_tokens = event.cached_tokens
        start = 0
        for level in work.levels:
            if level.end_tokens > event.cached_tokens + 1:
                if level.digest in self._computed:
                    trace.recomputed_tokens += level.end_tokens - start
                self._computed.add(level.digest)
            start = level.end_tokens

    def _leave(self, trace: Trace, now_seconds: float) -> None:
        if trace.fate is not None or trace.waited_seconds is not None:
            return
        self._end(trace, Fate.LEFT, now_seconds)
        request = trace.work.request
        policy = self._daemons[trace.daemon].policy
        if trace.target is None:
            self._apply(policy.cancel(request, now_seconds), now_seconds)
            return
        events = self.engines[trace.target].cancel(request, now_seconds)
        self._observe(trace.target, events, now_seconds)
        outcomes = policy.finish(request, now_seconds, FinishKind.CANCELLED)
        self._apply(outcomes, now_seconds)

    def _retry(self, trace: Trace, now_seconds: float) -> None:
        request = trace.work.request
        policy = self._daemons[trace.daemon].policy
        lost_on = trace.target
        outcomes = policy.finish(request, now_seconds, FinishKind.TARGET_LOST)
        self._apply(outcomes, now_seconds)
        if trace.fate is not None or lost_on is None:
            return
        if trace.n_targets >= MAX_TRIES:
            self._end(trace, Fate.FAILED, now_seconds)
            return
        trace.target = None
        trace.work = replace(trace.work, excluded=trace.work.excluded | {lost_on})
        self._apply(policy.retry(trace.work, now_seconds), now_seconds)

    def _crash(self, target: TargetId, now_seconds: float) -> None:
        events = self.engines[target].crash(now_seconds)
        self._states[target] = TargetState.GONE
        self._wakes.pop(target, None)
        self._observe(target, events, now_seconds)
        self._call_at(now_seconds + NOTICE_SECONDS, self._announce)
        back_seconds = now_seconds + RETURN_SECONDS
        self._call_at(back_seconds, partial(self._come_back, target))

    def _come_back(self, target: TargetId, now_seconds: float) -> None:
        self._states[target] = TargetState.SERVING
        self._call_at(now_seconds + NOTICE_SECONDS, self._announce)

    def _announce(self, now_seconds: float) -> None:
        for daemon in self._daemons:
            outcomes = daemon.policy.replace_targets(self._views(), now_seconds)
            self._apply(outcomes, now_seconds)

    def _slow(self, target: TargetId, slowness: float, now_seconds: float) -> None:
        events = self.engines[target].slow_down(slowness, now_seconds)
        self._observe(target, events, now_seconds)

    def _restart(self, index: int, now_seconds: float) -> None:
        """Start a daemon anew, empty; what waited there arrives again.

        Requests in flight run on: the old process drains them.
        """
        daemon = self._make_daemon(index)
        self._daemons[index] = daemon
        daemon.policy.replace_targets(self._views(), now_seconds)
        for trace in list(self.traces.values()):
            is_waiting = trace.fate is None and trace.target is None
            if trace.daemon == index and is_waiting:
                self._apply(daemon.policy.arrive(trace.work, now_seconds), now_seconds)

    def _poll_load(self, daemon: _Daemon, now_seconds: float) -> None:
        for target, engine in self.engines.items():
            report = engine.load_report(now_seconds)
            if report is None or self._states[target] is TargetState.GONE:
                continue
            daemon.policy.observe_load(
                LoadReport(
                    target=target,
                    incarnation=report.incarnation,
                    measured_seconds=report.measured_seconds,
                    n_running=report.n_running,
                    n_queued=report.n_queued,
                    queued_prompt_tokens=report.queued_prompt_tokens,
                    cached_tokens=report.cached_tokens,
                ),
                now_seconds,
            )

    def _poll_events(self, daemon: _Daemon, now_seconds: float) -> None:
        for target, engine in self.engines.items():
            boot, after = daemon.sequences.get(target, (engine.incarnation, 0))
            if boot != engine.incarnation:
                after = 0
            events = engine.cache_events(after, now_seconds)
            if events:
                after = events[-1].sequence
            daemon.sequences[target] = (engine.incarnation, after)
            daemon.policy.observe_cache_events(
                target, engine.incarnation, tuple(events), now_seconds
            )
