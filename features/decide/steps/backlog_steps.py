"""Steps of backlog.feature."""

from behave import given, then, when

from features.decide.steps.common import SchedulerDriver, make_view
from lycheepost.decide.backlog import Backlog
from lycheepost.decide.peerloads import NO_LOAD

STEP_SECONDS = 0.005


class Engine:
    """Prefills its prompts one after the other.

    Attributes:
        waiting: Requests, their tokens left to prefill, and when they arrive.
        answers: Requests and when their first tokens arrive.
    """

    def __init__(self, tokens_per_second, away_seconds):
        self.tokens_per_second, self.away_seconds = tokens_per_second, away_seconds
        self.waiting, self.answers = [], []
        self.n_idle = self.n_steps = 0
        self.unprefilled_tokens = []

    def step(self, now_seconds):
        arrived = [item for item in self.waiting if item[2] <= now_seconds]
        self.n_steps += 1
        self.n_idle += not arrived
        self.unprefilled_tokens.append(sum(item[1] for item in self.waiting))
        budget = self.tokens_per_second * STEP_SECONDS
        while arrived and budget > 0:
            item = arrived[0]
            read = min(budget, item[1])
            item[1] -= read
            budget -= read
            if item[1] <= 0:
                self.waiting.remove(arrived.pop(0))
                self.answers.append((item[0], now_seconds + self.away_seconds))


@given(
    "a target that prefills {speed:d} tokens a second, {away:d} ms away, "
    "reported to 1 peer"
)
def step_target(context, speed, away):
    context.engine = Engine(speed, away / 1000.0)
    context.driver = SchedulerDriver(
        0, admit_wait_share=0.9, prefill_seconds_per_token=1.0 / 45_000
    )
    context.driver.views = {0: make_view(0, limit=64)}
    context.driver.announce()
    context.n_tokens = 0


def note_sent(context, before, n_tokens):
    driver, engine = context.driver, context.engine
    for name in driver.sent.keys() - before:
        arrives_seconds = driver.now_seconds + engine.away_seconds
        engine.waiting.append([name, n_tokens, arrives_seconds])
        context.n_tokens += n_tokens


@when("prompts of {n_tokens:d} tokens wait for it for {seconds:d} s")
def step_prompts(context, n_tokens, seconds):
    driver, engine = context.driver, context.engine
    n_made = 0
    for _ in range(round(seconds / STEP_SECONDS)):
        before = set(driver.sent)
        while len(driver.works) - len(driver.sent) - len(driver.refused) < 3:
            n_made += 1
            driver.arrive(
                f"request-{n_made}",
                levels=(),
                prompt_tokens=n_tokens,
                first_token_timeout_seconds=60.0,
            )
        note_sent(context, before, n_tokens)
        before = set(driver.sent)
        driver.scheduler.set_peer_load(*nothing_at(driver))
        driver.note(driver.scheduler.dispatch_waiting(driver.now_seconds))
        note_sent(context, before, n_tokens)
        engine.step(driver.now_seconds)
        due = [item for item in engine.answers if item[1] <= driver.now_seconds]
        engine.answers = [item for item in engine.answers if item not in due]
        for name, _ in due:
            driver.scheduler.first_token(name, driver.now_seconds, None)
        driver.now_seconds += STEP_SECONDS


def nothing_at(driver):
    """Return the report of a peer that has no load at the target."""
    return driver.views[0].target, NO_LOAD, driver.now_seconds


@then("it was idle for at most {share:d} in 100 of the time")
def step_idle(context, share):
    engine = context.engine
    assert 100 * engine.n_idle <= share * engine.n_steps, engine.n_idle


@then("on average at most {most:d} tokens were sent and not yet prefilled")
def step_unprefilled(context, most):
    unprefilled = context.engine.unprefilled_tokens
    assert sum(unprefilled) / len(unprefilled) <= most, sum(unprefilled) / len(
        unprefilled
    )


@then("at most {most:d} tokens were sent to it")
def step_sent(context, most):
    assert 0 < context.n_tokens <= most, context.n_tokens


@given("a backlog of {sent:d} tokens at a throughput of {speed:d} tokens a second")
def step_backlog(context, sent, speed):
    context.backlog, context.token_seconds = Backlog(), 1.0 / speed
    context.sent_tokens = sent
    context.backlog.set_sent(sent, context.token_seconds, 0.0)


@when("{seconds:g} s pass and first tokens have come for {first:d} of them")
def step_pass(context, seconds, first):
    left = context.sent_tokens - first
    context.backlog.set_sent(left, context.token_seconds, seconds)
    context.at_seconds = seconds


@then("{left:d} tokens are left")
def step_left(context, left):
    found = context.backlog.left(context.token_seconds, context.at_seconds)
    assert abs(found - left) < 1e-6, found
