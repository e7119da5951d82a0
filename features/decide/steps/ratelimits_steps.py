"""Steps of ratelimits.feature."""

from dataclasses import replace

from behave import given, then, when

from features.decide.steps.common import SchedulerDriver, make_work
from lycheepost.bench.ratelimits import SCENARIOS, Way, measure_way
from lycheepost.core.ids import TargetGroupId, TargetId
from lycheepost.decide.ratelimits import ReportedLimit, TargetLimits
from lycheepost.decide.records import FinishKind

TARGET = TargetId("target-0")
LONG_BODY = "a long prompt " * 12


@given("a target that has named a limit of {per_second:g} a second")
def step_named(context, per_second):
    context.limits = TargetLimits()
    context.now_seconds = 100.0
    assert context.limits.note_answer(TARGET, per_second, 99.5, context.now_seconds)


@when("an answer without a limit comes to a request that was sent before")
def step_sent_before(context):
    context.now_seconds += 1.0
    context.limits.note_answer(TARGET, None, 99.9, context.now_seconds)


@when("an answer without a limit comes to a request that was sent after")
def step_sent_after(context):
    context.now_seconds += 1.0
    context.limits.note_answer(
        TARGET, None, context.now_seconds - 0.5, context.now_seconds
    )


@when("a peer reports a limit of {per_second:g} a second that it received before")
def step_old_report(context, per_second):
    context.limits.note_peer_report(TARGET, ReportedLimit(per_second, 100.1))


@when("a peer reports a limit of {per_second:g} a second that it received now")
def step_new_report(context, per_second):
    context.limits.note_peer_report(TARGET, ReportedLimit(per_second, 101.0))


@then("the limit is {per_second:g} a second")
def step_limit(context, per_second):
    assert context.limits.of(TARGET) == per_second, context.limits.of(TARGET)


@then("there is no limit")
def step_no_limit(context):
    assert context.limits.of(TARGET) is None


@then("the peer's report is not forwarded")
def step_not_own(context):
    assert not context.limits.own(context.now_seconds)


@when("{load} are played with seeds 1 to 5")
def step_played(context, load):
    scenario = next(item for item in SCENARIOS if item.name == load)
    context.record = measure_way(scenario, Way.DIVIDED, (1, 2, 3, 4, 5))


@then("no window is beyond what is tolerated")
def step_tolerated(context):
    assert context.record.worst_overrun <= 1.0, context.record


def make_limited(context, n_targets, n_limited, per_second):
    context.driver = SchedulerDriver(n_targets)
    for index in range(n_limited):
        set_limit(context, index, per_second)


def set_limit(context, index, per_second):
    driver = context.driver
    target = TargetId(f"target-{index}")
    driver.note(driver.scheduler.set_limit(target, per_second, driver.now_seconds))


@given(
    "a daemon before {n:d} targets of which the first names a limit of"
    " {per_second:g} a second"
)
def step_first_limited(context, n, per_second):
    make_limited(context, n, 1, per_second)


@given("a daemon before {n:d} targets that all name a limit of {per_second:g} a second")
def step_all_limited(context, n, per_second):
    make_limited(context, n, n, per_second)


@given("a daemon before 1 target that names a limit of {per_second:g} a second")
def step_one_limited(context, per_second):
    make_limited(context, 1, 1, per_second)


@given(
    "a daemon before 1 target that names a limit of {per_second:g} a second and then"
    " none"
)
def step_ended(context, per_second):
    make_limited(context, 1, 1, per_second)
    set_limit(context, 0, None)


@when("it gets {n:d} requests in {seconds:d} s")
def step_gets(context, n, seconds):
    gets(context, n, seconds)


def gets(context, n, seconds, **fields):
    """Let requests arrive evenly; each ends before the next one comes."""
    driver = context.driver
    context.longest_seconds = 0.0
    for index in range(n):
        name = f"r-{index}"
        began_seconds = driver.now_seconds
        driver.arrive(name, target_group=driver.views[0].target_group, **fields)
        driver.wait(seconds / n)
        if name in driver.sent:
            waited_seconds = wait_of(driver, name) - began_seconds
            context.longest_seconds = max(context.longest_seconds, waited_seconds)
            kind = FinishKind.COMPLETE
            driver.note(driver.scheduler.finish(name, driver.now_seconds, kind))


def wait_of(driver, name):
    """Return when a request was sent."""
    target = driver.sent[name]
    for group in driver.scheduler._groups.values():
        load = group.placement.loads.get(target)
        if load is not None and name in load.in_flight:
            return load.in_flight[name].dispatched_seconds
    raise AssertionError(f"{name} isn't in flight")


@when("the target moves to another group")
def step_moves(context):
    driver = context.driver
    driver.views = {0: replace(driver.views[0], target_group=TargetGroupId("others"))}
    driver.announce()


@then("the first target gets at most {most:d} of them")
def step_first_gets(context, most):
    n_sent = sum(target == TARGET for target in context.driver.sent.values())
    assert n_sent <= most, n_sent


@then("all of them are sent within 0.1 s")
def step_all_sent(context):
    driver = context.driver
    assert len(driver.sent) == len(driver.works), (driver.sent, driver.refused)
    assert context.longest_seconds <= 0.1, context.longest_seconds


@then("all of them are refused at once")
def step_all_refused(context):
    driver = context.driver
    assert len(driver.refused) == len(driver.works), (driver.sent, driver.refused)


@then("each is told to come back when a limit will let it pass")
def step_retry_time(context):
    driver = context.driver
    group = next(iter(driver.scheduler._groups.values()))
    loads = group.placement.loads.values()
    soonest = min(load.rate_limiter.next_seconds for load in loads)
    for index, name in enumerate(driver.works):
        came_seconds = driver.works[name].arrived_seconds
        wait = driver.refused[name].retry_after_seconds
        assert came_seconds + wait >= min(soonest, came_seconds + 30.0), (index, wait)


@given(
    "a daemon before {n:d} targets of which all but one name a limit of"
    " {per_second:g} a second"
)
def step_all_but_one(context, n, per_second):
    make_limited(context, n, n - 1, per_second)


@given("the first target caches a long prompt that many ask for, while work waits")
def step_cached(context):
    driver = context.driver
    group = next(iter(driver.scheduler._groups.values()))
    levels = make_work("first", driver.now_seconds, body=LONG_BODY).levels
    group.placement.loads[TARGET].cache_estimate.add(levels)
    group.placement.pressure = 1.0


@when("it gets {n:d} requests for that prompt in {seconds:d} s")
def step_gets_prompt(context, n, seconds):
    gets(context, n, seconds, body=LONG_BODY)


def back_off(context, index, seconds):
    driver = context.driver
    target = TargetId(f"target-{index}")
    context.backoff_until_seconds = driver.now_seconds + seconds
    driver.scheduler.back_off(target, context.backoff_until_seconds)


@given(
    "a daemon before {n:d} targets of which the first asks for a back-off of"
    " {seconds:g} s"
)
def step_first_backed_off(context, n, seconds):
    make_limited(context, n, 0, 0.0)
    back_off(context, 0, seconds)


@given("a daemon before {n:d} targets that all ask for a back-off of {seconds:g} s")
def step_all_backed_off(context, n, seconds):
    make_limited(context, n, 0, 0.0)
    for index in range(n):
        back_off(context, index, seconds)


@given("a daemon before 1 target that asks for a back-off of {seconds:g} s")
def step_one_backed_off(context, seconds):
    step_all_backed_off(context, 1, seconds)


@given("the first target asks for a back-off of {seconds:g} s")
def step_backs_off(context, seconds):
    back_off(context, 0, seconds)


@when("it gets 1 request in {seconds:d} s")
def step_gets_one(context, seconds):
    gets(context, 1, seconds)


@when("{seconds:g} s pass")
@when("{seconds:g} s passes")
def step_pass(context, seconds):
    context.driver.wait(seconds)


@when("the first target isn't listed for {seconds:g} s")
def step_not_listed(context, seconds):
    driver = context.driver
    view = driver.views.pop(0)
    driver.announce()
    driver.wait(seconds)
    driver.views[0] = view
    driver.announce()


@then("each is told to come back when the back-offs are over")
def step_backoff_time(context):
    driver = context.driver
    for name, work in driver.works.items():
        wait_seconds = driver.refused[name].retry_after_seconds
        until_seconds = work.arrived_seconds + wait_seconds
        assert until_seconds >= context.backoff_until_seconds, (name, wait_seconds)


@then("it is sent {least_seconds:g} s to {most_seconds:g} s later")
def step_sent_later(context, least_seconds, most_seconds):
    waited_seconds = context.longest_seconds
    assert len(context.driver.sent) == 1, context.driver.refused
    assert least_seconds <= waited_seconds <= most_seconds, waited_seconds
