"""Steps of pauses.feature on what the relay counts."""

import asyncio
from types import SimpleNamespace
from unittest.mock import AsyncMock

from behave import given, then, when

from lycheepost.callers.reading import AttemptCalls, AttemptTrace, StreamTimeouts
from lycheepost.callers.relaying import AnswerRelay, RelayEnd
from lycheepost.core.routing import RouteKind
from lycheepost.utils.bodies import BodyEnd, BodyFraming
from lycheepost.utils.metrics import ServedMetrics


class ManualClock:
    """A clock that the test moves."""

    seconds = 0.0

    def now_seconds(self):
        return self.seconds


class PacedStream:
    """A response whose events come after given times."""

    head = SimpleNamespace(
        status=200, is_sealed=True, is_encoded=False, framing=BodyFraming.CHUNKS
    )
    body_end = BodyEnd.MARKED

    def __init__(self, clock, waits):
        self.clock, self.waits = clock, list(waits)

    async def read(self):
        if not self.waits:
            return None
        self.clock.seconds += self.waits.pop(0)
        return b"id: %d\ndata: text\n\n" % (10 - len(self.waits))


@given("a relayed stream with a gap objective of {gap:g} s")
def step_relayed(context, gap):
    context.clock, context.metrics = ManualClock(), ServedMetrics()
    deps = SimpleNamespace(clock=context.clock, metrics=context.metrics)
    request = SimpleNamespace(arrived_seconds=0.0, after_event=None, caller_id="1")
    route = SimpleNamespace(
        kind=RouteKind.STREAM, gap_seconds=gap, is_resumable=False, rank=0
    )
    caller = SimpleNamespace(begin=AsyncMock(), write=AsyncMock(), finish=AsyncMock())
    context.relay = AnswerRelay(deps, request, route, caller)


@when("its events come after {first:g}, {second:g} and {third:g} s")
def step_events(context, first, second, third):
    answer = PacedStream(context.clock, (first, second, third))
    timeouts = StreamTimeouts(5.0, 5.0, lambda silent_seconds: None)
    relay = context.relay.relay(answer, timeouts, AttemptTrace(), AttemptCalls())
    assert asyncio.run(relay) is RelayEnd.SERVED


@then("{n:d} paused streams are counted")
def step_counted(context, n):
    text = context.metrics.text().decode()
    assert (f'name="streams_paused"}} {n}.0' in text) == (n > 0), text
