"""Steps on the event checker alone, with its input split into reads of any size."""

from behave import given, then, when
from hypothesis import given as reads
from hypothesis import settings as bounds
from hypothesis import strategies

from lycheepost.targets.sse import CrossedEventError, EventChecker

N_EVENTS = 8
OWN = [
    b'id: %d\ndata: {"id":"chatcmpl-r","choices":[{"delta":{"content":" w%d"}}]}\n\n'
    % (number, number)
    for number in range(1, N_EVENTS)
]
OWN.append(b"id: %d\ndata: [DONE]\n\n" % N_EVENTS)


def with_fault(events, fault, at):
    match fault:
        case "doubled":
            return events[: at + 1] + events[at:]
        case "skipped":
            return events[:at] + events[at + 1 :]
        case "crossed":
            other = events[at].replace(b"chatcmpl-r", b"chatcmpl-s")
            return [*events[:at], other, *events[at + 1 :]]
    return events


def cut(data, sizes):
    parts = []
    while data:
        size = sizes[len(parts) % len(sizes)]
        parts.append(data[:size])
        data = data[size:]
    return parts


@given('events in reads of any size with "{fault}" among them')
def given_events(context, fault):
    context.fault = fault


@when("each read is checked and the rest is requested after each fault")
def when_checked(context):
    context.results = []

    @bounds(max_examples=300, derandomize=True, database=None, deadline=None)
    @reads(
        strategies.lists(strategies.integers(1, 400), min_size=1, max_size=6),
        strategies.integers(0, N_EVENTS - 2),
    )
    def check(sizes, at):
        checker = EventChecker("chatcmpl-r")
        passed = b""
        data = b"".join(with_fault(OWN, context.fault, at))
        for _ in range(3):
            for part in cut(data, sizes):
                passed += checker.feed(part)
            if isinstance(checker.fault, CrossedEventError) or checker.is_done:
                break
            checker.restart()
            data = b"".join(OWN[checker.n_events :])
        context.results.append((passed, at, checker))

    check()


@then('what is passed is the complete answer, or its own start where "{fault}" ends it')
def then_passed(context, fault):
    assert len(context.results) >= 100
    for passed, at, checker in context.results:
        n = at if fault == "crossed" else N_EVENTS
        assert passed == b"".join(OWN[:n]), (passed, at)
        assert checker.n_events == n
        text = "".join(f" w{number}" for number in range(1, min(n, N_EVENTS - 1) + 1))
        assert checker.delivered.text() == text
