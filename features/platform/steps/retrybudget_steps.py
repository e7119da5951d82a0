"""Steps of retrybudget.feature."""

import asyncio
import math

from behave import given, then, when
from deployment import BOUNDS, Deployment

from lycheepost.platform.models.pathcuts import PathCut
from lycheepost.platform.models.retryaudit import find_repeats, worst_window
from lycheepost.platform.models.serverfaults import BrokenOff, ServerFailure
from lycheepost.standin.faults import LostAnswer, Refused
from lycheepost.standin.rawbodies import Framing, Stop

ENDLESS = 1_000_000
ASK_TIMEOUT_SECONDS = 3.5
FAULTS = {
    "lose answers": LostAnswer(),
    "fail": ServerFailure(),
    "reject requests": Refused(503),
    "answer for another": Refused(421),
}


@given("a deployment with {n_daemons:d} daemons and {n_plain:d} plain servers")
def step_deployment(context, n_daemons, n_plain):
    context.deployment = Deployment()
    context.loop.run_until_complete(context.deployment.start(n_daemons, n_plain))


async def look_up(deployment, number, index):
    """Send one look-up; what it gets is not judged here."""
    headers = deployment.headers("k-one")
    try:
        async with asyncio.timeout(ASK_TIMEOUT_SECONDS):
            await deployment.ask("GET", f"/look/{number}", headers, b"", index)
    except TimeoutError:
        return


async def ask_title(deployment, number, index):
    """Ask for one stream; what it gets is not judged here."""
    headers = deployment.prompt_headers("k-one", parts=f"a{number % 4}:100,b:9")
    try:
        async with asyncio.timeout(ASK_TIMEOUT_SECONDS):
            await deployment.ask("POST", "/title/x", headers, b"a title", index)
    except TimeoutError:
        return


async def send_requests(deployment, ask, per_second, seconds, cut_seconds, cut):
    """Send requests to all daemons in turn; return when each was sent."""
    loop = asyncio.get_running_loop()
    started, sent, tasks = loop.time(), [], []
    n_daemons = len(deployment.daemons)
    for number in range(int(per_second * seconds)):
        due_seconds = started + number / per_second
        await asyncio.sleep(max(0.0, due_seconds - loop.time()))
        if number == int(cut_seconds * per_second):
            for network in deployment.networks[: n_daemons // 2]:
                network.cut(cut)
        sent.append(loop.time())
        work = ask(deployment, number, number % n_daemons)
        tasks.append(asyncio.create_task(work))
    await asyncio.gather(*tasks)
    return sent


@when(
    "{n:d} plain servers {fail} and clients send {per_second:d} look-ups a second for"
    " {seconds:d} s, and after {cut_seconds:g} s the connections of half of the daemons"
    " to all servers {cut}"
)
def step_send(context, n, fail, per_second, seconds, cut_seconds, cut):
    for server in context.deployment.group("plain")[:n]:
        server.faults.add(FAULTS[fail], ENDLESS)
    context.sent_seconds = context.loop.run_until_complete(
        send_requests(
            context.deployment, look_up, per_second, seconds, cut_seconds, PathCut(cut)
        )
    )


async def send_to_half(deployment, per_second, seconds, cut_seconds, disturb):
    """Send look-ups to the first half of the daemons; return when each was sent."""
    loop = asyncio.get_running_loop()
    started, sent, tasks = loop.time(), [], []
    n_used = len(deployment.daemons) // 2
    for number in range(int(per_second * seconds)):
        due_seconds = started + number / per_second
        await asyncio.sleep(max(0.0, due_seconds - loop.time()))
        if number == int(cut_seconds * per_second):
            disturb()
        sent.append(loop.time())
        work = look_up(deployment, number, number % n_used)
        tasks.append(asyncio.create_task(work))
    await asyncio.gather(*tasks)
    return sent


@when(
    "clients of half of the daemons send {per_second:d} look-ups a second for"
    " {seconds:d} s, and after {cut_seconds:g} s {n:d} plain servers {fail} and the"
    " connections of these daemons to all servers {cut}"
)
def step_send_to_half(context, per_second, seconds, cut_seconds, n, fail, cut):
    deployment = context.deployment

    def disturb():
        for server in deployment.group("plain")[:n]:
            server.faults.add(FAULTS[fail], ENDLESS)
        for network in deployment.networks[: len(deployment.daemons) // 2]:
            network.cut(PathCut(cut))

    context.sent_seconds = context.loop.run_until_complete(
        send_to_half(deployment, per_second, seconds, cut_seconds, disturb)
    )


def arrivals(deployment, service):
    return [item for server in deployment.group(service) for item in server.arrivals]


def judge_bound(context, service, seconds, share, burst):
    """Check the worst window of one service."""
    assert (share, burst) == (BOUNDS.retry_share, BOUNDS.retry_burst)
    found = arrivals(context.deployment, service)
    worst = worst_window(found, context.sent_seconds, share, burst, seconds)
    assert not worst.is_over, worst


@then(
    "in no {seconds:g} s plain servers get more repeats than {share:g} of the requests"
    " and {burst:d}"
)
def step_bound(context, seconds, share, burst):
    judge_bound(context, "plain", seconds, share, burst)


@then("some requests were repeated")
def step_some(context):
    assert find_repeats(arrivals(context.deployment, "plain"))


@then("the daemons together count no request twice")
def step_counted_once(context):
    n_counted = sum(
        counts["n_first_attempts"]
        for daemon in context.deployment.daemons
        for counts in daemon.status()["queues"]["retries"].values()
    )
    assert n_counted <= len(context.sent_seconds), n_counted


@given(
    "a deployment with {n_daemons:d} daemons, {n_plain:d} plain server and"
    " {n_engines:d} engines"
)
def step_engines(context, n_daemons, n_plain, n_engines):
    context.deployment = Deployment()
    context.loop.run_until_complete(
        context.deployment.start(n_daemons, n_plain, n_engines)
    )


@when(
    "{n:d} engines break off every stream and clients send {per_second:d} titles a"
    " second for {seconds:d} s, and after {cut_seconds:g} s the connections of half of"
    " the daemons to all servers {cut}"
)
def step_titles(context, n, per_second, seconds, cut_seconds, cut):
    for server in context.deployment.group("llm")[:n]:
        server.faults.add(BrokenOff(Framing.CHUNKS, Stop.RESET), ENDLESS)
    context.sent_seconds = context.loop.run_until_complete(
        send_requests(
            context.deployment,
            ask_title,
            per_second,
            seconds,
            cut_seconds,
            PathCut(cut),
        )
    )


@then(
    "in no {seconds:g} s engines get more repeats than {share:g} of the requests and"
    " {burst:d}"
)
def step_engine_bound(context, seconds, share, burst):
    judge_bound(context, "llm", seconds, share, burst)


@then("some streams were repeated")
def step_some_streams(context):
    found = arrivals(context.deployment, "llm")
    n_runs = [len(engine.runs) for engine in context.deployment.group("llm")]
    assert find_repeats(found), (len(found), n_runs)


@then("its part of the retries is none, and that of the others is a quarter")
def step_parts(context):
    async def have_parts():
        *others, new = (
            daemon.status()["retry_divisor"] for daemon in context.deployment.daemons
        )
        return math.isinf(new) and others == [4, 4]

    context.loop.run_until_complete(context.deployment.until(have_parts, 3.0))
