"""Steps of quotas.feature."""

import asyncio
import dataclasses

from behave import given, then, when
from fleet import CHAT, call, chat_body, n_runs, sleep_until

from lycheepost.core.ids import Revision
from lycheepost.generated.configuration import CustomerQuota, CustomerQuotaUnit

ORDERS = "/services/kiosk-orders/orders"


@given("the first customer may ask for {rate:g} requests a second, {burst:g} at once")
def given_quota(context, rate, burst):
    quota = CustomerQuota(
        unit=CustomerQuotaUnit.REQUESTS, rate_per_second=rate, burst=burst
    )
    context.rate, context.burst = rate, burst
    context.run(set_quota(context, quota))


async def set_quota(context, quota):
    daemons = context.fleet.daemons
    revisions = daemons[0].state.revisions
    configuration = revisions.view.configuration
    first, *others = configuration.customers
    changed = dataclasses.replace(
        configuration, customers=[dataclasses.replace(first, quota=quota), *others]
    )
    committed = await revisions.commit(Revision(configuration.revision), changed)
    committed.unwrap()

    def is_shared():
        found = [daemon.traffic.quotas.status() for daemon in daemons]
        return all(item["customers"] and item["is_synced"] for item in found)

    await sleep_until(is_shared)


@when("it asks both daemons in turn for {n:d} chats, one after the other")
def when_many(context, n):
    async def ask_all():
        began_seconds = asyncio.get_running_loop().time()
        context.answers = [
            await call(
                context, CHAT, chat_body(context, f"hello {index}"), daemon=index % 2
            )
            for index in range(n)
        ]
        context.took_seconds = asyncio.get_running_loop().time() - began_seconds

    context.run(ask_all())


@then("some are refused with 429 and the headers of a rate limit")
def then_refused(context):
    refused = [answer for answer in context.answers if answer.status != 200]
    assert refused
    for answer in refused:
        assert answer.status == 429 and answer.code == "over_quota", answer
        assert answer.headers["Lycheepost-Executed"] == "no"
        assert answer.headers["x-ratelimit-limit-requests"] == "3"
        assert answer.headers["x-ratelimit-remaining-requests"] == "0"
        reset = answer.headers["x-ratelimit-reset-requests"]
        assert 0.0 < float(reset.removesuffix("s")) < 10.0, reset
    context.answer = refused[0]


@then("no more of them ran than the quota allows, plus one")
def then_ran(context):
    allowed = context.burst + context.rate * context.took_seconds
    assert 0 < n_runs(context) <= allowed + 1.0, (n_runs(context), allowed)


@then("another customer is served")
def then_other(context):
    body = chat_body(context, "hello")
    answer = context.run(call(context, CHAT, body, key=context.keys[1]))
    assert answer.status == 200, answer


@when("it asks again after the time of the Retry-After header")
def when_again(context):
    async def ask():
        await asyncio.sleep(float(context.answer.headers["Retry-After"]))
        return await call(context, CHAT, chat_body(context, "again"))

    context.answer = context.run(ask())


@then("it is served")
def then_served(context):
    assert context.answer.status == 200, context.answer


@when("it calls a service that is not running {n:d} times")
def when_unrun(context, n):
    async def ask():
        standins = context.fleet.standins
        await asyncio.gather(*(service.stop() for service in standins.services))
        return [await call(context, ORDERS, {"item": index}) for index in range(n)]

    context.answers = context.run(ask())


@then("none of the calls is refused for the quota")
def then_not_over(context):
    statuses = [answer.status for answer in context.answers]
    assert 429 not in statuses and 200 not in statuses, statuses


@when("it sends one order with the same key {n:d} times")
def when_resend(context, n):
    async def ask():
        headers = {"Idempotency-Key": "order-1"}
        return [
            await call(context, ORDERS, {"item": 1}, headers=headers) for _ in range(n)
        ]

    context.answers = context.run(ask())


@then("all get the first response")
def then_same(context):
    assert {answer.status for answer in context.answers} == {201}, context.answers
    assert len({answer.body for answer in context.answers}) == 1
