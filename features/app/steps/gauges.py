"""Steps on metrics."""

import asyncio
import re
import socket
from dataclasses import replace

from behave import given, then, when
from commands import valid_settings

from lycheepost.app.daemon import make_daemon
from lycheepost.app.gauges import GaugeReporter
from lycheepost.app.settings import check_settings
from lycheepost.utils.metrics import make_metrics


@given("a daemon with a statsd server")
def given_daemon(context):
    context.server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.server.bind(("127.0.0.1", 0))
    context.server.settimeout(5)
    settings = check_settings(valid_settings()).unwrap()
    port = context.server.getsockname()[1]
    metrics = replace(settings.metrics, statsd_host="127.0.0.1", statsd_port=port)
    context.settings = replace(settings, metrics=metrics)


@when("its gauges are reported")
def when_reported(context):
    async def report():
        daemon = make_daemon(context.settings)
        await daemon.start()
        try:
            GaugeReporter(
                daemon.status, make_metrics(context.settings.metrics)
            ).report()
        finally:
            await daemon.stop()

    asyncio.run(report())


@then("the server got every gauge of docs/METRICS.md and no other")
def then_gauges(context):
    with open("docs/METRICS.md") as page:
        text = page.read().split("## Gauges")[1]
    rows = [row.split("|")[1] for row in text.splitlines() if row.startswith("| `")]
    documented = {name for row in rows for name in re.findall(r"`(\w+)`", row)}
    got = set()
    while got != documented:
        name, _, kind = context.server.recv(512).decode().partition(":")
        assert kind.endswith("|g"), kind
        got.add(name.removeprefix("lycheepost."))
        assert got <= documented, got - documented
    context.server.close()
