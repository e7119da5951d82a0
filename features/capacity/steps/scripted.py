"""A simulated fleet in which a scenario injects individual faults."""

import asyncio

from lycheepost.bench.capacity_fleet import run_traffic
from lycheepost.bench.capacity_world import CapacityWorld
from lycheepost.core.ids import Revision
from lycheepost.generated.configuration import (
    Configuration,
    Model,
    Target,
    TargetDesiredState,
    TargetGroup,
    TargetGroupKind,
)
from lycheepost.generated.engine import EngineHealthState
from lycheepost.operators.capacity_records import accepted_versions
from lycheepost.standin.virtualtime import virtual_clock
from lycheepost.state.revisions import make_revision_manager


class NoFaults:
    """Random source that injects no faults, except the requested lost answers."""

    lost_answers = 0

    def choice(self, items):
        return items[0]

    def random(self):
        if self.lost_answers:
            self.lost_answers -= 1
            return 0.0
        return 1.0

    def uniform(self, low, high):
        return high


class ScriptedWorld(CapacityWorld):
    """The simulated fleet of the random runs, without random faults."""

    def __init__(self, serving, standby, loads, min_serving, checks):
        super().__init__(seed=0 if checks else 1)
        self.n_targets = serving + standby
        self.n_standby = standby
        self.load_limit, self.min_serving = loads, min_serving
        self.chance = NoFaults()
        self.is_disturbed = False
        self.unserved = []

    async def open(self):
        self.targets.clear()
        self._make_targets()
        self.judge = self._make_judge()
        self.observer = make_revision_manager(
            self.table, self.objects, virtual_clock(), poll_seconds=0.3
        )
        state = TargetDesiredState
        targets = [
            Target(
                target=name,
                target_group="engines",
                availability_zone=f"z{index % 3}",
                url=f"http://127.0.0.1:{9000 + index}",
                weights_version="w1",
                desired_state=state.STANDBY
                if index < self.n_standby
                else state.SERVING,
            )
            for index, name in enumerate(self.targets)
        ]
        first = Configuration(
            revision=1,
            target_groups=[
                TargetGroup(
                    target_group="engines",
                    kind=TargetGroupKind.ENGINE,
                    checks_fencing=self.checks_fencing,
                    concurrent_loads=self.load_limit,
                    min_serving=self.min_serving,
                )
            ],
            models=[
                Model(model="reader", weights_version="w1", target_group="engines")
            ],
            targets=targets,
        )
        await self.observer.commit(Revision(0), first)
        self.judge.history.append((0.0, self.observer.view.configuration))
        self.observer.subscribe(self.judge.judge_revision)
        self.observer.subscribe(self._judge_served)
        await self.observer.start()
        asyncio.create_task(run_traffic(self.targets, self.judge.history, self.chance))
        self.tasks = [asyncio.create_task(self._run_daemon(n)) for n in range(3)]

    def _judge_served(self, view):
        """Record each revision that leaves callers without a target."""
        model = view.configuration.models[0]
        if not any(
            target.desired_state is TargetDesiredState.SERVING
            and target.weights_version in accepted_versions(model)
            for target in view.configuration.targets
        ):
            self.unserved.append(view.configuration.revision)

    async def wait(self, seconds):
        for _ in range(int(seconds)):
            self.judge.note_ready()
            await asyncio.sleep(1.0)

    async def wait_until(self, check, seconds=600):
        for _ in range(seconds * 4):
            if check():
                return
            self.judge.note_ready()
            await asyncio.sleep(0.25)
        raise AssertionError(f"not within {seconds} s: {self.configuration}")

    @property
    def configuration(self):
        return self.observer.view.configuration

    def intent(self, number=1):
        names = {item.intent: item for item in self.configuration.capacity_intents}
        return names[f"i{number}"]

    def steps_in(self, state):
        return [
            step.target
            for intent in self.configuration.capacity_intents
            for step in intent.steps
            if step.state.value == state
        ]

    def holder_index(self):
        """Return the index of the daemon that holds the lease, from its row."""
        row = self.table.rows["lease/capacity"]
        return int(row.value.decode().split('"holder":"d')[1][0])

    def count_ready(self):
        return len(self.judge.truly_ready(self.configuration))

    def count_serving(self):
        return sum(
            item.state is EngineHealthState.SERVING for item in self.targets.values()
        )
