"""Steps with member rows whose endpoint is invalid."""

from behave import then, when

from lycheepost.core.ids import DaemonId


@when("the row of another daemon names {endpoint} as its endpoint")
def step_row(context, endpoint):
    context.nodes[0].transport.connect(DaemonId("x"), endpoint)


@then("the links of the two are as they were")
def step_links(context):
    first, second = context.nodes
    assert first.transport.send(second.name, b"")
    assert not first.transport.send(DaemonId("x"), b"")
