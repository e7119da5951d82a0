"""Steps of callstalls.feature."""

import asyncio
import time
from unittest import mock

import msgspec
from aiohttp import web
from behave import given, then, when
from returns.result import Success

from lycheepost.core.ids import (
    DaemonId,
    FencingNumber,
    ModelId,
    TargetId,
    WeightsVersion,
)
from lycheepost.core.routing import ListedTarget
from lycheepost.decide.startverdict import StartAnswer
from lycheepost.platform import cacheevents, orders
from lycheepost.targets.weightsport import LoadWeights, RunningRequestPolicy

BLOCK_AFTER_SECONDS = 0.02
REPORT = {"models": [], "seq": 0, "busy": False, "queued": 0, "active": 0}
EVENTS = {"boot_epoch": 1, "next": 1, "lost": False, "events": []}


async def serve(context, response_seconds):
    async def handle(request):
        await asyncio.sleep(response_seconds)
        body = EVENTS if request.path == "/kv-events" else REPORT
        return web.Response(
            status=202 if request.path == "/order" else 200,
            body=msgspec.json.encode({**body, "kv_used": 0, "kv_total": 1}),
        )

    app = web.Application()
    app.router.add_route("*", "/{path}", handle)
    runner = web.AppRunner(app, shutdown_timeout=0.0)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    context.closers.append(runner.cleanup)
    context.address = f"127.0.0.1:{runner.addresses[0][1]}"


@given("a server that takes {seconds:g} s to respond")
def step_server(context, seconds):
    context.loop.run_until_complete(serve(context, seconds))


def make_listed(address):
    return mock.Mock(spec=ListedTarget, target=TargetId("i-1"), address=address)


def make_order():
    return LoadWeights(
        model=ModelId("m0"),
        version=WeightsVersion("2"),
        runs=RunningRequestPolicy.FINISH_FIRST,
        holder=DaemonId("front-0"),
        fencing_number=FencingNumber(1),
        expected_orders=0,
    )


async def make_call(call, address):
    """Make one call on a new client; return whether it has a response."""
    if call == "cache events":
        client = cacheevents.CacheEventsClient()
    else:
        client = orders.ServerOrders(lambda *_notice: None)
    await client.start()
    try:
        match call:
            case "a report":
                found = await client.read_report(make_listed(address))
            case "an order":
                found = await client.order(make_listed(address), make_order())
            case "a start check":
                found = await client.ask_start(make_listed(address), "/health")
                return found is not StartAnswer.NONE
            case "cache events":
                found = await client.read_events(address, 0, False)
        return isinstance(found, Success)
    finally:
        await client.stop()


def run(context, call, timeout_seconds, blocked_seconds):
    async def play():
        task = asyncio.ensure_future(make_call(call, context.address))
        context.loop.call_later(BLOCK_AFTER_SECONDS, time.sleep, blocked_seconds)
        return await task

    with (
        mock.patch.object(orders, "CALL_TIMEOUT_SECONDS", timeout_seconds),
        mock.patch.object(cacheevents, "CALL_TIMEOUT_SECONDS", timeout_seconds),
    ):
        context.has_response = context.loop.run_until_complete(play())


@when(
    "the loop is blocked for {blocked:g} s during {call} with a time-out of"
    " {timeout:g} s"
)
def step_blocked(context, blocked, call, timeout):
    run(context, call, timeout, blocked)


@when("{call} is made with a time-out of {timeout:g} s")
def step_made(context, call, timeout):
    run(context, call, timeout, 0.0)


@then("the call has a response")
def step_response(context):
    assert context.has_response


@then("the call has no response")
def step_none(context):
    assert not context.has_response
