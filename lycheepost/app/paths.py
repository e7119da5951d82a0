"""Watches this daemon's own paths to the targets by probes."""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

import structlog

from lycheepost.app.pathquestions import OnQuestion, OnReached, Reply
from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, TargetGroupId, TargetId
from lycheepost.decide.ownpaths import (
    MAX_PROBE_LAG_SECONDS,
    MIN_PROBED_TARGETS,
    OwnPaths,
    PathState,
    ProbeEnd,
    may_be_silent,
)
from lycheepost.decide.silence import QUIET_SECONDS, TIMER_SLACK_SECONDS
from lycheepost.decide.startverdict import ProbedReach, ReachEvidence, judge_reach
from lycheepost.utils.metrics import Metrics
from lycheepost.utils.tasks import start_task

PROBE_TIMEOUT_SECONDS = 0.25
"""A response normally takes a few milliseconds. With a longer time-out the requests
that wait for the verdict could no longer be served in time through a peer."""

ASK_SECONDS = 0.15
"""A probe without a response asks the peers after this time. If one hears from a target
by then, the rest of the time-out is enough for a response to this daemon."""

ANSWER_PROBE_INTERVAL_SECONDS = 0.25
"""Minimum time between probes of a group that answer questions of peers."""

_log = structlog.get_logger(part="paths")


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """A target that may be probed.

    Attributes:
        health_path: Path of its health check.
    """

    target: TargetId
    address: str
    health_path: str


class Prober(Protocol):
    """Asks a target for any response over a new connection."""

    async def probe(self, address: str, path: str) -> ProbeEnd:
        """Return whether a target responds within ``PROBE_TIMEOUT_SECONDS``."""
        ...


class PeerReach(Protocol):
    """What peers hear from the targets of a group."""

    def connect(self, on_question: OnQuestion, on_reached: OnReached) -> None:
        """Set what questions of peers and their answers lead to."""
        ...

    def ask(self, target_group: TargetGroupId, probed_ago_seconds: float) -> None:
        """Ask peers whether they have heard from a target since a probe began."""
        ...

    def forget(self, target_group: TargetGroupId) -> None:
        """Drop the last question about a group."""
        ...

    def answers(self, target_group: TargetGroupId) -> Mapping[DaemonId, bool]:
        """Return the answers to the last question about a group."""
        ...


OnPathChange = Callable[[TargetGroupId, bool], None]


class PathWatch:
    """Probes targets once connections to them fail, and keeps the verdict by group.

    Args:
        prober: Sends the probes.
        clock: The clock of the daemon.
        metrics: Receives the gauge.
        rng: Draws the probed targets.
        get_targets: Returns the targets of a group that may be probed.
        get_quiet_seconds: Returns for how long no target of a group has sent anything.
        peers: Asks peers what they hear.
    """

    def __init__(
        self,
        prober: Prober,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        get_targets: Callable[[TargetGroupId], list[ProbeTarget]],
        get_quiet_seconds: Callable[[TargetGroupId], float],
        peers: PeerReach,
    ) -> None:
        self._prober = prober
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._get_targets = get_targets
        self._get_quiet_seconds = get_quiet_seconds
        self._paths: dict[TargetGroupId, OwnPaths] = {}
        self._probes: dict[TargetGroupId, asyncio.Task[None]] = {}
        self._peers = peers
        self._askers: dict[TargetGroupId, dict[DaemonId, Reply]] = {}
        self._answering: dict[TargetGroupId, asyncio.Task[None]] = {}
        self._on_change: list[OnPathChange] = []
        self._is_stopped = False
        self.n_probes = 0
        self.n_answer_probes = 0
        peers.connect(self._receive_question, self._note_heard_elsewhere)

    async def start(self) -> None:
        """Report that the paths work, until a probe shows otherwise."""
        self._set_gauges()

    async def drain(self) -> None:
        """Do nothing: requests in flight still depend on the paths."""

    async def stop(self) -> None:
        """Stop probing."""
        self._is_stopped = True
        for task in (*self._probes.values(), *self._answering.values()):
            task.cancel()

    def status(self) -> dict[str, object]:
        """Return the state of the paths to each group, and the evidence against it."""
        return {
            "n_probes": self.n_probes,
            "n_answer_probes": self.n_answer_probes,
            "groups": {
                str(name): {
                    "state": paths.state.value,
                    "failed_targets": sorted(paths.failed),
                    "peers_hear": dict(self._peers.answers(name)),
                }
                for name, paths in self._paths.items()
            },
        }

    def on_change(self, callback: OnPathChange) -> None:
        """Call ``callback`` with a group and whether its paths are lost, on changes."""
        self._on_change.append(callback)

    def are_lost(self, target_group: TargetGroupId) -> bool:
        """Return whether this daemon reaches no target of a group."""
        paths = self._paths.get(target_group)
        return paths is not None and paths.are_lost

    def is_silent(self, target_group: TargetGroupId) -> bool:
        """Return whether all targets of a group are silent and may be sound."""
        paths = self._paths.get(target_group)
        return paths is not None and paths.is_silent(self._clock.now_seconds())

    def lost_groups(self) -> frozenset[TargetGroupId]:
        """Return the groups of which this daemon reaches no target."""
        return frozenset(name for name, item in self._paths.items() if item.are_lost)

    def note_answered(self, target_group: TargetGroupId) -> None:
        """Record that a target has responded over a new connection."""
        if target_group in self._paths:
            self._paths[target_group].note_answered()

    def note_failed(self, target_group: TargetGroupId, target: TargetId) -> None:
        """Record that a new connection to a target failed, or got no response.

        A probe follows.
        """
        now_seconds = self._clock.now_seconds()
        self._of(target_group).note_failed(target, now_seconds)
        self._probe_if_due(target_group)

    def note_quiet(self, target_group: TargetGroupId) -> None:
        """Probe if no target of a group has sent anything for a while."""
        if self.is_quiet(target_group):
            self._probe_if_due(target_group)

    def is_quiet(self, target_group: TargetGroupId) -> bool:
        """Return whether no target of a group has sent anything for a while."""
        return self._get_quiet_seconds(target_group) >= QUIET_SECONDS

    async def verify(
        self, target_group: TargetGroupId, target: TargetId
    ) -> ReachEvidence:
        """Return whether a target, or only others of its group, are reached now.

        A target that may not be probed counts as not reached.
        """
        started_seconds = self._clock.now_seconds()
        if target_group not in self._probes:
            self._start_probe(target_group)
        is_reached, _ = await asyncio.gather(
            self._probe_one(target_group, target),
            self.settle(target_group),
        )
        others = self._of(target_group).reached - {target}
        probed = ProbedReach(is_reached, bool(others), self._is_late(started_seconds))
        return judge_reach(probed)

    async def is_answered(self, target_group: TargetGroupId, target: TargetId) -> bool:
        """Return whether a target answers a probe; False if it may not be probed."""
        return await self._probe_one(target_group, target)

    async def _probe_one(self, target_group: TargetGroupId, target: TargetId) -> bool:
        for item in self._get_targets(target_group):
            if item.target == target:
                end = await self._prober.probe(item.address, item.health_path)
                return end is ProbeEnd.ANSWERED
        return False

    async def settle(self, target_group: TargetGroupId) -> None:
        """Wait for the verdict of a probe that is under way."""
        probe = self._probes.get(target_group)
        if probe is not None:
            await asyncio.wait({probe})

    def _of(self, target_group: TargetGroupId) -> OwnPaths:
        return self._paths.setdefault(target_group, OwnPaths())

    def _probe_if_due(self, target_group: TargetGroupId) -> None:
        """Start a probe, unless one runs or the last one is too recent."""
        now_seconds = self._clock.now_seconds()
        if target_group in self._probes:
            return
        if not self._of(target_group).probe_wait_seconds(now_seconds):
            self._start_probe(target_group)

    def _start_probe(self, target_group: TargetGroupId) -> None:
        probe = start_task(self._probe(target_group), "path-probe")
        self._probes[target_group] = probe
        probe.add_done_callback(lambda _probe: self._end_probe(target_group))

    def _end_probe(self, target_group: TargetGroupId) -> None:
        """Schedule the next probe while no target is reached."""
        del self._probes[target_group]
        paths = self._of(target_group)
        if paths.is_probed_again and not self._is_stopped:
            loop = asyncio.get_running_loop()
            interval_seconds = paths.probe_interval_seconds
            loop.call_later(interval_seconds, self._probe_again, target_group)

    def _probe_again(self, target_group: TargetGroupId) -> None:
        """Probe unless it has been done meanwhile; nothing else ends a loss."""
        paths = self._of(target_group)
        is_due = target_group not in self._probes and paths.is_probed_again
        if is_due and not self._is_stopped:
            self._start_probe(target_group)

    def _note_heard_elsewhere(self, target_group: TargetGroupId) -> None:
        """Probe at once, as a peer hears from a group that counts as silent."""
        if self._of(target_group).state is PathState.GROUP_SILENT:
            self._probe_again(target_group)

    async def _probe(self, target_group: TargetGroupId) -> None:
        started_seconds = self._clock.now_seconds()
        self._peers.forget(target_group)
        chosen = self._choose_probed(target_group)
        ends: dict[TargetId, ProbeEnd] = {}
        probing = asyncio.create_task(self._probe_each(chosen, ends))
        is_group_heard = False
        try:
            await asyncio.wait({probing}, timeout=ASK_SECONDS)
            if not probing.done() and ProbeEnd.ANSWERED not in ends.values():
                is_group_heard = self._ask(target_group, started_seconds)
            await probing
        finally:
            probing.cancel()
        is_group_heard |= any(self._peers.answers(target_group).values())
        silent_from_seconds = (
            started_seconds if may_be_silent(ends, is_group_heard) else None
        )
        is_late = self._is_late(started_seconds)
        self._note_probe(target_group, ends, silent_from_seconds, is_late)

    def _choose_probed(self, target_group: TargetGroupId) -> list[ProbeTarget]:
        targets = {item.target: item for item in self._get_targets(target_group)}
        chosen = self._of(target_group).choose_probed(
            targets, self._clock.now_seconds(), self._rng
        )
        return [targets[target] for target in chosen]

    async def _probe_each(
        self, chosen: list[ProbeTarget], ends: dict[TargetId, ProbeEnd]
    ) -> None:
        """Probe targets at the same time, and record how each probe ends."""

        async def probe(item: ProbeTarget) -> None:
            ends[item.target] = await self._prober.probe(item.address, item.health_path)

        await asyncio.gather(*map(probe, chosen))

    def _ask(self, target_group: TargetGroupId, started_seconds: float) -> bool:
        """Ask the peers what they hear; return whether this daemon hears something.

        Its open connections may live on while new ones lead nowhere. Paths that are
        lost stay so whatever peers hear.
        """
        ago_seconds = self._clock.now_seconds() - started_seconds
        if self._has_heard(target_group, ago_seconds):
            return True
        n_targets = len(self._get_targets(target_group))
        if n_targets >= MIN_PROBED_TARGETS and not self.are_lost(target_group):
            self._peers.ask(target_group, ago_seconds)
        return False

    def _has_heard(self, target_group: TargetGroupId, ago_seconds: float) -> bool:
        """Return whether a target of a group has sent something within a time."""
        quiet_seconds = self._get_quiet_seconds(target_group)
        return quiet_seconds < ago_seconds - TIMER_SLACK_SECONDS

    def _receive_question(
        self,
        target_group: TargetGroupId,
        probed_ago_seconds: float,
        sender: DaemonId,
        reply: Reply,
    ) -> None:
        """Tell a peer whether a group has been heard since the peer's probe began.

        Without traffic of its own this daemon probes the group for it.
        """
        if self._has_heard(target_group, probed_ago_seconds):
            reply(True)
        elif self._is_stopped or not self._get_targets(target_group):
            reply(False)
        else:
            self._askers.setdefault(target_group, {})[sender] = reply
            if target_group not in self._answering:
                self._answering[target_group] = start_task(
                    self._answer(target_group), "path-answers"
                )

    async def _answer(self, target_group: TargetGroupId) -> None:
        """Probe a group for the peers that ask, until none does."""
        try:
            while askers := self._askers.pop(target_group, None):
                is_reached = await self._is_reached_now(target_group)
                for reply in askers.values():
                    reply(is_reached)
                _log.info(
                    "paths: peers answered",
                    group=target_group,
                    peers=sorted(askers),
                    is_reached=is_reached,
                )
                await asyncio.sleep(ANSWER_PROBE_INTERVAL_SECONDS)
        finally:
            del self._answering[target_group]

    async def _is_reached_now(self, target_group: TargetGroupId) -> bool:
        """Return whether a probe reaches a target, without a verdict on own paths."""
        if target_group in self._probes:
            await self.settle(target_group)
            return bool(self._of(target_group).reached)
        self.n_answer_probes += 1
        ends: dict[TargetId, ProbeEnd] = {}
        await self._probe_each(self._choose_probed(target_group), ends)
        return ProbeEnd.ANSWERED in ends.values()

    def _is_late(self, started_seconds: float) -> bool:
        """Return whether a probe lasted longer than its time-out allows."""
        lasted_seconds = self._clock.now_seconds() - started_seconds
        return lasted_seconds > PROBE_TIMEOUT_SECONDS + MAX_PROBE_LAG_SECONDS

    def _note_probe(
        self,
        target_group: TargetGroupId,
        ends: dict[TargetId, ProbeEnd],
        silent_from_seconds: float | None,
        is_late: bool,
    ) -> None:
        self.n_probes += 1
        paths = self._of(target_group)
        failed = sorted(paths.failed)
        reached = [target for target, end in ends.items() if end is ProbeEnd.ANSWERED]
        now_seconds = self._clock.now_seconds()
        before, since_seconds = paths.state, paths.since_seconds
        is_change = paths.note_probe(
            list(ends), reached, now_seconds, is_late, silent_from_seconds
        )
        _log.info(
            "paths: targets probed",
            group=target_group,
            ends=_names_of(ends),
            failed_targets=failed,
            is_late=is_late,
            may_be_silent=silent_from_seconds is not None,
            peers_hear=dict(self._peers.answers(target_group)),
            state=paths.state.value,
        )
        if is_change:
            _log_change(target_group, before, paths, now_seconds - since_seconds)
            self._set_gauges()
        if paths.are_lost != (before is PathState.REACHES_NONE):
            for callback in self._on_change:
                callback(target_group, paths.are_lost)

    def _set_gauges(self) -> None:
        self._metrics.gauge("groups_without_path", float(len(self.lost_groups())))
        states = [paths.state for paths in self._paths.values()]
        n_silent = states.count(PathState.GROUP_SILENT)
        self._metrics.gauge("groups_silent", float(n_silent))


def _log_change(
    target_group: TargetGroupId,
    before: PathState,
    paths: OwnPaths,
    lasted_seconds: float,
) -> None:
    match paths.state:
        case PathState.REACHES_NONE:
            _log.warning(
                "paths: no target is reached",
                group=target_group,
                failed_targets=sorted(paths.failed),
                was_silent=before is PathState.GROUP_SILENT,
            )
        case PathState.GROUP_SILENT:
            _log.warning("paths: all targets are silent", group=target_group)
        case PathState.REACHES_TARGETS:
            _log.info(
                "paths: restored",
                group=target_group,
                was_silent=before is PathState.GROUP_SILENT,
                lasted_seconds=round(lasted_seconds, 3),
            )


def _names_of(ends: Mapping[TargetId, ProbeEnd]) -> dict[str, str]:
    return {str(target): end.value for target, end in ends.items()}
