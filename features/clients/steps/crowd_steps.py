"""Steps of crowds.feature."""

import http.client
import time

from behave import given, then, when
from crowds import HOST, LARGE_BODY_BYTES, Crowd
from systemprocesses import MEGABYTE, System

from lycheepost.app.platformfleet import SITE
from lycheepost.platform import headers as names
from lycheepost.platform.models.serverstandin import answer_text, seal_of

PLAY_SECONDS = 4.0
TRY_SECONDS = 10.0
MAX_TRIES = 60
RETRY_SECONDS = 0.5


def call(context, method, path, body=b"", port="clients"):
    """Send one ordinary request; return its status, headers and body, or None."""
    connection = http.client.HTTPConnection(
        HOST, context.system.ports[port], timeout=TRY_SECONDS
    )
    headers = {
        "Host": SITE,
        names.ATTEMPT_ID: f"ordinary-{time.monotonic_ns()}",
        names.DEADLINE: "3000",
        names.AUTHORIZATION: "Token k-one",
    }
    try:
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__, {}, b""
    finally:
        connection.close()


def call_until(context, is_expected, *arguments, **options):
    """Send an ordinary request again and again until it is answered as expected."""
    answers = []
    for _ in range(MAX_TRIES):
        answer = call(context, *arguments, **options)
        if is_expected(answer):
            return answer
        answers.append(answer[0])
        assert context.system.is_alive(), "the daemon has ended"
        time.sleep(RETRY_SECONDS)
    raise AssertionError(f"not answered: {answers}")


def is_ready(context):
    return call(context, "GET", "/ready", port="readiness")[0] == 200


def start(context, memory_mb, max_fds, is_configured=True):
    context.system = System(memory_mb, max_fds, is_configured)
    if is_configured:
        context.system.wait_until(lambda: is_ready(context))
        for _ in range(3):
            check_answered(context, "GET", "/look/1", b"")
    else:
        context.system.wait_until(
            lambda: call(context, "GET", "/ready", port="readiness")[0] == 503
        )


def check_answered(context, method, path, body):
    answer = call_until(context, lambda answer: answer[0] == 200, method, path, body)
    _, headers, text = answer
    assert text == answer_text(path, body), text
    assert headers[names.SEAL] == seal_of(text)


@given("a daemon on a VM of {memory_mb:d} MB with {max_fds:d} descriptors")
def step_start(context, memory_mb, max_fds):
    start(context, memory_mb, max_fds)


@given(
    "a daemon without a configuration on a VM of {memory_mb:d} MB"
    " with {max_fds:d} descriptors"
)
def step_start_unconfigured(context, memory_mb, max_fds):
    start(context, memory_mb, max_fds, is_configured=False)


@when("{n:d} clients send {kind} to the port for {port}")
def step_crowd(context, n, kind, port):
    context.crowd = Crowd(kind, context.system.ports[port], n)
    context.add_cleanup(context.crowd.leave)
    context.crowd.play(PLAY_SECONDS, context.system)
    n_closed = context.crowd.n_closed
    print(f"{port}, {n} clients, {kind}: {context.system.usage}, {n_closed} closed")


@when("the daemon is asked to stop")
def step_stop(context):
    context.exit_code = context.system.stop_daemon()


@then("the daemon exits with code {code:d}")
def step_exit_code(context, code):
    assert context.exit_code == code, context.exit_code


@then("the daemon runs and has held at most {megabytes:d} MB with unread bytes")
def step_memory(context, megabytes):
    assert context.system.is_alive(), context.system.daemon.poll()
    usage = context.system.usage
    assert usage.held_bytes <= megabytes * MEGABYTE, str(usage)


@then("it has had at most {n:d} descriptors open")
def step_descriptors(context, n):
    usage = context.system.usage
    assert usage.n_descriptors <= n, str(usage)


@then("it has logged at most {megabytes:d} MB")
def step_log(context, megabytes):
    n_bytes = context.system.log_bytes()
    assert n_bytes <= megabytes * MEGABYTE, n_bytes


@when("the crowd has left")
def step_leave(context):
    context.crowd.leave()


@then("a look-up and an order with a body of {megabytes:d} MB are answered")
def step_ordinary(context, megabytes):
    check_answered(context, "GET", "/look/1", b"")
    body = bytes(megabytes * MEGABYTE)
    check_answered(context, "POST", "/order/ordinary", body)


@then("a look-up is refused as not run")
def step_refused(context):
    call_until(context, lambda answer: answer[0] == 503, "GET", "/look/1")


@then("an order with the largest body is answered at its first try")
def step_largest(context):
    body = bytes(LARGE_BODY_BYTES)
    answer = call(context, "POST", "/order/largest", body)
    assert answer[0] == 200, answer[:2]
    context.system.measure()
