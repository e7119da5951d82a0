"""Steps of streamend.feature."""

from behave import then, when

from lycheepost.decide.streamend import StreamEnd, find_defect


@when("a stream ended by {mark}, {inside} an event, with {events} as {kind}")
def step_ended(context, mark, inside, events, kind):
    end = StreamEnd(
        is_marked=mark == "its mark",
        is_inside_event=inside == "inside",
        has_events=events == "events",
        is_continuation=kind == "a continuation",
    )
    defect = find_defect(end)
    context.result = "complete" if defect is None else defect.name.lower()


@then("the stream counts as {result}")
def step_result(context, result):
    assert context.result == result, context.result
