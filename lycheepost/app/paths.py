"""Watches this daemon's own paths to the targets by probes."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import structlog

from lycheepost.core.clock import Clock
from lycheepost.core.ids import TargetGroupId, TargetId
from lycheepost.decide.ownpaths import (
    LOST_PROBE_INTERVAL_SECONDS,
    MAX_PROBE_LAG_SECONDS,
    OwnPaths,
)
from lycheepost.decide.silence import QUIET_SECONDS
from lycheepost.decide.startverdict import ProbedReach, ReachEvidence, judge_reach
from lycheepost.utils.metrics import Metrics
from lycheepost.utils.tasks import start_task

PROBE_TIMEOUT_SECONDS = 0.25
"""A response normally takes a few milliseconds. With a longer time-out the requests
that wait for the verdict could no longer be served in time through a peer."""

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

    async def is_answered(self, address: str, path: str) -> bool:
        """Return whether a target responds within ``PROBE_TIMEOUT_SECONDS``."""
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
    """

    def __init__(
        self,
        prober: Prober,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        get_targets: Callable[[TargetGroupId], list[ProbeTarget]],
        get_quiet_seconds: Callable[[TargetGroupId], float],
    ) -> None:
        self._prober = prober
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._get_targets = get_targets
        self._get_quiet_seconds = get_quiet_seconds
        self._paths: dict[TargetGroupId, OwnPaths] = {}
        self._probes: dict[TargetGroupId, asyncio.Task[None]] = {}
        self._on_change: list[OnPathChange] = []
        self._is_stopped = False
        self.n_probes = 0

    async def start(self) -> None:
        """Report that the paths work, until a probe shows otherwise."""
        self._set_gauge()

    async def drain(self) -> None:
        """Do nothing: requests in flight still depend on the paths."""

    async def stop(self) -> None:
        """Stop probing."""
        self._is_stopped = True
        for probe in list(self._probes.values()):
            probe.cancel()

    def status(self) -> dict[str, object]:
        """Return the state of the paths to each group, and the evidence against it."""
        return {
            "n_probes": self.n_probes,
            "groups": {
                str(name): {
                    "state": paths.state.value,
                    "failed_targets": sorted(paths.failed),
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

    async def _probe_one(self, target_group: TargetGroupId, target: TargetId) -> bool:
        for item in self._get_targets(target_group):
            if item.target == target:
                return await self._prober.is_answered(item.address, item.health_path)
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
        """Schedule the next probe while the paths are lost."""
        del self._probes[target_group]
        if self.are_lost(target_group) and not self._is_stopped:
            loop = asyncio.get_running_loop()
            loop.call_later(
                LOST_PROBE_INTERVAL_SECONDS, self._probe_again, target_group
            )

    def _probe_again(self, target_group: TargetGroupId) -> None:
        """Probe unless it has been done meanwhile; nothing else ends a loss."""
        is_due = target_group not in self._probes and self.are_lost(target_group)
        if is_due and not self._is_stopped:
            self._start_probe(target_group)

    async def _probe(self, target_group: TargetGroupId) -> None:
        targets = {item.target: item for item in self._get_targets(target_group)}
        started_seconds = self._clock.now_seconds()
        chosen = self._of(target_group).choose_probed(
            targets, started_seconds, self._rng
        )
        probed = [targets[target] for target in chosen]
        results = await asyncio.gather(
            *(
                self._prober.is_answered(item.address, item.health_path)
                for item in probed
            )
        )
        reached = [
            item.target
            for item, is_reached in zip(probed, results, strict=True)
            if is_reached
        ]
        is_late = self._is_late(started_seconds)
        self._note_probe(target_group, chosen, reached, is_late)

    def _is_late(self, started_seconds: float) -> bool:
        """Return whether a probe lasted longer than its time-out allows."""
        lasted_seconds = self._clock.now_seconds() - started_seconds
        return lasted_seconds > PROBE_TIMEOUT_SECONDS + MAX_PROBE_LAG_SECONDS

    def _note_probe(
        self,
        target_group: TargetGroupId,
        probed: list[TargetId],
        reached: list[TargetId],
        is_late: bool,
    ) -> None:
        self.n_probes += 1
        paths = self._of(target_group)
        failed = sorted(paths.failed)
        now_seconds = self._clock.now_seconds()
        lasted_seconds = now_seconds - paths.since_seconds
        is_change = paths.note_probe(probed, reached, now_seconds, is_late)
        _log.info(
            "paths: targets probed",
            group=target_group,
            probed=probed,
            reached=reached,
            failed_targets=failed,
            is_late=is_late,
        )
        if not is_change:
            return
        if paths.are_lost:
            _log.warning(
                "paths: no target is reached", group=target_group, failed_targets=failed
            )
        else:
            _log.info(
                "paths: restored",
                group=target_group,
                lost_for_seconds=round(lasted_seconds, 3),
            )
        self._set_gauge()
        for callback in self._on_change:
            callback(target_group, paths.are_lost)

    def _set_gauge(self) -> None:
        self._metrics.gauge("groups_without_path", float(len(self.lost_groups())))
