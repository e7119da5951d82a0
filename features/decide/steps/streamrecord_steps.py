"""Steps of streamrecord.feature."""

from behave import given, then, when

from lycheepost.core.ids import SoftwareVersion, StreamId, TargetGroupId
from lycheepost.decide.streamorigins import StreamOrigin
from lycheepost.decide.streamrecord import N_ROWS, StreamRecord, first_row

ORIGIN = StreamOrigin(TargetGroupId("llm"), SoftwareVersion("v1"), 0.0)
KEPT_SECONDS = 30.0
STEP_SECONDS = 0.25


@when("{n:d} streams a second are recorded for {seconds:d} s")
def step_record(context, n, seconds):
    record, stored, began = StreamRecord(), {}, {}
    context.missing, context.n_rows, context.n_streams = [], [], []
    for step in range(int(seconds / STEP_SECONDS)):
        now_seconds = step * STEP_SECONDS
        for number in range(int(n * STEP_SECONDS)):
            stream = StreamId(f"{step}-{number}")
            record.add(stream, ORIGIN, now_seconds)
            began[stream] = now_seconds
        changed = record.take_changed()
        stored.update(changed)
        context.n_rows.append(len(changed))
        context.n_streams += [len(origins) for _, origins in changed]
        kept = {stream for origins in stored.values() for stream in origins}
        context.missing += [
            stream
            for stream, at_seconds in began.items()
            if now_seconds - at_seconds <= KEPT_SECONDS and stream not in kept
        ]


@then("at each moment the rows hold all streams of the last 30 s")
def step_kept(context):
    assert not context.missing, context.missing[:5]


@then("no row is written with more than {n:d} streams")
def step_row_size(context, n):
    assert 0 < max(context.n_streams) <= n


@then("each write replaces at most {n:d} rows")
def step_rows(context, n):
    assert 0 < max(context.n_rows) <= n


@given("a daemon that has written {n:d} rows in turn before it ended")
def step_written(context, n):
    context.versions = {number % N_ROWS: number for number in range(n)}
    context.oldest = n % N_ROWS


@when("it starts again")
def step_again(context):
    context.record = StreamRecord()
    context.record.move_to(first_row(context.versions))


@then("it replaces the oldest of its rows first")
def step_oldest(context):
    context.record.add(StreamId("new"), ORIGIN, 0.0)
    assert [row for row, _ in context.record.take_changed()] == [context.oldest]


@when("a stream is recorded and its write fails")
def step_fails(context):
    context.record = StreamRecord()
    context.record.add(StreamId("one"), ORIGIN, 0.0)
    context.record.put_back(context.record.take_changed())


@then("the next write holds it")
def step_holds(context):
    assert context.record.take_changed() == [(0, {StreamId("one"): ORIGIN})]
