"""Roll out the weights that operators named to all targets, from one daemon.

Only the holder of the duty's lease may send orders. For each target, the whole fleet
first stops sending it new work; then it is ordered to load, and polled until the
weights are in place. An order names the number of orders that its target must have
accepted before it, so an order that arrives late has no effect.
"""

import asyncio
import math
from collections.abc import Callable, Mapping, Sequence
from functools import partial

import structlog
from returns.result import Failure, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, ModelId, TargetGroupId, TargetId
from lycheepost.core.routing import ListedTarget
from lycheepost.core.starts import TargetStart
from lycheepost.decide.peerloads import NO_LOAD, DaemonLoad
from lycheepost.decide.rollout import (
    MAX_DRAIN_SECONDS,
    TargetWeights,
    WeightsOrder,
    is_due,
    next_orders,
    old_share,
)
from lycheepost.generated.messages import TargetsChanging
from lycheepost.operators.rolloutpacer import FleetLoad, RolloutPacer, old_for_seconds
from lycheepost.operators.weightsupdates import WeightsUpdates
from lycheepost.state.leases import Lease
from lycheepost.state.namedweights import weights_number
from lycheepost.state.targetlist import (
    WEIGHTS_CHANGE_TIMEOUT_SECONDS,
    TargetList,
    WeightsChange,
)
from lycheepost.targets.weightsport import (
    LoadWeights,
    OrderAnswer,
    RunningRequestPolicy,
    TargetReport,
    WeightsPort,
)
from lycheepost.utils.tasks import start_task

TICK_SECONDS = 0.1
"""Interval between checks for due changes; one that finds none costs a comparison."""

DRAIN_POLL_SECONDS = 0.03
"""Interval between reads of how many requests a draining target still runs: as often
as daemons exchange their load."""

LOAD_POLL_SECONDS = 0.06
"""Interval between polls for the new weights. A loaded target stays unused for at most
this long while other targets wait for their turn."""

FIRST_POLL_SHARE = 0.85
"""Share of the recent mean load time after which the first poll is sent. Earlier polls
would find the load unfinished, and each costs the target a call."""

LOAD_TIME_GAIN = 0.3
"""Weight of one change in the mean load time, which varies with the number of
concurrent changes."""

LOAD_TIMEOUT_SECONDS = 5.0
"""After this time an unfinished load is given up and the target is considered again."""

ORDER_VISIBLE_SECONDS = 0.6
"""An accepted order shows in the target's reports within this time."""

RESTART_POLL_DELAYS_SECONDS = (1.0, 2.0, 3.0, 6.0)
"""Delays between polls of a restarted target. An order from before the restart may be
executed up to twelve seconds late and load older weights; if no request goes to the
target, only these polls reveal it."""

RETRY_DELAY_SECONDS = 0.4
"""Delay before a target that did not accept an order is ordered again."""

_log = structlog.get_logger(part="weights")

CurrentLease = Callable[[], Lease]


class WeightsRollout:
    """Executes the weights rollout while the duty's lease is held.

    Args:
        port: Reads reports of targets and sends orders to them.
        targets: The targets and what is known of their weights.
        clock: The clock of the leases.
        daemon: Named in orders as their holder.
        groups_of: Returns the target groups that serve a model.
        notify_peers: Sends a message about changes to the peers.
        load: The load of all daemons.
        pacer: Chooses how many targets change at the same time.
        max_drain_seconds: How long running requests may delay a target's order.
    """

    def __init__(
        self,
        port: WeightsPort,
        targets: TargetList,
        clock: Clock,
        daemon: DaemonId,
        groups_of: Callable[[ModelId], tuple[TargetGroupId, ...]],
        notify_peers: Callable[[TargetsChanging], None],
        load: FleetLoad,
        pacer: RolloutPacer,
        max_drain_seconds: float = MAX_DRAIN_SECONDS,
    ) -> None:
        self._max_drain_seconds = max_drain_seconds
        self._load = load
        self._pacer = pacer
        self._port = port
        self._targets = targets
        self._clock = clock
        self._daemon = daemon
        self._groups_of = groups_of
        self._updates = WeightsUpdates(targets, notify_peers)
        self._wanted: dict[ModelId, int] = {}
        self._changes: dict[TargetId, asyncio.Task[None]] = {}
        self._started_ms: dict[TargetId, int] = {}
        self._restart_checks: set[asyncio.Task[None]] = set()
        self._current: CurrentLease | None = None
        self._mean_load_seconds = 0.0
        self._last_order_seconds = -math.inf
        self._task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()

    async def start(self) -> None:
        """Start checking for due changes."""
        self._task = start_task(self._run(), "weights")

    async def drain(self) -> None:
        """Begin no further changes. Orders that were already accepted complete."""
        await self.stop()

    async def stop(self) -> None:
        """Stop; orders that were already accepted are still executed by the targets."""
        tasks = [*self._changes.values(), *self._restart_checks]
        tasks += [] if self._task is None else [self._task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def status(self) -> dict[str, object]:
        """Return wanted versions and changes in progress, for the status page."""
        return {
            "wanted": dict(self._wanted),
            "changing": sorted(self._changes),
            "pace": self._pacer.status(),
            "may_order": self._may_order(),
        }

    def want(self, model: ModelId, version: int) -> None:
        """Set the version that an operator named; older versions are ignored."""
        if version > self._wanted.get(model, 0):
            _log.info("weights: version named", model=model, version=version)
            self._wanted[model] = version
            self._wake.set()

    async def work(self, current: CurrentLease) -> None:
        """Use the lease that the duty currently holds; called repeatedly."""
        self._current = current
        self._wake.set()

    def last_order_seconds(self) -> float:
        """Return the time of the last order; minus infinity before the first."""
        return self._last_order_seconds

    def _may_order(self) -> bool:
        """Return whether the lease allows an order now; checked at each send."""
        if self._current is None:
            return False
        try:
            return self._current().is_held(self._clock.now_seconds())
        except RuntimeError:
            # The duty has lost its lease since the last call of ``work``.
            return False

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            if self._may_order():
                for model, version in self._wanted.items():
                    self._begin_changes(model, version)
            else:
                self._pacer.reset()
            # Nearly all daemons never hold the lease; ``work`` wakes those that do.
            timeout_seconds = None if self._current is None else TICK_SECONDS
            try:
                async with asyncio.timeout(timeout_seconds):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _begin_changes(self, model: ModelId, wanted: int) -> None:
        """Start the changes of one model that are due."""
        by_name = {target.target: target for target in self._targets_of(model)}
        for target in by_name.values():
            self._note_start(target, model)
        has_old = any(
            weights_number(target.weights.get(model)) < wanted
            for target in by_name.values()
        )
        if not has_old:
            self._pacer.finish(model)
            return
        listed = tuple(by_name.values())
        totals = self._load.totals()
        weights = self._all_weights(model, listed, totals)
        pace = self._pacer.choose(model, wanted, listed, weights, totals)
        for order in next_orders(model, wanted, weights, pace):
            self._pacer.begin_change(order.target)
            change = asyncio.create_task(self._change(by_name[order.target], order))
            self._changes[order.target] = change
            change.add_done_callback(partial(self._end_change, order.target))

    def _note_start(self, target: ListedTarget, model: ModelId) -> None:
        """Start polling a target that has restarted since it was last seen."""
        if target.started_ms is None:
            return
        before_ms = self._started_ms.get(target.target)
        self._started_ms[target.target] = target.started_ms
        if before_ms is None or before_ms == target.started_ms:
            return
        check = start_task(self._check_restarted(target, model), "weights-restarted")
        self._restart_checks.add(check)
        check.add_done_callback(self._restart_checks.discard)

    async def _check_restarted(self, target: ListedTarget, model: ModelId) -> None:
        """Poll a target's weights repeatedly while a late order may still arrive."""
        for pause_seconds in RESTART_POLL_DELAYS_SECONDS:
            await asyncio.sleep(pause_seconds)
            if not self._may_order() or self._targets.get(target.target) is None:
                return
            match await self._port.read_report(target):
                case Success(report):
                    version = report.weights.get(model)
                    if version is not None and not report.is_changing:
                        self._targets.note_weights(target.target, model, version)
                case Failure(error):
                    _log.info(
                        "weights: no report", target=target.target, reason=error.reason
                    )

    def _targets_of(self, model: ModelId) -> list[ListedTarget]:
        """Return the targets of a model that get requests or will get them.

        Leaving targets get none, so loading weights there would be useless.
        """
        return [
            target
            for group in self._groups_of(model)
            for target in self._targets.listed(group)
            if not target.is_leaving
        ]

    def _old_share(self, order: WeightsOrder) -> float:
        """Return the share of a model's targets that serve older weights."""
        targets = self._targets_of(order.model)
        return old_share(
            weights_number(order.version), self._all_weights(order.model, targets, {})
        )

    def _all_weights(
        self,
        model: ModelId,
        targets: Sequence[ListedTarget],
        totals: Mapping[TargetId, DaemonLoad],
    ) -> list[TargetWeights]:
        """Return the weights of targets, with their load where it is given."""
        versions = self._targets.named_weights().get(model, ())
        now_seconds = self._clock.now_seconds()
        found: list[TargetWeights] = []
        for target in targets:
            number = weights_number(target.weights.get(model))
            found.append(
                TargetWeights(
                    target=target.target,
                    version=number,
                    n_running=totals.get(target.target, NO_LOAD).n_running,
                    is_changing=target.target in self._changes,
                    availability_zone=target.availability_zone,
                    old_for_seconds=old_for_seconds(versions, number, now_seconds),
                )
            )
        return found

    def _end_change(self, target: TargetId, change: asyncio.Task[None]) -> None:
        self._changes.pop(target, None)
        self._pacer.end_change(target, is_done=False)
        self._wake.set()
        error = None if change.cancelled() else change.exception()
        if error is not None:
            _log.error("weights: change failed", target=target, reason=repr(error))

    async def _change(self, target: ListedTarget, order: WeightsOrder) -> None:
        """Change the weights of one target; on failure it keeps its weights."""
        self._announce(target.start, order, is_done=False)
        await self._wait_drained(order)
        is_done = await self._order(target, order)
        if is_done:
            is_done = await self._wait_loaded(target, order)
        self._announce(target.start, order, is_done=True)
        self._pacer.end_change(order.target, is_done)
        if not is_done:
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _wait_drained(self, order: WeightsOrder) -> None:
        """Wait until a target is drained enough for its order."""
        began_seconds = self._clock.now_seconds()
        drained_seconds = 0.0
        while not is_due(
            drained_seconds,
            self._load.count_running(order.target),
            self._old_share(order),
            self._max_drain_seconds,
        ):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            drained_seconds = self._clock.now_seconds() - began_seconds

    def _announce(self, start: TargetStart, order: WeightsOrder, is_done: bool) -> None:
        """Stop or resume new work for a target, at this daemon and its peers."""
        version = (
            self._targets.weights_of(order.target, order.model) if is_done else None
        )
        for_seconds = 0.0 if is_done else WEIGHTS_CHANGE_TIMEOUT_SECONDS
        self._updates.publish(WeightsChange(start, order.model, version, for_seconds))

    async def _order(self, target: ListedTarget, order: WeightsOrder) -> bool:
        """Send the order; return whether to wait for the weights to load."""
        match await self._port.read_report(target):
            case Success(report):
                self._note_report(order, report)
            case Failure(error):
                _log.info(
                    "weights: no report", target=order.target, reason=error.reason
                )
                return False
        if self._has_restarted(target, report):
            return False
        if report.is_changing or self._is_loaded(order):
            return True
        if not self._may_order() or self._current is None:
            _log.info("weights: lease lost before the order", target=order.target)
            return False
        lease = self._current()
        self._last_order_seconds = self._clock.now_seconds()
        answer = await self._port.order(
            target,
            LoadWeights(
                model=order.model,
                version=order.version,
                runs=RunningRequestPolicy.CONTINUE,
                holder=self._daemon,
                fencing_number=lease.fencing_number,
                expected_orders=report.n_orders,
            ),
        )
        _log.info(
            "weights: order sent",
            target=order.target,
            version=order.version,
            fencing_number=lease.fencing_number,
            expected_orders=report.n_orders,
            n_running=report.n_running,
            answer=str(answer),
        )
        match answer:
            case Success(outcome):
                return outcome in (OrderAnswer.ACCEPTED, OrderAnswer.ALREADY)
            case Failure(_):
                # The order may have been accepted; the target's reports show whether it
                # was.
                return True
        raise AssertionError("a result is a success or a failure")

    def _has_restarted(self, target: ListedTarget, report: TargetReport) -> bool:
        """Return whether a target has restarted since its change began.

        A restart resets its count of orders and restores its previous weights: the
        current change ends, and the next check begins another if one is due.
        """
        start = TargetStart(target.target, report.started_ms)
        if not start.is_newer_than(target.start):
            return False
        if target.started_ms is None:
            # The target registered before it reported its start time.
            return False
        _log.info(
            "weights: target restarted",
            target=target.target,
            started_ms=report.started_ms,
        )
        return True

    def _note_report(self, order: WeightsOrder, report: TargetReport) -> None:
        self._targets.note_start(TargetStart(order.target, report.started_ms))
        version = report.weights.get(order.model)
        if version is not None and not report.is_changing:
            self._targets.note_weights(order.target, order.model, version)

    def _is_loaded(self, order: WeightsOrder) -> bool:
        known = self._targets.weights_of(order.target, order.model)
        return weights_number(known) >= weights_number(order.version)

    def _note_load_time(self, elapsed_seconds: float) -> None:
        """Update the mean time from an order until a report shows the weights."""
        gain = LOAD_TIME_GAIN if self._mean_load_seconds else 1.0
        self._mean_load_seconds += gain * (elapsed_seconds - self._mean_load_seconds)

    async def _wait_loaded(self, target: ListedTarget, order: WeightsOrder) -> bool:
        """Poll until the weights are in place; return False on a time-out."""
        ordered_seconds = self._clock.now_seconds()
        elapsed_seconds = 0.0
        pause_seconds = max(
            LOAD_POLL_SECONDS, FIRST_POLL_SHARE * self._mean_load_seconds
        )
        while elapsed_seconds < LOAD_TIMEOUT_SECONDS:
            await asyncio.sleep(pause_seconds)
            pause_seconds = LOAD_POLL_SECONDS
            elapsed_seconds = self._clock.now_seconds() - ordered_seconds
            match await self._port.read_report(target):
                case Success(report):
                    self._note_report(order, report)
                    if self._has_restarted(target, report):
                        return False
                    if self._is_loaded(order):
                        self._note_load_time(elapsed_seconds)
                        return True
                    if (
                        not report.is_changing
                        and elapsed_seconds > ORDER_VISIBLE_SECONDS
                    ):
                        return False
                case Failure(error):
                    _log.info(
                        "weights: no report", target=order.target, reason=error.reason
                    )
                    return False
        return False
