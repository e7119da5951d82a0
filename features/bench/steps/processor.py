"""Steps of processor.feature."""

from behave import then, when

from lycheepost.app.processorcost import measure_processor


@when("the bench measures a fleet of {n:d} daemons")
def step_measure(context, n):
    context.idle, context.loaded = measure_processor((n,))


@then("idle and loaded daemons have between {fewest:d} and {most:d} entry daemons")
def step_entry(context, fewest, most):
    for record in (context.idle, context.loaded):
        assert fewest <= record.n_entry <= most, record


@then("an idle daemon sends messages to its peers")
def step_messages(context):
    assert context.idle.n_messages > 1.0, context.idle


@then("a loaded daemon takes more processor time and sends more messages")
def step_loaded(context):
    assert context.loaded.processor_seconds > context.idle.processor_seconds
    assert context.loaded.n_messages > 2.0 * context.idle.n_messages
