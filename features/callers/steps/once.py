"""Steps of once.feature."""

import asyncio
import json

import aiohttp
from behave import given, then, when
from fleet import (
    CHAT,
    call,
    chat_body,
    expected_chat,
    n_runs,
    sleep_until,
    streamed_text,
)

from lycheepost.standin.faults import (
    CrashAfterRun,
    CrashBeforeRun,
    LostAnswer,
    SlowCall,
)

ORDER = b'{"order_id": "o-1", "n_prints": 3}'
FAULTS = {
    "crashes before running": CrashBeforeRun(),
    "crashes after running": CrashAfterRun(),
    "loses its answer": LostAnswer(),
}


def order(context, daemon=0, key="key-1", body=ORDER):
    path = f"/services/{context.fleet.standins.shape.service_group}/orders"
    headers = {"Idempotency-Key": key}
    return call(context, path, body, headers=headers, daemon=daemon)


async def order_outcome(context, daemon):
    """Send an order again until its response is no longer ``in_progress``."""
    for _ in range(100):
        answer = await order(context, daemon)
        if answer.status == 201 or answer.code != "in_progress":
            return answer
        await asyncio.sleep(0.05)
    return answer


def order_runs(context, order_id="o-1"):
    return context.fleet.standins.evidence().order_runs[order_id]


@when("an order is sent once through each daemon with one key")
def when_each_daemon(context):
    async def send():
        return [await order(context, index) for index in range(len(context.urls))]

    context.answers = context.run(send())


@then("all answers are equal byte for byte")
def then_all_equal(context):
    assert {answer.status for answer in context.answers} == {201}
    assert len({answer.body for answer in context.answers}) == 1


@then("the service ran the order once")
def then_ran_once(context):
    assert order_runs(context) == 1


@then("the order ran {n:d} times")
def then_ran(context, n):
    assert order_runs(context) == n, order_runs(context)


@when("an order is sent, and another body with the same key through the other daemon")
def when_other_body(context):
    assert context.run(order(context)).status == 201
    context.answer = context.run(order(context, 1, body=ORDER + b" "))


@when("one order is sent through both daemons at the same time {n:d} times over")
def when_at_once(context, n):
    async def send(index):
        body = json.dumps({"order_id": f"t-{index}"}).encode()
        key = f"twice-{index}"
        pair = (order(context, 0, key, body), order(context, 1, key, body))
        return await asyncio.gather(*pair)

    async def send_all():
        return [await send(index) for index in range(n)]

    context.pairs = context.run(send_all())


@then('each order ran at most once and every caller has an answer or "in progress"')
def then_each_once(context):
    for index, pair in enumerate(context.pairs):
        assert order_runs(context, f"t-{index}") == 1
        assert any(answer.status == 201 for answer in pair), pair
        for answer in pair:
            assert answer.status == 201 or answer.code == "in_progress", answer


@given("the order service takes {seconds:f} seconds")
def given_slow(context, seconds):
    for service in context.fleet.standins.services:
        service.faults.add(SlowCall(seconds), n_calls=5)


@given("the order service {fault}")
def given_fault(context, fault):
    for service in context.fleet.standins.services:
        service.faults.add(FAULTS[fault])


@when("an order is sent, and sent again through the other daemon")
def when_sent_again(context):
    async def send():
        first = await order(context)
        return first, await order_outcome(context, 1)

    context.answer, context.resend = context.run(send())


@then('the first answer has status {status:d} and is marked "{executed}"')
def then_first(context, status, executed):
    assert context.answer.status == status, context.answer
    assert context.answer.headers["Lycheepost-Executed"] == executed


@then("the resend is {code}")
def then_resend(context, code):
    assert context.resend.code == code, context.resend
    assert context.resend.headers["Lycheepost-Executed"] == "unknown"


@given("the table service is down")
def given_table_down(context):
    context.fleet.standins.table.faults.is_down = True


@when("an order is sent")
def when_order(context):
    context.answer = context.run(order(context))


@then("it is marked as not executed and has a Retry-After header")
def then_come_back(context):
    assert context.answer.headers["Lycheepost-Executed"] == "no"
    assert int(context.answer.headers["Retry-After"]) >= 1


@when("the table service has recovered and the order is sent again")
def when_back(context):
    context.fleet.standins.table.faults.is_down = False

    async def send_until_taken():
        for _ in range(100):
            answer = await order(context)
            if answer.status == 201:
                return answer
            await asyncio.sleep(0.1)
        return answer

    context.answer = context.run(send_until_taken())


@when("an order is sent and its caller leaves after {seconds:f} seconds")
def when_leaves(context, seconds):
    async def send():
        task = asyncio.create_task(order(context))
        await asyncio.sleep(seconds)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.run(send())


@when("an order without a key is sent, its caller leaves and the daemon drains")
def when_drains(context):
    path = f"/services/{context.fleet.standins.shape.service_group}/orders"

    async def send():
        task = asyncio.create_task(call(context, path, ORDER))
        await asyncio.sleep(0.2)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await context.fleet.daemons[0].drain()
        context.n_runs = order_runs(context)

    context.run(send())


@then("the order ran {n:d} times before the drain ended")
def then_ran_before(context, n):
    assert context.n_runs == n, context.n_runs


@when("the order is sent again through the other daemon until it has an outcome")
def when_settled(context):
    context.answer = context.run(order_outcome(context, 1))


@when("a streamed chat is sent twice with one key through two daemons")
def when_stream_twice(context):
    body = chat_body(context, "keyed", stream=True)
    headers = {"Idempotency-Key": "stream-1"}

    async def send():
        first = await call(context, CHAT, body, headers=headers)
        claims = context.fleet.daemons[0].state.claims
        await sleep_until(lambda: claims.status()["n_held"] == 0)
        return first, await call(context, CHAT, body, headers=headers, daemon=1)

    context.answers = context.run(send())


@then("both streams are equal byte for byte and the engine ran one chat")
def then_streams_equal(context):
    first, second = context.answers
    assert first.status == second.status == 200, context.answers
    assert first.body == second.body
    assert first.body.endswith(b"data: [DONE]\n\n")
    assert n_runs(context) == 1


@when("a keyed stream is left in the middle and asked for again elsewhere")
def when_left_keyed(context):
    body = chat_body(context, "left", stream=True, max_tokens=60)
    headers = {"Idempotency-Key": "left-1"}
    sent = headers | {"Authorization": f"Bearer {context.keys[0]}"}

    async def send():
        async with aiohttp.ClientSession() as session:
            url = context.urls[0] + CHAT
            async with session.post(url, json=body, headers=sent) as response:
                await response.content.readany()
        for _ in range(200):
            answer = await call(context, CHAT, body, headers=headers, daemon=1)
            if answer.status == 200:
                return answer
            await asyncio.sleep(0.05)
        return answer

    context.answer = context.run(send())


@then("the complete stream arrives and the engine ran one chat")
def then_complete_resend(context):
    assert context.answer.status == 200, context.answer
    assert streamed_text(context.answer.body) == (expected_chat("left", 60), True)
    assert n_runs(context) == 1
