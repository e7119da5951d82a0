"""Steps of gather.feature, which collects counts over HTTP."""

import asyncio
import socket

from aiohttp import web
from behave import given, then, when
from burn_steps import NOW, OBJECTIVES, make_sample
from history_steps import InMemoryObjects

from lycheepost.core.clock import FakeClock
from lycheepost.core.ids import DaemonId
from lycheepost.report.gather import gather_burn
from lycheepost.report.history import HistoryManager
from lycheepost.report.page import render_page
from lycheepost.report.render import render_table
from lycheepost.report.routes import make_report_routes
from lycheepost.report.samples import make_recorder

NAMES = ("d-1", "d-2")
KEY = "Bearer op"
CUSTOMER = "<script>c</script>"


def make_daemon_app(name, objects, key):
    recorder = make_recorder(DaemonId(name), "boot", OBJECTIVES)
    for _ in range(30):
        recorder.record(make_sample(CUSTOMER), NOW)
    clock = FakeClock(float(NOW + 1))
    manager = HistoryManager(recorder, objects, clock, lambda: NAMES)
    routes = make_report_routes(
        recorder, manager, clock, lambda: NAMES, lambda header: header == key
    )
    app = web.Application()
    app.add_routes(routes)
    return app


def make_faulty_app(text, status):
    async def answer(_request):
        return web.Response(text=text, status=status)

    app = web.Application()
    app.router.add_get("/{path:.*}", answer)
    return app


async def serve(app):
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return runner, f"http://127.0.0.1:{runner.addresses[0][1]}"


def closed_url():
    with socket.socket() as closed:
        closed.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{closed.getsockname()[1]}"


async def gather_from(context, key):
    objects = InMemoryObjects()
    objects.is_down = context.fault == "cannot read the history"
    second_key = "Bearer x" if context.fault.startswith("knows another") else KEY
    second = make_daemon_app("d-2", objects, second_key)
    if context.fault == "answers 500":
        second = make_faulty_app("{}", 500)
    if context.fault == "answers something else":
        second = make_faulty_app('{"daemon_id": 3}', 200)
    runners = [await serve(make_daemon_app("d-1", objects, KEY)), await serve(second)]
    urls = [url for _runner, url in runners]
    if context.fault == "takes no connection":
        urls[1] = closed_url()
    context.url = urls[1]
    if context.fault.startswith("was left out"):
        urls.pop()
    try:
        return await gather_burn(tuple(urls), key)
    finally:
        for runner, _url in runners:
            await runner.cleanup()


@given("two daemons with counts, the second one {fault}")
def given_two(context, fault):
    context.fault = fault


@when("the report is gathered")
def when_gathered(context):
    context.report = asyncio.run(gather_from(context, "op"))


@when("the report is gathered with a caller's key")
def when_gathered_wrongly(context):
    context.report = asyncio.run(gather_from(context, "caller"))


@then("there is no report")
def then_nothing(context):
    assert context.report is None


@then("the report names {named} as missing")
def then_missing(context, named):
    names = [item.name for item in context.report.missing]
    if named == "history":
        assert context.report.history_gaps
    else:
        wanted = {"its url": context.url, "its id": "d-2"}[named]
        assert wanted in names, names


@then("it is not complete, in the table and on the page")
def then_incomplete(context):
    assert not context.report.is_complete
    assert "MISSING" in render_table(context.report)
    assert "<p class=missing>" in render_page(context.report)


@then("it is complete and sums both daemons' requests")
def then_complete(context):
    assert context.report.is_complete, context.report.missing
    (pair,) = context.report.pairs
    assert pair.n_requests == 60


@then("the page shows three plots and no markup from a customer's name")
def then_page(context):
    page = render_page(context.report)
    assert page.count("<svg") == 3
    assert "<script>" not in page
