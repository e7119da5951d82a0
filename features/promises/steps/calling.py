"""Calls to a fleet, used by the steps of features/promises."""

import aiohttp

from lycheepost.standin.answers import chat_prompt_text, expected_words

ORDER = {"order_id": "order-1", "n_prints": 3}


def headers_of(fleet, customer=0, **fields):
    key = list(fleet.standins.keys.values())[customer]
    return {"Authorization": f"Bearer {key}", "X-Request-Timeout-Seconds": "5"} | fields


def body_of(prompt, max_tokens=8, stream=False):
    messages = [{"role": "user", "content": prompt}]
    return {
        "model": "caption-llm",
        "messages": messages,
        "max_tokens": max_tokens,
        "stream": stream,
    }


async def complete(session, fleet, url, prompt, customer=0, **fields):
    """Return the status and document; a failed connection is status 0."""
    try:
        async with session.post(
            f"{url}/v1/chat/completions",
            json=body_of(prompt, **fields),
            headers=headers_of(fleet, customer),
        ) as response:
            return response.status, await response.json()
    except aiohttp.ClientError:
        return 0, {}


def answer_text(document):
    return document["choices"][0]["message"]["content"]


def expected_text(prompt, n_tokens):
    text = chat_prompt_text([{"role": "user", "content": prompt}])
    return "".join(f" {word}" for word in expected_words(text, n_tokens))


async def order(session, fleet, url, document=ORDER, key="key-1"):
    headers = headers_of(fleet, **{"Idempotency-Key": key, "X-Non-Idempotent": "true"})
    try:
        async with session.post(
            f"{url}/services/kiosk-orders/orders", json=document, headers=headers
        ) as response:
            executed = response.headers.get("Lycheepost-Executed", "")
            return response.status, executed, await response.read()
    except aiohttp.ClientError:
        return 0, "", b""


def n_runs(fleet, order_id="order-1"):
    return fleet.standins.evidence().order_runs[order_id]
