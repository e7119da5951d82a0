"""Steps of decisions.feature."""

from dataclasses import replace

from behave import given, then, when

from features.decide.steps.common import SchedulerDriver, make_view
from lycheepost.core.ids import Incarnation, TargetId, WeightsVersion
from lycheepost.decide.cacheestimate import CacheEstimate
from lycheepost.decide.records import (
    FinishKind,
    LoadReport,
    PrefixLevel,
    RefusalReason,
    TargetState,
)
from lycheepost.generated.engine import CacheEvent, CacheEventKind


@given("a scheduler before {n_targets:d} targets")
def make_driver(context, n_targets):
    context.driver = SchedulerDriver(n_targets)


@when("{n_requests:d} requests of one customer arrive in one moment")
def arrive_many(context, n_requests):
    for index in range(n_requests):
        context.driver.arrive(f"many-{index}", customer="large")


@then("some are sent and some are refused at once with a time to come back")
def check_early(context):
    driver = context.driver
    assert driver.sent and driver.refused
    for refusal in driver.refused.values():
        assert refusal.retry_after_seconds > 0, refusal


@then("every time to come back differs from the next")
def check_jitter(context):
    times = [item.retry_after_seconds for item in context.driver.refused.values()]
    assert len(set(times)) > len(times) / 2, times


@when("{seconds:d} seconds pass without any first token")
def pass_time(context, seconds):
    driver = context.driver
    driver.ended = dict.fromkeys(driver.refused, driver.now_seconds)
    for _ in range(seconds * 50):
        driver.wait(0.02)
        for request in driver.refused:
            driver.ended.setdefault(request, driver.now_seconds)


@then("every request was sent, or refused within {percent:d} in 100 of its timeout")
def check_not_held(context, percent):
    driver = context.driver
    assert set(driver.works) == set(driver.sent) | set(driver.refused)
    for request, ended in driver.ended.items():
        work = driver.works[request]
        waited = ended - work.arrived_seconds
        assert waited <= work.first_token_timeout_seconds * percent / 100, waited


@when('a request "{name}" of another customer arrives')
def arrive_one(context, name):
    context.driver.arrive(name, customer="small")


@when("the running requests end one after another")
def end_all(context):
    driver = context.driver
    context.already = list(driver.sent)
    for request in context.already[:4]:
        driver.wait(0.1)
        driver.scheduler.first_token(request, driver.now_seconds, None)
        outcomes = driver.scheduler.finish(
            request, driver.now_seconds, FinishKind.COMPLETE
        )
        driver.note(outcomes)


@then('"{name}" is among the next {count:d} that are sent')
def check_next(context, name, count):
    assert name not in context.already
    later = [item for item in context.driver.sent if item not in context.already]
    assert name in later[:count], later


@when("the daemon drains")
def drain(context):
    context.driver.note(context.driver.scheduler.drain())


@then("every request was sent or refused as shutting down")
def check_drained(context):
    driver = context.driver
    early = {RefusalReason.DEADLINE, RefusalReason.OVER_SHARE}
    reasons = {item.reason for item in driver.refused.values()} - early
    assert reasons == {RefusalReason.SHUTTING_DOWN}, reasons
    assert set(driver.works) == set(driver.sent) | set(driver.refused)


@then("a new request is refused as shutting down")
def check_new(context):
    context.driver.arrive("new")
    assert context.driver.refused["new"].reason is RefusalReason.SHUTTING_DOWN


@when("target 0 becomes {state}")
def change_state(context, state):
    driver = context.driver
    driver.views[0] = replace(driver.views[0], state=TargetState(state))
    driver.announce()


@then("no request went to target 0")
def check_avoided(context):
    assert context.driver.sent
    assert TargetId("target-0") not in context.driver.sent.values()


@when("requests have filled the cache estimate of target 0")
def fill_cache_estimate(context):
    context.driver.arrive("first", body="same")
    context.work = context.driver.works["first"]
    assert expected_cached_tokens(context) == context.work.prompt_tokens


def expected_cached_tokens(context):
    """Return the cached tokens that the next dispatch of the same prompt expects."""
    driver = context.driver
    work = replace(context.work, request=f"again-{driver.now_seconds}")
    driver.now_seconds += 1.0
    for outcome in driver.scheduler.arrive(work, driver.now_seconds):
        driver.scheduler.finish(work.request, driver.now_seconds, FinishKind.CANCELLED)
        return outcome.expected_cached_tokens
    raise AssertionError("not sent")


def stored(sequence, digest, n_tokens=100):
    kind = CacheEventKind.STORED
    return CacheEvent(sequence=sequence, kind=kind, digest=digest, n_tokens=n_tokens)


def report(context, boot):
    context.driver.scheduler.observe_load(
        LoadReport(
            target=TargetId("target-0"),
            incarnation=Incarnation(boot),
            measured_seconds=context.driver.now_seconds,
            n_running=0,
            n_queued=0,
            queued_prompt_tokens=0,
            cached_tokens=0,
        ),
        context.driver.now_seconds,
    )


def send_events(context, boot, events):
    context.driver.scheduler.observe_cache_events(
        TargetId("target-0"), Incarnation(boot), events, context.driver.now_seconds
    )


@when("{event} happens to target 0")
def happen(context, event):
    driver = context.driver
    match event:
        case "a restart seen by membership":
            driver.views[0] = make_view(0, boot="2")
            driver.announce()
        case "a restart seen in load reports":
            report(context, "boot-0-2")
        case "a restart seen in cache events":
            send_events(context, "boot-0-2", (stored(1, 5),))
        case "late events of the dead engine":
            report(context, "boot-0-2")
            levels = context.work.levels
            late = tuple(stored(i + 1, lv.digest) for i, lv in enumerate(levels))
            send_events(context, "boot-0-1", late)
        case "a change of weights":
            version = WeightsVersion("weights-2")
            driver.views[0] = replace(driver.views[0], weights_version=version)
            driver.announce()
            context.work = replace(context.work, weights_version=version)


@then("the same prompt expects no cached tokens there")
def check_no_cached_tokens(context):
    assert expected_cached_tokens(context) == 0


@when("target 0 announces {n_stored:d} stored levels and then skips {n_lost:d} events")
def skip_events(context, n_stored, n_lost):
    context.cache_estimate = CacheEstimate(Incarnation("boot"), 10**9)
    events = [stored(sequence, sequence) for sequence in range(1, n_stored + 1)]
    events.append(stored(n_stored + n_lost + 1, n_stored + n_lost + 1))
    context.cache_estimate.observe(Incarnation("boot"), events)


@then("the {count:d} oldest levels are dropped and the rest are kept")
def check_gap(context, count):
    found = [
        digest
        for digest in range(1, 51)
        if context.cache_estimate.cached_tokens((PrefixLevel(digest, 100),))
    ]
    assert found == list(range(count + 1, 51)), found


@when("a request has failed on every target but the last")
def fail_all_but_last(context):
    driver = context.driver
    names = [view.target for view in driver.views.values()]
    context.last = names[-1]
    driver.arrive("unlucky", excluded=frozenset(names[:-1]))


@then("it is sent to the last")
def check_last(context):
    assert context.driver.sent == {"unlucky": context.last}, context.driver.refused


@when('{count:d} orders of one customer and one "{name}" of another arrive')
def arrive_orders(context, count, name):
    order = {"levels": (), "prompt_tokens": 0, "output_tokens": 0}
    for index in range(count):
        context.driver.arrive(f"order-{index}", customer="large", **order)
    context.driver.arrive(name, customer="small", **order)


@then("{count:d} are sent and none is refused for the load of others")
def check_limit(context, count):
    assert len(context.driver.sent) == count, context.driver.sent
    assert "modest" not in context.driver.refused, context.driver.refused


@then('"{name}" is sent before the flood is through')
def check_turn(context, name):
    driver = context.driver
    for request in list(driver.sent)[:3]:
        driver.wait(0.1)
        driver.scheduler.first_token(request, driver.now_seconds, None)
        kind = FinishKind.COMPLETE
        driver.note(driver.scheduler.finish(request, driver.now_seconds, kind))
    assert name in driver.sent
    assert len(driver.sent) < len(driver.works)


@when("the same look-up arrives {count:d} times at once")
def arrive_same(context, count):
    look_up = {"levels": (), "prompt_tokens": 0, "output_tokens": 0}
    for index in range(count):
        context.driver.arrive(f"look-{index}", body="look", **look_up)


@then("each target has some of them")
def check_shared(context):
    driver = context.driver
    assert len(driver.sent) == len(driver.works), driver.refused
    targets = {view.target for view in driver.views.values()}
    assert set(driver.sent.values()) == targets, driver.sent
