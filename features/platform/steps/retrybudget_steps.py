"""Steps of retrybudget.feature."""

import asyncio

from behave import given, then, when
from deployment import BOUNDS, Deployment

from lycheepost.platform.models.pathcuts import PathCut
from lycheepost.platform.models.retryaudit import find_repeats, worst_window
from lycheepost.platform.models.serverfaults import ServerFailure
from lycheepost.standin.faults import LostAnswer, Refused

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


async def send_look_ups(deployment, per_second, seconds, cut_seconds, cut):
    """Send look-ups to all daemons in turn; return when each was sent."""
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
        work = look_up(deployment, number, number % n_daemons)
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
        send_look_ups(
            context.deployment, per_second, seconds, cut_seconds, PathCut(cut)
        )
    )


def arrivals(deployment):
    return [item for server in deployment.group("plain") for item in server.arrivals]


@then(
    "in no {seconds:g} s plain servers get more repeats than {share:g} of the requests"
    " and {burst:d}"
)
def step_bound(context, seconds, share, burst):
    assert (share, burst) == (BOUNDS.retry_share, BOUNDS.retry_burst)
    worst = worst_window(
        arrivals(context.deployment), context.sent_seconds, share, burst, seconds
    )
    assert not worst.is_over, worst


@then("some requests were repeated")
def step_some(context):
    assert find_repeats(arrivals(context.deployment))
