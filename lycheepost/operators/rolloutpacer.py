"""Applies the pace of a weights rollout to what all daemons report of their load."""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import structlog

from lycheepost.core.clock import Clock
from lycheepost.core.ids import ModelId, TargetGroupId, TargetId
from lycheepost.core.routing import ListedTarget
from lycheepost.decide.peerloads import NO_LOAD, DaemonLoad
from lycheepost.decide.rollout import TargetWeights, max_changing
from lycheepost.decide.rolloutpace import (
    ChangeTime,
    GroupLoad,
    MeanGroupLoad,
    PaceReason,
    RolloutPace,
    RolloutSchedule,
    choose_pace,
    count_busy,
)
from lycheepost.state.namedweights import NamedVersion
from lycheepost.utils.metrics import Metrics

GAUGE = "weights_changes_allowed"

_log = structlog.get_logger(part="weights")


class FleetLoad(Protocol):
    """The load that all known daemons report."""

    def count_running(self, target: TargetId) -> int:
        """Return the number of requests of all daemons at a target."""
        ...

    def totals(self) -> Mapping[TargetId, DaemonLoad]:
        """Return the load of all daemons at each target that has any."""
        ...

    def has_peers(self) -> bool:
        """Return whether any peer has reported its load recently."""
        ...

    def waiting_share(self, group: TargetGroupId) -> float:
        """Return the share of all daemons where requests for a group wait."""
        ...


class RolloutPacer:
    """Chooses the pace of the rollout of each model, and reports its changes.

    Args:
        load: The load of all daemons.
        clock: The clock of the rollout.
        get_bound_seconds: Returns how long old weights may be served.
        metrics: Receives the gauge of the pace.
        is_off: Whether the mechanism is switched off.
    """

    def __init__(
        self,
        load: FleetLoad,
        clock: Clock,
        get_bound_seconds: Callable[[], float],
        metrics: Metrics,
        is_off: bool = False,
    ) -> None:
        self._load = load
        self._clock = clock
        self._get_bound_seconds = get_bound_seconds
        self._metrics = metrics
        self._is_off = is_off
        self._means: dict[ModelId, MeanGroupLoad] = {}
        self._paces: dict[ModelId, RolloutPace] = {}
        self._began_seconds: dict[TargetId, float] = {}
        self._change_time = ChangeTime()

    def begin_change(self, target: TargetId) -> None:
        """Record that a change begins."""
        self._began_seconds[target] = self._clock.now_seconds()

    def end_change(self, target: TargetId, is_done: bool) -> None:
        """Record that a change has ended; only successful ones are measured."""
        began_seconds = self._began_seconds.pop(target, None)
        if is_done and began_seconds is not None:
            self._change_time.observe(self._clock.now_seconds() - began_seconds)

    def choose(
        self,
        model: ModelId,
        wanted: int,
        listed: Sequence[ListedTarget],
        weights: Sequence[TargetWeights],
        totals: Mapping[TargetId, DaemonLoad],
    ) -> RolloutPace:
        """Return the current pace of a model's rollout.

        Args:
            model: The model.
            wanted: Number of the newest version.
            listed: All targets of the model.
            weights: Their weights.
            totals: The load of all daemons by target.
        """
        most = max_changing(len(weights))
        if self._is_off:
            return RolloutPace(most, PaceReason.SWITCHED_OFF)
        load = self._observe(model, listed, totals)
        now_seconds = self._clock.now_seconds()
        schedule = RolloutSchedule(
            n_targets=len(weights),
            n_changing=sum(item.is_changing for item in weights),
            old_for_seconds=tuple(
                item.old_for_seconds
                for item in weights
                if item.version < wanted and not item.is_changing
            ),
            bound_seconds=self._get_bound_seconds(),
            change_seconds=self._change_time.seconds(
                [now_seconds - began for began in self._began_seconds.values()]
            ),
        )
        pace = choose_pace(schedule, load, most)
        self._note(model, pace, schedule, load)
        return pace

    def finish(self, model: ModelId) -> None:
        """Record that no target of a model has old weights any more."""
        if self._paces.pop(model, None) is None:
            return
        self._means.pop(model, None)
        self._metrics.gauge(GAUGE, 0)

    def reset(self) -> None:
        """Forget the rollouts; called while another daemon holds the duty."""
        for model in list(self._paces):
            self.finish(model)

    def status(self) -> dict[str, object]:
        """Return the paces of the rollouts in progress, for the status page."""
        return {
            model: {"n_changing": pace.n_changing, "reason": pace.reason.value}
            for model, pace in self._paces.items()
        }

    def _observe(
        self,
        model: ModelId,
        listed: Sequence[ListedTarget],
        totals: Mapping[TargetId, DaemonLoad],
    ) -> GroupLoad | None:
        if not self._load.has_peers():
            return None
        n_busy = count_busy(
            (totals.get(item.target, NO_LOAD), item.slots) for item in listed
        )
        waiting_share = max(
            self._load.waiting_share(group)
            for group in {item.target_group for item in listed}
        )
        means = self._means.setdefault(model, MeanGroupLoad())
        return means.observe(
            GroupLoad(n_busy, waiting_share), self._clock.now_seconds()
        )

    def _note(
        self,
        model: ModelId,
        pace: RolloutPace,
        schedule: RolloutSchedule,
        load: GroupLoad | None,
    ) -> None:
        """Report a pace that differs from the previous one."""
        before = self._paces.get(model)
        self._paces[model] = pace
        if before == pace:
            return
        self._metrics.gauge(GAUGE, pace.n_changing)
        if before is not None and before.reason is pace.reason:
            return
        _log.info(
            "weights: pace",
            model=model,
            n_changing=pace.n_changing,
            reason=pace.reason.value,
            n_targets=schedule.n_targets,
            n_old=len(schedule.old_for_seconds),
            change_seconds=round(schedule.change_seconds, 3),
            n_busy=None if load is None else round(load.n_busy, 1),
            waiting_share=None if load is None else round(load.waiting_share, 2),
        )


def old_for_seconds(
    versions: Sequence[NamedVersion], version: int, now_seconds: float
) -> float:
    """Return how long a version may still be served; zero if that is unknown.

    Args:
        versions: The named versions of the model whose times are known, oldest first.
        version: Number of the version.
        now_seconds: The current time.
    """
    first = next((item for item in versions if item.version > version), None)
    if first is None or first.version != version + 1:
        # The time of the next version is not known, and it may have been long ago.
        return 0.0
    return max(0.0, first.old_until_seconds - now_seconds)
