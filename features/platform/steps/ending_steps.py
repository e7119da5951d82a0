"""Steps of endings.feature."""

import asyncio

from behave import then, when
from ownpath_steps import Try
from ownpath_steps import ask as ask_any

from lycheepost.platform.models.pathcuts import PathCut
from lycheepost.platform.models.serverfaults import BrokenOff, StopPoint, Unframed
from lycheepost.standin.faults import FaultPlan
from lycheepost.standin.rawbodies import Framing, Stop
from lycheepost.standin.resets import reset

PACKETS = {"one packet": True, "many packets": False}


def add_fault(context, what, fault):
    plan = FaultPlan()
    plan.add(fault, 1)
    service = "llm" if "stream" in what else "plain"
    for server in context.deployment.group(service):
        server.faults = plan


@when(
    "the next server's {what} stops {point} by a {stop}, framed by {framing}, in"
    " {packets}"
)
def step_stops(context, what, point, stop, framing, packets):
    fault = BrokenOff(
        Framing(framing),
        Stop(stop),
        StopPoint(point),
        is_in_one_packet=PACKETS[packets],
    )
    add_fault(context, what, fault)


@when("the next server's {what} stops with no event by a {stop}, framed by {framing}")
def step_empty(context, what, stop, framing):
    fault = BrokenOff(
        Framing(framing), Stop(stop), StopPoint.BEFORE_BODY, after_events=0
    )
    add_fault(context, what, fault)


@when("the next server's {what} has neither length nor chunks, in {packets}")
def step_unframed(context, what, packets):
    add_fault(context, what, Unframed(PACKETS[packets]))


@when("no server sends a length or chunks")
def step_all_unframed(context):
    for server in context.deployment.servers:
        server.is_unframed = True


def own_sends(context):
    """Return how many calls the first daemon has sent to servers itself."""
    return context.deployment.daemons[0].status()["sends"]["n_calls"]


@when("the first daemon has no path to the servers")
def step_no_path(context):
    deployment = context.deployment

    async def lose():
        deployment.networks[0].cut(PathCut.RESET)
        for number in range(6):
            await ask_any(deployment, number, Try(0.0, 0))

    async def are_lost():
        groups = deployment.daemons[0].status()["own_paths"]["groups"].values()
        return [item["state"] for item in groups] == ["reaches_none"] * 2

    context.loop.run_until_complete(lose())
    context.loop.run_until_complete(deployment.until(are_lost, 3.0))
    context.n_own_sends = own_sends(context)


@then("the first daemon has relayed it")
def step_relayed(context):
    assert context.deployment.runs(context.deployment.attempt_id)
    assert own_sends(context) == context.n_own_sends


REQUEST_BYTES = {
    "length": b"Content-Length: 20\r\n\r\nhalf order",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\na\r\nhalf order\r\n",
}


@when("a client sends half an order, framed by {framing}, and then a {end}")
def step_half_request(context, framing, end):
    deployment = context.deployment
    headers = deployment.headers("k-one")
    head = "POST /order/1 HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    host, _, port = str(deployment.nodes[0].clients).partition(":")

    async def send():
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(head.encode() + REQUEST_BYTES[framing])
        await asyncio.sleep(0.1)
        if end == "half close":
            writer.write_eof()
        elif end == "reset":
            reset(writer.transport)
        else:
            writer.close()
        await asyncio.sleep(0.3)
        writer.transport.abort()

    context.loop.run_until_complete(send())


@then("no server has run anything")
def step_nothing(context):
    assert context.deployment.runs() == []
