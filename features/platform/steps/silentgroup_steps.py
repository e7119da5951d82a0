"""Steps of silentgroup.feature."""

import asyncio
import re

from behave import given, then, when
from deployment import Deployment, make_configuration
from ownpath_steps import CONTACT_SECONDS, Try, ask, play_cut

from lycheepost.platform.models.pathcuts import PathCut

N_EVENTS = 40
"""Events of each stream, so that some are under way when their servers fall silent."""

CONFIGURE_SECONDS = 0.5


@given("a deployment with {n:d} daemons and {n_servers:d} servers of each kind")
def step_deployment(context, n, n_servers):
    deployment = Deployment()
    context.deployment = deployment
    context.loop.run_until_complete(
        deployment.start(n, n_plain=n_servers, n_engines=n_servers)
    )
    context.lost = []
    for index, daemon in enumerate(deployment.daemons):
        daemon._components.traffic.paths.on_change(
            lambda group, is_lost, index=index: context.lost.append(
                (index, str(group), is_lost)
            )
        )
    for server in deployment.group("llm"):
        server.n_events = N_EVENTS


async def play(context, per_second, seconds, acts):
    """Send first tries at an even rate to all daemons in turn.

    Args:
        context: The context of the scenario; receives the tries.
        per_second: Tries per second.
        seconds: Duration of the traffic.
        acts: What else happens, as pairs of a time and a function that returns a
            coroutine.
    """
    deployment = context.deployment
    loop = asyncio.get_running_loop()
    started = loop.time()
    context.tries = []

    async def act(at_seconds, function):
        await asyncio.sleep(at_seconds)
        await function()

    tasks = [asyncio.create_task(act(*item)) for item in acts]
    for number in range(per_second * seconds):
        # Every kind of request is sent to every daemon in turn.
        index = (number // 3) % len(deployment.daemons)
        attempt = Try(loop.time() - started, index)
        context.tries.append(attempt)
        tasks.append(asyncio.create_task(ask(deployment, number, attempt)))
        due = started + (number + 1) / per_second
        await asyncio.sleep(max(0.0, due - loop.time()))
    await asyncio.gather(*tasks)


def silences(context, kind, silent_seconds, times_seconds):
    """Return the acts that make all servers of a kind silent."""

    async def pause():
        servers = context.deployment.group(kind)
        await asyncio.gather(*(item.pause(silent_seconds) for item in servers))

    return [(at_seconds, pause) for at_seconds in times_seconds]


@when(
    "clients ask all daemons, {per_second:d} a second for {seconds:d} s, and all {kind}"
    " servers send nothing for {silent_seconds:g} s after {times}"
)
def step_silent(context, per_second, seconds, kind, silent_seconds, times):
    acts = []
    times, _, beside = times.partition(", beside")
    times, _, cut = times.partition(", while")
    found = [float(item) for item in re.findall(r"[\d.]+", times)]
    acts += silences(context, kind, silent_seconds, found)
    if beside:
        acts.append((0.0, lambda: configure(context.deployment, seconds)))
    if cut:
        context.cut_indexes = (0,)
        from_seconds, to_seconds = map(float, re.findall(r"[\d.]+", cut))
        context.cut_seconds = from_seconds
        network = context.deployment.networks[0]
        acts.append((from_seconds, lambda: call(network.cut, PathCut.HANG)))
        acts.append((to_seconds, lambda: call(network.heal)))
    context.loop.run_until_complete(play(context, per_second, seconds, acts))


async def call(function, *arguments):
    function(*arguments)


async def configure(deployment, seconds):
    """Change the configuration again and again."""
    for number in range(int(seconds / CONFIGURE_SECONDS)):
        deployment.configure(make_configuration(version=2 + number))
        await asyncio.sleep(CONFIGURE_SECONDS)


@when(
    "clients ask all daemons, {per_second:d} a second for {seconds:d} s, and after"
    " {cut_seconds:g} s the connections of the first {n:d} daemons to all servers {cut}"
)
def step_cut_some(context, per_second, seconds, cut_seconds, n, cut):
    play_cut(context, per_second, seconds, cut_seconds, tuple(range(n)), cut)


@then("no daemon has taken its paths for lost")
def step_none_lost(context):
    assert not context.lost, context.lost


@then("all first tries elsewhere are answered")
def step_elsewhere_answered(context):
    check_answered(item for item in context.tries if item.index != 0)


@then("all tries at the first daemon are answered, and served from 3 s after the cut")
def step_there_answered(context):
    there = [item for item in context.tries if item.index == 0]
    check_answered(there)
    from_seconds = context.cut_seconds + CONTACT_SECONDS
    late = [item for item in there if item.sent_seconds >= from_seconds]
    failed = [item for item in late if not item.is_served]
    assert late and not failed, failed


def check_answered(tries):
    """Check that each try got a response, whole or an error."""
    failed = [item for item in tries if item.status is None]
    assert not failed, failed
