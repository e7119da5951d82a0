"""Steps of api.feature."""

import asyncio
import json
import urllib.parse
from dataclasses import replace

import openai
from behave import given, then, when
from fleet import CHAT, Answer, call, chat_body, expected_chat, n_runs

from lycheepost.core.ids import Revision


def openai_client(context, kind=openai.AsyncOpenAI):
    return kind(
        base_url=context.urls[0] + "/v1", api_key=context.keys[0], max_retries=0
    )


def ask_sync(context, text):
    client = openai_client(context, openai.OpenAI)
    messages = [{"role": "user", "content": text}]
    asked = {"model": context.model, "messages": messages, "max_tokens": 6}
    whole = client.chat.completions.create(**asked)
    chunks = client.chat.completions.create(**asked, stream=True)
    streamed = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
    return [whole.choices[0].message.content, streamed]


async def ask_async(context, text):
    client = await context.stack.enter_async_context(openai_client(context))
    messages = [{"role": "user", "content": text}]
    asked = {"model": context.model, "messages": messages, "max_tokens": 6}
    whole = await client.chat.completions.create(**asked)
    chunks = await client.chat.completions.create(**asked, stream=True)
    parts = [chunk.choices[0].delta.content or "" async for chunk in chunks]
    return [whole.choices[0].message.content, "".join(parts)]


@when("the openai client asks for a chat unstreamed and streamed, async and sync")
def when_openai_chat(context):
    texts = context.run(ask_async(context, "hello"))
    texts += context.run(asyncio.to_thread(ask_sync, context, "hello"))
    context.pairs = [(text, expected_chat("hello", 6)) for text in texts]


@when("the openai client asks for a text completion unstreamed and streamed")
def when_openai_completion(context):
    async def ask():
        client = await context.stack.enter_async_context(openai_client(context))
        asked = {"model": context.model, "prompt": "once", "max_tokens": 4}
        whole = await client.completions.create(**asked)
        chunks = await client.completions.create(**asked, stream=True)
        parts = [chunk.choices[0].text or "" async for chunk in chunks]
        return whole.choices[0].text, "".join(parts)

    context.pairs.append(context.run(ask()))


@then("all responses are complete and equal to the engine's text")
def then_equal(context):
    assert len(context.pairs) == 5
    for got, expected in context.pairs:
        assert got == expected, (got, expected)
        assert got.strip()


@then("the models response lists exactly the customer's models")
def then_models(context):
    answer = context.run(call(context, "/v1/models"))
    assert [item["id"] for item in json.loads(answer.body)["data"]] == [context.model]


async def stall(context):
    """Send part of a body and wait for the response on the open connection."""
    address = urllib.parse.urlsplit(context.urls[0])
    reader, writer = await asyncio.open_connection(address.hostname, address.port)
    head = f"POST {CHAT} HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n"
    head += f"Authorization: Bearer {context.keys[0]}\r\n\r\n{{"
    writer.write(head.encode())
    status_line = (await reader.readline()).split()
    headers = {}
    while line := (await reader.readline()).decode().strip():
        name, _, value = line.partition(": ")
        headers[name] = value
    body = await reader.readexactly(int(headers["Content-Length"]))
    writer.close()
    return Answer(int(status_line[1]), headers, body)


async def send_fault(context, fault):
    body = chat_body(context, "x")
    match fault:
        case "malformed JSON":
            return await call(context, CHAT, b'{"model": ')
        case "a JSON list":
            return await call(context, CHAT, b"[1]")
        case "no messages":
            return await call(context, CHAT, body | {"messages": []})
        case "a message without a role":
            return await call(context, CHAT, body | {"messages": [{"content": "x"}]})
        case "invalid UTF-8":
            return await call(context, CHAT, b'{"model": "\xff"}')
        case "two choices":
            return await call(context, CHAT, body | {"n": 2})
        case "negative max_tokens":
            return await call(context, CHAT, body | {"max_tokens": -1})
        case "too many max_tokens":
            return await call(context, CHAT, body | {"max_tokens": 10**6})
        case "a bad timeout header":
            headers = {"X-Request-Timeout-Seconds": "soon"}
            return await call(context, CHAT, body, headers=headers)
        case "a prompt beyond the model":
            return await call(context, CHAT, chat_body(context, "y" * 560_000))
        case "no key":
            return await call(context, CHAT, body, key=False)
        case "a wrong key":
            return await call(context, CHAT, body, key="lpk-wrong")
        case "an operator key":
            return await call(context, CHAT, body, key=context.fleet.operator_key)
        case "an unknown model":
            return await call(context, CHAT, body | {"model": "nope"})
        case "an oversize body":
            return await call(context, CHAT, chat_body(context, "z" * 700_000))
        case "a body that stalls":
            return await stall(context)
    raise AssertionError(fault)


@when("a caller sends {fault}")
def when_fault(context, fault):
    context.answer = context.run(send_fault(context, fault))


@then("the openai client would raise {name}")
def then_error_class(context, name):
    import httpx2 as httpx

    client = openai.OpenAI(api_key="x", base_url="http://127.0.0.1:1")
    response = httpx.Response(
        context.answer.status,
        content=context.answer.body,
        headers=context.answer.headers,
        request=httpx.Request("POST", "http://127.0.0.1:1"),
    )
    error = client._make_status_error_from_response(response)
    assert isinstance(error, getattr(openai, name)), type(error)


@when("two customers send the same prompt, the second with the first one's salt")
def when_salt(context):
    names = list(context.fleet.standins.keys)
    text = "a long shared letter " * 400

    async def ask():
        first = await call(context, CHAT, chat_body(context, text))
        again = await call(context, CHAT, chat_body(context, text))
        salted = chat_body(context, text, cache_salt=f"customer:{names[0]}")
        other = await call(context, CHAT, salted, key=context.keys[1])
        return first, again, other

    context.usages = [json.loads(answer.body)["usage"] for answer in context.run(ask())]


@then("the second customer's answer used no cached tokens")
def then_no_cached(context):
    cached = [
        usage["prompt_tokens_details"]["cached_tokens"] for usage in context.usages
    ]
    assert cached[1] > 0, "the customer's own repeat must hit the cache"
    assert cached[2] == 0, cached


@given('the second customer may use only the model "{name}"')
def given_models(context, name):
    revisions = context.fleet.daemons[0].state.revisions
    now = revisions.view.configuration
    customers = list(now.customers)
    customers[1] = replace(customers[1], models=[name])
    changed = replace(now, customers=customers)
    context.run(revisions.commit(Revision(now.revision), changed)).unwrap()


@when("the second customer asks for the fleet's model")
def when_second_asks(context):
    body = chat_body(context, "x")
    context.answer = context.run(call(context, CHAT, body, key=context.keys[1]))
    assert n_runs(context) == 0
