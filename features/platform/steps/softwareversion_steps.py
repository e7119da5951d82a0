"""Steps of softwareversions.feature."""

import asyncio

from behave import given, then, when
from deployment import MODEL, Deployment
from streamclients import (
    N_EVENTS,
    VERSIONS,
    Stream,
    began_at,
    begin_all,
    begin_streams,
    continue_stream,
)

from lycheepost.app.platformdemo import (
    DemoRequest,
    PlatformDemoReport,
    as_generated,
    check_answer,
)
from lycheepost.app.platformfleet import FIRST_START_MS, Answer
from lycheepost.decide.softwareversions import CURRENT_LIST_SECONDS
from lycheepost.platform.models.pathcuts import PathCut
from lycheepost.platform.models.serverstandin import PlatformServer, event_bytes
from lycheepost.platform.store import OWN_TABLE
from lycheepost.standin.faults import FaultPlan, Truncated

FIRST_EVENTS = 3
"""Events that a client has when it loses its stream."""
N_SLOTS = 32
"""Slots of each engine, unless a scenario says otherwise: more than it lasts to use."""

BACKOFF_SECONDS = 0.3
"""Back-off of the engines that are not to begin streams now."""

MIN_WHOLE_SHARE = 0.9
CUT_SECONDS = 1.0
MIN_RUNNING = 3
HOLD_TIMEOUT_SECONDS = 10.0
REFUSAL_SECONDS = 0.5


async def add_engines(deployment, software, n, n_slots=N_SLOTS, started_ms=None):
    for _ in range(n):
        server = PlatformServer("llm", MODEL, n_events=N_EVENTS, n_slots=n_slots)
        server.state.started_ms = started_ms
        server.state.software = software
        await deployment.add_server(server)


TWO_VERSIONS = "{n_engines:d} {engines} each of the versions v1 and v2"


@given("a deployment with {n:d} daemons and " + TWO_VERSIONS)
def step_two_versions(context, n, n_engines, engines):
    start_two_versions(context, n, n_engines, N_SLOTS)


@given("a deployment with 1 daemon and " + TWO_VERSIONS + " with {n_slots:d} slots")
def step_few_slots(context, n_engines, engines, n_slots):
    start_two_versions(context, 1, n_engines, n_slots)


def start_two_versions(context, n, n_engines, n_slots):
    context.deployment = Deployment()

    async def start():
        await context.deployment.start(n, n_engines=0)
        for version in VERSIONS:
            await add_engines(context.deployment, version, n_engines, n_slots)
        await context.deployment.until(lambda: may_begin(context.deployment))

    context.loop.run_until_complete(start())


@given("a deployment with {n:d} daemons and {n_engines:d} engines of the version v1")
def step_one_version_only(context, n, n_engines):
    start_one_version(context, n, n_engines, None)


@given(
    "a deployment with {n:d} daemons and {n_engines:d} {engines} of the version v1 that"
    " state their start"
)
def step_stating_starts(context, n, n_engines, engines):
    start_one_version(context, n, n_engines, FIRST_START_MS)


def start_one_version(context, n, n_engines, started_ms):
    context.deployment = Deployment()

    async def start():
        await context.deployment.start(n, n_engines=0)
        await add_engines(context.deployment, "v1", n_engines, started_ms=started_ms)
        await context.deployment.until(lambda: all_begin(context.deployment))

    context.loop.run_until_complete(start())


async def all_begin(deployment):
    """Return whether every daemon begins streams."""
    for index in range(len(deployment.daemons)):
        stream = Stream(b"does it begin")
        await continue_stream(deployment, stream, index, 1)
        if not stream.received:
            return False
    return True


async def may_begin(deployment):
    """Return whether all daemons let engines of both versions begin streams."""
    for daemon in deployment.daemons:
        status = daemon.status()
        group = status["stream_versions"]["groups"].get("llm", {})
        targets = [
            target
            for target in status["targets"].values()
            if target["target_group"] == "llm"
        ]
        if group != {"versions": [*VERSIONS], "held_back": []}:
            return False
        if {target["software_version"] for target in targets} != set(VERSIONS):
            return False
        if {target["state"] for target in targets} != {"serving"}:
            return False
    return True


async def until_idle(deployment):
    async def is_idle():
        return all(server.n_running == 0 for server in deployment.group("llm"))

    await deployment.until(is_idle)


def break_first_runs(deployment, fault):
    """Let engines show a fault in the first run of each attempt."""
    seen = set()

    def is_first(attempt_id):
        is_new = attempt_id not in seen
        seen.add(attempt_id)
        return is_new

    plan = FaultPlan()
    plan.add(fault, 1000, is_first)
    for server in deployment.group("llm"):
        server.faults = plan


async def begin_both(deployment, n, index, max_events):
    """Begin streams, half of them at engines of each version."""
    streams = []
    for version in VERSIONS:
        others = [
            server
            for server in deployment.group("llm")
            if server.state.software != version
        ]
        for server in others:
            server.backoff_seconds = BACKOFF_SECONDS
        for number in range(n // 2):
            stream = Stream(f"{version} stream {number}".encode())
            # One after the other: a rejection by each engine uses the retry budget.
            await continue_stream(deployment, stream, index, max_events)
            streams.append(stream)
        for server in others:
            server.backoff_seconds = None
        await asyncio.sleep(BACKOFF_SECONDS)
    assert len(began_at(streams)) == n
    assert began_at(streams).count("v1") == n / 2, began_at(streams)
    return streams


async def lose_first(deployment):
    """End the first daemon without a farewell, as a kill does."""
    await end(deployment, 0)


async def end(deployment, index):
    await deployment.daemons[index].stop()


async def add_daemon(deployment):
    await deployment.add_daemon()
    index = len(deployment.daemons) - 1

    async def is_ready():
        return await deployment.ready(index) == 200

    await deployment.until(is_ready)


async def lose_and_add(deployment):
    await lose_first(deployment)
    await add_daemon(deployment)


async def lose_paths(deployment):
    """Cut the second daemon off from all servers, and wait until it knows."""
    deployment.networks[1].cut(PathCut.RESET)

    async def are_lost():
        await continue_stream(deployment, Stream(b"probe"), 1, 1)
        groups = deployment.daemons[1].status()["own_paths"]["groups"]
        return groups.get("llm", {}).get("state") == "reaches_none"

    await deployment.until(are_lost)


async def unchanged(_deployment):
    """Change nothing."""


PLACES = {
    "at the same daemon": (unchanged, (0,)),
    "at another daemon": (unchanged, (1,)),
    "at all daemons by turns": (unchanged, (1, 2, 0)),
    "at another daemon, the first one being gone": (lose_first, (1,)),
    "at a daemon that has just started": (add_daemon, (3,)),
    "at a daemon that has just started, the first one being gone": (lose_and_add, (3,)),
    "at a daemon without paths": (lose_paths, (1,)),
}
"""What happens while the clients are away, and the daemons that they come to then."""


async def take_up(deployment, streams, where):
    change, indexes = PLACES[where]
    await change(deployment)
    *before, last = indexes

    async def take_up_one(stream):
        for index in before:
            n_events = len(stream.received) + FIRST_EVENTS
            await continue_stream(deployment, stream, index, n_events)
        await continue_stream(deployment, stream, last)

    await asyncio.gather(*map(take_up_one, streams))


@when("{n:d} streams of both versions are lost and taken up without their ids")
def step_take_up_unnamed(context, n):
    async def run():
        context.streams = await begin_both(context.deployment, n, 0, FIRST_EVENTS)
        for stream in context.streams:
            stream.names_first = False
        await take_up(context.deployment, context.streams, "at another daemon")

    context.loop.run_until_complete(run())


@when("{n:d} streams of both versions are lost and taken up {where}")
def step_take_up(context, n, where):
    async def run():
        context.streams = await begin_both(context.deployment, n, 0, FIRST_EVENTS)
        await take_up(context.deployment, context.streams, where)

    context.loop.run_until_complete(run())


async def replace_all(deployment, n_daemons, meanwhile=lambda: None):
    """End the last daemons without a farewell and start as many others."""
    n_before = len(deployment.daemons)
    for index in range(n_before - n_daemons, n_before):
        await end(deployment, index)
    meanwhile()
    for _ in range(n_daemons):
        await add_daemon(deployment)


def lose_record(deployment):
    """Remove what the store knows of streams, as a restore from an old copy does."""
    store = deployment.store.store
    for row in store.rows(OWN_TABLE):
        if row.key.startswith("streams/"):
            store.put(OWN_TABLE, row.key, None)


def lose_all(context, n, n_times, keeps_record, meanwhile=lambda: None):
    """Begin streams, replace all daemons some times, and take the streams up."""
    deployment = context.deployment

    async def run():
        n_daemons = len(deployment.daemons)
        context.streams = await begin_both(deployment, n, 0, FIRST_EVENTS)
        for _ in range(n_times):
            if not keeps_record:
                lose_record(deployment)
            await replace_all(deployment, n_daemons, meanwhile)
        n_gone = n_times * n_daemons
        await asyncio.gather(
            *(
                continue_stream(deployment, stream, n_gone + number % n_daemons)
                for number, stream in enumerate(context.streams)
            )
        )

    context.loop.run_until_complete(run())


@when("{n:d} streams are lost, all daemons are replaced and they are taken up")
def step_all_replaced_one_version(context, n):
    deployment = context.deployment

    async def run():
        n_daemons = len(deployment.daemons)
        context.streams = await begin_streams(deployment, n, 0, FIRST_EVENTS)
        await replace_all(deployment, n_daemons)
        await asyncio.gather(
            *(
                continue_stream(deployment, stream, n_daemons + number % n_daemons)
                for number, stream in enumerate(context.streams)
            )
        )

    context.loop.run_until_complete(run())


@when(
    "{n:d} streams of both versions are lost, all daemons are replaced without a record"
    " of them beside engines of v1 only and they are taken up"
)
def step_one_version_left(context, n):
    def lose_engines():
        for server in context.deployment.group("llm"):
            if server.state.software == "v2":
                context.deployment.store.store.put("servers", server.name, None)

    lose_all(context, n, 1, keeps_record=False, meanwhile=lose_engines)


@when(
    "{n:d} streams of both versions are lost, all daemons are replaced without a record"
    " of them and they are taken up"
)
def step_all_replaced_unrecorded(context, n):
    lose_all(context, n, 1, keeps_record=False)


@when(
    "{n:d} streams of both versions are lost, all daemons are replaced and they are"
    " taken up"
)
def step_all_replaced(context, n):
    lose_all(context, n, 1, keeps_record=True)


@when(
    "{n:d} streams of both versions are lost, all daemons are replaced twice and they"
    " are taken up"
)
def step_all_replaced_twice(context, n):
    lose_all(context, n, 2, keeps_record=True)


@when(
    "{n:d} streams are lost, the first daemon is gone and they are taken up without"
    " their ids"
)
def step_one_version(context, n):
    async def run():
        context.streams = await begin_streams(context.deployment, n, 0, FIRST_EVENTS)
        for stream in context.streams:
            stream.names_first = False
        where = "at another daemon, the first one being gone"
        await take_up(context.deployment, context.streams, where)

    context.loop.run_until_complete(run())


@when("a third daemon starts")
def step_one_more(context):
    context.loop.run_until_complete(add_daemon(context.deployment))


@then("it knows all versions of the last {n:d} s within {seconds:d} s")
def step_knows(context, n, seconds):
    deployment = context.deployment

    async def knows():
        status = deployment.daemons[-1].status()["stream_versions"]
        return status["known_for_seconds"] >= n

    context.loop.run_until_complete(deployment.until(knows, seconds))


@then("no daemon has told another one of streams")
def step_nothing_told(context):
    for daemon in context.deployment.daemons:
        kinds = daemon.status()["peers"]["bytes_by_kind"]
        assert "streams" not in str(kinds), kinds


@when(
    "{n:d} streams are lost, {n_engines:d} engines of the version v2 come and they are"
    " taken up {where}"
)
def step_second_version_comes(context, n, n_engines, where):
    deployment = context.deployment

    async def run():
        context.streams = await begin_streams(deployment, n, 0, FIRST_EVENTS)
        await add_engines(deployment, "v2", n_engines)
        await deployment.until(lambda: may_begin(deployment))
        await take_up(deployment, context.streams, where)

    context.loop.run_until_complete(run())


@when("{n:d} streams run while the busiest engine restarts with the version v2")
def step_restart(context, n):
    deployment = context.deployment

    async def restart():
        engines = deployment.group("llm")
        while max(engine.n_running for engine in engines) < MIN_RUNNING:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.03)
        context.restarted = max(engines, key=lambda engine: engine.n_running)
        context.restarted.restart("v2")

    async def run():
        await until_idle(deployment)
        task = asyncio.create_task(restart())
        context.streams = await begin_streams(deployment, n, 0, None)
        await task
        context.restarted.runs.clear()
        later = [Stream(b"later %d" % number) for number in range(8)]
        await begin_all(deployment, later, 0, None)

    context.loop.run_until_complete(run())


@then("no further stream of that daemon begins there before it has registered again")
def step_none_at_restarted(context):
    assert context.restarted.runs == [], context.restarted.runs


@when(
    "the store is away and all engines restart with the version v2 in the middle of"
    " streams"
)
def step_all_restart(context):
    deployment = context.deployment
    engines = deployment.group("llm")

    async def is_list_old():
        daemons = deployment.daemons
        return all(
            daemon.status()["watches"][1]["age_seconds"] > CURRENT_LIST_SECONDS
            for daemon in daemons
        )

    async def restart():
        while any(engine.n_running < MIN_RUNNING for engine in engines):
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.03)
        for engine in engines:
            engine.restart("v2")

    async def run():
        deployment.store.store.faults.is_down = True
        await deployment.until(is_list_old)
        task = asyncio.create_task(restart())
        async with asyncio.timeout(HOLD_TIMEOUT_SECONDS):
            while not task.done():
                streams = [Stream(b"before %d" % number) for number in range(12)]
                await begin_all(deployment, streams, 0, None)
        await task

    context.loop.run_until_complete(run())


@then("{n:d} new streams begin at the daemon that has noticed it")
def step_new_begin(context, n):
    context.streams = context.loop.run_until_complete(
        begin_streams(context.deployment, n, 0, FIRST_EVENTS)
    )
    assert began_at(context.streams) == ["v2"] * n


@then("their take-ups at the other daemon are refused at once as not run")
def step_take_ups_refused(context):
    context.loop.run_until_complete(
        take_up(context.deployment, context.streams, "at another daemon")
    )
    for stream in context.streams:
        assert stream.statuses[-1] == 503, (stream.statuses, stream.versions())
        assert stream.seconds < REFUSAL_SECONDS, stream.seconds


@when("that engine registers again")
def step_register(context):
    context.deployment.register(context.restarted)


@then("engines of both versions may begin streams within 3 s")
def step_both(context):
    deployment = context.deployment
    context.loop.run_until_complete(
        deployment.until(lambda: may_begin(deployment), 3.0)
    )


@then("each take-up is refused at once as not run, with {a_time} to come back")
def step_refused(context, a_time):
    for stream in context.streams:
        assert stream.statuses[-1] == 503, stream.statuses
        assert stream.seconds < REFUSAL_SECONDS, stream.seconds
        has_time = stream.retry_after is not None
        assert has_time == (a_time == "a time"), stream.retry_after


@when("the engines of {n:d} streams of both versions break off")
def step_engines_fail(context, n):
    break_first_runs(context.deployment, Truncated(FIRST_EVENTS))
    context.streams = context.loop.run_until_complete(
        begin_streams(context.deployment, n, 0, None)
    )
    n_old = began_at(context.streams).count("v1")
    assert n / 4 <= n_old <= 3 * n / 4, n_old


@then("no stream holds events of two versions")
def step_not_mixed(context):
    mixed = [stream for stream in context.streams if len(stream.versions()) > 1]
    assert not mixed, (len(mixed), mixed[0].statuses)


@then("at least 9 in 10 of them are complete")
def step_complete(context):
    whole = [stream for stream in context.streams if stream.is_complete]
    share = len(whole) / len(context.streams)
    assert share >= MIN_WHOLE_SHARE, [
        (stream.statuses, len(stream.received), stream.reason, stream.seconds)
        for stream in context.streams
        if not stream.is_complete
    ]


@then("each stream is cut off at once")
def step_cut(context):
    for stream in context.streams:
        assert stream.statuses == [200] and not stream.is_whole, stream
        assert len(stream.received) == FIRST_EVENTS, stream
        assert stream.seconds < CUT_SECONDS, stream


@then("a whole stream with events of {events} is {verdict}")
def step_audit(context, events, verdict):
    asked = DemoRequest("title", "POST", "/title/1", b"a body", b"")
    body = b"".join(
        event_bytes(number, asked.body, version)
        for number, version in enumerate(events.split(), 1)
    )
    answer = Answer(200, body=body)
    report = PlatformDemoReport()
    generated = as_generated(asked, answer, VERSIONS)
    check_answer(Deployment(), generated, "attempt", answer, 0.0, report)
    assert bool(report.violations) == (verdict == "a violation"), report.violations
