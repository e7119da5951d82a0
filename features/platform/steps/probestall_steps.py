"""Steps of probestall.feature."""

import asyncio
import socket
import threading
import time

from behave import given, then, when

from lycheepost.app.paths import PROBE_TIMEOUT_SECONDS
from lycheepost.decide.ownpaths import ProbeEnd
from lycheepost.platform.pathprobe import PathProber
from lycheepost.targets.network import TargetNetwork

RESPONSE = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"


def serve_one(listening, after_seconds):
    """Answer one request; without a time, never."""
    connection, _ = listening.accept()
    with connection:
        connection.recv(4096)
        if after_seconds is not None:
            time.sleep(after_seconds)
            connection.sendall(RESPONSE)
        # Until the prober has closed its end.
        while connection.recv(4096):
            pass


def start_server(context, after_seconds):
    listening = socket.create_server(("127.0.0.1", 0))
    context.address = f"127.0.0.1:{listening.getsockname()[1]}"
    thread = threading.Thread(target=serve_one, args=(listening, after_seconds))
    thread.start()
    context.add_cleanup(listening.close)
    context.add_cleanup(thread.join, 10.0)


@given("a server that answers after {seconds:g} s")
def step_answers(context, seconds):
    start_server(context, seconds)


@given("a server that never answers")
def step_never(context):
    start_server(context, None)


@given("a server that refuses connections")
def step_refuses(context):
    with socket.create_server(("127.0.0.1", 0)) as listening:
        context.address = f"127.0.0.1:{listening.getsockname()[1]}"


@when(
    "it is probed and the process does not run for {stall_seconds:g} s from"
    " {from_seconds:g} s on"
)
def step_probed(context, stall_seconds, from_seconds):
    async def run():
        prober = PathProber(TargetNetwork(), PROBE_TIMEOUT_SECONDS)
        await prober.start()
        loop = asyncio.get_running_loop()
        started = loop.time()
        # The whole process runs nothing of its loop meanwhile, as if it were stopped.
        loop.call_later(from_seconds, time.sleep, stall_seconds)
        context.end = await prober.probe(context.address, "/health")
        context.lasted_seconds = loop.time() - started
        await prober.stop()

    context.loop.run_until_complete(run())


@then("the probe is answered")
def step_answered(context):
    assert context.end is ProbeEnd.ANSWERED, (context.end, context.lasted_seconds)


@then("the probe is silent after {least:g} s to {most:g} s")
def step_silent(context, least, most):
    assert context.end is ProbeEnd.SILENT, context.end
    assert least <= context.lasted_seconds <= most, context.lasted_seconds


@then("the probe is refused")
def step_refused(context):
    assert context.end is ProbeEnd.REFUSED, context.end
