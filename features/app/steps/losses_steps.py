"""Steps of losses.feature."""

from dataclasses import dataclass

from behave import given, then, when

from features.decide.steps.common import make_view, make_work
from lycheepost.app.losses import LossExchange
from lycheepost.callers.dispatch import Dispatcher
from lycheepost.decide.records import FinishKind, RefusalReason
from lycheepost.decide.scheduler import Scheduler
from lycheepost.decide.settings import SchedulerSettings
from lycheepost.utils.metrics import NoMetrics


@dataclass
class SteppedClock:
    """A clock whose wall-clock time has an offset; the steady time has none."""

    offset_seconds: float
    steady_seconds: float = 1000.0

    def now_seconds(self):
        return self.steady_seconds

    def wall_seconds(self):
        return 1e9 + self.steady_seconds + self.offset_seconds


class PairExchange:
    """Delivers the messages of one daemon to the other."""

    def __init__(self):
        self.subscribers = {}
        self.other = None

    def subscribe(self, kind, on_message):
        self.subscribers[kind] = on_message

    def broadcast(self, message):
        self.other.subscribers[type(message)](message, "peer")


class FakeRecorder:
    """Keeps the last value that was recorded; None for none."""

    def __init__(self):
        self.value = None

    def subscribe(self, on_read):
        pass

    def record(self, value):
        self.value = value


class LossDaemon:
    """A scheduler that exchanges its losses with a peer."""

    def __init__(self, clock):
        self.clock = clock
        self.scheduler = Scheduler(SchedulerSettings(), seed=1)
        self.dispatcher = Dispatcher(self.scheduler, clock)
        self.exchange = PairExchange()
        self.recorder = FakeRecorder()
        self.losses = LossExchange(
            self.dispatcher, self.exchange, clock, NoMetrics(), recorder=self.recorder
        )
        views = tuple(make_view(index) for index in range(4))
        self.scheduler.replace_targets(views, clock.now_seconds())

    def run_crashing_request(self, name, body="crashing"):
        now_seconds = self.clock.now_seconds()
        work = make_work(name, now_seconds, body=body)
        return self.scheduler.arrive(work, now_seconds)[0]


@given("two daemons whose times of day differ by {offset:g} s")
def step_daemons(context, offset):
    first, second = LossDaemon(SteppedClock(0.0)), LossDaemon(SteppedClock(offset))
    first.exchange.other, second.exchange.other = second.exchange, first.exchange
    context.daemons = (first, second)


def wait(context, seconds):
    for daemon in context.daemons:
        daemon.clock.steady_seconds += seconds


def crash_through(context, daemons, body):
    for number, daemon in enumerate(daemons):
        sent = daemon.run_crashing_request(f"{body}-{number}", body)
        wait(context, 0.2)
        daemon.dispatcher.finish(sent.request, FinishKind.TARGET_LOST)
        wait(context, 0.2)


@when("a request crashes a target through each of them in turn")
def step_crashes(context):
    crash_through(context, context.daemons, "crashing")


@when("another request crashes a target through each of them, the second one first")
def step_crashes_again(context):
    crash_through(context, reversed(context.daemons), "crashing too")


@when("a second passes")
def step_second(context):
    step_pass_losses(context, 1)


@when("{seconds:d} s pass")
def step_pass_losses(context, seconds):
    wait(context, seconds)
    for daemon in context.daemons:
        daemon.losses._tick()


RECORDED = {"nothing": None, "0 quarantines": 0, "1 quarantine": 1, "2 quarantines": 2}


@then("the first daemon has recorded {first}, and the second one {second}")
def step_recorded(context, first, second):
    records = [daemon.recorder.value for daemon in context.daemons]
    found = [None if item is None else len(item.quarantines) for item in records]
    assert found == [RECORDED[first], RECORDED[second]], records


def refusals(context, name):
    outcomes = [daemon.run_crashing_request(name) for daemon in context.daemons]
    return [getattr(outcome, "reason", None) for outcome in outcomes]


@then("both refuse it from then on")
def step_refuse(context):
    assert refusals(context, "again") == [RefusalReason.QUARANTINED] * 2


@then("both refuse it for {seconds:d} s")
def step_refuse_for(context, seconds):
    wait(context, seconds - 1.0)
    step_refuse(context)
    wait(context, 2.0)
    assert RefusalReason.QUARANTINED not in refusals(context, "late")


def send_both(context, name):
    """Let the first daemon run the crashing request, the second the other one."""
    sent = []
    for daemon, body in zip(context.daemons, ("crashing", "unrelated"), strict=True):
        now_seconds = daemon.clock.now_seconds()
        work = make_work(f"{name}-{body}", now_seconds, body=body)
        sent += daemon.scheduler.arrive(work, now_seconds)
    return sent


@when(
    "a crashing and another request, each of its own daemon, are lost with one target"
)
def step_both_lost(context):
    sent = send_both(context, "first")
    assert len({outcome.target for outcome in sent}) == 1, sent
    wait(context, 0.2)
    for daemon, outcome in zip(context.daemons, sent, strict=True):
        daemon.dispatcher.finish(outcome.request, FinishKind.TARGET_LOST)
    wait(context, 0.2)


@when("both are retried before either daemon is notified of the other's attempt")
def step_both_again(context):
    context.tried = send_both(context, "second")


@then("they are retried on different targets")
def step_apart(context):
    first, second = context.tried
    assert first.target != second.target, context.tried
