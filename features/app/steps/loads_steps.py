"""Steps of loads.feature."""

import asyncio
from dataclasses import replace

from behave import given, then, when

from features.decide.steps.common import make_view
from lycheepost.app.loads import LoadExchange
from lycheepost.core.ids import DaemonId, TargetId
from lycheepost.generated.messages import LoadNews, TargetLoad
from lycheepost.standin.virtualtime import run_virtual, virtual_clock

REPORT_SECONDS = 0.03
WHOLE_EVERY = 13


class FakeDispatcher:
    """Records the load of peers that it is told; has no work itself."""

    def __init__(self):
        self.told = []

    def set_peer_load(self, target, load):
        self.told.append((virtual_clock().now_seconds(), target, load.n_running))

    def under_way(self):
        return {}

    def take_placed(self):
        return ()

    def take_state_news(self):
        return ()

    def waiting_groups(self):
        return ()

    def draw_admission(self, _n_waiting):
        pass

    def dispatch_waiting(self):
        pass


class FakeExchange:
    """Passes messages to the subscriber."""

    def subscribe(self, _message_type, on_message):
        self.receive = on_message

    def send_to_each(self, _daemons, _message):
        pass


@given('a daemon with the targets "one" and "two"')
def step_daemon(context):
    context.views = tuple(
        replace(make_view(index), target=TargetId(name))
        for index, name in enumerate(("one", "two"))
    )
    context.acts = []


async def report(context, sender, n_requests, seconds):
    """Report the load as a daemon does: changes often, all of it at times."""
    for number in range(round(seconds / REPORT_SECONDS)):
        is_whole = number % WHOLE_EVERY == 0
        loads = [TargetLoad(target="one", queued_tokens=0, n_running=n_requests)]
        news = LoadNews(
            is_whole=is_whole,
            loads=loads if (is_whole or not number) and n_requests else [],
            waiting_groups=[],
            placed=[],
        )
        context.exchange.receive(news, DaemonId(sender))
        await asyncio.sleep(REPORT_SECONDS)


@when('its peer has {n:d} requests at "one" for {seconds:g} s')
def step_reports(context, n, seconds):
    context.acts.append(lambda: report(context, "peer", n, seconds))


@when("its peer is silent while another one reports for {seconds:g} s")
def step_other(context, seconds):
    context.acts.append(lambda: report(context, "other", 0, seconds))


@when("the targets change")
def step_targets(context):
    async def act():
        context.n_told = len(context.dispatcher.told)
        context.changed_seconds = virtual_clock().now_seconds()
        context.loads.set_targets(context.views)
        await asyncio.sleep(0.1)

    context.acts.append(act)


def run(context):
    async def main():
        context.dispatcher, context.exchange = FakeDispatcher(), FakeExchange()
        context.loads = LoadExchange(
            context.dispatcher, context.exchange, virtual_clock()
        )
        context.loads.set_targets(context.views)
        context.loads.set_peers((DaemonId("peer"),))
        await context.loads.start()
        for act in context.acts:
            await act()
        await context.loads.stop()

    run_virtual(main())


@then('the scheduler was told of {n:d} at "one" between {few:d} and {many:d} times')
def step_told(context, n, few, many):
    run(context)
    told = [item for item in context.dispatcher.told if item[1:] == ("one", n)]
    assert few <= len(told) <= many, len(told)


@then('the scheduler was last told of {n:d} requests at "one"')
def step_last_told(context, n):
    run(context)
    told = [item for item in context.dispatcher.told if item[1] == "one"]
    assert told[-1][2] == n, told[-3:]


@then('the scheduler is told of {n:d} requests at "one" within {seconds:g} s')
def step_told_soon(context, n, seconds):
    run(context)
    told = context.dispatcher.told[context.n_told :]
    found = [at for at, target, count in told if (target, count) == ("one", n)]
    assert found and found[0] <= context.changed_seconds + seconds, told
