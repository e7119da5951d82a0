"""Steps of quotalevels.feature."""

from behave import given, then, when

from lycheepost.core.ids import DaemonId
from lycheepost.core.quotas import Quota, QuotaTolerance, QuotaUnit
from lycheepost.decide.quotalevels import LEVEL_VALID_SECONDS, PeerLevel, correction
from lycheepost.decide.quotameter import QuotaCount, make_meter

RATE_PER_SECOND = 10_000.0
NOW_SECONDS = 100.0
REPORT_SECONDS = 0.05
PEERS = [DaemonId(f"d{index}") for index in range(3)]


def parse_level(text):
    """Return a peer's level; one marked ``old:`` was reported too long ago."""
    is_old = text.startswith("old:")
    age_seconds = 2.0 * LEVEL_VALID_SECONDS if is_old else 0.0
    return PeerLevel(float(text.removeprefix("old:")), NOW_SECONDS - age_seconds)


@then(
    "a level of {own:g} beside peers with {peers} changes by {units:g} in {seconds:g} s"
)
def step_correction(context, own, peers, units, seconds):
    levels = {
        DaemonId(f"d{index}"): parse_level(text)
        for index, text in enumerate(peers.split())
    }
    found = correction(own, levels, RATE_PER_SECOND, seconds, NOW_SECONDS)
    assert abs(found - units) < 1e-6, found


@given("a meter that has told its peers of all units spent")
def step_meter(context):
    quota = Quota(QuotaUnit.TOKENS, RATE_PER_SECOND, RATE_PER_SECOND, 200.0)
    tolerance = QuotaTolerance(0.1, 1000.0, 8.0)
    context.meter = make_meter(quota, tolerance, 1.0, 0.1, NOW_SECONDS)
    context.meter.approach_peers()
    context.before = context.meter.fleet.level


def report(context, level):
    for daemon in PEERS:
        context.meter.add_peer_count(daemon, QuotaCount(0.0, level))


@given("peers that report the same level")
def step_same(context):
    report(context, context.before)


@given("peers that report a level that is {units:g} units higher")
def step_higher(context, units):
    report(context, context.before + units)


@when("it spends {units:g} units and compares levels before it tells them")
def step_spend(context, units):
    context.meter.catch_up(NOW_SECONDS + 0.01)
    context.before = context.meter.fleet.level
    context.meter.spend(units)
    context.meter.approach_peers()


@then("its level is {units:g} units lower")
def step_lower(context, units):
    found = context.before - context.meter.fleet.level
    assert abs(found - units) < 1e-6, found


@when("{seconds:g} s pass and it compares levels")
def step_pass(context, seconds):
    context.meter.catch_up(NOW_SECONDS + seconds)
    context.refilled = context.meter.fleet.level
    context.meter.approach_peers()


@then("its level has changed by the refill only")
def step_refill_only(context):
    assert context.meter.fleet.level == context.refilled


@when(
    "its customer asks for twice its quota for {seconds:g} s, and each {n:d}th report"
    " of its peers is {more:g} units higher, the others {units:g} {direction}"
)
def step_beyond(context, seconds, n, more, units, direction):
    meter, context.moved = context.meter, 0.0
    usual = -units if direction == "lower" else units
    for number in range(round(seconds / REPORT_SECONDS)):
        now_seconds = NOW_SECONDS + number * REPORT_SECONDS
        meter.catch_up(now_seconds)
        meter.ask(2.0 * RATE_PER_SECOND * REPORT_SECONDS)
        before = meter.fleet.level
        meter.approach_peers()
        context.moved += meter.fleet.level - before
        # Others admit what is refilled.
        meter.fleet.add(-meter.fleet.rate_per_second * REPORT_SECONDS)
        above = (more if number % n == n - 1 else usual) - follows(context, direction)
        report(context, meter.fleet.level + above)


def follows(context, direction):
    """Return by how much this level came closer to those of peers that stay higher."""
    return context.moved if direction == "higher" else 0.0


@then("its level has moved by at most {units:g} units")
def step_moved_little(context, units):
    assert abs(context.moved) <= units, context.moved


@then("its level has moved by at least {units:g} units")
def step_moved(context, units):
    assert context.moved >= units, context.moved
