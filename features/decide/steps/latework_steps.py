"""Steps of latework.feature."""

import random

from behave import given, then, when

from features.decide.steps.common import SchedulerDriver, make_view, make_work
from lycheepost.core.ids import TargetId
from lycheepost.decide.latework import LateWork
from lycheepost.decide.queueing import FairQueue
from lycheepost.decide.records import FinishKind

STEP_SECONDS = 0.02
TIMEOUT_SECONDS = 4.0
PROMPT_TOKENS = 10_000


class SimulatedFleet:
    """Targets that prefill one prompt after the other, and the first-token waits."""

    def __init__(self, n_targets, rate, objective_seconds):
        self.driver = SchedulerDriver(
            n_targets,
            admit_wait_share=0.9,
            prefill_seconds_per_token=1.0 / rate / PROMPT_TOKENS,
        )
        self.driver.views = {i: make_view(i, limit=64) for i in range(n_targets)}
        self.driver.announce()
        self.objective_seconds = objective_seconds
        self.seconds_each = 1.0 / rate
        self.reading = {TargetId(f"target-{i}"): [] for i in range(n_targets)}
        self.left = dict.fromkeys(self.reading, self.seconds_each)
        self.seen, self.waits, self.n_arrived = set(), [], 0
        self.rng = random.Random(3)

    def run(self, per_second, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            if self.rng.random() < per_second * STEP_SECONDS:
                self.arrive()
            self.prefill()
            self.driver.wait(STEP_SECONDS)
            self.note_sent()

    def arrive(self):
        self.n_arrived += 1
        self.driver.arrive(
            f"request-{self.n_arrived}",
            levels=(),
            prompt_tokens=PROMPT_TOKENS,
            customer=f"customer-{self.n_arrived % 5}",
            first_token_timeout_seconds=TIMEOUT_SECONDS,
            objective_seconds=self.objective_seconds,
        )
        self.note_sent()

    def note_sent(self):
        for name in [name for name in self.driver.sent if name not in self.seen]:
            self.seen.add(name)
            self.reading[self.driver.sent[name]].append(name)

    def prefill(self):
        for target, waiting in self.reading.items():
            if not waiting:
                continue
            self.left[target] -= STEP_SECONDS
            if self.left[target] > 0:
                continue
            name = waiting.pop(0)
            self.left[target] = self.seconds_each
            now_seconds = self.driver.now_seconds
            self.waits.append(now_seconds - self.driver.works[name].arrived_seconds)
            scheduler = self.driver.scheduler
            scheduler.first_token(name, now_seconds, None)
            self.driver.note(scheduler.finish(name, now_seconds, FinishKind.COMPLETE))

    def n_on_time(self, objective_seconds):
        return sum(wait <= objective_seconds for wait in self.waits)


@given(
    "{n:d} targets that each prefill {rate:d} prompts a second, an objective of {s:g} s"
)
def step_targets(context, n, rate, s):
    context.objective = s
    context.fleet = SimulatedFleet(n, rate, s)
    context.by_arrival = SimulatedFleet(n, rate, float("inf"))


@when("{n:d} requests a second come for {s:d} s, then {m:d} a second for {t:d} s")
def step_come(context, n, s, m, t):
    for fleet in (context.fleet, context.by_arrival):
        fleet.run(n, s)
        fleet.run(m, t)
        fleet.run(0, TIMEOUT_SECONDS)


@then("of 100 requests at least {least:d} are on time, {more:d} more than by arrival")
def step_on_time(context, least, more):
    share, by_arrival = (
        100 * fleet.n_on_time(context.objective) / fleet.n_arrived
        for fleet in (context.fleet, context.by_arrival)
    )
    assert share >= least and share >= by_arrival + more, (share, by_arrival)


@then("no fewer are served than by arrival, but for {n:d} in 100")
def step_served(context, n):
    served, by_arrival = (len(x.waits) for x in (context.fleet, context.by_arrival))
    assert served >= by_arrival * (1 - n / 100), (served, by_arrival)


@then("at least {n:d} in 100 of what was served was late")
def step_some_late(context, n):
    fleet = context.fleet
    n_late = len(fleet.waits) - fleet.n_on_time(context.objective)
    assert 100 * n_late >= n * len(fleet.waits), (n_late, len(fleet.waits))


@given("requests that are late with {a:d} s, {b:d} s and {c:d} s left")
def step_late(context, a, b, c):
    queue, context.late = FairQueue(), LateWork()
    for left in (a, b, c):
        work = make_work(f"left-{left}", 0.0, first_token_timeout_seconds=float(left))
        context.late.add(queue.make_waiting(work, 1.0, 0.0))


@then("they are dispatched as those with {a:d} s, {b:d} s and {c:d} s left")
def step_order(context, a, b, c):
    found = [waiting.work.request for waiting in context.late.first(3)]
    assert found == [f"left-{left}" for left in (a, b, c)], found
    assert context.late.remove(found[1]) is not None
    assert [waiting.work.request for waiting in context.late] == [found[0], found[2]]
