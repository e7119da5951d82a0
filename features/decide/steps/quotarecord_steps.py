"""Steps of quotas.feature: what is recorded for the next start of the fleet."""

from behave import given, then, when

from features.decide.steps.quotas_steps import CUSTOMER, make_quota, make_quotas
from lycheepost.core.ids import CustomerId, DaemonId
from lycheepost.core.quotas import QuotaTolerance
from lycheepost.decide import fleetquota
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.decide.quotarecord import RecordedUse, decide_record

USES = {
    "8000 units left, 9000 asked a second": RecordedUse(8000.0, 9000.0),
    "8000 units left, 50000 asked a second": RecordedUse(8000.0, 50_000.0),
    "-5000 units left, 9000 asked a second": RecordedUse(-5000.0, 9000.0),
    "0 units left, 50000 asked a second": RecordedUse(0.0, 50_000.0),
    "a debt of a billion units": RecordedUse(-1e9, 9000.0),
}


@given("a daemon of {n:d} that has just started, and a record of {use}")
def step_recorded(context, n, use):
    context.now_seconds = 0.0
    context.quotas = FleetQuotas(1, 0.0)
    context.quotas.set_tolerance(QuotaTolerance(0.1, 10_000.0, 8.0))
    context.quotas.set_fleet(n)
    if use == "nobody":
        context.quotas.set_record({}, 0.0)
    elif use in USES:
        context.quotas.set_record({CUSTOMER: USES[use]}, 0.0)
    else:
        assert use == "nothing, as it was not read", use
    context.quotas.set_quotas({CUSTOMER: make_quota(10_000)}, 0.0)


@when("it admits a request of {units:d} units")
def step_admits_one(context, units):
    while context.quotas.take(CUSTOMER, units, 0.0) is not None:
        pass


@then("it {holds} the next one")
def step_holds(context, holds):
    hold_seconds = context.quotas.hold_seconds(CUSTOMER, 0.0)
    assert (hold_seconds > 0.0) == (holds == "holds"), hold_seconds


@when(
    "it is asked for {rate:d} units a second in requests of {units:d},"
    " for {seconds:d} s"
)
def step_asked(context, rate, units, seconds):
    n = rate * seconds // units
    passed = [
        context.quotas.take(CUSTOMER, units, seconds * (index + 1) / n) is None
        for index in range(n)
    ]
    context.passed_share = sum(passed) / n


@then("it admits between {least:g} and {most:g} of them")
def step_admits_share(context, least, most):
    assert least <= context.passed_share <= most, context.passed_share


@when("a peer that knows of {left:d} units left reports to it")
def step_peer_knows(context, left):
    counts = {CUSTOMER: fleetquota.QuotaCount(77_000.0, left)}
    update = fleetquota.QuotaUpdate(5, True, True, False, counts)
    context.quotas.set_entry([DaemonId("d1")], context.now_seconds)
    context.quotas.receive(DaemonId("d1"), update, context.now_seconds)


@then("it has {left:d} units left")
def step_has_left(context, left):
    assert context.quotas.left(CUSTOMER) == left, context.quotas.left(CUSTOMER)


@when("a record of {use} is read after {seconds:d} s")
def step_read_late(context, use, seconds):
    context.now_seconds = float(seconds)
    context.quotas.set_record({CUSTOMER: USES[use]}, context.now_seconds)


@given(
    "{n:d} customers, of which {n_near:d} ask for their whole quota"
    " and {n_beyond:d} for twice as much"
)
def step_customers(context, n, n_near, n_beyond):
    assert n_beyond == 1
    context.quotas = make_quotas()
    context.quotas.set_entry((), 0.0)
    names = [CustomerId(f"c{index}") for index in range(n)]
    context.quotas.set_quotas({name: make_quota(1000) for name in names}, 0.0)
    context.beyond = names[n_near]
    for index in range(60):
        for name in names[: n_near + 1]:
            units = 100.0 if name == context.beyond else 50.0
            context.quotas.take(name, units, 0.05 * index)


@when("a daemon records their use")
def step_records(context):
    context.record = context.quotas.make_record(3.0)


@then("the record holds {n:d} customers, among them the one that asks for most")
def step_record_holds(context, n):
    assert len(context.record) == n, len(context.record)
    most = max(context.record.items(), key=lambda item: item[1].demand_per_second)
    assert most[0] == context.beyond, most


DECISIONS = {
    "77 daemons and quotas": (False, True, 77),
    "1 daemon and quotas": (False, True, 1),
    "77 daemons, no quotas": (False, False, 77),
    "the mechanism off": (True, True, 77),
}


@when("daemons decide on the record with {case}")
def step_decide_record(context, case):
    context.decision = decide_record(*DECISIONS[case])


@then("it is {outcome}, because {reason}")
def step_decided(context, outcome, reason):
    assert context.decision.is_recorded == (outcome == "recorded")
    assert context.decision.reason == reason, context.decision.reason
