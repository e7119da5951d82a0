"""Steps of quotas.feature."""

import asyncio
from unittest import mock

from behave import given, then, when
from structlog.testing import capture_logs

from lycheepost.app.quotas import QuotaExchange
from lycheepost.core.ids import CustomerId, DaemonId
from lycheepost.core.quotas import Quota, QuotaUnit
from lycheepost.decide.fleetquota import FleetQuotas
from lycheepost.generated.messages import CustomerSpent, QuotaSpent
from lycheepost.standin.virtualtime import run_virtual

CUSTOMER = CustomerId("one")
PEER = DaemonId("peer")
OLD_SECONDS = -1e6
"""A start time long ago, so that the daemon has the full burst."""


@given("a daemon that has admitted {spent:d} of {burst:d} tokens of a customer")
def step_daemon(context, spent, burst):
    quotas = FleetQuotas(1, OLD_SECONDS)
    quota = Quota(QuotaUnit.TOKENS, 1.0, burst, 1.0)
    quotas.set_quotas({CUSTOMER: quota}, 0.0)
    quotas.set_entry([PEER], 0.0)
    # The peer has reported before, so its next report is counted in full.
    context.peers = mock.Mock()
    context.clock = mock.Mock(now_seconds=lambda: 0.0)
    context.exchange = QuotaExchange(quotas, context.peers, context.clock, mock.Mock())
    context.quotas = quotas
    report(context, 0.0)
    assert quotas.take(CUSTOMER, float(spent), 0.0) is None


def report(context, spent_units):
    [(kind, take)] = [call.args for call in context.peers.subscribe.call_args_list]
    assert kind is QuotaSpent
    count = CustomerSpent(customer=CUSTOMER, spent_units=spent_units, left_units=0.0)
    take(QuotaSpent(start=1, is_entry=True, customers=[count]), PEER)


@when("a peer reports {count} admitted tokens")
def step_report(context, count):
    with capture_logs() as context.lines:
        report(context, float(count))


@then("the daemon still has {left:d} tokens left")
def step_left(context, left):
    assert context.quotas.left(CUSTOMER) == left, context.quotas.left(CUSTOMER)


@then("the log reports {n} ignored count")
def step_log(context, n):
    found = [line["n"] for line in context.lines if "counts ignored" in line["event"]]
    assert found == ([] if n == "no" else [int(n)]), context.lines


@when("the first message to the peer fails and {seconds:d} s go by")
def step_fail(context, seconds):
    context.n_sent = 0

    def send_to_each(_daemons, _message):
        context.n_sent += 1
        if context.n_sent == 1:
            raise OSError("no socket")

    context.peers.send_to_each = send_to_each

    async def run():
        loop = asyncio.get_running_loop()
        started_seconds = loop.time()
        context.clock.now_seconds = lambda: loop.time() - started_seconds
        await context.exchange.start()
        await asyncio.sleep(seconds)
        await context.exchange.stop()

    with capture_logs() as context.lines:
        run_virtual(run())


@then("the peer got {least:d} or more messages after that")
def step_messages(context, least):
    assert context.n_sent - 1 >= least, context.n_sent


@then("the log reports {n:d} failed exchange")
def step_failed(context, n):
    found = [line for line in context.lines if "exchange failed" in line["event"]]
    assert len(found) == n, context.lines
