"""A running fleet and the requests that scenarios send to it."""

import asyncio
import json
from dataclasses import dataclass, replace

import aiohttp
from behave import given, then

from lycheepost.app.demo import demo_shape, run_fleet
from lycheepost.generated.settings import (
    DaemonSettings,
    LimitSettings,
    PlatformSettings,
    Settings,
    StreamSettings,
)
from lycheepost.standin.answers import chat_prompt_text, expected_words

CHAT = "/v1/chat/completions"


@dataclass(frozen=True)
class Answer:
    """One HTTP response, read to its end."""

    status: int
    headers: dict
    body: bytes

    @property
    def code(self):
        """Return the code of an error response."""
        return json.loads(self.body)["error"]["code"]


def quick_settings():
    """Return settings whose timeouts are short enough for scenarios."""
    url = "http://127.0.0.1:1"
    return Settings(
        deployment="demo",
        daemon=DaemonSettings(daemon_id="d", availability_zone="z", region="r"),
        platform=PlatformSettings(
            table_url=url, objects_url=url, weights_url=url, vm_list_url=url
        ),
        limits=LimitSettings(body_seconds=0.5, body_bytes=600_000),
        streams=StreamSettings(silence_seconds=0.4, first_byte_seconds=5.0),
    )


async def start_fleet(context, n_daemons, n_engines=4):
    shape = replace(demo_shape(), n_engines=n_engines)
    shape = replace(shape, engine=replace(shape.engine, crash_text="kill-the-engine"))
    running = run_fleet(shape, quick_settings(), n_daemons)
    context.fleet = await context.stack.enter_async_context(running)
    context.session = await context.stack.enter_async_context(aiohttp.ClientSession())
    context.urls = context.fleet.base_urls()
    context.keys = list(context.fleet.standins.keys.values())
    context.model = context.fleet.standins.shape.engine_group


async def call(context, path, body=None, key=None, headers=None, daemon=0):
    """Send one request and read its response; a dict is encoded as JSON."""
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    sent = {"Content-Type": "application/json", **(headers or {})}
    if key is not False:
        sent["Authorization"] = f"Bearer {key or context.keys[0]}"
    method = "GET" if data is None else "POST"
    url = context.urls[daemon] + path
    async with context.session.request(method, url, data=data, headers=sent) as got:
        return Answer(got.status, dict(got.headers), await got.read())


def chat_body(context, text, **fields):
    messages = [{"role": "user", "content": text}]
    body = {"model": context.model, "messages": messages, "max_tokens": 8}
    return body | fields


def expected_chat(text, n_tokens):
    words = expected_words(
        chat_prompt_text([{"role": "user", "content": text}]), n_tokens
    )
    return "".join(f" {word}" for word in words)


def streamed_text(body):
    """Return the text of a stream and whether it ends with ``[DONE]``."""
    parts = []
    for line in body.split(b"\n"):
        if line.startswith(b"data: {"):
            for choice in json.loads(line[6:]).get("choices", ()):
                parts.append((choice.get("delta") or {}).get("content") or "")
    return "".join(parts), b"data: [DONE]" in body


def n_runs(context):
    return sum(len(engine.records) for engine in context.fleet.standins.engines)


@given("a running fleet of {n:d} daemons")
def given_fleet(context, n):
    context.run(start_fleet(context, n))


@given("a running fleet of {n:d} daemons with {n_engines:d} engines")
def given_engines(context, n, n_engines):
    context.run(start_fleet(context, n, n_engines))


@then('the answer has status {status:d} and code "{code}"')
def then_code(context, status, code):
    assert context.answer.status == status, context.answer
    assert context.answer.code == code, context.answer.body


@then("the answer has status {status:d}")
def then_status(context, status):
    assert context.answer.status == status, context.answer


@then("it is marked as not executed and no engine received it")
def then_not_executed(context):
    assert context.answer.headers["Lycheepost-Executed"] == "no", context.answer
    assert n_runs(context) == 0


async def sleep_until(condition, within_seconds=8.0):
    """Wait until another task makes a condition true."""
    async with asyncio.timeout(within_seconds):
        while not condition():
            await asyncio.sleep(0.01)
