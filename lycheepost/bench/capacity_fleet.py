"""Targets and faults for checking how capacity intents are carried out.

Small models in virtual time: a target drains, loads, serves, crashes, falls
silent; an order to it is delayed, loses its answer, or leaves a paused holder
late. Each model counts what must never happen.
"""

import asyncio
import random
from dataclasses import dataclass, field

from lycheepost.generated.configuration import Configuration, TargetDesiredState
from lycheepost.generated.engine import (
    EngineHealth,
    EngineHealthState,
    EngineLoad,
    EngineOrder,
    EngineOrderAnswer,
)
from lycheepost.standin.virtualtime import virtual_clock

BOOT_WEIGHTS = "w1"
LOAD_SECONDS = 6.0
ORDER_TIMEOUT_SECONDS = 1.5
"""The longest that an order is on its way."""
_LONGEST_ANSWER_SECONDS = 15.0
_LAG_SECONDS = 2.0
"""How long daemons go on sending work after the configuration says otherwise."""


@dataclass
class Tally:
    """What happened, and what never may."""

    n_loads: int = 0
    n_most_loads: int = 0
    n_orders: int = 0
    n_late_orders: int = 0
    """Orders of an overtaken holder that a target took."""
    n_late_loads: int = 0
    """Loads above the limit that a late order to a target without a fencing check
    began; nothing that a sender does can rule these out."""
    newest_number: int = 0
    """Fencing number of the newest holder that has acted."""
    violations: list[str] = field(default_factory=list)


class ModelTarget:
    """One engine.

    Args:
        name: Its name.
        checks_fencing: Whether it refuses an old fencing number.
        tally: Where it counts.
        load_limit: Most targets that may load at once.
        fleet: All targets, to count the loads.
    """

    def __init__(
        self,
        name: str,
        checks_fencing: bool,
        tally: Tally,
        load_limit: int,
        fleet: dict[str, "ModelTarget"],
    ) -> None:
        self.name = name
        self.checks_fencing = checks_fencing
        self.tally = tally
        self.load_limit = load_limit
        self.fleet = fleet
        self.boot = 0
        self.n_running = 0
        self.silent_until_seconds = 0.0
        self.is_load_stuck = False
        self.fencing_number = 0
        self.newest_holder = 0
        self.is_late_load = False
        self._task: asyncio.Task[None] | None = None
        self._come_up()

    def _come_up(self) -> None:
        self.state = EngineHealthState.SERVING
        self.weights_version = BOOT_WEIGHTS
        self.role = ""
        self.desired_version = 0
        self.fencing_number = 0
        # It knows no number until it is shown the newest again.
        self.has_forgotten = True
        self.n_running = 0

    @property
    def is_silent(self) -> bool:
        """Return whether no call gets through."""
        return virtual_clock().now_seconds() < self.silent_until_seconds

    def crash(self) -> None:
        """Come back empty, with the weights it boots with."""
        if self._task is not None:
            self._task.cancel()
        self.boot += 1
        self._come_up()

    def health(self) -> EngineHealth:
        """Return what it says of itself."""
        return EngineHealth(
            boot_id=f"{self.name}-{self.boot}",
            state=self.state,
            model="reader",
            weights_version=self.weights_version,
            role=self.role,
            desired_version=self.desired_version,
            fencing_number=self.fencing_number,
        )

    def load(self) -> EngineLoad:
        """Return what it runs."""
        return EngineLoad(
            boot_id=f"{self.name}-{self.boot}",
            age_seconds=0.0,
            n_running=self.n_running,
            n_queued=0,
            queued_prompt_tokens=0,
            cached_tokens=0,
        )

    def take(self, order: EngineOrder) -> EngineOrderAnswer:
        """Take an order or refuse it."""
        is_old = order.fencing_number < self.fencing_number
        if self.checks_fencing and is_old:
            return self._answer(False, "old fencing number")
        is_late = order.fencing_number < self.newest_holder
        if order.fencing_number >= self.tally.newest_number:
            self.has_forgotten = False
        self.fencing_number = max(self.fencing_number, order.fencing_number)
        if self.checks_fencing and order.desired_version < self.desired_version:
            return self._answer(False, "old desired version")
        if is_late:
            self.tally.n_late_orders += 1
            if self.checks_fencing and not self.has_forgotten:
                self.tally.violations.append(f"{self.name} took an order out of turn")
        self.tally.n_orders += 1
        self.desired_version = order.desired_version
        self._carry_out(order, is_late)
        return self._answer(True, "")

    def _answer(self, is_accepted: bool, reason: str) -> EngineOrderAnswer:
        return EngineOrderAnswer(
            is_accepted=is_accepted,
            fencing_number=self.fencing_number,
            desired_version=self.desired_version,
            reason=reason,
        )

    def _carry_out(self, order: EngineOrder, is_late: bool) -> None:
        if self._task is not None:
            self._task.cancel()
        weights = order.weights_version or self.weights_version
        needs_load = weights != self.weights_version or order.role not in (
            "",
            self.role,
        )
        if not needs_load:
            self.state = order.state
            return
        self.state = EngineHealthState.LOADING
        self._count_load(is_late)
        self._task = asyncio.create_task(self._finish_load(order, weights))

    def _count_load(self, is_late: bool) -> None:
        loading = [
            target
            for target in self.fleet.values()
            if target.state is EngineHealthState.LOADING
        ]
        self.tally.n_loads += 1
        self.tally.n_most_loads = max(self.tally.n_most_loads, len(loading))
        self.is_late_load = is_late
        if len(loading) > self.load_limit:
            has_late = any(target.is_late_load for target in loading)
            if has_late and not self.checks_fencing:
                self.tally.n_late_loads += 1
            else:
                names = ", ".join(target.name for target in loading)
                self.tally.violations.append(f"too many load at once: {names}")
        if self.n_running and not is_late:
            self.tally.violations.append(f"a load cut {self.n_running} on {self.name}")

    async def _finish_load(self, order: EngineOrder, weights: str) -> None:
        await asyncio.sleep(LOAD_SECONDS)
        while self.is_load_stuck:  # noqa: ASYNC110 (a fault that a run sets and ends)
            await asyncio.sleep(1.0)
        self.weights_version = weights
        self.role = order.role or self.role
        self.state = order.state


async def run_traffic(
    targets: dict[str, ModelTarget],
    history: list[tuple[float, Configuration]],
    chance: random.Random,
) -> None:
    """Send work to targets by what daemons believe, a little behind the head."""
    clock = virtual_clock()
    ends_seconds: dict[tuple[str, int], float] = {}
    while True:
        now_seconds = clock.now_seconds()
        late = [item for at, item in history if at <= now_seconds - _LAG_SECONDS]
        believed = late[-1] if late else history[0][1]
        for target in believed.targets:
            model = targets[target.target]
            takes = (
                target.desired_state is TargetDesiredState.SERVING
                and model.state is EngineHealthState.SERVING
                and model.weights_version == target.weights_version
            )
            # A crash ends what ran; else an answer goes on to its own end.
            run = (target.target, model.boot)
            if takes and now_seconds >= ends_seconds.get(run, 0.0):
                long_seconds = chance.uniform(1.0, _LONGEST_ANSWER_SECONDS)
                ends_seconds[run] = now_seconds + long_seconds
            model.n_running = int(now_seconds < ends_seconds.get(run, 0.0))
        await asyncio.sleep(1.0)
