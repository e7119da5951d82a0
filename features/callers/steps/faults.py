"""Steps of faults.feature: engine failures and draining."""

import asyncio
import json
from dataclasses import replace

import aiohttp
from behave import given, then, when
from fleet import (
    CHAT,
    call,
    chat_body,
    expected_chat,
    sleep_until,
    streamed_text,
)

from lycheepost.standin.enginerun import RunState
from lycheepost.standin.faults import Refused, Truncated

N_TOKENS = 60


async def chat(context, number, is_streamed, daemon=0):
    text = f"chat {number}"
    body = chat_body(context, text, max_tokens=N_TOKENS, stream=is_streamed)
    answer = await call(context, CHAT, body, daemon=daemon)
    assert answer.status == 200, answer
    if is_streamed:
        got, is_finished = streamed_text(answer.body)
        assert is_finished, answer.body[-300:]
    else:
        got = json.loads(answer.body)["choices"][0]["message"]["content"]
    assert got == expected_chat(text, N_TOKENS), (number, got)


@when("{n:d} chats run, {form}, and the busiest engine {fault} in the middle")
def when_chats(context, n, form, fault):
    engines = context.fleet.standins.engines

    def is_middle():
        return sum(run.n_tokens for e in engines for run in e.running()) > n * 5

    async def run():
        streamed = form == "streamed"
        chats = [asyncio.create_task(chat(context, i, streamed)) for i in range(n)]
        await sleep_until(is_middle)
        busiest = max(engines, key=lambda engine: len(engine.running()))
        assert busiest.running(), "the fault must hit running chats"
        busiest.crash() if fault == "crashes" else busiest.freeze()
        return await asyncio.gather(*chats, return_exceptions=True)

    context.outcomes = context.run(run())


@then("every chat is complete and matches its own prompt")
def then_complete(context):
    bad = [outcome for outcome in context.outcomes if outcome is not None]
    assert not bad, bad


@when("a streamed chat with tools loses its engine in the middle")
def when_tools(context):
    tools = [{"type": "function", "function": {"name": "f", "parameters": {}}}]
    body = chat_body(context, "t", max_tokens=80, stream=True, tools=tools)
    engines = context.fleet.standins.engines

    async def run():
        task = asyncio.create_task(call(context, CHAT, body))
        await sleep_until(
            lambda: any(run.n_tokens > 5 for e in engines for run in e.running())
        )
        next(engine for engine in engines if engine.running()).crash()
        return await task

    context.answer = context.run(run())


@then("the stream ends with an error event and without [DONE]")
def then_error_event(context):
    assert context.answer.status == 200
    assert b"[DONE]" not in context.answer.body
    last = context.answer.body.strip().split(b"\n\n")[-1]
    error = json.loads(last.removeprefix(b"data: "))["error"]
    assert error["code"] == "answer_broken", error


@when("a request that crashes engines is sent {n:d} times through all daemons")
def when_crashing(context, n):
    body = chat_body(context, "please kill-the-engine now")
    send_crashing(context, [body] * n)


def send_crashing(context, bodies):
    """Send requests one after the other, and unrelated chats beside them."""
    boots = {engine.boot_id for engine in context.fleet.standins.engines}

    async def run():
        unrelated = [
            asyncio.create_task(chat(context, i, True, i % 3)) for i in range(9)
        ]
        for index, body in enumerate(bodies):
            context.answer = await call(context, CHAT, body, daemon=index % 3)
            await asyncio.sleep(0.15)
        return await asyncio.gather(*unrelated, return_exceptions=True)

    context.outcomes = context.run(run())
    now = {engine.boot_id for engine in context.fleet.standins.engines}
    context.n_crashes = len(now - boots)


@when(
    "{n:d} chats that share only a message that crashes engines are sent through all"
    " daemons"
)
def when_crashing_message(context, n):
    def body(index):
        chat = chat_body(context, f"chat {index} of its own")
        message = {"role": "system", "content": "please kill-the-engine now"}
        return {**chat, "messages": [message, *chat["messages"]]}

    send_crashing(context, [body(index) for index in range(n)])


@then("at most {n:d} engines have crashed")
def then_crashes(context, n):
    assert 1 <= context.n_crashes <= n, context.n_crashes


@then('the last send is refused with code "{code}"')
def then_refused(context, code):
    assert context.answer.code == code, context.answer


@then("unrelated chats sent meanwhile are complete")
def then_unrelated(context):
    then_complete(context)


@when("a caller leaves in the middle of a long stream")
def when_caller_leaves(context):
    body = chat_body(context, "long", max_tokens=2000, stream=True)
    headers = {"Authorization": f"Bearer {context.keys[0]}"}

    async def run():
        async with aiohttp.ClientSession() as session:
            url = context.urls[0] + CHAT
            async with session.post(url, json=body, headers=headers) as response:
                await response.content.readany()

    context.run(run())


@then("the engine cancels that run")
def then_cancelled(context):
    def is_cancelled():
        records = [r for e in context.fleet.standins.engines for r in e.records]
        return [record.state for record in records] == [RunState.CANCELLED]

    context.run(sleep_until(is_cancelled))


@when("{n:d} streams run through the first daemon and it starts to drain")
def when_drain(context, n):
    first = context.fleet.daemons[0]

    async def addresses():
        answer = await call(context, "/v1/addresses", daemon=1)
        return json.loads(answer.body)["addresses"]

    async def run():
        chats = [asyncio.create_task(chat(context, i, True)) for i in range(n)]
        await sleep_until(lambda: first.traffic.caller_api.n_open == n)
        drain = asyncio.create_task(first.drain())
        for _ in range(200):
            if context.urls[0] not in await addresses():
                break
            await asyncio.sleep(0.01)
        context.is_left_first = not first.traffic.drain_state.is_draining
        await sleep_until(lambda: first.traffic.drain_state.is_draining)
        context.answer = await call(context, CHAT, chat_body(context, "late"))
        outcomes = await asyncio.gather(*chats, return_exceptions=True)
        await drain
        return outcomes

    context.outcomes = context.run(run())


@then("the other daemon stops listing its address before it drains")
def then_left_first(context):
    assert context.is_left_first


@then("all {n:d} streams are complete")
def then_streams_complete(context, n):
    assert len(context.outcomes) == n
    then_complete(context)


@then("new requests to it are refused as not executed")
def then_drain_refusal(context):
    assert context.answer.status == 503, context.answer
    assert context.answer.code == "shutting_down"
    assert context.answer.headers["Lycheepost-Executed"] == "no"


@given("each engine breaks one stream and refuses to resume it")
def given_breaks(context):
    for engine in context.fleet.standins.engines:
        engine.faults.add(Truncated(after_events=3, is_clean=False))
        engine.resume_faults.add(Refused(status=404))


@when("the same chat is sent until it is complete, at most {n:d} times")
def when_until_complete(context, n):
    body = chat_body(context, "again", max_tokens=N_TOKENS, stream=True)

    async def send():
        for _ in range(n):
            answer = await call(context, CHAT, body)
            if streamed_text(answer.body)[1]:
                break
        return answer

    context.answer = context.run(send())


@then("the last response is complete")
def then_last_complete(context):
    text, is_finished = streamed_text(context.answer.body)
    assert is_finished, context.answer
    assert text == expected_chat("again", N_TOKENS), text


@given("the next target chosen is removed before the send")
def given_removed(context):
    dispatcher = context.fleet.daemons[0].traffic.dispatcher
    revisions = context.fleet.daemons[0].state.revisions
    admit = dispatcher.admit

    async def admit_and_remove(work):
        outcome = await admit(work)
        now = revisions.view.configuration
        left = [item for item in now.targets if item.target != outcome.target]
        context.removed = outcome.target
        revisions.adopt(replace(now, revision=now.revision + 1, targets=left), "test")
        return outcome

    dispatcher.admit = admit_and_remove


@when("a chat is sent")
def when_chat(context):
    context.outcomes = [context.run(chat(context, 1, True))]


@then("it is complete and no slot is taken")
def then_no_slot(context):
    assert context.outcomes == [None]
    status = context.fleet.daemons[0].traffic.dispatcher.status()
    targets = status["groups"][context.model]["targets"]
    assert context.removed not in targets
    assert all(target["n_in_flight"] == 0 for target in targets.values()), targets


@given("its engine's answers can be held back")
def given_gate(context):
    """Let all responses and events of the engine wait, on new connections too."""
    (engine,) = context.fleet.standins.engines
    context.is_awake = asyncio.Event()
    context.is_awake.set()

    async def wait(_request):
        await context.is_awake.wait()

    engine._server.block_if_frozen = wait


@given("engines may be silent for {seconds:g} s before their first byte")
def given_first_byte(context, seconds):
    engines = context.fleet.daemons[0].traffic.engines
    engines.settings = replace(engines.settings, first_byte_seconds=seconds)


@when("a streamed chat's engine is silent in the middle until the stream has ended")
def when_silent_for_good(context):
    (engine,) = context.fleet.standins.engines
    body = chat_body(context, "frozen", max_tokens=N_TOKENS, stream=True)

    async def run():
        task = asyncio.create_task(call(context, CHAT, body))
        await sleep_until(lambda: sum(run.n_tokens for run in engine.running()) > 5)
        context.is_awake.clear()
        answer = await task
        context.is_awake.set()
        return answer

    context.answer = context.run(run())


@then('the stream ends with an error event, code "{code}"')
def then_error_code(context, code):
    assert b"[DONE]" not in context.answer.body, context.answer.body[-300:]
    last = context.answer.body.strip().split(b"\n\n")[-1]
    error = json.loads(last.removeprefix(b"data: "))["error"]
    assert error["code"] == code, error


@when("a streamed chat's engine is silent for {seconds:g} s in the middle")
def when_silent(context, seconds):
    (engine,) = context.fleet.standins.engines

    async def run():
        chats = [asyncio.create_task(chat(context, 1, True))]
        await sleep_until(lambda: sum(run.n_tokens for run in engine.running()) > 5)
        context.is_awake.clear()
        await asyncio.sleep(seconds)
        context.is_awake.set()
        return await asyncio.gather(*chats, return_exceptions=True)

    context.outcomes = context.run(run())
