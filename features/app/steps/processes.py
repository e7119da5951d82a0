"""Steps of processes.feature: stand-ins and daemons as processes."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

import psutil
import yaml
from behave import given, then, when

from lycheepost.utils.keys import hash_key

KEY = "lpk-feature"
PROGRAM = str(pathlib.Path(sys.executable).parent / "lycheepost")
PLATFORM = ("table", "objects", "weights", "vm-list")
START_SECONDS = 15.0
"""How long a process may take to start, without the time it waits for a processor."""
MAX_QUEUED_SECONDS = 120.0
N_STREAM_TOKENS = 1000
"""Long enough that all streams of a step are open at the same time."""


def start(context, name, arguments, settings):
    """Start a process; its output goes to a file that is printed on a failure."""
    path = pathlib.Path(tempfile.mkdtemp()) / f"{name}.yaml"
    path.write_text(yaml.safe_dump(settings))
    output = path.with_suffix(".log")
    with output.open("w") as log:
        process = subprocess.Popen(
            [PROGRAM, *arguments, "--settings", str(path)],
            stdout=log,
            stderr=subprocess.STDOUT,
            text=True,
        )
    context.processes[name] = process
    context.outputs.append(output)
    return output


def read_queued_seconds(process):
    """Return how long the main thread has been ready to run without a processor."""
    fields = pathlib.Path(f"/proc/{process.pid}/schedstat").read_text().split()
    return int(fields[1]) / 1e9


def wait_for_start(process, condition):
    """Wait for a process that has just been started; raise if it ends."""
    started = time.monotonic()
    while not condition():
        assert process.poll() is None, f"ended with code {process.returncode}"
        queued_seconds = min(read_queued_seconds(process), MAX_QUEUED_SECONDS)
        elapsed_seconds = time.monotonic() - started
        assert elapsed_seconds < START_SECONDS + queued_seconds, (
            f"not started within {elapsed_seconds:.1f} s,"
            f" {queued_seconds:.1f} s of it without a processor"
        )
        time.sleep(0.05)


def start_standin(context, name, arguments):
    """Start a stand-in on a free port and return the address that it prints."""
    output = start(context, name, ["standin", *arguments], {})
    wait_for_start(
        context.processes[name],
        lambda: output.read_text().startswith("http") and "\n" in read(output),
    )
    return read(output).splitlines()[0].strip()


def read(output):
    return output.read_text()


def make_configuration(urls):
    groups = {"engine-1": "caption-llm", "engine-2": "caption-llm", "orders": "orders"}
    return {
        "revision": 0,
        "customers": [{"customer": "brandon", "key_hashes": [hash_key(KEY)]}],
        "models": [
            {
                "model": "caption-llm",
                "weights_version": "1",
                "target_group": "caption-llm",
            }
        ],
        "target_groups": [
            {"target_group": "caption-llm", "kind": "engine"},
            {"target_group": "orders", "kind": "service"},
        ],
        "targets": [
            {
                "target": name,
                "target_group": group,
                "availability_zone": "regina",
                "url": urls[name],
            }
            for name, group in groups.items()
        ],
    }


def daemon_settings(context, index):
    other = context.serving.get(1 - index)
    seeds = [] if other is None else [other["peer_endpoint"]]
    return {
        "deployment": "feature",
        "daemon": {
            "daemon_id": f"entry-{index}",
            "availability_zone": "regina",
            "region": "prairies",
            "announce_leaving_seconds": 0.3,
        },
        "listeners": {"callers_port": 0, "operators_port": 0},
        "peers": {
            "exchange_seconds": 0.2,
            "seeds": [
                {"daemon_id": f"entry-{1 - index}", "endpoint": endpoint}
                for endpoint in seeds
            ],
        },
        "platform": {
            "table_url": context.urls["table"],
            "objects_url": context.urls["objects"],
            "weights_url": context.urls["weights"],
            "vm_list_url": context.urls["vm-list"],
            "timeout_seconds": 1.0,
        },
        "fallback_configuration": make_configuration(context.urls),
    }


def start_daemon(context, index):
    settings = daemon_settings(context, index)
    name = f"daemon-{index}"
    output = start(context, name, ["serve"], settings)
    wait_for_start(context.processes[name], lambda: find_serving(output) is not None)
    context.serving[index] = find_serving(output)
    wait_for(lambda: call(context, index, "/readyz")[0] == 200)


def find_serving(output):
    """Return the log line with a daemon's addresses; None if it isn't there yet."""
    for line in output.read_text().splitlines():
        if '"app: serving"' in line:
            return json.loads(line)
    return None


def call(context, index, path, body=None, headers=None):
    url = context.serving[index]["url"] + path
    data = None if body is None else json.dumps(body).encode()
    sent = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
    request = urllib.request.Request(url, data=data, headers=sent | (headers or {}))
    try:
        with urllib.request.urlopen(request, timeout=20) as answer:
            return answer.status, answer.headers, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()
    except OSError as error:
        return 0, {}, str(error).encode()


def chat(context, index, n_tokens=4, is_streamed=False):
    body = {
        "model": "caption-llm",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": n_tokens,
        "stream": is_streamed,
    }
    return call(context, index, "/v1/chat/completions", body)


def order(context, index, key):
    body = {"order_id": key}
    return call(
        context, index, "/services/orders/orders", body, {"Idempotency-Key": key}
    )


def wait_for(condition, within_seconds=15.0):
    deadline = time.monotonic() + within_seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"condition not met within {within_seconds} s")


@given("the platform, two engines, a plain service and two daemons as processes")
def given_all(context):
    context.urls = {}
    context.serving = {}
    for kind in PLATFORM:
        context.urls[kind] = start_standin(context, kind, [kind])
    for name in ("engine-1", "engine-2"):
        context.urls[name] = start_standin(context, name, ["engine"])
    context.urls["orders"] = start_standin(context, "orders", ["service"])
    for index in (0, 1):
        start_daemon(context, index)


@when("a chat and an order are sent through each daemon")
def when_both(context):
    context.answers = [
        answer
        for index in (0, 1)
        for answer in (chat(context, index), order(context, index, f"key-{index}"))
    ]


@then("all of them succeed")
def then_succeed(context):
    assert [answer[0] for answer in context.answers] == [200, 201] * 2, context.answers


@then("each daemon is one process without children")
def then_one_process(context):
    for index in (0, 1):
        process = psutil.Process(context.processes[f"daemon-{index}"].pid)
        assert process.children(recursive=True) == []


@when("the first daemon is killed")
def when_killed(context):
    context.processes["daemon-0"].kill()
    context.processes["daemon-0"].wait()


@when("the first daemon is started again")
def when_restarted(context):
    start_daemon(context, 0)


@then("a chat through the {which} daemon succeeds")
@then("a chat through the {which} daemon succeeds at once")
def then_chat(context, which):
    answer = chat(context, 0 if which == "first" else 1)
    assert answer[0] == 200, answer


@then("the second daemon's addresses soon name only itself")
def then_only_itself(context):
    own = context.serving[1]["url"]

    def is_alone():
        answer = json.loads(call(context, 1, "/v1/addresses")[2])
        return answer["addresses"][0] == own

    wait_for(is_alone)


@when("the first daemon gets SIGTERM while {n:d} long streams run through it")
def when_sigterm(context, n):
    context.streams = []

    def read():
        context.streams.append(chat(context, 0, N_STREAM_TOKENS, True))

    threads = [threading.Thread(target=read) for _ in range(n)]
    for thread in threads:
        thread.start()
    wait_for(lambda: json.loads(call(context, 0, "/admin/status")[2])["n_open"] == n)
    os.kill(context.processes["daemon-0"].pid, signal.SIGTERM)
    for thread in threads:
        thread.join(timeout=30)


@then("all {n:d} streams are complete")
def then_whole(context, n):
    assert len(context.streams) == n
    for status, _, body in context.streams:
        assert status == 200
        assert body.endswith(b"data: [DONE]\n\n"), body[-200:]
        assert body.count(b'"content":" ') == N_STREAM_TOKENS


@then("the first daemon exits with code {code:d}")
def then_exits(context, code):
    assert context.processes["daemon-0"].wait(timeout=20) == code


@when("the platform's processes are killed and the first daemon is restarted")
def when_platform_killed(context):
    for name in (*PLATFORM, "daemon-0", "daemon-1"):
        context.processes[name].kill()
        context.processes[name].wait()
    start_daemon(context, 0)


@then("an order with a key is refused as not executed")
def then_order_refused(context):
    status, headers, _ = order(context, 0, "key-9")
    assert status == 503
    assert headers["Lycheepost-Executed"] == "no"


@when("the first daemon is frozen for {seconds:d} seconds")
def when_frozen(context, seconds):
    pid = context.processes["daemon-0"].pid
    os.kill(pid, signal.SIGSTOP)
    try:
        end = time.monotonic() + seconds
        context.meanwhile = []
        while time.monotonic() < end:
            context.meanwhile.append(chat(context, 1)[0])
            time.sleep(0.2)
    finally:
        os.kill(pid, signal.SIGCONT)


@then("chats through the second daemon succeed meanwhile")
def then_meanwhile(context):
    assert context.meanwhile
    assert set(context.meanwhile) == {200}, context.meanwhile
