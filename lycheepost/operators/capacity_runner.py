"""Carry out capacity intents: one daemon at a time, under a lease.

Every daemon runs this part; the one that holds the duty's lease looks at the
configuration and the targets every few seconds, records what ``capacity``
decides as the next revision, and sends the orders of what was recorded before.
A holder that is paused past its lease harms nothing: its commit fails since the
head has moved, it asks the lease at each send by a clock that counts
suspension, its fencing number is old, and the next holder waits out the lease
with a margin longer than an order may take, before it reads back and goes on.
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
"""Tries of several daemons for the duty do not fall together."""
_SETTLED_STATES = (EngineHealthState.SERVING, EngineHealthState.STANDBY)
_log = structlog.get_logger(part="capacity")


class TickResult(Enum):
    """What one look came to."""

    NO_DUTY = "no_duty"
    READING_BACK = "reading_back"
    STEADY = "steady"
    RECORDED = "recorded"
    NOT_RECORDED = "not_recorded"


class CapacityRunner:
    """The part that carries out capacity intents; see ``make_capacity_runner``.

    Args:
        deps: What it stands on.
        seed: Seed of the spread between daemons.
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
        """Begin to look."""
        self._task = start_task(self._run(), "capacity")

    async def drain(self) -> None:
        """Stop looking and give the duty up, so that another need not wait."""
        await self._end_task()
        if self._lease is not None:
            await self._deps.leases.release(self._lease)
            self._lease = None

    async def stop(self) -> None:
        """Stop looking."""
        await self._end_task()

    def status(self) -> dict[str, object]:
        """Return whether this daemon has the duty and what its last look gave."""
        lease = self._lease
        return {
            "has_duty": lease is not None,
            "fencing_number": 0 if lease is None else lease.fencing_number,
            "last_look": self._last_result.value,
        }

    async def tick(self) -> TickResult:
        """Do everything that is due now, once."""
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
            # A pause in the look outlasted the lease: what was seen is old.
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
        """Renew the lease or try for it; return whether it is held now."""
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
        """Read what the holder before recorded; without it nothing is decided."""
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
        # Moved or unknown: the next look must not decide on an old revision.
        refreshed = await self._deps.revisions.refresh()
        self._is_refreshed = self._is_refreshed and isinstance(refreshed, Success)
        return TickResult.NOT_RECORDED

    async def _send_fencing_numbers(
        self, view: ConfigurationView, observed: dict[TargetId, Observed]
    ) -> set[TargetId]:
        """Show each target our fencing number before anything else is done.

        A target refuses an old number only once it has seen a newer one. An
        earlier holder that was paused in the midst of a send may wake at any
        time; its order must find the newer number there already. Targets without
        open intents are shown it as they are asked by turns.

        Returns:
            The targets that could not be shown it. What they said may be undone
            by a late order, so nothing is decided on it.
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
        # A target that came back from a crash has forgotten the number.
        key = (name, health.boot_id)
        if lease is None:
            return False
        if key in self._fenced or health.fencing_number >= lease.fencing_number:
            return True
        if health.state not in _SETTLED_STATES:
            # An order would end its load; while it loads it holds a slot anyway.
            return True
        unchanged_order = EngineOrder(
            order_id=f"stay-{name}-{lease.fencing_number}",
            fencing_number=lease.fencing_number,
            desired_version=health.desired_version,
            # It names no weights and no role, so that it can begin no load: the
            # target may have crashed since it was asked, or the order be late.
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
        """Send an order if the lease still holds; return whether it was answered."""
        if not self._holds_lease():
            return False
        sent = None
        try:
            async with asyncio.timeout(self._deps.settings.order_timeout_seconds):
                sent = await self._deps.orders.send(target, order)
        except TimeoutError:
            # Given up before the margin ends, so that it cannot arrive after the
            # next holder has begun.
            pass
        if sent is None or not isinstance(sent, Success):
            _log.info("capacity: order not answered", target=target.target)
            return False
        if sent.unwrap().fencing_number > order.fencing_number:
            # Somebody holds a later lease: whatever our clock says, stop.
            _log.warning("capacity: overtaken", target=target.target)
            self._lease = None
        return True

    def _begin_import(self, configuration: Configuration, action: WarmAction) -> None:
        key = (action.target, action.weights_version)
        target = _find_target(configuration, action.target)
        if target is None or key in self._warmed:
            return
        self._warmed.add(key)
        # Imports take seconds: a look that waited for them would lose the lease.
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
        _log.info("capacity: warmed", target=action.target, n_tokens=n_tokens)

    async def _run(self) -> None:
        while True:
            try:
                await self.tick()
            except Exception:
                # The duty must outlive a fault of one look: without it no intent
                # goes on anywhere, since this daemon would keep the lease.
                _log.exception("capacity: a look failed")
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
    """Return the part that carries out capacity intents under a lease."""
    return CapacityRunner(deps, seed)
