"""Steps of forgotten.feature."""

import random
from dataclasses import replace

from behave import then, when
from common import GROUP, make_view, make_work

from lycheepost.core.ids import CustomerId, SoftwareVersion, TargetGroupId
from lycheepost.decide.brittle import FleetPosition
from lycheepost.decide.records import Dispatch, FinishKind, Refuse, TargetState
from lycheepost.decide.retry import RetryTerms
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import SchedulerSettings

GROUPS = (GROUP, TargetGroupId("plain"), TargetGroupId("empty"))
TICK_SECONDS = 0.02
N_TICKS = 400
LATE_SECONDS = 0.1
VERSIONS = (SoftwareVersion("v1"), SoftwareVersion("v2"))


class RandomPlay:
    """Drives one scheduler at random and records each request's outcomes."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        settings = SchedulerSettings(max_tries=4, queue_requests=100)
        self.scheduler = Scheduler(settings, seed)
        self.scheduler.set_retry_terms(RetryTerms(0.2, 20.0, 10.0))
        self.now_seconds = 100.0
        self.views = {}
        self.due_seconds = {}
        self.running = {}
        self.faults = []
        self.n_outcomes = 0

    def note(self, outcomes):
        for outcome in outcomes:
            work, due_seconds = self.due_seconds.pop(outcome.request, (None, 0.0))
            if work is None:
                self.faults.append(f"a second outcome: {outcome}")
                continue
            self.n_outcomes += 1
            if self.now_seconds > due_seconds + LATE_SECONDS:
                self.faults.append(f"late: {outcome}")
            match outcome:
                case Dispatch(target=target):
                    self.scheduler.note_retry_sent(outcome.request, self.now_seconds)
                    self.running[outcome.request] = (work, target)
                case Refuse():
                    self.scheduler.give_back_retry(outcome.request)

    def wait_for(self, work):
        seconds = work.arrived_seconds + work.first_token_timeout_seconds
        self.due_seconds[work.request] = (work, max(seconds, self.now_seconds))

    def arrive(self, number):
        rng = self.rng
        work = make_work(
            f"request-{number}",
            self.now_seconds,
            customer=f"customer-{rng.randint(0, 3)}",
            body=f"body-{rng.randint(0, 8)}",
            first_token_timeout_seconds=rng.choice((0.3, 1.0, 3.0)),
            target_group=rng.choice((*GROUPS, GROUP)),
            objective_seconds=rng.choice((0.1, 0.5, float("inf"))),
            rank=rng.randint(0, 3),
            software_versions=rng.choice((None, None, frozenset(VERSIONS[:1]))),
        )
        self.wait_for(work)
        self.note(self.scheduler.arrive(work, self.now_seconds))

    def end_some(self):
        for request, (work, target) in list(self.running.items()):
            if self.rng.random() > 0.1:
                continue
            del self.running[request]
            if self.rng.random() < 0.5:
                self.scheduler.first_token(request, self.now_seconds, None)
                self.scheduler.note_written(request, self.now_seconds)
            kind = self.rng.choice(list(FinishKind))
            self.note(self.scheduler.finish(request, self.now_seconds, kind))
            if kind is not FinishKind.COMPLETE and self.rng.random() < 0.7:
                again = replace(work, excluded=work.excluded | {target})
                self.wait_for(again)
                self.note(self.scheduler.retry(again, self.now_seconds))

    def change_targets(self):
        rng = self.rng
        views = []
        for index in range(rng.randint(0, 5)):
            view = make_view(
                index,
                boot=str(rng.randint(1, 3)),
                state=rng.choice((*TargetState, TargetState.SERVING)),
                limit=rng.choice((0, 1, 2, 8)),
            )
            group = rng.choice(GROUPS[:2])
            version = rng.choice(VERSIONS)
            memory = rng.choice((0, 500, 100_000))
            views.append(
                replace(
                    view,
                    target_group=group,
                    software_version=version,
                    memory_tokens=memory,
                )
            )
        self.views = {view.target: view for view in views}
        targets = tuple(views)
        self.note(self.scheduler.replace_targets(targets, self.now_seconds))

    def change_notices(self):
        rng, scheduler = self.rng, self.scheduler
        for target in self.views:
            limit = rng.choice((None, 0.0, 1.0, 100.0))
            self.note(scheduler.set_limit(target, limit, self.now_seconds))
            scheduler.set_brittle(target, rng.random() < 0.2)
            if rng.random() < 0.2:
                until_seconds = self.now_seconds + rng.uniform(0.0, 2.0)
                scheduler.back_off(target, until_seconds)
        scheduler.set_sharing_limits(rng.randint(1, 4), self.now_seconds)
        n_daemons = rng.randint(1, 4)
        scheduler.set_position(FleetPosition(rng.randrange(n_daemons), n_daemons))

    def change_rest(self):
        rng, scheduler = self.rng, self.scheduler
        match rng.randrange(4):
            case 0:
                weights = {CustomerId("customer-0"): rng.choice((0.01, 1.0, 5.0))}
                scheduler.set_shares(weights)
            case 1:
                self.note(scheduler.withdraw_waiting(rng.choice(GROUPS)))
            case 2:
                scheduler.draw_admission(lambda _: rng.randint(0, 3), self.now_seconds)
                self.note(scheduler.dispatch_waiting(self.now_seconds))
            case 3 if self.due_seconds:
                request = rng.choice(list(self.due_seconds))
                del self.due_seconds[request]
                self.note(scheduler.cancel(request, self.now_seconds))

    def tick(self):
        self.now_seconds += TICK_SECONDS
        self.note(self.scheduler.tick(self.now_seconds))

    def run(self):
        self.change_targets()
        for number in range(N_TICKS):
            self.tick()
            for part in range(self.rng.choice((0, 0, 1, 3))):
                self.arrive(f"{number}-{part}")
            self.end_some()
            for change in (self.change_targets, self.change_notices, self.change_rest):
                if self.rng.random() < 0.05:
                    change()
        while self.due_seconds or self.running:
            self.tick()
            self.end_some()
            if self.now_seconds > 200.0:
                break


@when(
    "requests, and changes of targets, limits, shares and paths, come at random from"
    " seed {seed:d}"
)
def step_play(context, seed):
    context.play = RandomPlay(seed)
    context.play.run()


@then("each request has one outcome within its time")
def step_outcomes(context):
    play = context.play
    assert play.n_outcomes > 0
    assert not play.faults, play.faults[:5]
    assert not play.due_seconds, list(play.due_seconds)[:5]


@then("nothing waits or runs at the end")
def step_nothing(context):
    assert not context.play.scheduler.has_work()
