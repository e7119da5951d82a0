"""One run of the capacity check: its fleet, daemons, faults and operators."""

import asyncio
import dataclasses
import random
from dataclasses import dataclass

from returns.result import Success

from lycheepost.bench.capacity_fleet import (
    BOOT_WEIGHTS,
    ModelTarget,
    Tally,
    run_traffic,
)
from lycheepost.bench.capacity_holder import (
    GatedTable,
    Holder,
    ModelOrders,
    NotedRevisions,
)
from lycheepost.bench.capacity_judge import CapacityJudge, changed_steps
from lycheepost.core.ids import DaemonId, Revision, TargetId
from lycheepost.decide.records import TargetState
from lycheepost.generated.configuration import (
    Configuration,
    Model,
    Target,
    TargetDesiredState,
    TargetGroup,
    TargetGroupKind,
)
from lycheepost.generated.intents import (
    CancelIntent,
    ChangeRole,
    HoldReady,
    NewWeights,
    PauseIntent,
    ResumeIntent,
    Retire,
)
from lycheepost.generated.operators import (
    WeightsFact,
)
from lycheepost.generated.settings import OperatorSettings
from lycheepost.operators.capacity_changes import (
    CapacityChange,
    apply_capacity_change,
)
from lycheepost.operators.capacity_estimates import CapacityContext
from lycheepost.operators.capacity_ports import CapacityDeps
from lycheepost.operators.capacity_runner import make_capacity_runner
from lycheepost.operators.change_results import Applied
from lycheepost.operators.items import Draft
from lycheepost.standin.objects import make_object_model
from lycheepost.standin.table import TableModel, make_table_model
from lycheepost.standin.virtualtime import virtual_clock
from lycheepost.state.leases import LeaseManager
from lycheepost.state.revisions import make_revision_manager

_GROUP = "engines"
_MODEL = "reader"
_N_DAEMONS = 3
_FAULTS_SECONDS = 70
_TAKE_OVER_SECONDS = 60
_MOST_QUIET_SECONDS = 400
_LEASE_SECONDS = 6.0
_MARGIN_SECONDS = 2.0
_DRAIN_SECONDS = 4.0
_WARM_STEP_SECONDS = 2.0


@dataclass(frozen=True)
class CapacityRun:
    """What one seeded run came to."""

    seed: int
    checks_fencing: bool
    n_targets: int
    load_limit: int
    min_serving: int
    n_revisions: int
    n_loads: int
    n_most_loads: int
    n_orders: int
    n_late_orders: int
    n_late_loads: int
    n_holders: int
    violations: tuple[str, ...]


class CapacityWorld:
    """One run: its fleet, daemons, faults and operators."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.chance = random.Random(seed)
        self.checks_fencing = seed % 2 == 0
        self.n_targets = self.chance.randint(3, 6)
        self.load_limit = self.chance.randint(1, 3)
        self.min_serving = self.chance.randint(1, 2)
        self.settings = OperatorSettings(
            drain_settle_seconds=_DRAIN_SECONDS,
            load_timeout_seconds=25.0,
            warm_step_seconds=_WARM_STEP_SECONDS,
            # With few reads a look cannot see the whole group, as in a large one.
            capacity_reads_per_tick=self.chance.choice((2, 64)),
        )
        self.tally = Tally()
        self.targets: dict[str, ModelTarget] = {}
        self._make_targets()
        self.judge = self._make_judge()
        self.table: TableModel = make_table_model(virtual_clock())
        self.objects = make_object_model()
        self.holders = [Holder() for _ in range(_N_DAEMONS)]
        self.tasks: list[asyncio.Task[None]] = []
        self.n_holders = 0
        self.n_named = 0
        self.orders: list[ModelOrders] = []
        self.is_disturbed = True

    def _make_judge(self) -> CapacityJudge:
        n_turns = max(1, self.settings.capacity_reads_per_tick // 2)
        n_looks = self.n_targets // n_turns
        return CapacityJudge(
            self.targets,
            self.tally,
            self.min_serving,
            round_seconds=n_looks * self.settings.capacity_tick_seconds,
        )

    def _make_targets(self) -> None:
        for index in range(self.n_targets):
            name = f"e{index}"
            self.targets[name] = ModelTarget(
                name, self.checks_fencing, self.tally, self.load_limit, self.targets
            )

    async def run(self) -> CapacityRun:
        """Run faults and operators, then quiet, and judge."""
        clock = virtual_clock()
        self.observer = make_revision_manager(
            self.table, self.objects, clock, poll_seconds=0.3
        )
        await self._seed_configuration()
        self.observer.subscribe(self.judge.judge_revision)
        await self.observer.start()
        traffic = asyncio.create_task(
            run_traffic(self.targets, self.judge.history, self.chance)
        )
        self.tasks = [
            asyncio.create_task(self._run_daemon(index)) for index in range(_N_DAEMONS)
        ]
        for _ in range(_FAULTS_SECONDS):
            self.judge.note_ready()
            await self._disturb()
            await asyncio.sleep(1.0)
        self._end_faults()
        for second in range(_MOST_QUIET_SECONDS):
            self.judge.note_ready()
            await asyncio.sleep(1.0)
            if second > _TAKE_OVER_SECONDS and self.judge.is_over():
                break
        await self.observer.refresh()
        self.judge.judge_end(self.observer.view.configuration)
        for task in [*self.tasks, traffic]:
            task.cancel()
        await asyncio.gather(*self.tasks, traffic, return_exceptions=True)
        await self.observer.stop()
        return self._report()

    async def _seed_configuration(self) -> None:
        n_standby = self.chance.randint(0, self.n_targets - self.min_serving - 1)
        targets = [
            Target(
                target=name,
                target_group=_GROUP,
                availability_zone=f"z{index % 2}",
                url=f"http://127.0.0.1:{9000 + index}",
                weights_version=BOOT_WEIGHTS,
                desired_state=TargetDesiredState.STANDBY
                if index < n_standby
                else TargetDesiredState.SERVING,
            )
            for index, name in enumerate(self.targets)
        ]
        group = TargetGroup(
            target_group=_GROUP,
            kind=TargetGroupKind.ENGINE,
            checks_fencing=self.checks_fencing,
            concurrent_loads=self.load_limit,
            min_serving=self.min_serving,
        )
        model = Model(model=_MODEL, weights_version=BOOT_WEIGHTS, target_group=_GROUP)
        first = Configuration(
            revision=1, target_groups=[group], models=[model], targets=targets
        )
        await self.observer.commit(Revision(0), first)
        self.judge.history.append((0.0, self.observer.view.configuration))
        await self.operate(NewWeights(model=_MODEL, weights_version="w2"))
        self.judge.history.append((0.0, self.observer.view.configuration))

    async def _run_daemon(self, index: int) -> None:
        holder = self.holders[index]
        clock = virtual_clock()
        table = GatedTable(self.table, holder)
        revisions = make_revision_manager(table, self.objects, clock, poll_seconds=0.5)
        await revisions.start()
        leases = LeaseManager(
            table, clock, DaemonId(f"d{index}"), _LEASE_SECONDS, _MARGIN_SECONDS
        )
        orders = ModelOrders(self.targets, holder, self.chance)
        orders.is_disturbed = self.is_disturbed
        self.orders.append(orders)

        def note(before: Configuration, after: Configuration) -> None:
            number = int(str(runner.status()["fencing_number"]))
            self._note_holder(number, changed_steps(before, after))

        deps = CapacityDeps(
            revisions=NotedRevisions(revisions, note),
            leases=leases,
            orders=orders,
            states=self._states,
            clock=clock,
            settings=self.settings,
        )
        runner = make_capacity_runner(deps, seed=self.seed * 10 + index)
        try:
            while True:
                self.judge.look_began[index] = clock.now_seconds()
                await runner.tick()
                self.judge.look_began.pop(index)
                await asyncio.sleep(self.settings.capacity_tick_seconds)
        finally:
            await revisions.stop()

    def _note_holder(self, number: int, changed: set[str]) -> None:
        """Remember who has acted; from now on older orders are out of turn.

        A target that checks the number must refuse older orders once a newer
        holder has moved its step; one that checks nothing is only counted.
        """
        self.n_holders = max(self.n_holders, number)
        self.tally.newest_number = self.n_holders
        for name, target in self.targets.items():
            if name in changed or not target.checks_fencing:
                target.newest_holder = max(target.newest_holder, number)

    def _states(self) -> dict[TargetId, TargetState]:
        return {
            TargetId(name): TargetState.GONE
            if target.is_silent
            else TargetState.SERVING
            for name, target in self.targets.items()
        }

    async def _disturb(self) -> None:
        """Do what a bad second may bring."""
        chance = self.chance
        now_seconds = virtual_clock().now_seconds()
        if chance.random() < 0.06:
            holder = chance.choice(self.holders)
            holder.paused_until_seconds = now_seconds + chance.uniform(1.0, 25.0)
        if chance.random() < 0.03:
            index = chance.randrange(_N_DAEMONS)
            self.tasks[index].cancel()
            self.holders[index] = Holder()
            self.tasks[index] = asyncio.create_task(self._run_daemon(index))
        if chance.random() < 0.03:
            chance.choice(list(self.targets.values())).crash()
        if chance.random() < 0.04:
            target = chance.choice(list(self.targets.values()))
            target.silent_until_seconds = now_seconds + chance.uniform(2.0, 12.0)
        if chance.random() < 0.02:
            chance.choice(list(self.targets.values())).is_load_stuck = True
        if chance.random() < 0.03:
            self.table.faults.n_lost_answers = 1
        if chance.random() < 0.02:
            self.table.faults.n_late_writes = 1
        if chance.random() < 0.02:
            self.table.faults.is_down = not self.table.faults.is_down
        elif self.table.faults.is_down and chance.random() < 0.2:
            self.table.faults.is_down = False
        if chance.random() < 0.06:
            await self._operate_at_random()

    def _end_faults(self) -> None:
        self.table.faults.is_down = False
        self.is_disturbed = False
        for orders in self.orders:
            orders.is_disturbed = False
        now_seconds = virtual_clock().now_seconds()
        for holder in self.holders:
            holder.paused_until_seconds = min(holder.paused_until_seconds, now_seconds)
        for target in self.targets.values():
            target.is_load_stuck = False
            target.silent_until_seconds = 0.0

    async def _operate_at_random(self) -> None:
        intents = self.observer.view.configuration.capacity_intents
        names = list(self.targets)
        wishes: list[CapacityChange] = [
            NewWeights(model=_MODEL, weights_version=self.chance.choice(("w1", "w2"))),
            HoldReady(target_group=_GROUP, n_targets=self.n_targets),
            HoldReady(
                target_group=_GROUP,
                n_targets=self.n_targets - 1,
                end_wall_seconds=virtual_clock().wall_seconds() + 40,
            ),
            Retire(target_group=_GROUP, targets=[self.chance.choice(names)]),
            ChangeRole(
                target_group=_GROUP, targets=[self.chance.choice(names)], role="prefill"
            ),
        ]
        for intent in intents:
            wishes += [
                PauseIntent(intent=intent.intent),
                ResumeIntent(intent=intent.intent),
                CancelIntent(intent=intent.intent),
            ]
        await self.operate(self.chance.choice(wishes))

    async def operate(self, change: CapacityChange) -> bool:
        """Plan and confirm one change; return whether it was taken."""
        keeper = self.observer
        basis = keeper.view.configuration
        draft = Draft(basis)
        self.n_named += 1
        fact = WeightsFact(
            model=_MODEL,
            weights_version=getattr(change, "weights_version", BOOT_WEIGHTS),
            is_known=True,
            is_present=True,
            load_seconds=6.0,
        )
        context = CapacityContext(
            intent_name=f"i{self.n_named}",
            now_wall_seconds=virtual_clock().wall_seconds(),
            weights={(fact.model, fact.weights_version): fact},
            drain_seconds=_DRAIN_SECONDS,
            warm_step_seconds=_WARM_STEP_SECONDS,
        )
        applied = apply_capacity_change(draft, change, context)
        if not isinstance(applied, Applied):
            return False
        if any(conflict.is_blocking for conflict in applied.conflicts):
            return False
        changed = dataclasses.replace(draft.finish(), revision=basis.revision + 1)
        committed = await keeper.commit(Revision(basis.revision), changed)
        return isinstance(committed, Success)

    def _report(self) -> CapacityRun:
        return CapacityRun(
            seed=self.seed,
            checks_fencing=self.checks_fencing,
            n_targets=self.n_targets,
            load_limit=self.load_limit,
            min_serving=self.min_serving,
            n_revisions=self.observer.view.configuration.revision,
            n_loads=self.tally.n_loads,
            n_most_loads=self.tally.n_most_loads,
            n_orders=self.tally.n_orders,
            n_late_orders=self.tally.n_late_orders,
            n_late_loads=self.tally.n_late_loads,
            n_holders=self.n_holders,
            violations=tuple(self.tally.violations),
        )
