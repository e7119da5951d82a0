"""Steps of room.feature."""

from dataclasses import replace

from behave import given, then, when

from features.decide.steps.common import SchedulerDriver, make_view
from features.decide.steps.peerloads_steps import send_load
from lycheepost.core.ids import Incarnation, PrefixDigest, RequestId, TargetId
from lycheepost.decide.mechanisms import Mechanism
from lycheepost.decide.peerloads import DaemonLoad, PeerLoads
from lycheepost.decide.records import FinishKind, PrefixLevel, RefusalReason
from lycheepost.decide.room import MemoryUse, judge_room

MEMORY_TOKENS = 60_000
LONG_TOKENS = 9_000
ENGINE = TargetId("target-0")


def make_daemons(context, n_daemons, n_engines, memory_tokens=MEMORY_TOKENS, off=()):
    context.peers = [PeerLoads() for _ in range(n_daemons)]
    context.drivers = []
    context.told = {}
    for _ in range(n_daemons):
        driver = SchedulerDriver(n_engines, switched_off=frozenset(off))
        driver.views = {
            index: replace(make_view(index, limit=24), memory_tokens=memory_tokens)
            for index in range(n_engines)
        }
        driver.announce()
        context.drivers.append(driver)
    context.driver = context.drivers[0]
    context.n_engines = n_engines


def send_long(driver, name, n_tokens=LONG_TOKENS, **fields):
    """Let a prompt arrive whose output is short."""
    fields = {"levels": (), "output_tokens": 2, "objective_seconds": 2.0} | fields
    driver.arrive(name, prompt_tokens=n_tokens, **fields)


def read_all(driver):
    """Let the engines read all prompts of a daemon."""
    for name in driver.sent:
        driver.scheduler.first_token(RequestId(name), driver.now_seconds, None)


def end(driver, name):
    request = RequestId(name)
    outcomes = driver.scheduler.finish(request, driver.now_seconds, FinishKind.COMPLETE)
    del driver.sent[name]
    driver.note(outcomes)


def running_names(context, prefix="long"):
    return [
        (driver, name)
        for driver in context.drivers
        for name in driver.sent
        if name.startswith(prefix)
    ]


def load_of(driver, target=ENGINE):
    return driver.scheduler._group_by_target[target].placement.loads[target]


def exchange(context):
    for number in range(len(context.drivers)):
        send_load(context, number)


@given(
    "a memory of {memory:d} tokens, {slots:d} slots "
    "and long requests of {long:d} tokens"
)
def step_memory(context, memory, slots, long):
    context.use = MemoryUse(memory, slots, long, 0.0)


@when("at most {held:d} tokens were held, and memory was {before} before")
def step_held(context, held, before):
    use = replace(context.use, peak_held_tokens=held)
    context.need = judge_room(use, before == "short")


@then("memory is short")
def step_short(context):
    assert context.need.is_short, context.need


@then("memory is not short")
def step_not_short(context):
    assert not context.need.is_short, context.need


@given("{n:d} daemons before {n_engines:d} engines")
def step_daemons(context, n, n_engines):
    make_daemons(context, n, n_engines)


@given("{n:d} daemons before {n_engines:d} engines, with {name} off")
def step_daemons_off(context, n, n_engines, name):
    make_daemons(context, n, n_engines, off=(Mechanism(name),))


@given("{n:d} daemons before {n_engines:d} engines with a memory of {memory:d} tokens")
def step_daemons_memory(context, n, n_engines, memory):
    make_daemons(context, n, n_engines, memory)


@given("a daemon before {n_engines:d} engines")
def step_daemon(context, n_engines):
    make_daemons(context, 1, n_engines)


@given("a daemon before 2 engines, one of which states no memory")
def step_daemon_unknown(context):
    make_daemons(context, 1, 2)
    driver = context.driver
    driver.views[1] = replace(driver.views[1], memory_tokens=0)
    driver.announce()


@given("a daemon before 1 engine")
def step_daemon_engine(context):
    make_daemons(context, 1, 1)


@when(
    "each daemon gets {count:d} long prompts, one at a time in turn, all read at once"
)
def step_burst(context, count):
    for index in range(count):
        for number, driver in enumerate(context.drivers):
            send_long(driver, f"long-{number}-{index}", first_token_timeout_seconds=60)
            read_all(driver)
            exchange(context)


@then("no engine holds more than its memory")
def step_within(context):
    for index in range(context.n_engines):
        target = TargetId(f"target-{index}")
        held = sum(load_of(driver, target).held.tokens for driver in context.drivers)
        assert held <= MEMORY_TOKENS, (target, held)


@then("{count:d} long prompts run, and the rest waits")
def step_run_rest(context, count):
    step_run(context, count)
    assert not any(driver.refused for driver in context.drivers)


@then("{count:d} long prompts run")
def step_run(context, count):
    assert len(running_names(context)) == count, running_names(context)


@when("{count:d} long prompts end")
def step_end(context, count):
    for driver, name in running_names(context)[:count]:
        end(driver, name)
        read_all(driver)
        exchange(context)


@then("{count:d} long prompts run again")
def step_run_again(context, count):
    for _ in range(10):
        for driver in context.drivers:
            driver.wait(0.02)
            read_all(driver)
            exchange(context)
    step_run(context, count)


@then("no daemon regards memory as short")
def step_none_short(context):
    assert not any(load_of(driver).room.need.is_short for driver in context.drivers)


@when("a prompt of {n_tokens:d} tokens comes")
def step_prompt(context, n_tokens):
    send_long(context.driver, f"prompt-{n_tokens}", n_tokens)
    context.name = f"prompt-{n_tokens}"


@then("it is refused at once as {reason}, without a time to come back")
def step_refused(context, reason):
    refusal = context.driver.refused[context.name]
    assert refusal.reason is RefusalReason(reason), refusal
    assert refusal.retry_after_seconds is None


@then("it is sent")
def step_sent(context):
    assert context.name in context.driver.sent


@given("{n:d} daemons before 1 engine whose memory is full of long prompts")
def step_full(context, n):
    make_daemons(context, n, 1)
    fill(context)


@given("a daemon before 1 engine whose memory is full of long prompts")
def step_full_one(context):
    step_full(context, 1)


@given("a daemon before 1 engine whose memory is full of long prompts of rank {rank:d}")
def step_full_rank(context, rank):
    make_daemons(context, 1, 1)
    fill(context, rank=rank)


@given("a daemon before 1 engine whose memory is full of long streams of rank {rank:d}")
def step_full_streams(context, rank):
    make_daemons(context, 1, 1)
    fill(context, rank=rank, gap_seconds=0.4)


def fill(context, **fields):
    for index in range(6):
        send_long(context.driver, f"long-{index}", **fields)
        context.driver.now_seconds += 0.001
        read_all(context.driver)
    exchange(context)
    assert len(context.driver.sent) == 6


@when("a prompt of {n_tokens:d} tokens comes, and small ones for {seconds:d} s")
def step_small(context, n_tokens, seconds):
    driver = context.driver
    send_long(driver, "large", n_tokens, first_token_timeout_seconds=60.0)
    ends = {f"long-{index}": 0.5 * index for index in range(6)}
    started_seconds = driver.now_seconds
    for index in range(round(seconds / 0.05)):
        elapsed = driver.now_seconds - started_seconds
        name = f"small-{index}"
        send_long(driver, name, 3_000, first_token_timeout_seconds=60.0)
        ends[name] = elapsed + 1.5
        due = [name for name, at in ends.items() if at <= elapsed]
        for name in due:
            if name in driver.sent:
                end(driver, name)
        read_all(driver)
        driver.wait(0.06)


@then("the large prompt was sent before the small ones stopped")
def step_large_sent(context):
    assert "large" in context.driver.sent


@when("a prompt of {n_tokens:d} tokens waits at the first daemon for {seconds:d} s")
def step_waits(context, n_tokens, seconds):
    send_long(context.driver, "large", n_tokens, first_token_timeout_seconds=60.0)
    context.driver.wait(seconds)
    assert "large" not in context.driver.sent
    exchange(context)


@then(
    "the second daemon has no room for a prompt of {n_tokens:d} tokens "
    "when {count:d} long ones end"
)
def step_second_none(context, n_tokens, count):
    driver = context.drivers[0]
    for index in range(count):
        end(driver, f"long-{index}")
    exchange(context)
    second = context.drivers[1]
    send_long(second, "second", n_tokens, first_token_timeout_seconds=60.0)
    assert "large" not in driver.sent
    assert "second" not in second.sent


@then("it keeps room")
def step_keeps(context):
    assert load_of(context.driver).own_load().held_tokens > MEMORY_TOKENS


@when("{seconds:g} s pass without its turn")
def step_pass(context, seconds):
    context.driver.scheduler._groups["engines"].remove(RequestId("other"))
    context.driver.now_seconds += seconds
    context.driver.scheduler._groups["engines"].placement.room.expire(
        context.driver.now_seconds
    )


@then("peers are told of no room that is kept")
def step_not_kept(context):
    assert load_of(context.driver).own_load().held_tokens <= MEMORY_TOKENS


@when("a long prompt of rank {rank:d} comes")
def step_urgent(context, rank):
    send_long(context.driver, "urgent", rank=rank, first_token_timeout_seconds=60.0)
    context.name = "urgent"


@then("it is sent, and meant to put back the newest of the others")
def step_put_back(context):
    step_sent(context)
    assert context.driver.put_back["urgent"] == ("long-5",), context.driver.put_back
    status = context.driver.scheduler.status()["groups"]["engines"]["room"]
    assert status["n_put_back"] == 1, status


@then("it waits")
def step_it_waits(context):
    assert context.name not in context.driver.sent
    assert context.name not in context.driver.refused


@when("{count:d} responses are ten times as long as their hints of {hint:d} tokens")
def step_wrong_hints(context, count, hint):
    driver = context.driver
    for index in range(count):
        name = f"hinted-{index}"
        send_long(driver, name, 100, hint_tokens=hint, output_tokens=3_000)
        driver.scheduler.note_events(RequestId(name), 10 * hint)
        end(driver, name)


@then(
    "a request with a hint of {hint:d} and a maximum of {most:d} "
    "is expected to hold {low:d} to {high:d}"
)
def step_expected(context, hint, most, low, high):
    work = replace(
        context.driver.works["hinted-0"],
        prompt_tokens=0,
        hint_tokens=hint,
        output_tokens=most,
    )
    found = load_of(context.driver).room.expected_tokens(work)
    assert low <= found <= high, found


@then(
    "a request without a hint and a maximum of {most:d} "
    "is expected to hold {low:d} to {high:d}"
)
def step_expected_none(context, most, low, high):
    step_expected(context, 0, most, low, high)


@when("{count:d} prompts of {shared:d} shared and {own:d} own tokens run")
def step_shared(context, count, shared, own):
    for index in range(count):
        levels = (
            PrefixLevel(PrefixDigest(1), shared),
            PrefixLevel(PrefixDigest(100 + index), shared + own),
        )
        send_long(
            context.driver,
            f"shared-{index}",
            shared + own,
            levels=levels,
            output_tokens=0,
        )
        read_all(context.driver)


@then("{n_tokens:d} tokens are held")
def step_tokens_held(context, n_tokens):
    assert load_of(context.driver).held.tokens == n_tokens


@when("all but the last of them end")
def step_all_but_last(context):
    for name in list(context.driver.sent)[:-1]:
        end(context.driver, name)


@when("the engine is back with an empty memory")
def step_back(context):
    view = context.driver.views[0]
    context.driver.views[0] = replace(view, incarnation=Incarnation("boot-0-2"))
    context.driver.announce()


@when("the old long prompts end")
def step_old_end(context):
    for _, name in running_names(context):
        end(context.driver, name)


@when("nothing is heard from the first daemon for {seconds:d} s")
def step_silence(context, seconds):
    context.drivers[1].now_seconds += seconds


@then("the second daemon has room for a prompt of {n_tokens:d} tokens")
def step_second_room(context, n_tokens):
    second = context.drivers[1]
    send_long(second, "second", n_tokens)
    assert "second" in second.sent


@when("a peer tells of {count:d} requests and no held tokens, and 3 long prompts come")
def step_old_peer(context, count):
    driver = context.driver
    load = DaemonLoad(0, count)
    driver.scheduler.set_peer_load(ENGINE, load, driver.now_seconds)
    for index in range(3):
        send_long(driver, f"long-{index}")
        read_all(driver)
