"""Watches this daemon's own paths to the targets by probes."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from lycheepost.core.clock import Clock
from lycheepost.core.ids import TargetGroupId, TargetId
from lycheepost.decide.ownpaths import PROBED_TARGETS, OwnPaths
from lycheepost.targets.network import TargetNetwork
from lycheepost.utils.metrics import Metrics
from lycheepost.utils.tasks import start_task

PROBE_TIMEOUT_SECONDS = 0.25
"""Connecting normally takes a few milliseconds. With a longer time-out the requests
that wait for the verdict could no longer be served in time through a peer."""

_log = structlog.get_logger(part="paths")


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """A target that a probe may connect to."""

    target: TargetId
    target_group: TargetGroupId
    address: str


class PathWatch:
    """Probes targets once connections to them fail, and keeps the verdict.

    Args:
        network: Opens the connections.
        clock: The clock of the daemon.
        metrics: Receives the gauge.
        rng: Draws the probed targets.
        get_targets: Returns the targets that may be probed.
    """

    def __init__(
        self,
        network: TargetNetwork,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        get_targets: Callable[[], list[ProbeTarget]],
    ) -> None:
        self._network = network
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._get_targets = get_targets
        self._paths = OwnPaths()
        self._probe: asyncio.Task[None] | None = None
        self._on_change: list[Callable[[bool], None]] = []
        self._task: asyncio.Task[None] | None = None
        self._is_wanted = asyncio.Event()
        self.n_probes = 0

    async def start(self) -> None:
        """Start probing when it is needed."""
        self._set_gauge()
        self._task = start_task(self._run(), "paths")

    async def drain(self) -> None:
        """Do nothing: requests in flight still depend on the paths."""

    async def stop(self) -> None:
        """Stop probing."""
        for task in (self._task, self._probe):
            if task is not None:
                task.cancel()

    def status(self) -> dict[str, object]:
        """Return the state of the paths, and the evidence against them."""
        return {
            "state": self._paths.state.value,
            "n_probes": self.n_probes,
            "failed_targets": sorted(self._paths.failed),
        }

    def on_change(self, callback: Callable[[bool], None]) -> None:
        """Call ``callback`` with whether the paths are lost, on each change."""
        self._on_change.append(callback)

    def are_lost(self) -> bool:
        """Return whether this daemon reaches no target."""
        return self._paths.are_lost

    def note_connected(self) -> None:
        """Record that a new connection to a target has opened."""
        self._paths.note_connected()

    def note_failed(self, target: TargetId) -> None:
        """Record that a new connection to a target failed; a probe follows."""
        self._paths.note_failed(target)
        self.suspect()

    def suspect(self) -> None:
        """Probe as soon as the interval of the probes allows."""
        now_seconds = self._clock.now_seconds()
        if self._probe is None and not self._paths.probe_wait_seconds(now_seconds):
            self._probe = start_task(self._run_probe(), "path-probe")
        self._is_wanted.set()

    async def settle(self) -> None:
        """Wait for the verdict of a probe that is under way."""
        if self._probe is not None:
            await asyncio.wait({self._probe})

    async def _run(self) -> None:
        while True:
            if not self._paths.are_lost:
                await self._is_wanted.wait()
                self._is_wanted.clear()
            now_seconds = self._clock.now_seconds()
            await asyncio.sleep(self._paths.probe_wait_seconds(now_seconds))
            if self._paths.are_lost or self._paths.failed:
                self.suspect()
            await self.settle()

    async def _run_probe(self) -> None:
        try:
            probed = self._draw()
            results = await asyncio.gather(
                *(
                    self._network.can_connect(item.address, PROBE_TIMEOUT_SECONDS)
                    for item in probed
                )
            )
            reached = [
                item.target
                for item, is_reached in zip(probed, results, strict=True)
                if is_reached
            ]
            self._note_probe(len(probed), reached)
        finally:
            self._probe = None

    def _draw(self) -> list[ProbeTarget]:
        """Return random targets, of as many groups as possible."""
        targets = list(self._get_targets())
        self._rng.shuffle(targets)
        seen: dict[TargetGroupId, int] = {}
        ranked: list[tuple[int, int, ProbeTarget]] = []
        for index, item in enumerate(targets):
            n_before = seen.get(item.target_group, 0)
            seen[item.target_group] = n_before + 1
            ranked.append((n_before, index, item))
        ranked.sort(key=lambda entry: entry[:2])
        return [item for _, _, item in ranked[:PROBED_TARGETS]]

    def _note_probe(self, n_probed: int, reached: list[TargetId]) -> None:
        self.n_probes += 1
        failed = sorted(self._paths.failed)
        now_seconds = self._clock.now_seconds()
        lasted_seconds = now_seconds - self._paths.since_seconds
        is_change = self._paths.note_probe(n_probed, reached, now_seconds)
        _log.info(
            "paths: targets probed",
            n_probed=n_probed,
            reached=reached,
            failed_targets=failed,
        )
        if not is_change:
            return
        are_lost = self._paths.are_lost
        if are_lost:
            _log.warning("paths: no target is reached", failed_targets=failed)
        else:
            _log.info("paths: restored", lost_for_seconds=round(lasted_seconds, 3))
        self._set_gauge()
        for callback in self._on_change:
            callback(are_lost)

    def _set_gauge(self) -> None:
        self._metrics.gauge("own_paths_lost", float(self._paths.are_lost))
