"""Steps for a rollout over real sockets."""

import asyncio
import unittest.mock

import aiohttp
from behave import given, then, when

from lycheepost.app.demo import demo_shape, run_fleet
from lycheepost.core.ids import ModelId, WeightsVersion
from lycheepost.generated.settings import (
    DaemonSettings,
    OperatorSettings,
    PlatformSettings,
    Settings,
)
from lycheepost.operators.client import ask_revisions
from lycheepost.ports.weights import WeightsInfo
from lycheepost.standin.engine import EngineStandin

TIMING = OperatorSettings(
    capacity_tick_seconds=0.2, drain_settle_seconds=1.0, warm_step_seconds=1.5
)
MODEL = "caption-llm"


def base_settings():
    url = "http://127.0.0.1:1"
    return Settings(
        deployment="demo",
        daemon=DaemonSettings(daemon_id="d", availability_zone="z", region="r"),
        platform=PlatformSettings(
            table_url=url, objects_url=url, weights_url=url, vm_list_url=url
        ),
        operators=TIMING,
    )


async def call(session, fleet, daemon, method, path, document=None):
    url = fleet.daemons[daemon].callers_url + path
    headers = {"Authorization": f"Bearer {fleet.operator_key}"}
    async with session.request(method, url, json=document, headers=headers) as answer:
        return answer.status, await answer.json()


async def send_traffic(session, fleet, statuses, stop):
    keys = list(fleet.standins.keys.values())
    number = 0
    while not stop.is_set():
        number += 1
        daemon = fleet.daemons[number % len(fleet.daemons)]
        messages = [
            {"role": "system", "content": f"tenant {number % 5} " * 40},
            {"role": "user", "content": f"caption {number}"},
        ]
        body = {"model": MODEL, "messages": messages, "max_tokens": 8}
        headers = {"Authorization": f"Bearer {keys[number % len(keys)]}"}
        url = daemon.callers_url + "/v1/chat/completions"
        async with session.post(url, json=body, headers=headers) as answer:
            text = await answer.text()
            statuses.append("" if answer.status == 200 else text)


async def roll_out(context):
    async with run_fleet(demo_shape(), base_settings()) as fleet:
        info = WeightsInfo(ModelId(MODEL), WeightsVersion("w2"), 10**9, 0.5)
        fleet.standins.weights.put(info)
        stop = asyncio.Event()
        async with aiohttp.ClientSession() as session:
            senders = [
                asyncio.create_task(
                    send_traffic(session, fleet, context.statuses, stop)
                )
                for _ in range(3)
            ]
            intent = {"kind": "new_weights", "model": MODEL, "weights_version": "w2"}
            _, plan = await call(session, fleet, 0, "POST", "/v1/intents", intent)
            path = f"/v1/plans/{plan['plan_id']}/confirm"
            status, body = await call(session, fleet, 1, "POST", path)
            assert status == 200, body
            await wait_until_done(session, fleet, body["intents"][0])
            context.n_at_end = len(context.statuses)
            await asyncio.sleep(1.0)
            stop.set()
            await asyncio.gather(*senders)
            _, body = await call(session, fleet, 0, "GET", "/v1/fleet")
            context.fleet = body
            context.reported_revisions = await ask_revisions(body["daemons"])
        context.held = [
            engine.orders.weights_version for engine in fleet.standins.engines
        ]


async def wait_until_done(session, fleet, name):
    async with asyncio.timeout(60):
        while True:
            _, body = await call(session, fleet, 2, "GET", "/v1/intents")
            found = [i for i in body["capacity_intents"] if i["intent"] == name]
            if found and found[0]["state"] == "done":
                return
            await asyncio.sleep(0.2)


@given("a complete deployment of 3 daemons and 4 engines over HTTP")
def given_whole(context):
    context.statuses = []


@when("new weights are confirmed while callers send")
def when_rolled(context):
    take = EngineStandin._post_kv
    context.imports = []

    async def count(self, request):
        answer = await take(self, request)
        context.imports.append((answer.status, self.orders.weights_version))
        return answer

    with unittest.mock.patch.object(EngineStandin, "_post_kv", count):
        asyncio.run(roll_out(context))


@then("the reloaded engines were given stored blocks before their share rose")
def then_imported(context):
    assert context.imports and set(context.imports) == {(200, "w2")}, context.imports


@then("the fleet shows the last revision in force on every daemon")
def then_revisions(context):
    names = [daemon["daemon_id"] for daemon in context.fleet["daemons"]]
    assert context.reported_revisions == dict.fromkeys(
        names, context.fleet["revision"]
    ), context.reported_revisions
    assert len(names) == 3, names


@then("every engine holds the new weights")
def then_hold(context):
    assert context.held == ["w2"] * 4, context.held


@then("every request was answered with 200")
def then_answered(context):
    bad = [text for text in context.statuses if text]
    assert not bad and len(context.statuses) > context.n_at_end > 50, (
        bad,
        len(context.statuses),
    )
