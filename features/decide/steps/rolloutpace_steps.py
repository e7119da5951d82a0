"""Steps of rolloutpace.feature."""

import math
from collections import Counter
from dataclasses import dataclass, replace

from behave import given, then, when

from lycheepost.core.ids import AvailabilityZone, ModelId, TargetId
from lycheepost.decide.peerloads import DaemonLoad
from lycheepost.decide.rollout import TargetWeights, max_changing, next_orders
from lycheepost.decide.rolloutpace import (
    ChangeTime,
    GroupLoad,
    MeanGroupLoad,
    PaceReason,
    RolloutPace,
    RolloutSchedule,
    choose_pace,
    count_busy,
)
from lycheepost.operators.rolloutpacer import old_for_seconds
from lycheepost.state.namedweights import NamedVersion

MODEL = ModelId("m")
N_TARGETS = 45
STEP_SECONDS = 0.1
ON_TIME_SECONDS = 0.4
MARGIN_SECONDS = 1.5
"""Old weights get no requests this long before their bound."""


@dataclass(slots=True)
class Target:
    """A target in virtual time."""

    name: TargetId
    zone: AvailabilityZone
    version: int = 1
    loads: int = 0
    began_seconds: float = -1.0
    until_seconds: float = math.inf

    @property
    def is_changing(self):
        return self.loads > 0


class VirtualRollout:
    """A rollout under demand that is given as a number of busy targets."""

    def __init__(self, bound_seconds, change_seconds, is_paced=True):
        self.bound_seconds = bound_seconds
        self.change_seconds = change_seconds
        self.is_paced = is_paced
        self.targets = [
            Target(TargetId(f"t{i:02}"), AvailabilityZone("abc"[i % 3]))
            for i in range(N_TARGETS)
        ]
        self.named = []
        self.now_seconds = 0.0
        self.means, self.change_time = MeanGroupLoad(), ChangeTime()
        self.backlog = self.n_on_time = self.n_requests = 0.0
        self.done_seconds = math.inf
        self.history, self.n_past_bound, self.superseded = [], 0, []
        self.silent = (math.inf, math.inf)
        self.unknown_from_seconds = math.inf
        self.n_hanging = 0
        self.leave = (math.inf, 0)
        self.newer_seconds = math.inf
        self.is_least_loaded_in_a = False

    def name(self, version):
        until_seconds = self.now_seconds + self.bound_seconds - MARGIN_SECONDS
        self.named.append(NamedVersion(version, self.now_seconds, until_seconds))

    @property
    def wanted(self):
        return self.named[-1].version

    def weights(self, target):
        is_known = self.now_seconds < self.unknown_from_seconds
        return TargetWeights(
            target=target.name,
            version=target.version,
            n_running=int(self.is_least_loaded_in_a and target.zone != "a"),
            is_changing=target.is_changing,
            availability_zone=target.zone,
            old_for_seconds=old_for_seconds(
                self.named if is_known else [], target.version, self.now_seconds
            ),
        )

    def pace(self, weights, n_busy):
        most = max_changing(len(weights))
        load = self.means.observe(
            GroupLoad(n_busy, float(self.backlog > 1.0)), self.now_seconds
        )
        if not self.is_paced:
            return RolloutPace(most, PaceReason.SWITCHED_OFF)
        changing = [target for target in self.targets if target.is_changing]
        schedule = RolloutSchedule(
            n_targets=len(weights),
            n_changing=len(changing),
            old_for_seconds=tuple(
                item.old_for_seconds
                for item in weights
                if item.version < self.wanted and not item.is_changing
            ),
            bound_seconds=self.bound_seconds,
            change_seconds=self.change_time.seconds(
                [self.now_seconds - target.began_seconds for target in changing]
            ),
        )
        return choose_pace(schedule, load, most)

    def run(self, demands):
        self.name(2)
        for demand, seconds in demands:
            for _ in range(round(seconds / STEP_SECONDS)):
                self.step(demand)

    def step(self, demand):
        if self.now_seconds >= self.newer_seconds:
            self.newer_seconds = math.inf
            self.name(3)
        if self.now_seconds >= self.leave[0]:
            self.targets = self.targets[: -self.leave[1]]
            self.leave = (math.inf, 0)
        self.end_changes()
        n_serving = self.serve(demand)
        weights = [self.weights(target) for target in self.targets]
        pace = self.pace(weights, min(n_serving, demand + self.backlog))
        if not self.silent[0] <= self.now_seconds < self.silent[1]:
            for order in next_orders(MODEL, self.wanted, weights, pace):
                self.begin_change(order)
        self.note(pace)
        self.now_seconds += STEP_SECONDS

    def begin_change(self, order):
        target = next(item for item in self.targets if item.name == order.target)
        target.loads = int(order.version)
        target.began_seconds = self.now_seconds
        target.until_seconds = self.now_seconds + self.change_seconds
        if self.n_hanging:
            self.n_hanging -= 1
            target.loads = target.version
            target.until_seconds = self.now_seconds + 5.0
        if target.loads < self.wanted and target.loads != target.version:
            self.superseded.append(target.name)

    def end_changes(self):
        for target in self.targets:
            if target.is_changing and self.now_seconds >= target.until_seconds - 1e-9:
                if target.loads > target.version:
                    self.change_time.observe(self.now_seconds - target.began_seconds)
                target.version, target.loads = target.loads, 0

    def serve(self, demand):
        """Serve demand in order of arrival; return how many targets serve."""
        n_serving = 0
        for target in self.targets:
            left = old_for_seconds(self.named, target.version, self.now_seconds)
            is_past = target.version < self.wanted and left <= 0.0
            self.n_past_bound += is_past and not target.is_changing
            n_serving += not target.is_changing and not is_past
        wait_seconds = self.backlog / max(1, n_serving)
        self.n_requests += demand * STEP_SECONDS
        if wait_seconds <= ON_TIME_SECONDS:
            self.n_on_time += demand * STEP_SECONDS
        self.backlog = max(0.0, self.backlog + (demand - n_serving) * STEP_SECONDS)
        return n_serving

    def note(self, pace):
        changing = [target for target in self.targets if target.is_changing]
        old = [item for item in self.targets if item.version < self.wanted]
        self.history.append((self.now_seconds, pace, changing, old))
        if old:
            self.done_seconds = math.inf
        elif self.done_seconds == math.inf:
            self.done_seconds = self.now_seconds

    def orders(self):
        return [sorted(item.name for item in row[2]) for row in self.history]

    @property
    def on_time_share(self):
        return self.n_on_time / self.n_requests


def run(context):
    """Run the rollout of the scenario once, as late as its first check."""
    if not context.has_run:
        context.has_run = True
        context.rollout.run(context.demands)
    return context.rollout


@given("a bound of {seconds:g} s for old weights")
def step_bound(context, seconds):
    context.bound_seconds, context.change_seconds = seconds, 1.5


@given("a change takes {seconds:g} s")
def step_change_time(context, seconds):
    context.change_seconds = seconds


@when(
    "{busy:g} targets are busy, requests wait at {waiting:g} of the daemons and old"
    " weights may serve for {left:g} s"
)
def step_load(context, busy, waiting, left):
    schedule = RolloutSchedule(
        N_TARGETS, 0, (left,) * N_TARGETS, context.bound_seconds, 1.5
    )
    context.pace = choose_pace(
        schedule, GroupLoad(busy, waiting), max_changing(N_TARGETS)
    )


@when("all of {n:d} targets are busy")
def step_all_busy(context, n):
    schedule = RolloutSchedule(n, 0, (13.5,) * n, context.bound_seconds, 1.5)
    context.pace = choose_pace(schedule, GroupLoad(n, 1.0), max_changing(n))


@when("the load of the targets is unknown")
def step_unknown(context):
    schedule = RolloutSchedule(N_TARGETS, 0, (13.5,) * N_TARGETS, 15.0, 1.5)
    context.pace = choose_pace(schedule, None, max_changing(N_TARGETS))


@then("{n:d} targets change at a time because it is {reason}")
def step_pace(context, n, reason):
    assert context.pace == RolloutPace(n, PaceReason[reason]), context.pace


def begin(context, demands):
    context.demands, context.has_run = demands, False
    context.rollout = VirtualRollout(context.bound_seconds, context.change_seconds)


@when("new weights are named while demand is {demand:d} for {seconds:d} s")
def step_named(context, demand, seconds):
    begin(context, [(demand, seconds)])


@when(
    "new weights are named while demand is {demand:d} for {seconds:d} s, then"
    " {later:d} for {more:d} s"
)
def step_named_waves(context, demand, seconds, later, more):
    begin(context, [(demand, seconds), (later, more)])


@when(
    "new weights are named while demand is {demand:d} for {seconds:d} s and zone a is"
    " the least loaded"
)
def step_named_zone(context, demand, seconds):
    begin(context, [(demand, seconds)])
    context.rollout.is_least_loaded_in_a = True


@when("newer weights are named {seconds:g} s later")
def step_newer(context, seconds):
    context.rollout.newer_seconds = seconds


@when("nobody may send orders from {begin_seconds:g} s to {end_seconds:g} s")
def step_silent(context, begin_seconds, end_seconds):
    context.rollout.silent = (begin_seconds, end_seconds)


@when("from {seconds:g} s on the time of the naming is unknown")
def step_unknown_naming(context, seconds):
    context.rollout.unknown_from_seconds = seconds


@when("the first {n:d} targets that load hang for 5 s and keep their weights")
def step_hang(context, n):
    context.rollout.n_hanging = n


@when("{n:d} targets leave after {seconds:g} s")
def step_leave(context, n, seconds):
    context.rollout.leave = (seconds, n)


@then(
    "at least {share:d} in 100 requests are on time, {more:d} in 100 more than at the"
    " full pace"
)
def step_on_time(context, share, more):
    rollout, full = run(context), run_full(context)
    shares = rollout.on_time_share, full.on_time_share
    assert shares[0] >= share / 100 and shares[0] - shares[1] >= more / 100, shares


def run_full(context):
    full = VirtualRollout(context.bound_seconds, context.change_seconds, is_paced=False)
    full.run(context.demands)
    return full


@then("the rollout is the same as at the full pace")
def step_same(context):
    rollout, full = run(context), run_full(context)
    assert rollout.orders() == full.orders()
    assert rollout.done_seconds < math.inf


@then("all targets have the new weights within {seconds:g} s")
def step_done(context, seconds):
    done_seconds = run(context).done_seconds
    assert done_seconds <= seconds, done_seconds


@then("at most {n:d} targets changed at a time")
def step_most(context, n):
    most = max(len(row[2]) for row in run(context).history)
    assert most <= n, most


@then("from {seconds:g} s on at most {n:d} targets changed at a time")
def step_most_from(context, seconds, n):
    # Changes that began before the targets left go on.
    start = seconds + context.change_seconds
    most = max(len(row[2]) for row in run(context).history if row[0] >= start)
    assert 0 < most <= n, most


@then("at {seconds:g} s {n:d} targets may change at a time")
def step_pace_at(context, seconds, n):
    pace = next(row[1] for row in run(context).history if row[0] >= seconds)
    assert pace.n_changing == n, pace


@then("no target served weights past their bound")
def step_bound_kept(context):
    assert run(context).n_past_bound == 0


@then("no target loaded a superseded version after the newer one was named")
def step_superseded(context):
    assert run(context).superseded == []


@then(
    "at most {n:d} targets of each zone changed at a time while all zones had old ones"
)
def step_zones(context, n):
    most = Counter()
    for _, pace, changing, old in run(context).history:
        waiting = {item.zone for item in old if not item.is_changing}
        if pace.is_limited and len(waiting) == 3:
            most |= Counter(item.zone for item in changing)
    assert len(most) == 3 and max(most.values()) <= n, most


@given("targets a, b, c, d and e of one zone beside five of another")
def step_two_zones(context):
    context.weights = [
        TargetWeights(TargetId(name), 1, n_running, False, AvailabilityZone(zone))
        for zone, names, n_running in (("x", "abcde", 2), ("y", "fghij", 1))
        for name in names
    ]


@given(
    "old weights may serve there for 9 s, 4 s, 0 s, 0 s and 9 s, and elsewhere for 9 s"
)
def step_deadlines(context):
    left = {"b": 4.0, "c": 0.0, "d": 0.0}
    context.weights = [
        replace(item, old_for_seconds=left.get(item.target, 9.0))
        for item in context.weights
    ]


@when("{n:d} targets may change at a time because demand needs them")
def step_limited(context, n):
    pace = RolloutPace(n, PaceReason.CROWDED)
    context.orders = next_orders(MODEL, 2, context.weights, pace)


@then("c, d and b are ordered")
def step_order(context):
    assert [order.target for order in context.orders] == ["c", "d", "b"]


@when("versions 3 and 4 are named")
def step_versions(context):
    context.named = [NamedVersion(3, -5.0, 8.5), NamedVersion(4, 0.0, 13.5)]


@then("weights {version:d} may still serve for {seconds:g} s")
def step_old_for(context, version, seconds):
    found = old_for_seconds(context.named, version, 0.0)
    assert found == seconds, found


@when("a target with {slots:d} slots reads {tokens:d} tokens and has {running:d} runs")
def step_busy_target(context, slots, tokens, running):
    context.busy = count_busy([(DaemonLoad(tokens, running), slots)])


@then("it counts as {busy:g} busy")
def step_busy(context, busy):
    assert context.busy == busy, context.busy
