"""Steps of bodies.feature."""

import asyncio
import json

from bed import SETTINGS
from behave import given, then, when
from returns.result import Failure, Success

from lycheepost.core.ids import (
    AvailabilityZone,
    DaemonId,
    FencingNumber,
    ModelId,
    TargetGroupId,
    TargetId,
    WeightsVersion,
)
from lycheepost.core.routing import ListedTarget
from lycheepost.generated.engine import EngineLoad
from lycheepost.platform.cacheevents import CacheEventsClient
from lycheepost.platform.orders import ServerOrders
from lycheepost.platform.settings import Endpoint
from lycheepost.platform.store import StoreClient
from lycheepost.ports.http_calls import HttpCaller
from lycheepost.standin.resets import reset
from lycheepost.targets.calls import ServiceCall
from lycheepost.targets.control import make_control_client
from lycheepost.targets.service import make_service_client
from lycheepost.targets.weightsport import LoadWeights, RunningRequestPolicy

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
ENGINE_LOAD = {
    "boot_id": "b",
    "age_seconds": 0.0,
    "n_running": 0,
    "n_queued": 0,
    "queued_prompt_tokens": 0,
    "cached_tokens": 0,
}
REPORT = {"models": [], "busy": False, "seq": 0}
EVENTS = {"boot_epoch": 1, "next": 1, "lost": False, "events": []}
ROWS = {"rows": [], "ver": 1, "now_ms": 1, "has_more": False}
ORDER = LoadWeights(
    ModelId("m"),
    WeightsVersion("2"),
    RunningRequestPolicy.CONTINUE,
    DaemonId("d"),
    FencingNumber(1),
    0,
)


def call_service(address):
    client = make_service_client(SETTINGS)
    url = f"http://{address}"
    call = ServiceCall("s", url, "r1", "POST", "/orders", (), b"{}", False)
    return client, lambda: client.call(call)


def read_engine_report(address):
    client = make_control_client(SETTINGS)
    return client, lambda: client.read(f"http://{address}/load", EngineLoad)


def make_orders(address):
    client = ServerOrders(lambda target, notice: None)
    target = ListedTarget(
        TargetId("i-1"), TargetGroupId("g"), address, AvailabilityZone("z"), 1
    )
    return client, target


def read_server_report(address):
    client, target = make_orders(address)
    return client, lambda: client.read_report(target)


def send_order(address):
    client, target = make_orders(address)
    return client, lambda: client.order(target, ORDER)


def read_cache_events(address):
    client = CacheEventsClient()
    return client, lambda: client.read_events(address, 0, is_store=False)


def read_rows(address):
    host, _, port = address.partition(":")
    client = StoreClient(Endpoint(host, int(port)))
    return client, lambda: client.read_table("servers")


class TableCaller(HttpCaller):
    async def start(self):
        """Do nothing: the first call opens the session."""

    async def stop(self):
        await self.close()


def call_table(address):
    client = TableCaller(f"http://{address}", 1.0)
    return client, lambda: client.call("GET", "/")


CLIENTS = {
    "a service answer": (call_service, {"ticket": 1}),
    "an engine report": (read_engine_report, ENGINE_LOAD),
    "a server report": (read_server_report, REPORT),
    "a server's order": (send_order, {"accepted": True}),
    "cache events": (read_cache_events, EVENTS),
    "rows of the store": (read_rows, ROWS),
    "a table's answer": (call_table, {"version": 1}),
}


@given("a server that answers without length or chunks: {sent} and then a {end}")
def step_server(context, sent, end):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        body = json.dumps(context.document).encode()
        body = body[: len(body) // 2] if sent.startswith("half") else body
        if sent.endswith("with the head"):
            writer.write(HEAD + body)
        else:
            writer.write(HEAD)
            await asyncio.sleep(0.02)
            writer.write(body)
        if end == "reset":
            reset(writer.transport)
        else:
            writer.close()

    server = context.run(asyncio.start_server(serve, "127.0.0.1", 0))
    context.stack.callback(server.close)
    context.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


@when("{client} is read from it")
def step_read(context, client):
    make, context.document = CLIENTS[client]
    component, read = make(context.address)
    context.run(component.start())
    context.stack.push_async_callback(component.stop)
    context.result = context.run(read())


@then('the outcome is "{outcome}"')
def step_outcome(context, outcome):
    match context.result:
        case Success(found) | Failure(found):
            assert type(found).__name__ == outcome, context.result
