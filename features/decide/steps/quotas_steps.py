"""Steps of quotas.feature."""

import dataclasses
import random
from unittest import mock

from behave import given, then, when

from lycheepost.bench.quotaplan import FaultKind
from lycheepost.bench.quotapolicies import POLICIES
from lycheepost.bench.quotascenarios import LARGE, SMALL, make_plan
from lycheepost.bench.quotaworld import MOST_TOKENS, World
from lycheepost.core.ids import CustomerId, DaemonId
from lycheepost.core.quotas import Quota, QuotaTolerance, QuotaUnit
from lycheepost.decide import fleetquota, quotameter
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.decide.quotapeers import QuotaPeers

CUSTOMER = CustomerId("one")
STEP_SECONDS = 0.05

GUARD_PATCHES = {
    "counts of the others": [
        mock.patch.object(FleetQuotas, "receive", lambda *_: None),
        mock.patch.object(QuotaPeers, "find_share", lambda *_: 1.0),
    ],
    "a part for those who are silent": [
        mock.patch.object(QuotaPeers, "find_share", lambda *_: 1.0),
    ],
    "a smaller bucket after a start": [
        mock.patch.object(quotameter, "START_TOLERANCE_SHARE", 1e9),
        mock.patch.object(QuotaPeers, "find_share", lambda *_: 1.0),
    ],
    "the record of an earlier start": [
        mock.patch.object(FleetQuotas, "make_record", lambda *_: {}),
    ],
    "hearing of a lower quota": [
        mock.patch.object(quotameter.QuotaMeter, "change", lambda *_: None),
    ],
}
"""Patches that disable each guard."""


@given("daemons without {guard}")
def step_without_guard(context, guard):
    for patch in GUARD_PATCHES[guard]:
        patch.start()
        context.add_cleanup(patch.stop)


@when(
    "{n:d} daemons and {n_customers:d} customers play"
    ' "{scenario}" with seeds {first:d} to {last:d}'
)
def step_play(context, n, n_customers, scenario, first, last):
    context.plays = []
    for seed in range(first, last + 1):
        plan = make_plan(scenario, n, n_customers, seed)
        context.plays.append((plan, World(plan, POLICIES["shared"]).run()))


def worst(context):
    """Return the worst window of all runs, as a fraction of the tolerated units."""
    return max(audit.worst_overrun(plan) for plan, audit in context.plays)


@then("the worst window holds at most what is tolerated")
def step_tolerated(context):
    assert worst(context) <= 1.0, worst(context)


@then("the worst window holds more than is tolerated")
def step_not_tolerated(context):
    assert worst(context) > 1.0, worst(context)


@then("at most {most:d} in {n:d} requests of customers inside their quotas are refused")
@then("at most {most:d} in {n:d} requests of customers inside their quotas is refused")
def step_not_refused(context, most, n):
    for _plan, audit in context.plays:
        modest = audit.modest()
        n_asked = sum(audit.n_requests[name] for name in modest)
        n_refused = sum(audit.n_refused[name] for name in modest)
        assert n_asked > 1000, n_asked
        assert n_refused * n <= most * n_asked, (n_refused, n_asked)


@then("at most {most:d} in {n:d} owed requests of the customers beside it are refused")
def step_owed(context, most, n):
    for plan, audit in context.plays:
        others = [name for name in plan.quotas if name != LARGE]
        n_owed = sum(audit.n_requests[name] - audit.n_beyond[name] for name in others)
        n_refused = sum(audit.n_owed_refused[name] for name in others)
        assert n_owed > 1000, n_owed
        assert n_refused * n <= most * n_owed, (n_refused, n_owed)


@then(
    "the windows that begin {seconds:g} s after the change"
    " hold at most what is tolerated"
)
def step_lowered(context, seconds):
    for plan, audit in context.plays:
        [fault] = [fault for fault in plan.faults if fault.kind is FaultKind.SCALE]
        begin_seconds = fault.at_seconds + seconds
        for customer, quota in plan.quotas.items():
            lowered = Quota(
                quota.unit,
                fault.factor * quota.rate_per_second,
                fault.factor * quota.burst,
            )
            window_seconds = plan.tolerance.window_seconds
            allowed = lowered.rate_per_second * window_seconds + lowered.burst
            allowed += plan.tolerance.of(lowered)
            most = audit.worst_window(customer, window_seconds, begin_seconds)
            assert 0 < most <= allowed, (customer, most, allowed)


@then(
    "from second {since:g} on those beyond their quotas get {share:g} of them or more"
)
def step_hot_served(context, since, share):
    for plan, audit in context.plays:
        factors = [
            fault.factor for fault in plan.faults if fault.kind is FaultKind.SCALE
        ]
        factor = factors[0] if factors else 1.0
        for customer in (LARGE, SMALL):
            rate = factor * plan.quotas[customer].rate_per_second
            units = audit.units_between(customer, since, plan.seconds)
            # A long request may have overdrawn the bucket just before the span.
            allowed = rate * (plan.seconds - since) - MOST_TOKENS
            assert units >= share * allowed, (customer, units / allowed)


@then("from second {since:g} on a hot customer gets at most {share:g} of its quota")
def step_hot_bounded(context, since, share):
    for plan, audit in context.plays:
        units = audit.units_between(LARGE, since, plan.seconds)
        allowed = plan.quotas[LARGE].rate_per_second * (plan.seconds - since)
        assert units <= share * allowed, units / allowed


def make_quota(units_per_second):
    return Quota(QuotaUnit.TOKENS, units_per_second, units_per_second, 200.0)


def make_quotas(start=1):
    """Return the quotas of a daemon that has run for a while."""
    quotas = FleetQuotas(start, -60.0)
    quotas.set_tolerance(QuotaTolerance(0.1, 1000.0, 8.0))
    return quotas


@given("a daemon and a customer with {rate:d} units a second")
def step_daemon(context, rate):
    context.now_seconds = 0.0
    context.quotas = make_quotas()
    context.quotas.set_entry((), 0.0)
    context.quotas.set_quotas({CUSTOMER: make_quota(rate)}, 0.0)


@when(
    "requests of {small:d} and of {large:d} units"
    " come {n:d} times a second for {seconds:d} s"
)
def step_sizes(context, small, large, n, seconds):
    rng = random.Random(1)
    context.n_passed = {small: 0, large: 0}
    context.n_asked = n * seconds
    arrivals = [
        (rng.uniform(0.0, seconds), units)
        for units in (small, large)
        for _ in range(n * seconds)
    ]
    for now_seconds, units in sorted(arrivals):
        waits = context.quotas.take(CUSTOMER, units, now_seconds)
        context.n_passed[units] += waits is None


@then("both sizes pass equally often, within a fifth")
def step_equal(context):
    few, many = sorted(context.n_passed.values())
    assert 0 < few < context.n_asked / 4
    assert few >= 0.8 * many, context.n_passed


@when("{n:d} requests of {units:d} units come at once and come back when told")
def step_return(context, n, units):
    context.n_refusals = [0] * n
    context.ended_seconds = [None] * n
    due = [(0.0, index) for index in range(n)]
    while due:
        due.sort()
        now_seconds, index = due.pop(0)
        wait_seconds = context.quotas.take(CUSTOMER, units, now_seconds)
        if wait_seconds is None:
            context.ended_seconds[index] = now_seconds
        else:
            context.n_refusals[index] += 1
            due.append((now_seconds + wait_seconds, index))


@then("all have passed within {seconds:g} s, none with more than {n:d} refusals")
def step_returned(context, seconds, n):
    assert max(context.ended_seconds) <= seconds, context.ended_seconds
    assert max(context.n_refusals) <= n, context.n_refusals


@when("a request of {units:d} units is let through and never runs")
def step_unrun(context, units):
    assert context.quotas.take(CUSTOMER, units, 0.0) is None
    context.quotas.refund(CUSTOMER, units, 0.0)


@then("the next one is let through")
@then("it is let through")
def step_through(context):
    assert context.quotas.take(CUSTOMER, 1.0, context.now_seconds) is None


@then("it is let through {n:d} times")
def step_through_times(context, n):
    for _ in range(n):
        assert context.quotas.take(CUSTOMER, 1e6, context.now_seconds) is None


@when("its quota is used up")
def step_used_up(context):
    while context.quotas.take(CUSTOMER, 500.0, 0.0) is None:
        pass


@then("it is refused")
def step_refused(context):
    assert context.quotas.take(CUSTOMER, 1.0, 0.0) > 0.0


@when("its quota is lowered to {rate:d} units a second")
def step_lowered_to(context, rate):
    step_used_up(context)
    context.quotas.set_quotas({CUSTOMER: make_quota(rate)}, 0.0)


def ask_for(context, seconds):
    """Request more than is allowed; return the units admitted per second."""
    units, step_seconds = 100.0, 0.005
    n_passed = 0
    for _ in range(round(seconds / step_seconds)):
        context.now_seconds += step_seconds
        n_passed += context.quotas.take(CUSTOMER, units, context.now_seconds) is None
    return n_passed * units / seconds


@then("for {seconds:g} s it gets {rate:d} units a second")
def step_gets_for(context, seconds, rate):
    assert abs(ask_for(context, seconds) - 1.02 * rate) < 0.02 * rate


@then("from then on it gets {rate:d} units a second")
def step_gets(context, rate):
    assert abs(ask_for(context, 10.0) - 1.02 * rate) < 0.05 * rate


@when("its quota is raised to {rate:d} units a second")
def step_raised(context, rate):
    context.quotas.set_quotas({CUSTOMER: make_quota(rate)}, 0.0)


@when("its quota is taken away")
def step_taken_away(context):
    context.quotas.set_quotas({}, 0.0)


@given(
    "{n:d} entry daemons and one on standby, with a customer of {rate:d} units a second"
)
def step_standby(context, n, rate):
    names = [DaemonId(f"d{index}") for index in range(n)]
    context.fleet = {name: make_quotas(index) for index, name in enumerate(names)}
    context.standby = DaemonId("by")
    context.fleet[context.standby] = make_quotas(99)
    context.n_entry = n
    context.rate = rate
    for name, quotas in context.fleet.items():
        quotas.set_quotas({CUSTOMER: make_quota(rate)}, 0.0)
        if name == context.standby:
            quotas.set_standby(names[0], n, 0.0)
        else:
            quotas.set_entry([other for other in names if other != name], 0.0)
    context.now_seconds = 0.0
    exchange(context)


def exchange(context, is_full=False):
    """Let each daemon send one update to its listeners."""
    context.now_seconds += STEP_SECONDS
    for name, quotas in context.fleet.items():
        listeners = quotas.listeners(context.now_seconds)
        if not listeners:
            continue
        update = quotas.update(is_full, context.now_seconds)
        for listener in listeners:
            context.fleet[listener].receive(name, update, context.now_seconds)


def left(context, name):
    quotas = context.fleet[name]
    quotas.status(context.now_seconds)
    return quotas.left(CUSTOMER)


@when("the standby daemon admits requests until it refuses one")
def step_admits(context):
    context.before = left(context, DaemonId("d1"))
    quotas = context.fleet[context.standby]
    context.spent = 0.0
    while quotas.take(CUSTOMER, 50.0, context.now_seconds) is None:
        context.spent += 50.0


@then("it admitted at most the share of one unreachable daemon")
def step_part(context):
    capacity = context.rate * 1.5
    assert 0.0 < context.spent <= capacity / context.n_entry, context.spent


@then("the entry daemons soon know the units that it spent")
def step_known(context):
    exchange(context)
    exchange(context)
    for index in range(context.n_entry):
        gone = context.before - left(context, DaemonId(f"d{index}"))
        refilled = context.rate * 2 * STEP_SECONDS
        assert abs(context.spent - gone) <= refilled, (index, gone, context.spent)


@then("soon it knows what is left")
def step_level_known(context):
    exchange(context)
    assert abs(left(context, context.standby) - left(context, DaemonId("d0"))) < 1.0
    quotas = context.fleet[context.standby]
    assert quotas.take(CUSTOMER, 1.0, context.now_seconds) is None


@given(
    "{n:d} daemons that share a quota of {rate:d} units a second,"
    " one with a level that is {less:d} lower"
)
def step_parted(context, n, rate, less):
    names = [DaemonId(f"d{index}") for index in range(n)]
    context.fleet = {name: make_quotas(index) for index, name in enumerate(names)}
    context.now_seconds = 0.0
    for name, quotas in context.fleet.items():
        quotas.set_quotas({CUSTOMER: make_quota(rate)}, 0.0)
        quotas.set_entry([other for other in names if other != name], 0.0)
    # Each sends an update first, so that later counts continue from it.
    for quotas in context.fleet.values():
        quotas.take(CUSTOMER, 1.0, 0.0)
    exchange(context)
    exchange(context)
    context.fleet[names[0]]._meters[CUSTOMER].fleet.add(-less)


@when(
    "the customer asks each of them for {units:d} units {n:d} times a second,"
    " for {seconds:d} s"
)
def step_asks_each(context, units, n, seconds):
    assert n * STEP_SECONDS == 1.0
    for _ in range(n * seconds):
        for quotas in context.fleet.values():
            quotas.take(CUSTOMER, units, context.now_seconds)
        exchange(context)


@then("all have the same level, but for the {units:d} units that may be in transit")
def step_agree(context, units):
    found = [left(context, name) for name in context.fleet]
    assert max(found) - min(found) <= units, found


@when(
    "one of the 3 has admitted {units:d} units a second for {n:d} s"
    " and then goes on standby"
)
def step_former(context, units, n):
    former = context.fleet[DaemonId("d2")]
    for _ in range(round(n / STEP_SECONDS)):
        former.take(CUSTOMER, units * STEP_SECONDS, context.now_seconds)
        exchange(context)
    for name in (DaemonId("d0"), DaemonId("d1")):
        others = [DaemonId("d0"), DaemonId("d1")]
        peers = [other for other in others if other != name]
        context.fleet[name].set_entry(peers, context.now_seconds)
    former.set_standby(DaemonId("d0"), 2, context.now_seconds)


@when("it repeats its report {seconds:g} s later")
def step_repeats(context, seconds):
    former = context.fleet[DaemonId("d2")]
    update = former.update(True, context.now_seconds)
    counts = {CUSTOMER: fleetquota.QuotaCount(30_000.0, 0.0)}
    context.now_seconds += seconds
    for name in (DaemonId("d0"), DaemonId("d1")):
        quotas = context.fleet[name]
        quotas.listeners(context.now_seconds)
        report = dataclasses.replace(update, counts=counts, wants_relay=False)
        quotas.receive(DaemonId("d2"), report, context.now_seconds)


@then("the others have all of the quota left")
def step_all_left(context):
    for name in (DaemonId("d0"), DaemonId("d1")):
        assert left(context, name) >= context.rate, left(context, name)


@when("another entry daemon sends an update to the standby daemon")
def step_sends(context):
    quotas = context.fleet[context.standby]
    quotas.take(CUSTOMER, 1.0, context.now_seconds)
    update = context.fleet[DaemonId("d1")].update(True, context.now_seconds)
    quotas.receive(DaemonId("d1"), update, context.now_seconds)


@then("the standby daemon still has one listener, its relay")
def step_one_listener(context):
    listeners = context.fleet[context.standby].listeners(context.now_seconds)
    assert listeners == (DaemonId("d0"),), listeners


@given("{n:d} daemons that have just started and know that they are {same:d}")
def step_just_started(context, n, same):
    context.fleet = {}
    for index in range(n):
        quotas = FleetQuotas(index, 0.0)
        quotas.set_tolerance(QuotaTolerance(0.1, 110_000.0, 8.0))
        quotas.set_fleet(same)
        quotas.set_entry((), 0.0)
        context.fleet[DaemonId(f"d{index}")] = quotas


@when(
    "a customer of {rate:d} units a second asks each for {units:d} units"
    " {n:d} times in {seconds:g} s"
)
def step_asks_all(context, rate, units, n, seconds):
    context.rate, context.passed = rate, 0.0
    for index in range(n):
        now_seconds = seconds * index / n
        for quotas in context.fleet.values():
            if index == 0:
                quotas.set_quotas({CUSTOMER: make_quota(rate)}, 0.0)
            if quotas.take(CUSTOMER, units, now_seconds) is None:
                context.passed += units


@then("together they admit at most what its quota allows")
def step_quota_allows(context):
    tolerated = QuotaTolerance(0.1, 110_000.0, 8.0).of(make_quota(context.rate))
    assert 0.0 < context.passed <= 9.0 * context.rate + tolerated, context.passed
