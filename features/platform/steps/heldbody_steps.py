"""Steps of heldbodies.feature."""

import asyncio
import gc

from behave import then, when
from failure_steps import FAULTS
from request_steps import ask

from lycheepost.callers.forwarddeps import ForwardRequest
from lycheepost.platform import headers as names
from lycheepost.standin.faults import FaultPlan

ENDLESS = 1_000_000


@when("the collector is off and servers that get a {what} show {fault}")
def step_no_collector(context, what, fault):
    gc.collect()
    gc.disable()
    context.add_cleanup(gc.enable)
    context.n_kept_before = n_kept()
    service = "llm" if "stream" in what else "plain"
    for server in context.deployment.group(service):
        server.faults = FaultPlan()
        if fault != "nothing":
            server.faults.add(FAULTS[fault], ENDLESS)


@when("clients send {n:d} requests for a {what} and wait {ms:d} ms for each")
def step_send(context, n, what, ms):
    for _ in range(n):
        ask(context, what, **{names.DEADLINE: str(ms)})


def n_kept():
    """Return how many requests are in memory."""
    return sum(isinstance(item, ForwardRequest) for item in gc.get_objects())


@then("at most {n:d} requests are kept within {seconds:g} s")
def step_kept(context, n, seconds):
    loop = context.loop
    until_seconds = loop.time() + seconds
    while n_kept() - context.n_kept_before > n:
        assert loop.time() < until_seconds, n_kept() - context.n_kept_before
        loop.run_until_complete(asyncio.sleep(0.1))
