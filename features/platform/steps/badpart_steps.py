"""Steps of badparts.feature."""

import asyncio
import time
from dataclasses import dataclass, field

from behave import given, then, when
from deployment import Deployment, make_configuration

from lycheepost.app.platformfleet import (
    ENGINES,
    FIRST_SOFTWARE,
    KEYS,
    make_route,
)
from lycheepost.platform.models.partaudit import TOLERATED_ARRIVALS, late_arrivals
from lycheepost.platform.models.pathcuts import PathCut
from lycheepost.platform.models.serverfaults import CrashPoint

AWAY_SECONDS = 2.0
"""How long a crashed engine is away."""
BEFORE_SECONDS = 2.0
"""Time of sound requests alone, before the part comes."""
CONTACT_SECONDS = 3.0
ASK_TIMEOUT_SECONDS = 3.5
N_TOPICS = 6
MIN_JUDGED = 20
N_CRASHES = 5
N_LEARNING = 6
NEW_WEIGHTS = 2
SOFTWARE = ("v1", "v2")
PATHS = {"titles": "/title/x", "albums": "/album/x", "cards": "/card/x"}


@dataclass
class PartLoad:
    """What clients sent.

    Attributes:
        bad: The attempts with each crashing part.
        sound: When each sound first try was sent, and whether its answer began.
    """

    bad: dict[str, set[str]] = field(default_factory=dict)
    sound: list[tuple[float, bool]] = field(default_factory=list)


def start(context, n_daemons, n_engines, parts, software=(FIRST_SOFTWARE,)):
    context.deployment = deployment = Deployment()
    context.load = PartLoad({part_id: set() for part_id in parts})

    async def run():
        await deployment.start(
            n_daemons, n_plain=1, n_engines=n_engines, software=software
        )
        document = make_configuration(2)
        document["routes"].append(
            make_route("card", "/card/", "non_idempotent", ENGINES, max_attempts=1)
        )
        deployment.configure(document)
        await deployment.until(lambda: has_cards(deployment))

    context.loop.run_until_complete(run())
    context.revivals = set()
    context.closers.append(lambda: end_revivals(context))
    for server in deployment.group(ENGINES):
        server.crash_parts = parts
        server.on_part_crash = lambda server=server: revive(context, server)


async def has_cards(deployment):
    """Return whether every daemon knows the route of cards."""
    for index in range(len(deployment.daemons)):
        headers = deployment.prompt_headers(parts="root:100,first:9")
        if (
            await deployment.ask("POST", "/card/0", headers, b"c", index)
        ).status != 200:
            return False
    return True


def revive(context, server):
    work = context.deployment.replace_crashed(server, AWAY_SECONDS)
    task = context.loop.create_task(work)
    context.revivals.add(task)
    task.add_done_callback(context.revivals.discard)


async def end_revivals(context):
    for task in list(context.revivals):
        task.cancel()
    await asyncio.gather(*context.revivals, return_exceptions=True)


@given(
    "a deployment with {n:d} daemons and {n_engines:d} engines that a part crashes"
    " after {sent}"
)
def step_one_part(context, n, n_engines, sent):
    start(context, n, n_engines, {"bad0": CrashPoint(sent)})


@given(
    "a deployment with {n:d} daemons and {n_engines:d} engines of two software versions"
    " that a part crashes"
)
def step_two_versions(context, n, n_engines):
    start(context, n, n_engines, {"bad0": CrashPoint.NOTHING}, SOFTWARE)


@when("new weights are named {after_seconds:g} s after the part comes")
def step_name_weights(context, after_seconds):
    delay_seconds = BEFORE_SECONDS + after_seconds
    context.loop.call_later(
        delay_seconds, context.deployment.publish_weights, NEW_WEIGHTS
    )


@then("all engines have the new weights")
def step_new_weights(context):
    engines = context.deployment.group(ENGINES)
    versions = {server.state.version for server in engines}
    assert versions == {NEW_WEIGHTS}, versions


@given("a deployment with {n:d} daemons and {n_engines:d} engines that two parts crash")
def step_two_parts(context, n, n_engines):
    points = {"bad0": CrashPoint.NOTHING, "bad1": CrashPoint.HEADERS}
    start(context, n, n_engines, points)


async def ask(deployment, path, parts, index, key="k-one"):
    """Send one request; return its attempt id and its answer, None without one."""
    headers = deployment.prompt_headers(key, parts=parts)
    attempt_id = deployment.attempt_id
    body = attempt_id.encode()
    try:
        async with asyncio.timeout(ASK_TIMEOUT_SECONDS):
            return attempt_id, await deployment.ask("POST", path, headers, body, index)
    except TimeoutError:
        return attempt_id, None


async def ask_sound(context, number, index):
    sent_seconds = context.loop.time()
    parts = f"root:400,topic{number % N_TOPICS}:200,own{number}:30"
    _, answer = await ask(context.deployment, "/title/x", parts, index)
    has_begun = answer is not None and answer.status == 200 and bool(answer.body)
    context.load.sound.append((sent_seconds, has_begun))


async def ask_bad(context, path, number, index):
    """Ask with a crashing part; the client comes again once at the next daemon."""
    deployment = context.deployment
    n_daemons = len(deployment.daemons)
    key = sorted(KEYS)[number // 2 % len(KEYS)]
    part_id = sorted(context.load.bad)[number % len(context.load.bad)]
    topic = f"topic{number % N_TOPICS}:200," if number % 3 else ""
    parts = f"root:400,{topic}{part_id}:100,bad-own{number}:30"
    for step in range(2):
        work = asyncio.create_task(
            ask(deployment, path, parts, (index + step) % n_daemons, key)
        )
        await asyncio.sleep(0)
        context.load.bad[part_id].add(deployment.attempt_id)
        attempt_id, answer = await work
        context.load.bad[part_id].add(attempt_id)
        if answer is not None and answer.status == 200 and answer.is_whole:
            return


async def send(context, n_sound, n_bad, path, seconds):
    """Send requests to all daemons in turn."""
    loop, n_daemons = context.loop, len(context.deployment.daemons)
    started, tasks = loop.time(), []
    context.bad_from_seconds = started + BEFORE_SECONDS
    n_total = int((BEFORE_SECONDS + seconds) * n_sound)
    every = n_sound // n_bad
    for number in range(n_total):
        await asyncio.sleep(max(0.0, started + number / n_sound - loop.time()))
        work = ask_sound(context, number, number % n_daemons)
        tasks.append(asyncio.create_task(work))
        if number % every == 0 and number >= BEFORE_SECONDS * n_sound:
            n_sent = number // every
            work = ask_bad(context, path, n_sent, n_sent % n_daemons)
            tasks.append(asyncio.create_task(work))
    await asyncio.gather(*tasks)


@when(
    "clients ask for {n_sound:d} sound titles and {n_bad:d} {route} with the part a"
    " second for {seconds:d} s"
)
def step_ask(context, n_sound, n_bad, route, seconds):
    work = send(context, n_sound, n_bad, PATHS[route], seconds)
    context.loop.run_until_complete(work)


@when(
    "clients ask for {n_sound:d} sound titles and {n_bad:d} titles with the parts a"
    " second for {seconds:d} s"
)
def step_ask_two(context, n_sound, n_bad, seconds):
    step_ask(context, n_sound, n_bad, "titles", seconds)


def crashes(context, part_id):
    return [
        crash
        for server in context.deployment.servers
        for crash in server.part_crashes
        if crash.part_id == part_id
    ]


def bad_arrivals(context, part_id):
    attempts = context.load.bad[part_id]
    return [
        arrival
        for server in context.deployment.servers
        for arrival in server.arrivals
        if arrival[0] in attempts
    ]


@then(
    "at most {n:d} requests with the part reach engines later than {seconds:d} s after"
    " the fifth crash"
)
@then(
    "at most {n:d} requests with each part reach engines later than {seconds:d} s after"
    " its fifth crash"
)
def step_bound(context, n, seconds):
    assert (n, seconds) == (TOLERATED_ARRIVALS, CONTACT_SECONDS)
    for part_id, attempts in context.load.bad.items():
        found = crashes(context, part_id)
        assert found, "no engine crashed"
        arrivals = bad_arrivals(context, part_id)
        times = [crash.crashed_seconds for crash in found]
        late = late_arrivals(times, arrivals, attempts, CONTACT_SECONDS)
        counts = (len(found), len(arrivals), len(attempts), len(late))
        assert len(late) <= n, f"{part_id}: crashes, arrivals, sent, late: {counts}"


@then("first tries of sound requests begin at least half as often as before")
def step_sound(context):
    found = [
        crash for part_id in context.load.bad for crash in crashes(context, part_id)
    ]
    times = sorted(crash.crashed_seconds for crash in found)
    from_seconds = times[:5][-1] + 2 * CONTACT_SECONDS
    before = [ok for at, ok in context.load.sound if at < context.bad_from_seconds]
    after = [ok for at, ok in context.load.sound if at >= from_seconds]
    assert len(before) >= MIN_JUDGED and len(after) >= MIN_JUDGED, (before, after)
    shares = sum(before) / len(before), sum(after) / len(after)
    assert shares[1] >= 0.5 * shares[0], shares


async def ask_late(context, index, n):
    """Send requests with the part to one daemon; note which attempts these were."""
    context.late = set()
    for number in range(n):
        parts = f"root:400,bad0:100,late{number}:30"
        attempt_id, _ = await ask(context.deployment, "/title/x", parts, index)
        context.late.add(attempt_id)


@when("the first daemon loses its paths to all servers")
def step_cut_paths(context):
    context.deployment.networks[0].cut(PathCut.RESET)


@when("a daemon is added and gets {n:d} requests with the part")
def step_added(context, n):
    async def run():
        await context.deployment.add_daemon()
        await context.deployment.until(context.deployment.all_ready)
        await ask_late(context, len(context.deployment.daemons) - 1, n)

    context.loop.run_until_complete(run())


@when("all daemons are replaced one after the other")
def step_replace(context):
    deployment = context.deployment

    async def run():
        for old in list(deployment.daemons):
            await deployment.add_daemon()
            await deployment.until(lambda: is_ready(deployment))
            await old.stop()

    context.loop.run_until_complete(run())


async def is_ready(deployment):
    """Return whether the newest daemon is ready and named to clients."""
    newest = len(deployment.daemons) - 1
    address = str(deployment.nodes[newest].clients)
    if await deployment.ready(newest) != 200:
        return False
    return address in await deployment.addresses(newest - 1)


@when("the last one gets {n:d} requests with the part")
def step_last(context, n):
    work = ask_late(context, len(context.deployment.daemons) - 1, n)
    context.loop.run_until_complete(work)


@then("none of these reach an engine")
def step_none(context):
    found = [
        arrival
        for server in context.deployment.servers
        for arrival in server.arrivals
        if arrival[0] in context.late
    ]
    assert context.late and not found, found


def transport_of(daemon):
    return daemon._components.peers.exchange._transport


@given("the second daemon hears nothing from the first")
def step_cut_peers(context):
    first = transport_of(context.deployment.daemons[0])
    context.send_to_peers = first.send
    first.send = lambda *_message: False


@when("the first daemon alone learns of the part")
def step_learn(context):
    async def run():
        for number in range(N_LEARNING):
            parts = f"root:400,bad0:100,learn{number}:30"
            await ask(context.deployment, "/title/x", parts, 0)

    context.loop.run_until_complete(run())
    assert crashes(context, "bad0")


@when("the daemons hear each other again")
def step_heal_peers(context):
    transport_of(context.deployment.daemons[0]).send = context.send_to_peers
    context.loop.run_until_complete(asyncio.sleep(CONTACT_SECONDS))


@when("the second daemon gets {n:d} requests with the part")
def step_second(context, n):
    context.loop.run_until_complete(ask_late(context, 1, n))


@given("a deployment with {n:d} daemons and {n_engines:d} engines that no part crashes")
def step_no_part(context, n, n_engines):
    start(context, n, n_engines, {})


@when("the first two daemons lose their paths to all servers ({cut})")
def step_cut_two(context, cut):
    for network in context.deployment.networks[:2]:
        network.cut(PathCut(cut))


def suspected_parts(deployment):
    return {
        part
        for daemon in deployment.daemons
        for part in daemon.status()["queues"]["prompt_parts"]
    }


def stop_all_tasks(seconds):
    """Stop everything in this process, as on a machine without processor time."""
    time.sleep(seconds)


async def stop_processes(context, stopped_seconds, interval_seconds):
    """Stop all tasks again and again; in between look for suspected parts.

    They may be cleared soon, so that none is left at the end.
    """
    context.suspected = set()
    while True:
        stop_all_tasks(stopped_seconds)
        until_seconds = context.loop.time() + interval_seconds - stopped_seconds
        while context.loop.time() < until_seconds:
            await asyncio.sleep(0.01)
            context.suspected |= suspected_parts(context.deployment)


@when(
    "clients ask for {per_second:d} titles a second for {seconds:d} s, while the"
    " processes stop for {stopped_seconds:g} s in each {interval_seconds:g} s"
)
def step_ask_stopped(context, per_second, seconds, stopped_seconds, interval_seconds):
    async def run():
        work = stop_processes(context, stopped_seconds, interval_seconds)
        stops = asyncio.create_task(work)
        asked, started_seconds = [], context.loop.time()
        for number in range(per_second * seconds):
            due_seconds = started_seconds + number / per_second
            await asyncio.sleep(max(0.0, due_seconds - context.loop.time()))
            work = ask_sound(context, number, number % len(context.deployment.daemons))
            asked.append(asyncio.create_task(work))
        await asyncio.gather(*asked)
        stops.cancel()

    context.loop.run_until_complete(run())


@then("no daemon suspects a part")
def step_none_suspected(context):
    assert not context.suspected, context.suspected
