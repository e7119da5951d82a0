"""Steps of slowreaders.feature."""

import asyncio
import gc
import socket

from aiohttp.web_protocol import RequestHandler
from behave import given, then, when
from deployment import make_configuration

from lycheepost.platform import headers as names
from lycheepost.platform.models.serverstandin import answer_text, seal_of

MEGABYTE = 1024 * 1024
PATH = "/look/1"
ANSWER = answer_text(PATH, b"")
N_REPEATS = MEGABYTE // len(ANSWER)
ENDED_SECONDS = 0.5
LONG_SECONDS = 12.0
"""Time for the look-ups of a hundred clients. Servers, daemon and clients share one
loop, in which 64 MB are written in one turn; a busy machine takes 8 s for it."""


@given("responses of plain servers that have 1 MB")
def step_large(context):
    for server in context.deployment.group("plain"):
        server.n_repeats = N_REPEATS


@given("plain servers that take {seconds:g} s for a request")
def step_slow(context, seconds):
    for server in context.deployment.group("plain"):
        server.run_seconds = seconds


@given("a daemon that may hold {megabytes:g} MB of responses")
def step_small_budget(context, megabytes):
    deps = context.deployment.daemons[0]._ingress._deps
    deps.answer_bytes.max_bytes = int(megabytes * MEGABYTE)


@given("look-ups that may take long")
def step_long(context):
    deployment = context.deployment
    configuration = make_configuration(2)
    for route in configuration["routes"]:
        route["timeout_ms"] = int(1000 * LONG_SECONDS)
    deployment.configure(configuration)

    async def is_in_force():
        return deployment.daemons[0].routing.table.version == 2

    context.loop.run_until_complete(deployment.until(is_in_force))


@when("{n:d} clients ask for a look-up and do not read")
def step_deaf(context, n):
    context.clients = [open_deaf_client(context) for _ in range(n)]
    context.asked_seconds = context.loop.time()
    deployment = context.deployment

    async def have_run():
        return len(deployment.runs()) >= n and buffers(context)["answers"]["n_denied"]

    context.loop.run_until_complete(deployment.until(have_run, LONG_SECONDS))


def open_deaf_client(context):
    deployment = context.deployment
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    host, _, port = str(deployment.nodes[0].clients).rpartition(":")
    client.connect((host, int(port)))
    headers = deployment.headers(**{names.DEADLINE: str(int(1000 * LONG_SECONDS))})
    lines = [f"GET {PATH} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    client.sendall("\r\n".join([*lines, "", ""]).encode())

    async def close():
        client.close()

    context.closers.append(close)
    return client


def buffers(context):
    return context.deployment.daemons[0].status()["buffers"]


def client_buffers(context):
    """Return the bytes that wait in each of the daemon's connections to clients."""
    port = context.deployment.nodes[0].clients.port
    found = [item for item in gc.get_objects() if isinstance(item, RequestHandler)]
    return [
        item.transport.get_write_buffer_size()
        for item in found
        if item.transport is not None
        and item.transport.get_extra_info("sockname")[1] == port
    ]


@then("the daemon holds at most {most:d} MB of responses")
def step_answers(context, most):
    answers = buffers(context)["answers"]
    assert answers["peak_bytes"] <= most * MEGABYTE, answers
    assert answers["n_denied"] > 0, answers


@then("its connections to the clients buffer at most {most:g} MB each")
def step_connections(context, most):
    found = client_buffers(context)
    assert len(found) >= len(context.clients)
    assert max(found) <= most * MEGABYTE, max(found)


@when("the deadline of these clients has passed")
def step_deadline(context):
    passed_seconds = context.loop.time() - context.asked_seconds
    left_seconds = max(0.0, LONG_SECONDS - passed_seconds)
    context.loop.run_until_complete(asyncio.sleep(left_seconds + ENDED_SECONDS))


@then("the daemon holds nothing for them")
def step_nothing(context):
    assert buffers(context)["answers"]["held_bytes"] == 0, buffers(context)
    assert sum(client_buffers(context)) == 0


@when("a client reads a look-up of 1 MB")
def step_read(context):
    deployment = context.deployment
    context.answer = context.loop.run_until_complete(
        deployment.ask("GET", PATH, deployment.headers())
    )


@then("it gets all of it with its seal, relayed as it arrived")
def step_all(context):
    answer = context.answer
    assert answer.status == 200 and answer.is_whole, answer.status
    assert answer.body == ANSWER * N_REPEATS, len(answer.body)
    assert answer.headers[names.SEAL] == seal_of(ANSWER * N_REPEATS)
    assert buffers(context)["answers"]["n_denied"] == 1, buffers(context)


@then("it gets a part that does not look complete")
def step_part(context):
    answer = context.answer
    assert answer.status == 200 and not answer.is_whole, answer.status
    assert len(answer.body) < len(ANSWER) * N_REPEATS


@then("no other server was asked")
def step_no_other(context):
    assert len(context.deployment.runs()) == 1


@when("{n:d} clients send orders of 1 MB at once")
def step_orders(context, n):
    deployment = context.deployment
    body = b"x" * MEGABYTE

    async def send_all():
        return await asyncio.gather(
            *(
                deployment.ask("POST", "/order/2", deployment.headers(), body)
                for _ in range(n)
            )
        )

    context.answers = context.loop.run_until_complete(send_all())


@then("the daemon held at most {most:d} MB of bodies")
def step_bodies(context, most):
    requests = buffers(context)["requests"]
    assert requests["peak_bytes"] <= most * MEGABYTE, requests
    assert requests["held_bytes"] == 0, requests


@then("each order was served, or refused as not run with a time to come back")
def step_each_order(context):
    for answer in context.answers:
        assert answer.status in (200, 503), answer.status
        if answer.status == 503:
            assert names.SEAL not in answer.headers
            assert float(answer.headers[names.RETRY_AFTER]) > 0


@then("at least {n:d} of them were refused, and none of these ran")
def step_some(context, n):
    n_served = sum(answer.status == 200 for answer in context.answers)
    assert len(context.answers) - n_served >= n, n_served
    assert len(context.deployment.runs()) == n_served
