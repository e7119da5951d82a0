"""Steps of engine.feature."""

import asyncio
import json
from unittest import mock

import aiohttp
from behave import given, then, when
from hypothesis import given as prompts
from hypothesis import settings as bounds
from hypothesis import strategies

from lycheepost.standin import answers
from lycheepost.standin.engine import EngineStandinSettings, make_engine
from lycheepost.standin.enginerun import RunState
from lycheepost.standin.enginetiming import EngineTiming, make_speeds


@when("answers of many prompts are truncated after any word and continued")
def when_truncated(context):
    context.n_checked = 0

    @bounds(max_examples=200, derandomize=True, database=None)
    @prompts(strategies.text(min_size=1), strategies.integers(0, 12))
    def check(text, n):
        messages = [{"role": "user", "content": text}]
        words = answers.expected_words(answers.chat_prompt_text(messages), 12)
        start = "".join(f" {word}" for word in words[:n])
        messages.append({"role": "assistant", "content": start})
        continued = answers.chat_prompt_text(messages, is_continued=True)
        assert answers.expected_words(continued, 12 - n) == words[n:]
        rest = answers.expected_words(text + start, 4)
        assert (rest == answers.expected_words(text, 4)) == (not n)
        context.n_checked += 1

    check()


@then("each continuation is the rest of its answer")
def then_rest(context):
    assert context.n_checked >= 100


def open_engine(context, **speeds):
    settings = EngineStandinSettings(
        timing=make_speeds(**speeds), restart_seconds=0.1, resume_grace_seconds=0.1
    )
    engine = make_engine(settings)
    context.run(engine.start())
    context.stack.push_async_callback(engine.stop)
    return engine


@given("an engine with a cache of {n:d} tokens")
def given_engine(context, n):
    context.engine = open_engine(context, cache_tokens=n)


@given("another engine with a cache of {n:d} tokens")
def given_other(context, n):
    context.other = open_engine(context, cache_tokens=n)


@given("an engine that runs one request at a time")
def given_single(context):
    context.engine = open_engine(context, max_running=1)


async def post(engine, body, headers=None, name="r"):
    url = f"{engine.url}/v1/completions"
    sent = {"X-Request-Id": name} | (headers or {})
    async with aiohttp.ClientSession() as session:
        async with session.post(url, json=body, headers=sent) as answer:
            return await answer.json()


def run_prompt(context, engine, spec):
    """Run ``SALT:DIGEST/END_TOKENS+...`` and return its cached tokens."""
    salt, _, levels = spec.partition(":")
    levels = levels.replace("/", ":").split("+")
    n_tokens = int(levels[-1].partition(":")[2])
    prompt = "x" * ((n_tokens - 1) * answers.CHARACTERS_PER_TOKEN)
    body = {"prompt": prompt, "max_tokens": 1, "cache_salt": salt}
    headers = {"X-Prefix-Digests": ",".join(levels)}
    answer = context.run(post(engine, body, headers))
    return answer["usage"]["prompt_tokens_details"]["cached_tokens"]


@when('prompts run: "{first}" then "{second}"')
def when_prompts(context, first, second):
    assert run_prompt(context, context.engine, first) == 0
    context.cached = run_prompt(context, context.engine, second)


@then("the second finds {n:d} tokens cached")
def then_cached(context, n):
    assert context.cached == n, context.cached


@when("a stream of 100 tokens is started and {event}")
def when_started(context, event):
    context.run(read_stream(context.engine, event))


async def read_stream(engine, event):
    body = {"prompt": "p", "max_tokens": 100, "stream": True}
    url = f"{engine.url}/v1/completions"
    async with aiohttp.ClientSession() as session:
        request = session.post(url, json=body, headers={"X-Request-Id": "r"})
        async with request as answer:
            await answer.content.readany()
            match event:
                case "cancelled":
                    await session.post(f"{engine.url}/v1/requests/r/cancel")
                case "the engine crashes":
                    engine.crash()
        if event == "resumed":
            last = {"Last-Event-ID": "5"}
            stream = f"{engine.url}/v1/streams/r"
            async with session.get(stream, headers=last) as answer:
                text = await answer.text()
            assert text.startswith("id: 6\n") and text.endswith("data: [DONE]\n\n")
    await asyncio.sleep(0.3)


@then('its run is "{state}"')
def then_state(context, state):
    assert [item.state for item in context.engine.records] == [RunState(state)]


@when("a request runs and ones of priority 2, 0 and 1 wait")
def when_priorities(context):
    context.order = context.run(run_by_priority(context.engine, (2, 0, 1)))


async def run_by_priority(engine, priorities):
    """Return the order in which requests start that wait for the same slot.

    The request that holds the slot is cancelled only once all of them wait.
    """
    started = []
    prefill = EngineTiming.prefill

    async def record_start(self, work):
        cached_tokens = await prefill(self, work)
        started.append(work.request)
        return cached_tokens

    async def wait_for_load(n_running, n_queued):
        async with asyncio.timeout(10):
            while True:
                counts = engine._timing.counts()
                if (counts.n_running, counts.n_queued) == (n_running, n_queued):
                    return
                await asyncio.sleep(0.01)

    def send(name, n_tokens, priority):
        body = {"prompt": name, "max_tokens": n_tokens, "priority": priority}
        return asyncio.create_task(post(engine, body, name=name))

    with mock.patch.object(EngineTiming, "prefill", record_start):
        holder = send("holder", 1_000_000, 0)
        await wait_for_load(1, 0)
        waiting = []
        for priority in priorities:
            waiting.append(send(str(priority), 2, priority))
            await wait_for_load(1, len(waiting))
        async with aiohttp.ClientSession() as session:
            await session.post(f"{engine.url}/v1/requests/holder/cancel")
        await asyncio.gather(holder, *waiting)
    assert started.pop(0) == "holder"
    return [int(name) for name in started]


@then("they start in the order 0, 1, 2")
def then_priorities(context):
    assert context.order == [0, 1, 2], context.order


@when('the prefix "{spec}" computed on the first is exported and imported')
def when_moved(context, spec):
    run_prompt(context, context.engine, spec)
    salt, _, level = spec.partition(":")
    digest = level.partition("/")[0]
    context.run(move_kv(context, salt, digest))


async def move_kv(context, salt, digest):
    async with aiohttp.ClientSession() as session:
        kept = f"{context.engine.url}/kv/{digest}?cache_salt={salt}"
        async with session.get(kept) as answer:
            assert answer.status == 200
            body = json.loads(await answer.read()) | {"cache_salt": salt}
        url = f"{context.other.url}/kv/import"
        async with session.post(url, json=body) as answer:
            assert answer.status == 200
        body["weights_version"] = "older"
        async with session.post(url, json=body) as answer:
            context.refused_status = answer.status


@then('a prompt "{spec}" on the other finds {n:d} tokens cached')
def then_moved(context, spec, n):
    assert run_prompt(context, context.other, spec) == n


@then("an import for other weights is refused")
def then_refused(context):
    assert context.refused_status == 409
