"""Steps of soakorders.feature."""

import pathlib
import sys
from types import SimpleNamespace

from behave import given, then

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / "tools"))

from soaknotices import Span  # noqa: E402
from soakorders import find_out_of_turn  # noqa: E402

TOLD = {"order after": " after ", "number of": "a number of", "too soon": "too soon"}


@given("an engine that got {orders}")
def step_engine(context, orders):
    found = [order.split() for order in orders.split(", ")]
    state = SimpleNamespace(
        order_seconds=[float(at_seconds) for at_seconds, _, _ in found],
        orders=[{"holder": holder, "fence": int(n)} for _, holder, n in found],
    )
    engine = SimpleNamespace(name="e", state=state)
    nodes = [SimpleNamespace(daemon=name) for name in "AB"]
    context.fleet = SimpleNamespace(nodes=nodes, group=lambda _service: [engine])


@given("a daemon B that was frozen until {until_seconds:g} s")
def step_frozen(context, until_seconds):
    context.disturbed = {1: [Span(0.0, until_seconds)]}


@then("the soak tells of {told}")
def step_told(context, told):
    found = list(find_out_of_turn(context.fleet, context.disturbed))
    if told == "nothing":
        assert not found, found
    else:
        assert any(TOLD[told] in item for item in found), found
