"""Bring the weights that operators named to all targets; one daemon at a time.

The duty's lease says who may order. Each target is first kept out of new work in
the whole fleet, then ordered, then asked until the weights are in place. An order
names the count of orders that its target must have accepted before it, so one that
arrives late changes nothing.
"""

import asyncio
import math
from collections.abc import Callable
from functools import partial

import structlog
from returns.result import Failure, Success

from lycheepost.core.clock import Clock
from lycheepost.core.ids import DaemonId, ModelId, TargetGroupId, TargetId
from lycheepost.core.routing import ListedTarget
from lycheepost.core.starts import TargetStart
from lycheepost.decide.rollout import (
    MAX_DRAIN_SECONDS,
    TargetWeights,
    WeightsOrder,
    is_due,
    next_orders,
    old_share,
)
from lycheepost.generated.messages import TargetsChanging
from lycheepost.operators.weightsnews import WeightsNews
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

PASS_SECONDS = 0.1
"""Between two looks at what is to be done, which cost nothing but a comparison."""

LOOK_SECONDS = 0.03
"""Between looks at what a target that is left alone still runs: as often as daemons
tell each other their load."""

ASK_SECONDS = 0.06
"""Between questions whether the weights are in place: so long a target stands still in
vain at most, and others wait for their turn."""

ASK_FIRST_SHARE = 0.85
"""Part of the time that changes have taken of late after which the first question is
put; earlier ones are answered with no, and each is a call that the target pays for."""

LOAD_GAIN = 0.3
"""Weight of one change in that time; it differs with how many change at once."""

LOAD_SECONDS = 5.0
"""A target that has not loaded by then is looked at anew."""

SHOWN_SECONDS = 0.6
"""By then a report shows an order that was taken."""

RESTART_LOOKS_SECONDS = (1.0, 2.0, 3.0, 6.0)
"""Pauses between looks at a target that has started again. An order to its earlier
start may be carried out up to twelve seconds late and put older weights in; where no
request goes to it, nobody else would notice."""

FAILED_PAUSE_SECONDS = 0.4
"""Before a target that did not take an order is asked again."""

_log = structlog.get_logger(part="weights")

CurrentLease = Callable[[], Lease]


class WeightsRollout:
    """Carries out the duty while its lease is held.

    Args:
        port: Reports of targets and orders to them.
        targets: The targets and what is known of their weights.
        clock: The clock of the leases.
        daemon: Named in orders as their holder.
        groups_of: Returns the target groups that serve a model.
        tell: Tells the peers of changes.
        count_running: Returns how many requests of all known daemons run at a target.
        most_alone_seconds: How long a target's runs may take to end before its order.
    """

    def __init__(
        self,
        port: WeightsPort,
        targets: TargetList,
        clock: Clock,
        daemon: DaemonId,
        groups_of: Callable[[ModelId], tuple[TargetGroupId, ...]],
        tell: Callable[[TargetsChanging], None],
        count_running: Callable[[TargetId], int],
        most_alone_seconds: float = MAX_DRAIN_SECONDS,
    ) -> None:
        self._most_alone_seconds = most_alone_seconds
        self._count_running = count_running
        self._port = port
        self._targets = targets
        self._clock = clock
        self._daemon = daemon
        self._groups_of = groups_of
        self._news = WeightsNews(targets, tell)
        self._wanted: dict[ModelId, int] = {}
        self._changes: dict[TargetId, asyncio.Task[None]] = {}
        self._started_ms: dict[TargetId, int] = {}
        self._looks: set[asyncio.Task[None]] = set()
        self._current: CurrentLease | None = None
        self._load_seconds = 0.0
        self._last_order_seconds = -math.inf
        self._task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()

    async def start(self) -> None:
        """Begin to look at what is to be done."""
        self._task = start_task(self._run(), "weights")

    async def drain(self) -> None:
        """Begin no further change, and let those under way end."""
        await self.stop()

    async def stop(self) -> None:
        """Stop; orders that were accepted are carried out all the same."""
        tasks = [*self._changes.values(), *self._looks]
        tasks += [] if self._task is None else [self._task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def status(self) -> dict[str, object]:
        """Return what is wanted and under way, for the status page."""
        return {
            "wanted": dict(self._wanted),
            "changing": sorted(self._changes),
            "may_order": self._may_order(),
        }

    def want(self, model: ModelId, version: int) -> None:
        """Take the newest version that an operator named; older ones are ignored."""
        if version > self._wanted.get(model, 0):
            _log.info("weights: named", model=model, version=version)
            self._wanted[model] = version
            self._wake.set()

    async def work(self, current: CurrentLease) -> None:
        """Take the lease that the duty holds now; called again and again."""
        self._current = current
        self._wake.set()

    def last_order_seconds(self) -> float:
        """Return when an order was last sent; minus infinity before the first."""
        return self._last_order_seconds

    def _may_order(self) -> bool:
        """Return whether the lease allows an order now; asked at each send."""
        if self._current is None:
            return False
        try:
            return self._current().is_held(self._clock.now_seconds())
        except RuntimeError:
            # The duty has lost its lease since it last called.
            return False

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            if self._may_order():
                for model, version in self._wanted.items():
                    self._begin(model, version)
            try:
                async with asyncio.timeout(PASS_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _begin(self, model: ModelId, wanted: int) -> None:
        """Begin the changes of one model that may begin now."""
        by_name = {target.target: target for target in self._listed(model)}
        for target in by_name.values():
            self._note_start(target, model)
        for order in next_orders(model, wanted, self._all_weights(model)):
            change = asyncio.create_task(self._change(by_name[order.target], order))
            self._changes[order.target] = change
            change.add_done_callback(partial(self._end_change, order.target))

    def _note_start(self, target: ListedTarget, model: ModelId) -> None:
        """Look after a target that has started again since it was last seen."""
        if target.started_ms is None:
            return
        before_ms = self._started_ms.get(target.target)
        self._started_ms[target.target] = target.started_ms
        if before_ms is None or before_ms == target.started_ms:
            return
        look = start_task(self._look_after(target, model), "weights-restarted")
        self._looks.add(look)
        look.add_done_callback(self._looks.discard)

    async def _look_after(self, target: ListedTarget, model: ModelId) -> None:
        """Ask a target for its weights, several times while a late order may come."""
        for pause_seconds in RESTART_LOOKS_SECONDS:
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

    def _listed(self, model: ModelId) -> list[ListedTarget]:
        """Return the targets of a model that get requests or will.

        A target that leaves gets none, so that a load would serve nobody.
        """
        return [
            target
            for group in self._groups_of(model)
            for target in self._targets.listed(group)
            if not target.is_leaving
        ]

    def _all_weights(self, model: ModelId) -> list[TargetWeights]:
        """Return what is known of the weights of a model's targets."""
        return [self._weights(target, model) for target in self._listed(model)]

    def _end_change(self, target: TargetId, change: asyncio.Task[None]) -> None:
        self._changes.pop(target, None)
        self._wake.set()
        error = None if change.cancelled() else change.exception()
        if error is not None:
            _log.error("weights: change failed", target=target, reason=repr(error))

    def _weights(self, target: ListedTarget, model: ModelId) -> TargetWeights:
        name = target.target
        return TargetWeights(
            target=name,
            version=weights_number(target.weights.get(model)),
            n_running=self._count_running(name),
            is_changing=name in self._changes,
        )

    async def _change(self, target: ListedTarget, order: WeightsOrder) -> None:
        """Change the weights of one target, or leave it as it is."""
        self._announce(target.start, order, is_done=False)
        await self._wait_alone(order)
        is_done = await self._order(target, order)
        if is_done:
            is_done = await self._wait_loaded(target, order)
        self._announce(target.start, order, is_done=True)
        if not is_done:
            await asyncio.sleep(FAILED_PAUSE_SECONDS)

    async def _wait_alone(self, order: WeightsOrder) -> None:
        """Wait until a target that gets no new work may be ordered."""
        began_seconds = self._clock.now_seconds()
        drained_seconds = 0.0
        while not is_due(
            drained_seconds,
            self._count_running(order.target),
            old_share(weights_number(order.version), self._all_weights(order.model)),
            self._most_alone_seconds,
        ):
            await asyncio.sleep(LOOK_SECONDS)
            drained_seconds = self._clock.now_seconds() - began_seconds

    def _announce(self, start: TargetStart, order: WeightsOrder, is_done: bool) -> None:
        """Keep new work off a target, or let it come, here and at the peers."""
        version = (
            self._targets.weights_of(order.target, order.model) if is_done else None
        )
        for_seconds = 0.0 if is_done else WEIGHTS_CHANGE_TIMEOUT_SECONDS
        self._news.tell(WeightsChange(start, order.model, version, for_seconds))

    async def _order(self, target: ListedTarget, order: WeightsOrder) -> bool:
        """Send the order; return whether to wait for the weights."""
        match await self._port.read_report(target):
            case Success(report):
                self._learn(order, report)
            case Failure(error):
                _log.info(
                    "weights: no report", target=order.target, reason=error.reason
                )
                return False
        if self._is_other_start(target, report):
            return False
        if report.is_changing or self._is_loaded(order):
            return True
        if not self._may_order() or self._current is None:
            _log.info("weights: lease gone before the order", target=order.target)
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
            "weights: ordered",
            target=order.target,
            version=order.version,
            fencing_number=lease.fencing_number,
            expected_orders=report.n_orders,
            n_running=report.n_running,
            answer=str(answer),
        )
        match answer:
            case Success(said):
                return said in (OrderAnswer.ACCEPTED, OrderAnswer.ALREADY)
            case Failure(_):
                # It may have been taken; the reports will tell.
                return True
        raise AssertionError("a result is a success or a failure")

    def _is_other_start(self, target: ListedTarget, report: TargetReport) -> bool:
        """Tell whether a target has started again since its change was begun.

        Its count of orders has begun anew and it holds the weights that it had: the
        change under way is over, and the next look at what is due begins another.
        """
        start = TargetStart(target.target, report.started_ms)
        if not start.is_newer_than(target.start):
            return False
        if target.started_ms is None:
            # It registered before it stated its start.
            return False
        _log.info(
            "weights: target started again",
            target=target.target,
            started_ms=report.started_ms,
        )
        return True

    def _learn(self, order: WeightsOrder, report: TargetReport) -> None:
        self._targets.note_start(TargetStart(order.target, report.started_ms))
        version = report.weights.get(order.model)
        if version is not None and not report.is_changing:
            self._targets.note_weights(order.target, order.model, version)

    def _is_loaded(self, order: WeightsOrder) -> bool:
        known = self._targets.weights_of(order.target, order.model)
        return weights_number(known) >= weights_number(order.version)

    def _learn_load(self, elapsed_seconds: float) -> None:
        """Learn how long a change takes until a report shows it."""
        gain = LOAD_GAIN if self._load_seconds else 1.0
        self._load_seconds += gain * (elapsed_seconds - self._load_seconds)

    async def _wait_loaded(self, target: ListedTarget, order: WeightsOrder) -> bool:
        """Ask until the weights are in place; False when that takes too long."""
        ordered_seconds = self._clock.now_seconds()
        elapsed_seconds = 0.0
        pause_seconds = max(ASK_SECONDS, ASK_FIRST_SHARE * self._load_seconds)
        while elapsed_seconds < LOAD_SECONDS:
            await asyncio.sleep(pause_seconds)
            pause_seconds = ASK_SECONDS
            elapsed_seconds = self._clock.now_seconds() - ordered_seconds
            match await self._port.read_report(target):
                case Success(report):
                    self._learn(order, report)
                    if self._is_other_start(target, report):
                        return False
                    if self._is_loaded(order):
                        self._learn_load(elapsed_seconds)
                        return True
                    if not report.is_changing and elapsed_seconds > SHOWN_SECONDS:
                        return False
                case Failure(error):
                    _log.info(
                        "weights: no report", target=order.target, reason=error.reason
                    )
                    return False
        return False
