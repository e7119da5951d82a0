"""Steps of pausing.feature."""

import asyncio
import gc
import os
import socket
import stat

from behave import then, when
from ownpath_steps import Try, ask


@when(
    "clients ask all daemons, {per_second:d} a second for {seconds:d} s, and one server"
    " of each kind pauses for {pause_seconds:g} s after {first_seconds:g} s and after"
    " {second_seconds:g} s"
)
def step_pause(
    context, per_second, seconds, pause_seconds, first_seconds, second_seconds
):
    deployment = context.deployment
    paused = [deployment.group(name)[0] for name in ("plain", "llm")]

    async def pause():
        for at_seconds in (first_seconds, second_seconds - first_seconds):
            await asyncio.sleep(at_seconds)
            await asyncio.gather(*(item.pause(pause_seconds) for item in paused))

    async def play():
        loop = asyncio.get_running_loop()
        started = loop.time()
        pausing = asyncio.create_task(pause())
        context.tries, tasks = [], []
        for number in range(per_second * seconds):
            attempt = Try(loop.time() - started, (number // 3) % 3)
            context.tries.append(attempt)
            tasks.append(asyncio.create_task(ask(deployment, number, attempt)))
            due = started + (number + 1) / per_second
            await asyncio.sleep(max(0.0, due - loop.time()))
        await asyncio.gather(pausing, *tasks)

    context.loop.run_until_complete(play())


@then("all tries are served")
def step_all(context):
    failed = [(item.status, item.body) for item in context.tries if not item.is_served]
    assert not failed, failed


@then("no request is quarantined")
def step_no_quarantine(context):
    found = [item for item in context.tries if item.status == 422]
    assert not found, found


@when("a look-up, an order and a stream are served")
def step_one_each(context):
    async def run():
        context.tries = [Try(0.0, 0) for _ in range(3)]
        for number, attempt in enumerate(context.tries):
            await ask(context.deployment, number, attempt)

    context.loop.run_until_complete(run())
    assert all(item.is_served for item in context.tries), context.tries


def open_tcp_sockets():
    """Return duplicates of the TCP sockets of this process."""
    found = []
    for name in os.listdir("/proc/self/fd"):
        try:
            if not stat.S_ISSOCK(os.fstat(int(name)).st_mode):
                continue
            found.append(socket.socket(fileno=os.dup(int(name))))
        except OSError:
            # The descriptor of the listing itself is closed by now.
            continue
    return [
        item
        for item in found
        if item.family in (socket.AF_INET, socket.AF_INET6)
        and item.type == socket.SOCK_STREAM
    ]


@then("no open TCP connection has a TCP_USER_TIMEOUT")
def step_no_user_timeout(context):
    gc.collect()
    sockets = open_tcp_sockets()
    assert len(sockets) > 5, len(sockets)
    timeouts = {
        item.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) for item in sockets
    }
    for item in sockets:
        item.close()
    assert timeouts == {0}, timeouts
