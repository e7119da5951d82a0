"""Steps of crowds.feature."""

import ordinary
from behave import given, then, when
from crowds import LARGE_BODY_BYTES, Crowd, play
from systemprocesses import MEGABYTE, System

PLAY_SECONDS = 4.0
N_WARM_UP_CALLS = 3


def start(context, memory_mb, max_fds, is_configured=True):
    system = context.system = System(memory_mb, max_fds, is_configured)
    if not is_configured:
        system.wait_until(lambda: ordinary.readiness(system) == 503)
        return
    system.wait_until(lambda: ordinary.is_ready(system))
    for _ in range(N_WARM_UP_CALLS):
        ordinary.check_answered(system, "GET", "/look/1", b"")


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
    play([context.crowd], PLAY_SECONDS, context.system)
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
    ordinary.check_answered(context.system, "GET", "/look/1", b"")
    body = bytes(megabytes * MEGABYTE)
    ordinary.check_answered(context.system, "POST", "/order/ordinary", body)


@then("a look-up is refused as not run")
def step_refused(context):
    ordinary.call_until(context.system, 503, "GET", "/look/1")


@then("an order with the largest body is answered at its first try")
def step_largest(context):
    body = bytes(LARGE_BODY_BYTES)
    answer = ordinary.call(context.system, "POST", "/order/largest", body)
    assert answer[0] == 200, answer[:2]
    context.system.measure()
