"""Steps of settingswatch.feature."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

from behave import given, then, when

from lycheepost.app.earlysockets import open_sockets
from lycheepost.app.platformdaemon import make_platform_daemon
from lycheepost.app.settingswatch import SettingsWatch
from lycheepost.platform.settings import decode_settings

ROOT = pathlib.Path(__file__).resolve().parents[3]
WAIT_TIMEOUT_SECONDS = 20.0
TEXT = """node_name=front-a-1
zone=zone-a
ip=127.0.0.1
port_range=7340,7355
platform.address=127.0.0.1:9
bounds.revoke_ms=5000
bounds.grace_s=1
a.new.field=ignored
"""


@given("a settings file of the platform and a watch on it")
def step_file(context):
    context.folder = tempfile.TemporaryDirectory()
    context.path = pathlib.Path(context.folder.name) / "node.conf"
    context.path.write_text(TEXT)
    node = decode_settings(TEXT).unwrap()
    context.watch = SettingsWatch(node, context.path)


@when('the bound on keys changes to {ms:d} ms and the zone to "{zone}"')
def step_change(context, ms, zone):
    text = TEXT.replace("revoke_ms=5000", f"revoke_ms={ms}")
    context.path.write_text(text.replace("zone=zone-a", f"zone={zone}"))
    context.watch.reload()


@when("the file {fault}")
def step_fault(context, fault):
    match fault:
        case "is gone":
            context.path.unlink()
        case "is empty":
            context.path.write_text("")
        case "has a bound of no number":
            context.path.write_text(TEXT.replace("5000", "soon"))
        case "has a bound below 0":
            context.path.write_text(TEXT.replace("5000", "-1"))
        case "has a bound that is nan":
            context.path.write_text(TEXT.replace("5000", "nan"))
        case "has a port above 65535":
            text = TEXT.replace("0.1:9", "0.1:70000")
            context.path.write_text(text.replace("5000", "3000"))
        case "has ports from last on":
            text = TEXT.replace("7340,7355", "7355,7340")
            context.path.write_text(text.replace("5000", "3000"))
        case "is not text":
            context.path.write_bytes(TEXT.replace("5000", "3000").encode() + b"\xe9")
        case "has a port of 5000 digits":
            text = TEXT.replace("0.1:9", f"0.1:{'9' * 5000}")
            context.path.write_text(text.replace("5000", "3000"))
    context.watch.reload()


@then("the watch has the bound of {seconds:g} s")
def step_bound(context, seconds):
    assert context.watch.bounds.revoke_seconds == seconds


@when("a settings file has no name, no store and a port that is not a number")
def step_faults(context):
    text = "zone=a\nip=1.2.3.4\nport_range=1,2\nlisten.front=1.2.3.4:http\n"
    context.faults = decode_settings(text).failure().faults


@then("all {n:d} faults are reported")
def step_all(context, n):
    assert len(context.faults) == n, context.faults


@given("a platform daemon with a settings file")
def step_daemon(context):
    step_file(context)
    node = decode_settings(TEXT).unwrap()
    context.daemon = make_platform_daemon(
        node, open_sockets(node), metrics_port=0, settings_file=context.path
    )


@when("the bound on {bound} becomes {value}")
def step_bound_changes(context, bound, value):
    kept = [line for line in TEXT.splitlines() if f"bounds.{bound}=" not in line]
    context.path.write_text("\n".join([*kept, f"bounds.{bound}={value}"]))

    async def reload():
        await context.daemon.reload()
        context.daemon._tick()

    asyncio.run(reload())


@then("the daemon applies {seen}")
def step_applies(context, seen):
    daemon = context.daemon
    terms = daemon._components.traffic.dispatcher._scheduler.retry_terms
    old_seconds = daemon._components.traffic.targets.old_weights_seconds()
    found = {
        "long polls": f"of {daemon.watches[0]._wait_seconds():.3g} s",
        "retries": f"of {terms.share:.3g} per request",
        "a window": f"of {terms.window_seconds:.3g} s for retries",
        "old weights": f"for {old_seconds:.3g} s",
        "addresses cached": f"for {daemon._address_seconds():.3g} s",
    }
    assert seen in [f"{name} {value}" for name, value in found.items()], found


@given("a platform daemon as a process")
def step_process(context):
    start_process(context, [sys.executable, "-m", "lycheepost", "serve", "--node-file"])


def start_process(context, command):
    """Start a daemon by a command that its settings file is added to."""
    step_file(context)
    listen = "listen.ready=127.0.0.1:0\nlisten.front=127.0.0.1:0\n"
    context.path.write_text(TEXT + listen)
    context.log = pathlib.Path(context.folder.name) / "log"
    process = subprocess.Popen(
        [*command, context.path],
        cwd=ROOT,
        stdout=context.log.open("w"),
        stderr=subprocess.STDOUT,
        env={**os.environ, "LYCHEEPOST_METRICS_PORT": "0"},
    )
    context.processes["daemon"] = process
    wait_until(lambda: "app: serving" in context.log.read_text())
    (serving,) = [line for line in read_lines(context) if "serving" in line["event"]]
    context.readiness = serving["readiness"]


HOOKS = {
    "reads its settings": "platformrun.open_sockets",
    "loads its modules": "platformrun._serve",
    "starts its loop": "uvloop.run",
}
HUNG_UP = """
import os, pathlib, signal, sys
import uvloop
from lycheepost.app import platformrun
call = {hook}
def hung_up(*arguments):
    os.kill(os.getpid(), signal.SIGHUP)
    return call(*arguments)
{hook} = hung_up
sys.exit(platformrun.run(pathlib.Path(sys.argv[1])))
"""


@given("a platform daemon as a process that gets SIGHUP as it {does}")
def step_hung_up(context, does):
    code = HUNG_UP.format(hook=HOOKS[does])
    start_process(context, [sys.executable, "-c", code])


@then("it soon has read the settings again")
def step_read_again(context):
    wait_until(lambda: count_reloads(context) == 1)


def read_lines(context):
    return [json.loads(line) for line in context.log.read_text().splitlines()]


def wait_until(condition):
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, (
            f"condition not met within {WAIT_TIMEOUT_SECONDS} s"
        )
        time.sleep(0.05)


@when("it gets SIGHUP twice")
def step_hup(context):
    for n in (1, 2):
        context.processes["daemon"].send_signal(signal.SIGHUP)
        wait_until(lambda n=n: count_reloads(context) == n)


def count_reloads(context):
    lines = read_lines(context)
    return sum(line["event"] == "settings: read" for line in lines)


@then("it still answers, and its log reports each reload")
def step_answers(context):
    try:
        urllib.request.urlopen(f"http://{context.readiness}/ready")
        raise AssertionError("it is ready without a store")
    except urllib.error.HTTPError as error:
        assert error.code == 503
    assert count_reloads(context) == 2


@when("it gets SIGTERM")
def step_term(context):
    context.processes["daemon"].send_signal(signal.SIGTERM)


@then("it ends by itself with code 0")
def step_ends(context):
    code = context.processes["daemon"].wait(timeout=WAIT_TIMEOUT_SECONDS)
    assert code == 0, context.log.read_text()
