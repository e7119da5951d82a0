"""Steps of rolloutpacer.feature."""

from behave import given, then, when
from structlog.testing import capture_logs

from lycheepost.core.clock import FakeClock
from lycheepost.core.ids import AvailabilityZone, ModelId, TargetGroupId, TargetId
from lycheepost.core.routing import ListedTarget
from lycheepost.decide.peerloads import NO_LOAD, DaemonLoad
from lycheepost.decide.rollout import TargetWeights
from lycheepost.operators.rolloutpacer import GAUGE, RolloutPacer

MODEL = ModelId("m")
BOUND_SECONDS = 15.0
LEFT_SECONDS = 12.5


class FakeLoad:
    """The load that all daemons report."""

    def __init__(self, n_busy):
        self.n_busy = n_busy
        self.share = 0.0
        self.hears_peers = True

    def count_running(self, target):
        return self.totals().get(target, NO_LOAD).n_running

    def totals(self):
        return {TargetId(f"t{i}"): DaemonLoad(9000, 1) for i in range(self.n_busy)}

    def has_peers(self):
        return self.hears_peers

    def waiting_share(self, group):
        return self.share


class FakeMetrics:
    """Keeps the last value of each gauge."""

    def __init__(self):
        self.gauges = {}

    def gauge(self, name, value):
        self.gauges[name] = value


def make_pacer(context, is_off=False):
    context.pacer = RolloutPacer(
        context.load, context.clock, lambda: BOUND_SECONDS, context.metrics, is_off
    )


@given("{n:d} targets of which {n_busy:d} are busy, and a naming 1 s ago")
def step_targets(context, n, n_busy):
    context.clock, context.metrics = FakeClock(), FakeMetrics()
    context.load, context.logs, context.n_changing = FakeLoad(n_busy), [], 0
    zone = AvailabilityZone("a")
    context.listed = tuple(
        ListedTarget(TargetId(f"t{i}"), TargetGroupId("g"), f"10.0.0.{i}:80", zone, 64)
        for i in range(n)
    )
    make_pacer(context)


@given("requests wait at {share:g} of the daemons")
def step_waiting(context, share):
    context.load.share = share


@given("no peer has reported its load")
def step_no_peers(context):
    context.load.hears_peers = False


@given("the mechanism is switched off")
def step_off(context):
    make_pacer(context, is_off=True)


@when("{n:d} changes have been in progress for {seconds:g} s")
def step_in_progress(context, n, seconds):
    context.n_changing = n
    for target in context.listed[:n]:
        context.pacer.begin_change(target.target)
    context.clock.advance(seconds)


@when("the pace is chosen {n:d} times, 0.1 s apart")
def step_choose(context, n):
    weights = [
        TargetWeights(
            item.target,
            1,
            0,
            index < context.n_changing,
            item.availability_zone,
            LEFT_SECONDS,
        )
        for index, item in enumerate(context.listed)
    ]
    for _ in range(n):
        with capture_logs() as logs:
            context.pace = context.pacer.choose(
                MODEL, 2, context.listed, weights, context.load.totals()
            )
        context.logs += [entry for entry in logs if entry["event"] == "weights: pace"]
        context.clock.advance(0.1)


@when("demand falls to {n_busy:d} busy targets")
def step_falls(context, n_busy):
    context.load.n_busy = n_busy


@when("the rollout has ended")
def step_ended(context):
    context.pacer.finish(MODEL)


@then('the status gives the reason "{reason}"')
def step_reason(context, reason):
    assert context.pacer.status()[MODEL]["reason"] == reason, context.pacer.status()


@then("{n:d} pace was logged, and the gauge shows fewer than {most:d}")
def step_logged_below(context, n, most):
    assert len(context.logs) == n, context.logs
    assert 0 < context.metrics.gauges[GAUGE] < most, context.metrics.gauges


@then("{n:d} paces were logged, and the gauge shows {value:d}")
def step_logged(context, n, value):
    assert len(context.logs) == n, context.logs
    assert context.metrics.gauges[GAUGE] == value, context.metrics.gauges


@then("the gauge shows 0 and the status no pace")
def step_none(context):
    assert context.metrics.gauges[GAUGE] == 0
    assert context.pacer.status() == {}


@then('{n:d} targets may change for the reason "{reason}"')
def step_may_change(context, n, reason):
    assert (context.pace.n_changing, context.pace.reason.value) == (n, reason)
