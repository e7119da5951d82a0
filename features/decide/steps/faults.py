"""Steps of faults.feature."""

import heapq
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from features.decide.steps.common import SchedulerDriver, make_view
from lycheepost.core.ids import Incarnation, TargetId
from lycheepost.decide.records import FinishKind, LoadReport, RefusalReason

CRASHING = "crashing"
TARGET_0 = TargetId("target-0")


@when(
    "{count:d} requests run on target 0 and one of them crashes every target it runs on"
)
def run_on_one(context, count):
    driver = context.driver
    others = {key: driver.views[key] for key in driver.views if key != 0}
    driver.views = {0: driver.views[0]}
    driver.announce()
    for index in range(count - 1):
        driver.arrive(f"neighbour-{index}", first_token_timeout_seconds=60.0)
    driver.arrive(CRASHING, first_token_timeout_seconds=60.0)
    assert set(driver.sent.values()) == {TARGET_0} and len(driver.sent) == count
    driver.views.update(others)
    driver.announce()
    context.reached = Counter()
    context.complete = set()


@when("lost requests are retried until nothing changes")
def retry_lost(context):
    driver = context.driver
    for _ in range(50):
        running = dict(driver.sent)
        driver.sent.clear()
        lost_target = running.get(CRASHING)
        context.reached[CRASHING] += lost_target is not None
        lost = [name for name, target in running.items() if target == lost_target]
        for name in lost:
            lose(driver, name, lost_target)
        for name in running:
            if name not in lost:
                driver.scheduler.first_token(name, driver.now_seconds, None)
                kind = FinishKind.COMPLETE
                driver.note(driver.scheduler.finish(name, driver.now_seconds, kind))
                context.complete.add(name)
        for name in lost:
            driver.note(driver.scheduler.retry(driver.works[name], driver.now_seconds))
        driver.wait(0.5)


def lose(driver, name, target):
    """Finish a request with the loss of its target."""
    work = driver.works[name]
    driver.works[name] = replace(work, excluded=work.excluded | {target})
    kind = FinishKind.TARGET_LOST
    driver.note(driver.scheduler.finish(name, driver.now_seconds, kind))


@then(
    "the crashing request reached exactly {count:d} targets"
    " and is refused as quarantined"
)
def check_crashing(context, count):
    assert context.reached[CRASHING] == count, context.reached
    assert context.driver.refused[CRASHING].reason is RefusalReason.QUARANTINED


@then("its resend is refused as quarantined")
def check_resend(context):
    context.driver.arrive("resend", body=CRASHING)
    assert context.driver.refused["resend"].reason is RefusalReason.QUARANTINED


@then("all other requests complete")
def check_others(context):
    others = set(context.driver.works) - {CRASHING, "resend"}
    assert context.complete == others, others - context.complete


@when("{count:d} requests in turn fail on every target they reach")
def fail_all(context, count):
    driver = context.driver
    context.n_retries = 0
    for index in range(count):
        name = f"request-{index}"
        driver.arrive(name)
        while name in driver.sent:
            target = driver.sent.pop(name)
            work = driver.works[name]
            driver.works[name] = replace(work, excluded=work.excluded | {target})
            kind = FinishKind.TARGET_REFUSED
            driver.note(driver.scheduler.finish(name, driver.now_seconds, kind))
            driver.note(driver.scheduler.retry(driver.works[name], driver.now_seconds))
            context.n_retries += name in driver.sent
    context.n_requests = count


@then("at most {burst:d} plus a tenth of them were retries")
def check_budget(context, burst):
    assert 0 < context.n_retries <= burst + context.n_requests / 10


class Player:
    """Simulates requests through a scheduler, on targets that serve one at a time."""

    SERVICE_SECONDS = 0.02

    def __init__(self, driver):
        self.driver = driver
        self.ending = []
        self.n_sent = 0
        self.free_at = {}

    def send(self, body):
        self.n_sent += 1
        self.driver.arrive(
            f"played-{self.n_sent}", body=body, first_token_timeout_seconds=20.0
        )

    def start_sent(self, slowness):
        """Schedule the end of every request that was sent; return their targets."""
        driver = self.driver
        targets = list(driver.sent.values())
        for name, target in driver.sent.items():
            seconds = self.SERVICE_SECONDS * slowness.get(target, 1.0)
            start = max(driver.now_seconds, self.free_at.get(target, 0.0))
            self.free_at[target] = start + seconds
            heapq.heappush(self.ending, (start + seconds, name))
        driver.sent.clear()
        return targets

    def run_to(self, end_seconds):
        driver = self.driver
        while self.ending and self.ending[0][0] <= end_seconds:
            at_seconds, name = heapq.heappop(self.ending)
            driver.now_seconds = max(driver.now_seconds, at_seconds)
            driver.scheduler.first_token(name, driver.now_seconds, None)
            kind = FinishKind.COMPLETE
            driver.note(driver.scheduler.finish(name, driver.now_seconds, kind))
        driver.now_seconds = max(driver.now_seconds, end_seconds)
        driver.note(driver.scheduler.tick(driver.now_seconds))

    def play(self, seconds, per_second, slowness, body=None):
        """Return how many requests went to each target."""
        targets = Counter()
        for _ in range(int(seconds * per_second)):
            self.send(body or f"own-{self.n_sent}")
            targets.update(self.start_sent(slowness))
            self.run_to(self.driver.now_seconds + 1.0 / per_second)
        return targets


@when(
    "target 0 takes {times:d} times as long for {seconds:d} seconds and then recovers"
)
def play_slow(context, times, seconds):
    player = Player(context.driver)
    slowness = {TARGET_0: float(times)}
    player.play(seconds / 2, 20, slowness)
    context.while_slow = player.play(seconds / 2, 20, slowness)
    player.play(60, 20, {})
    context.afterwards = player.play(20, 20, {})


def share_of(targets):
    return 100 * targets[TARGET_0] / sum(targets.values())


@then("its share of the work falls below {percent:d} in 100 while it is slow")
def check_less(context, percent):
    assert share_of(context.while_slow) < percent, context.while_slow


@then("its share of the work is above {percent:d} in 100 a minute later")
def check_back(context, percent):
    assert share_of(context.afterwards) > percent, context.afterwards


def make_report(target, at_seconds, n_running, prompt_tokens, boot):
    return LoadReport(
        target=target,
        incarnation=Incarnation(boot),
        measured_seconds=at_seconds,
        n_running=n_running,
        n_queued=0,
        queued_prompt_tokens=prompt_tokens,
        cached_tokens=0,
    )


@when("{count:d} requests run on target 0 and a report counts just these {same:d}")
def report_own(context, count, same):
    driver = context.driver
    for index in range(count):
        driver.arrive(f"own-{index}")
    tokens = sum(work.prompt_tokens for work in driver.works.values())
    driver.wait(1.0)
    report = make_report(TARGET_0, driver.now_seconds - 0.5, same, tokens, "boot-0-1")
    driver.scheduler.observe_load(report, driver.now_seconds)


@then("the estimate for target 0 is {count:d} requests")
def check_estimate(context, count):
    status = context.driver.scheduler.status()
    target = status["groups"]["engines"]["targets"][TARGET_0]
    assert target["n_estimated"] == count, target


@given(
    "{n_daemons:d} schedulers before {n_targets:d} targets"
    " of which 0 reports least load"
)
def make_drivers(context, n_daemons, n_targets):
    context.drivers = [SchedulerDriver(n_targets) for _ in range(n_daemons)]
    for driver in context.drivers:
        for index in driver.views:
            driver.views[index] = make_view(index, limit=64)
        driver.announce()
        for index in driver.views:
            busy = 0 if index == 0 else 8
            report = make_report(
                TargetId(f"target-{index}"), 99.0, busy, busy * 1000, f"boot-{index}-1"
            )
            driver.scheduler.observe_load(report, driver.now_seconds)


@when("each gets {count:d} requests at the same time")
def fill_drivers(context, count):
    for number, driver in enumerate(context.drivers):
        for index in range(count):
            driver.arrive(f"daemon-{number}-{index}")


@then("target 0 gets at most {most:d} of the {total:d}")
def check_spread(context, most, total):
    sent = Counter(
        target for driver in context.drivers for target in driver.sent.values()
    )
    assert sum(sent.values()) == total, sent
    assert sent[TARGET_0] <= most, sent
