"""Steps of history.feature, on a simulated clock."""

import asyncio

from behave import given, then, when
from burn_steps import NOW, OBJECTIVES, make_sample
from returns.result import Failure, Success

from lycheepost.core.clock import FakeClock
from lycheepost.core.ids import DaemonId
from lycheepost.ports.objects import ObjectError, ObjectMissing
from lycheepost.report.burn import dedupe_slots
from lycheepost.report.history import HistoryManager, fine_grained_since_seconds
from lycheepost.report.samples import make_recorder


class InMemoryObjects:
    """An in-memory object store that can be down."""

    def __init__(self):
        self.data = {}
        self.is_down = False

    def _answer(self, value):
        return Failure(ObjectError("down")) if self.is_down else Success(value)

    async def get(self, name):
        if not self.is_down and name not in self.data:
            return Failure(ObjectMissing("missing"))
        return self._answer(self.data.get(name))

    async def put(self, name, data):
        if not self.is_down:
            self.data[name] = data
        return self._answer(None)

    async def list_names(self, prefix):
        names = tuple(sorted(name for name in self.data if name.startswith(prefix)))
        return self._answer(names)

    async def delete(self, name):
        self.data.pop(name, None)
        return self._answer(None)


class CountingDaemon:
    """A recorder and its history manager, advanced second by second."""

    def __init__(self, clock, objects, boot):
        self.clock = clock
        self.recorder = make_recorder(DaemonId("d-1"), boot, OBJECTIVES)
        self.manager = HistoryManager(self.recorder, objects, clock, lambda: ("d-1",))

    async def pass_minutes(self, minutes, on_minute):
        for minute in range(minutes):
            on_minute(minute)
            for _ in range(60):
                self.recorder.record(make_sample(), self.clock.wall_seconds())
                self.clock.advance(1)
            await self.manager.write_due()

    def slots(self, history):
        kept = self.recorder.slots(
            fine_grained_since_seconds(self.clock.wall_seconds())
        )
        return dedupe_slots([*kept, *history.slots])


def count_requests(slots):
    return sum(count.n_requests for slot in slots for count in slot.counts)


@given("a daemon that counts one request a second")
def given_daemon(context):
    context.clock = FakeClock(float(NOW // 3600 * 3600))
    context.objects = InMemoryObjects()
    context.daemon = CountingDaemon(context.clock, context.objects, "boot1")
    context.outage = range(0)


@given("an object store that is down from minute {down:d} to minute {up:d}")
def given_outage(context, down, up):
    context.outage = range(down, up)


@when("{minutes:d} minutes pass")
def when_minutes(context, minutes):
    def on_minute(minute):
        context.objects.is_down = minute in context.outage

    asyncio.run(context.daemon.pass_minutes(minutes, on_minute))


@when("its VM is replaced without notice")
def when_replaced(context):
    context.daemon = CountingDaemon(context.clock, context.objects, "boot2")


@when("it is stopped gracefully and replaced")
def when_stopped(context):
    asyncio.run(context.daemon.manager.stop())
    context.daemon = CountingDaemon(context.clock, context.objects, "boot2")


def read(context):
    return asyncio.run(context.daemon.manager.read())


@then("the history and the daemon together show from {least:d} to {most:d} requests")
def then_between(context, least, most):
    n_requests = count_requests(context.daemon.slots(read(context)))
    assert least <= n_requests <= most, n_requests


@then("the history and the daemon together show exactly {n:d} requests")
def then_exactly(context, n):
    n_requests = count_requests(context.daemon.slots(read(context)))
    assert n_requests == n, n_requests


@then("the history alone shows at least {n:d} requests")
def then_written(context, n):
    n_requests = count_requests(dedupe_slots(read(context).slots))
    assert n_requests >= n, n_requests


@then("the oldest hours are read from one object each")
def then_hours(context):
    slots = read(context).slots
    assert [slot.length_seconds for slot in slots].count(3600) == 6, slots
    first_fine = min(s.start_wall_seconds for s in slots if s.length_seconds == 300)
    assert first_fine == fine_grained_since_seconds(context.clock.wall_seconds())


@when("one object is replaced by {damage}")
def when_damaged(context, damage):
    name = next(iter(context.objects.data))
    data = context.objects.data[name]
    context.objects.data[name] = {
        "nothing": b"",
        "random bytes": bytes(range(255, 0, -1)),
        "half of itself": data[: len(data) // 2],
        "another document": b"x\x9cK\xcb\xcf\x07\x00\x02\x82\x01E",
    }[damage]


@then("the history says that {n:d} object is unread")
def then_unread(context, n):
    assert read(context).n_unread == n
