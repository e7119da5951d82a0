"""Steps of notice_messages.feature."""

from dataclasses import replace

from behave import given, then, when

from lycheepost.core.ids import TargetId
from lycheepost.core.starts import TargetStart
from lycheepost.decide.ratelimits import ReportedLimit
from lycheepost.generated.messages import NoticeNews, TargetLimit
from lycheepost.peers.notice_messages import leaving_of, limits_of, to_message

LIMITED, ENDED = TargetId("limited"), TargetId("ended")
SENDER_SECONDS = 1000.0
RECEIVER_SECONDS = 50.0


@given(
    "a daemon that reports a limit of {per_second:g} a second from {age_seconds:g} s"
    " ago and of one that ended"
)
def step_reports(context, per_second, age_seconds):
    reported_seconds = SENDER_SECONDS - age_seconds
    limits = {
        LIMITED: ReportedLimit(per_second, reported_seconds),
        ENDED: ReportedLimit(None, reported_seconds),
    }
    context.per_second = per_second
    context.message = to_message(limits, {}, (), SENDER_SECONDS)


@given("a daemon that reports a limit with {figure:g} as its {field}")
def step_bad(context, figure, field):
    sound = TargetLimit(target=LIMITED, limit_per_second=1.0, age_seconds=0.0)
    context.message = NoticeNews(limits=[replace(sound, **{field: figure})])


@when("a peer receives the message")
def step_receives(context):
    context.received = limits_of(context.message.limits, RECEIVER_SECONDS)


@then("it has both, as reported {age_seconds:g} s ago on its own clock")
def step_both(context, age_seconds):
    reported_seconds = RECEIVER_SECONDS - age_seconds
    assert context.received == [
        (LIMITED, ReportedLimit(context.per_second, reported_seconds, is_own=False)),
        (ENDED, ReportedLimit(None, reported_seconds, is_own=False)),
    ], context.received


@then("it has none of them")
def step_none(context):
    assert not context.received, context.received


@given("a daemon that reports a leaving target with its start, and another without")
def step_reports_leaving(context):
    context.starts = [TargetStart(LIMITED, 1_700_000_000_000), TargetStart(ENDED)]
    context.message = to_message({}, {}, context.starts, SENDER_SECONDS)


@then("it knows both starts to be leaving")
def step_knows_leaving(context):
    assert leaving_of(context.message) == context.starts, context.message
