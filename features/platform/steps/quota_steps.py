"""Steps of quotas.feature."""

import asyncio
import json

from behave import given, then, when
from deployment import KEYS, make_configuration
from request_steps import ask, start

from lycheepost.core.ids import CustomerId
from lycheepost.core.quotas import Quota, QuotaUnit
from lycheepost.platform import headers as names
from lycheepost.platform.documents import decode_configuration
from lycheepost.platform.ingress import encode_retry_after

FIRST = CustomerId(KEYS["k-one"])
WRITTEN = {
    "no limit told": {},
    "a rate of 0": {"rate_per_s": 0, "burst": 0, "unit": "token_stream"},
    "a rate of 50 and no unit": {"rate_per_s": 50, "burst": 70},
    "a rate of 50, counted in requests": {
        "rate_per_s": 50,
        "burst": 70,
        "unit": "request",
    },
    "a rate of 900, counted in tokens": {
        "rate_per_s": 900,
        "burst": 70,
        "unit": "token_stream",
        "uncached_tokens": 200,
    },
}
QUOTAS = {
    "no quota": None,
    "a quota of 50 requests a second": Quota(QuotaUnit.REQUESTS, 50, 70),
    "a quota of 900 tokens a second": Quota(QuotaUnit.TOKENS, 900, 70, 200),
}


@when("a customer with {written} is decoded")
def step_decoded(context, written):
    configuration = make_configuration()
    configuration["tenants"][0] |= WRITTEN[written]
    data = json.dumps(configuration).encode()
    context.quotas = decode_configuration(data).unwrap().quotas


@then("it has {quota}")
def step_quota(context, quota):
    assert context.quotas.get(FIRST) == QUOTAS[quota], context.quotas


@given(
    "a deployment with {n:d} daemon whose first customer may ask for"
    " {rate:d} tokens a second"
)
@given(
    "a deployment with {n:d} daemons whose first customer may ask for"
    " {rate:d} tokens a second"
)
def step_limited(context, n, rate):
    start(context, n_daemons=n)
    context.rate = rate
    configuration = make_configuration(version=2)
    configuration["tenants"][0] |= {
        "rate_per_s": rate,
        "burst": rate,
        "unit": "token_stream",
        "uncached_tokens": 200,
    }
    deployment = context.deployment
    deployment.configure(configuration)

    async def is_shared():
        found = [daemon.status()["quotas"] for daemon in deployment.daemons]
        return all(
            quotas["customers"] and quotas["share"] == 1.0 and quotas["is_synced"]
            for quotas in found
        )

    context.loop.run_until_complete(deployment.until(is_shared))


@when("a client asks for album streams of {n:d} tokens until one is refused")
def step_until_refused(context, n):
    for _ in range(20):
        ask(context, "album stream", **{names.TOKENS: f"{n - 6},6"})
        if context.answer.status != 200:
            return
    raise AssertionError("no request was refused")


@then("its Retry-After is above 0 s and below 3 s")
def step_retry_after(context):
    context.wait_seconds = float(context.answer.headers[names.RETRY_AFTER])
    assert 0.0 < context.wait_seconds < 3.0, context.wait_seconds


@then("the refused request never ran")
def step_never(context):
    deployment = context.deployment
    assert not deployment.runs(deployment.attempt_id)


@then("the metrics count its refused requests")
def step_metrics(context):
    daemon = context.deployment.daemons[0]

    async def is_counted():
        text = daemon._components.traffic.ingress._deps.metrics.text()
        return f"quota_refused.{FIRST}".encode() in text

    context.loop.run_until_complete(context.deployment.until(is_counted))


@when("a client of the other customer asks for a {what}")
def step_other(context, what):
    ask(context, what, key="k-two")


@when("the first client retries after that time")
def step_back(context):
    context.loop.run_until_complete(asyncio.sleep(context.wait_seconds + 0.05))
    ask(context, "album stream")


@when("its clients ask {n:d} times while no engine serves")
def step_unserved(context, n):
    deployment = context.deployment
    for server in deployment.group("llm"):
        deployment.store.store.put("servers", server.name, None)
    # Time for the daemon to read the change; without it the steps below fail.
    context.loop.run_until_complete(asyncio.sleep(0.5))
    context.statuses = []
    for _ in range(n):
        ask(context, "album stream", **{names.DEADLINE: "200"})
        context.statuses.append(context.answer.status)


@then("none of them is refused for the quota")
def step_not_over(context):
    assert set(context.statuses) == {503}, context.statuses


@when("clients ask both in turn for album streams of {n:d} tokens, {count:d} times")
def step_in_turn(context, n, count):
    deployment = context.deployment
    headers = {names.TOKENS: f"{n - 6},6"}

    async def ask_all():
        context.began_seconds = asyncio.get_running_loop().time()
        for index in range(count):
            answer = await deployment.ask(
                "POST",
                "/album/4",
                deployment.prompt_headers(**headers),
                b"body",
                index % 2,
            )
            context.n_units += n * (answer.status == 200)
            context.n_refused += answer.status == 429
        context.ended_seconds = asyncio.get_running_loop().time()

    context.n_units = context.n_refused = 0
    context.loop.run_until_complete(ask_all())


@then("together they admit what one quota allows")
def step_allowed(context):
    elapsed_seconds = context.ended_seconds - context.began_seconds
    allowed = context.rate * (elapsed_seconds + 1.0)
    # One request may overdraw the quota, and each daemon learns of the other's
    # requests with a delay.
    margin = 0.2 * context.rate
    assert context.n_refused > 0, (context.n_units, allowed, elapsed_seconds)
    assert 0.7 * allowed <= context.n_units <= allowed + margin, (
        context.n_units,
        allowed,
    )


@then('a wait of {wait:g} s is told as "{told}"')
def step_told(context, wait, told):
    assert encode_retry_after(wait) == told, encode_retry_after(wait)
