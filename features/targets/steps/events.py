"""Steps of events.feature."""

from behave import then, when

from lycheepost.targets.errors import TargetError
from lycheepost.targets.events import EventSplitter


def to_bytes(text):
    return b"" if text == "nothing" else text.encode().decode("unicode_escape").encode()


@when("the splitter is fed 64 KB repeatedly without the end of an event")
def step_endless(context):
    splitter = EventSplitter()
    context.n_taken = 0
    context.error = None
    try:
        for _ in range(100):
            splitter.feed(b"a" * 65536)
            context.n_taken += 65536
    except TargetError as error:
        context.error = error


@then("it raises an error after at most 1 MB")
def step_raises(context):
    assert context.error is not None, context.n_taken
    assert context.n_taken <= 1024 * 1024, context.n_taken


@when("the splitter is fed {text}")
def step_fed(context, text):
    context.splitter = EventSplitter()
    # One byte at a time, the smallest possible reads.
    parts = to_bytes(text)
    context.whole = b"".join(
        context.splitter.feed(parts[index : index + 1]) for index in range(len(parts))
    )


@then("it returns {whole} and its last id is {last_id}")
def step_returns(context, whole, last_id):
    assert context.whole == to_bytes(whole), context.whole
    assert str(context.splitter.last_id) == last_id


@then("it ends inside an event: {is_inside}")
def step_inside(context, is_inside):
    assert context.splitter.is_inside_event == (is_inside == "yes")


@then("at the end of a complete stream it returns {rest}")
def step_rest(context, rest):
    assert context.splitter.flush() == to_bytes(rest)
