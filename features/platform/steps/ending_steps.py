"""Steps of endings.feature."""

from behave import when

from lycheepost.platform.models.serverfaults import BrokenOff, StopPoint, Unframed
from lycheepost.standin.faults import FaultPlan
from lycheepost.standin.rawbodies import Framing, Stop

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
