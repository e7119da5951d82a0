"""Steps of mechanisms.feature."""

from dataclasses import replace

from behave import given, then, when
from returns.result import Failure, Success

from features.decide.steps.common import SchedulerDriver, make_work
from lycheepost.core.ids import Incarnation, PrefixDigest
from lycheepost.decide.kvstorecontents import KvStoreContents
from lycheepost.decide.mechanisms import Mechanism, names_of, parse_mechanisms
from lycheepost.decide.records import FinishKind, PrefixLevel
from lycheepost.generated.engine import CacheEvent, CacheEventKind

STORE = "10.0.0.1:80"
LEVELS = (PrefixLevel(PrefixDigest(1), 100), PrefixLevel(PrefixDigest(2), 150))


@when("mechanisms are switched off by {text}")
def step_parse(context, text):
    context.found = parse_mechanisms("" if text == "nothing" else text)


@then("they are {outcome}")
def step_parsed(context, outcome):
    match context.found:
        case Success(mechanisms):
            assert (" and ".join(names_of(mechanisms)) or "none") == outcome
        case Failure(reason):
            assert outcome == "refused" and "late_last" in reason, reason


@given("the mechanism {name} is switched off")
def step_off(context, name):
    context.off = frozenset({Mechanism(name)})


def make_copies(off):
    copies = KvStoreContents(off)
    event = CacheEvent(
        sequence=1, kind=CacheEventKind.STORED, digest=LEVELS[0].digest, n_tokens=100
    )
    copies.observe(STORE, Incarnation(STORE), (event,))
    return copies


@then("a prompt goes to a store that keeps all of it")
def step_sent(context):
    assert not make_copies(frozenset()).should_send(STORE, LEVELS, 1.0)
    assert make_copies(context.off).should_send(STORE, LEVELS, 1.0)


@then("nothing of a prompt counts as kept")
def step_not_kept(context):
    assert make_copies(frozenset()).stored_tokens(STORE, LEVELS) == 100
    assert make_copies(context.off).stored_tokens(STORE, LEVELS) == 0


def count_sent_after_draw(off):
    """Return how many of 20 waiting requests go to a target that is free again."""
    driver = SchedulerDriver(1, switched_off=off)
    driver.views[0] = replace(driver.views[0], cache_tokens=0, concurrency_limit=10)
    driver.announce()
    for index in range(30):
        driver.arrive(f"r-{index}", levels=(), prompt_tokens=0)
    first = dict(driver.sent)
    driver.scheduler.draw_admission(lambda _group: 6, driver.now_seconds)
    for name in first:
        driver.note(
            driver.scheduler.finish(name, driver.now_seconds, FinishKind.COMPLETE)
        )
    return len(driver.sent) - len(first)


@then("a daemon with 6 waiting peers sends all requests for which there are free slots")
def step_all_room(context):
    assert count_sent_after_draw(context.off) == 10
    assert count_sent_after_draw(frozenset()) < 10


@then("a request whose objective has passed waits where it was")
def step_stays(context):
    for off, n_late in ((frozenset(), 1), (context.off, 0)):
        driver = SchedulerDriver(1, switched_off=off)
        for index in range(9):
            work = make_work(f"r-{index}", driver.now_seconds, objective_seconds=0.1)
            driver.note(driver.scheduler.arrive(work, driver.now_seconds))
        driver.wait(0.2)
        (group,) = driver.scheduler.status()["groups"].values()
        assert (group["n_late"] > 0) == bool(n_late), group
