"""Execute capacity intents: one daemon at a time, under a lease.

Every daemon runs this component. Every few seconds the holder of the duty's lease reads
the configuration and the targets, commits the decisions of ``capacity`` as the next
revision, and sends the orders that earlier revisions recorded. A holder that is paused
beyond its lease does no harm: its commit fails because the head revision has changed;
it checks the lease at each send, by a clock that counts suspension; its fencing number
is outdated; and the next holder waits for the lease to expire, plus a margin longer
than an order may take, before it reads the state back and continues.
"""

import asyncio
import dataclasses
import random
from enum import Enum

import structlog
from returns.result import Success

from lycheepost.core.ids import Revision, TargetGroupId, TargetId
from lycheepost.generated.configuration import Configuration, Target
from lycheepost.generated.engine import EngineHealth, EngineHealthState, EngineOrder
from lycheepost.operators.capacity import decide_capacity
from lycheepost.operators.capacity_observer import CapacityObserver
from lycheepost.operators.capacity_ports import CapacityDeps
from lycheepost.operators.capacity_records import (
    CapacityAction,
    CapacityTiming,
    Observed,
    OrderAction,
    WarmAction,
)
from lycheepost.state.leases import Lease, LeaseTaken
from lycheepost.state.view import ConfigurationView
from lycheepost.utils.tasks import start_task

DUTY = "capacity"
_RETRY_JITTER_SECONDS = 1.0
"""Maximum random delay, so that daemons do not all try for the lease at once."""
_SETTLED_STATES = (EngineHealthState.SERVING, EngineHealthState.STANDBY)
_log = structlog.get_logger(part="capacity")


class TickResult(Enum):
    """Outcome of one tick."""

    NO_DUTY = "no_duty"
    READING_BACK = "reading_back"
    STEADY = "steady"
    RECORDED = "recorded"
    NOT_RECORDED = "not_recorded"


class CapacityRunner:
    """Executes capacity intents; see ``make_capacity_runner``.

    Args:
        deps: Its dependencies.
        seed: Seed of the random delay between daemons.
    """

    def __init__(self, deps: CapacityDeps, seed: int) -> None:
        self._deps = deps
        self._rng = random.Random(seed)
        self._observer = CapacityObserver(deps)
        self._lease: Lease | None = None
        self._is_refreshed = False
        self._next_attempt_seconds = float("-inf")
        self._fenced: set[tuple[TargetId, str]] = set()
        self._warmed: set[tuple[TargetId, str]] = set()
        self._imports: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None
        self._last_result = TickResult.NO_DUTY

    async def start(self) -> None:
        """Start the periodic ticks."""
        self._task = start_task(self._run(), "capacity")

    async def drain(self) -> None:
        """Stop the ticks; release the lease, so that another daemon need not wait."""
        await self._end_task()
        if self._lease is not None:
            await self._deps.leases.release(self._lease)
            self._lease = None

    async def stop(self) -> None:
        """Stop the ticks."""
        await self._end_task()

    def status(self) -> dict[str, object]:
        """Return whether this daemon has the duty, and its last tick's result."""
        lease = self._lease
        return {
            "has_duty": lease is not None,
            "fencing_number": 0 if lease is None else lease.fencing_number,
            "last_look": self._last_result.value,
        }

    async def tick(self) -> TickResult:
        """Do everything that is due now."""
        self._last_result = await self._tick()
        return self._last_result

    async def _tick(self) -> TickResult:
        if not await self._hold_lease():
            return TickResult.NO_DUTY
        if not self._is_refreshed and not await self._begin_duty():
            return TickResult.NO_DUTY
        view = self._deps.revisions.view
        configuration = view.configuration
        observed = await self._observer.observe(view)
        unfenced = await self._send_fencing_numbers(view, observed)
        observed |= {name: _without_answer(observed[name]) for name in unfenced}
        if not self._holds_lease():
            # The lease expired during a pause: the observations are outdated.
            return TickResult.NO_DUTY
        if not self._observer.has_read_back:
            return TickResult.READING_BACK
        decision = decide_capacity(
            configuration,
            observed,
            self._deps.clock.wall_seconds(),
            _make_timing(self._deps),
        )
        await self._act(configuration, decision.actions)
        if decision.configuration is None:
            return TickResult.STEADY
        return await self._record(configuration, decision.configuration)

    async def _hold_lease(self) -> bool:
        """Renew the lease or try to acquire it; return whether it is held."""
        now_seconds = self._deps.clock.now_seconds()
        lease = self._lease
        if lease is not None:
            renewed = await self._deps.leases.renew(lease)
            if isinstance(renewed, Success):
                self._lease = renewed.unwrap()
            elif not lease.is_held(self._deps.clock.now_seconds()):
                _log.info("capacity: duty lost", fencing_number=lease.fencing_number)
                self._lease = None
            return self._lease is not None
        if now_seconds < self._next_attempt_seconds or not self._deps.is_candidate():
            return False
        acquired = await self._deps.leases.acquire(DUTY)
        if isinstance(acquired, Success):
            self._lease = acquired.unwrap()
            self._is_refreshed = False
            return True
        error = acquired.failure()
        wait_seconds = self._deps.settings.capacity_tick_seconds
        if isinstance(error, LeaseTaken):
            wait_seconds = max(wait_seconds, error.retry_after_seconds)
        wait_seconds += self._rng.uniform(0.0, _RETRY_JITTER_SECONDS)
        self._next_attempt_seconds = now_seconds + wait_seconds
        return False

    async def _begin_duty(self) -> bool:
        """Read the revision of the previous holder; return whether that succeeded."""
        refreshed = await self._deps.revisions.refresh()
        if not isinstance(refreshed, Success):
            return False
        self._observer.reset(self._deps.revisions.view.configuration)
        self._fenced.clear()
        self._is_refreshed = True
        return True

    def _holds_lease(self) -> bool:
        lease = self._lease
        return lease is not None and lease.is_held(self._deps.clock.now_seconds())

    async def _record(self, basis: Configuration, changed: Configuration) -> TickResult:
        if not self._holds_lease():
            return TickResult.NO_DUTY
        committed = await self._deps.revisions.commit(Revision(basis.revision), changed)
        if isinstance(committed, Success):
            return TickResult.RECORDED
        # The head has changed or is unknown: the next tick must not decide on an old
        # revision.
        refreshed = await self._deps.revisions.refresh()
        self._is_refreshed = self._is_refreshed and isinstance(refreshed, Success)
        return TickResult.NOT_RECORDED

    async def _send_fencing_numbers(
        self, view: ConfigurationView, observed: dict[TargetId, Observed]
    ) -> set[TargetId]:
        """Send each target this holder's fencing number before anything else.

        A target refuses an old number only after it has received a newer one. An
        earlier holder that was paused during a send may resume at any time; its order
        must find the newer number already at the target. Targets without open intents
        get the number when they are read in turn.

        Returns:
            The targets that could not be sent the number. A late order may invalidate
            what they reported, so no decision is based on it.
        """
        unfenced = set()
        for name, answer in observed.items():
            target = view.targets[name]
            group = view.target_groups.get(TargetGroupId(target.target_group))
            checks_fencing = group is not None and group.checks_fencing
            if not checks_fencing or answer.health is None:
                continue
            if not await self._send_fencing_number(target, answer.health):
                unfenced.add(name)
        return unfenced

    async def _send_fencing_number(self, target: Target, health: EngineHealth) -> bool:
        name = TargetId(target.target)
        lease = self._lease
        # A target that restarted after a crash has lost the number.
        key = (name, health.boot_id)
        if lease is None:
            return False
        if key in self._fenced or health.fencing_number >= lease.fencing_number:
            return True
        if health.state not in _SETTLED_STATES:
            # An order would abort its load, and a loading target holds a slot anyway.
            return True
        unchanged_order = EngineOrder(
            order_id=f"stay-{name}-{lease.fencing_number}",
            fencing_number=lease.fencing_number,
            desired_version=health.desired_version,
            # The order names no weights and no role, so that it cannot start a load:
            # the target may have crashed since it was read, or the order may arrive
            # late.
            state=health.state,
        )
        is_sent = await self._send_order(target, unchanged_order)
        if is_sent:
            self._fenced.add(key)
        return is_sent

    async def _act(
        self, configuration: Configuration, actions: tuple[CapacityAction, ...]
    ) -> None:
        warming = {
            (action.target, action.weights_version)
            for action in actions
            if isinstance(action, WarmAction)
        }
        self._warmed &= warming
        for action in actions:
            match action:
                case OrderAction():
                    await self._send(configuration, action)
                case WarmAction():
                    self._begin_import(configuration, action)

    async def _send(self, configuration: Configuration, action: OrderAction) -> None:
        lease = self._lease
        target = _find_target(configuration, action.target)
        if target is None or lease is None:
            return
        order = EngineOrder(
            order_id=action.order_id,
            fencing_number=lease.fencing_number,
            desired_version=action.desired_version,
            state=action.state,
            model=action.model,
            weights_version=action.weights_version,
            role=action.role,
        )
        await self._send_order(target, order)

    async def _send_order(self, target: Target, order: EngineOrder) -> bool:
        """Send an order if the lease is still held; return whether it was answered."""
        if not self._holds_lease():
            return False
        sent = None
        try:
            async with asyncio.timeout(self._deps.settings.order_timeout_seconds):
                sent = await self._deps.orders.send(target, order)
        except TimeoutError:
            # Abandoned before the lease margin ends, so that the order cannot arrive
            # after the next holder has started.
            pass
        if sent is None or not isinstance(sent, Success):
            _log.info("capacity: order not answered", target=target.target)
            return False
        if sent.unwrap().fencing_number > order.fencing_number:
            # Another daemon holds a later lease: stop, whatever the local clock says.
            _log.warning(
                "capacity: another daemon holds a later lease", target=target.target
            )
            self._lease = None
        return True

    def _begin_import(self, configuration: Configuration, action: WarmAction) -> None:
        key = (action.target, action.weights_version)
        target = _find_target(configuration, action.target)
        if target is None or key in self._warmed:
            return
        self._warmed.add(key)
        # Imports take seconds: waiting for them would cost the lease.
        task = asyncio.create_task(self._import(target, action))
        self._imports.add(task)
        task.add_done_callback(self._imports.discard)

    async def _import(self, target: Target, action: WarmAction) -> None:
        if self._deps.warm is None:
            return
        warmed = await self._deps.warm.warm(
            target, action.model, action.weights_version
        )
        n_tokens = warmed.value_or(0)
        _log.info(
            "capacity: KV blocks imported", target=action.target, n_tokens=n_tokens
        )

    async def _run(self) -> None:
        while True:
            try:
                await self.tick()
            except Exception:
                # One failed tick must not end the loop: this daemon would keep the
                # lease and no intent would progress anywhere.
                _log.exception("capacity: tick failed")
            await asyncio.sleep(self._deps.settings.capacity_tick_seconds)

    async def _end_task(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        for task in self._imports:
            task.cancel()


def _without_answer(observed: Observed) -> Observed:
    return dataclasses.replace(observed, is_serving=False, health=None, n_running=None)


def _find_target(configuration: Configuration, name: TargetId) -> Target | None:
    return next((item for item in configuration.targets if item.target == name), None)


def _make_timing(deps: CapacityDeps) -> CapacityTiming:
    return CapacityTiming(
        drain_settle_seconds=deps.settings.drain_settle_seconds,
        load_timeout_seconds=deps.settings.load_timeout_seconds,
        warm_step_seconds=deps.settings.warm_step_seconds,
    )


def make_capacity_runner(deps: CapacityDeps, seed: int = 0) -> CapacityRunner:
    """Return the component that executes capacity intents under a lease."""
    return CapacityRunner(deps, seed)
