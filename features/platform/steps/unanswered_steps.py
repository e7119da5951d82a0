"""Steps of unanswered.feature."""

import asyncio
import time

import msgspec
from behave import given, then, when
from deployment import HOST, ZONE, Deployment
from keptconnections import KeptConnections
from request_steps import BODY, start

from lycheepost.app.leaveplan import LeavePlan
from lycheepost.platform import headers as names
from lycheepost.platform.models.serverstandin import PlatformServer

GIVE_UP_SECONDS = 8.0
PATHS = {"look-ups": "/look/", "orders": "/order/"}
DEADLINES = {
    "nothing": None,
    "30 digits": "1" * 30,
    "400 digits": "1" * 400,
    "5000 digits": "1" * 5000,
}


def client_of(context):
    host, _, port = str(context.deployment.nodes[0].clients).partition(":")
    client = KeptConnections(host, int(port))

    async def close():
        client.close()

    context.closers.append(close)
    return client


def encode(method, path, headers, body=b"", version="1.1"):
    lines = [f"{method} {path} HTTP/{version}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def send(context, data):
    client = client_of(context)
    context.ending = context.loop.run_until_complete(client.ask(data, GIVE_UP_SECONDS))


@given(
    "a daemon that leaves within {seconds:g} s, and 1 server with 1 slot that takes"
    " {run_seconds:g} s"
)
def step_leaves(context, seconds, run_seconds):
    context.deployment = Deployment()
    context.deployment.leave_plan = LeavePlan(0.1, seconds)
    start = context.deployment.start(n_plain=1, n_engines=1, n_slots=1)
    context.loop.run_until_complete(start)
    context.deployment.group("plain")[0].run_seconds = run_seconds


@when("clients have sent {n:d} of {what}, and the daemon is told to leave")
@when("clients have sent {n:d} of {what}, and the daemon is told to leave {twice:w}")
def step_sent_and_leave(context, n, what, twice=""):
    deployment = context.deployment
    client = client_of(context)

    async def play():
        sent = {}
        for _ in range(n):
            headers = deployment.headers(**{names.DEADLINE: "3900"})
            data = encode("POST", PATHS[what] + "1", headers, BODY)
            asked = asyncio.ensure_future(client.ask(data, GIVE_UP_SECONDS))
            sent[deployment.attempt_id] = asked
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.2)
        daemon = deployment.daemons.pop(0)
        # As app.run does it.
        drain = asyncio.ensure_future(daemon.drain())
        await asyncio.wait({drain}, timeout=0.3 if twice else None)
        drain.cancel()
        await daemon.stop()
        return {attempt_id: await asked for attempt_id, asked in sent.items()}

    context.endings = context.loop.run_until_complete(play())


@when("clients have sent {n:d} of {what}, and leave {seconds:g} s later")
def step_sent_and_left(context, n, what, seconds):
    deployment = context.deployment
    host, _, port = str(deployment.nodes[0].clients).partition(":")

    async def play():
        writers = []
        context.sent = []
        for _ in range(n):
            headers = deployment.headers(**{names.DEADLINE: "3900"})
            _reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode("POST", PATHS[what] + "1", headers, BODY))
            writers.append(writer)
            context.sent.append(deployment.attempt_id)
            await asyncio.sleep(0.02)
        await asyncio.sleep(seconds)
        for writer in writers:
            writer.transport.abort()

    context.loop.run_until_complete(play())


@then("after {seconds:g} s at most {n:d} of them have reached a server")
def step_few_reached(context, seconds, n):
    context.loop.run_until_complete(asyncio.sleep(seconds))
    reached = [item for item in context.sent if context.deployment.runs(item)]
    assert 1 <= len(reached) <= n, reached


@then("the server is free for a new request")
def step_free(context):
    send(context, encode("GET", "/look/1", context.deployment.headers()))
    assert context.ending.status == 200, context.ending


@then("each of them got an explicit error")
def step_each(context):
    for ending in context.endings.values():
        assert ending.is_whole and ending.status in (502, 503, 504), ending
        assert ending.headers.get("connection") == "close", ending


@then("those that never reached a server got 503")
def step_never(context):
    n_refused = 0
    for attempt_id, ending in context.endings.items():
        is_run = bool(context.deployment.runs(attempt_id))
        assert (ending.status == 503) == (not is_run), (attempt_id, ending, is_run)
        n_refused += not is_run
    assert 0 < n_refused < len(context.endings), context.endings


@given("the daemon holds the duty of the weights")
def step_duty(context):
    daemon = context.deployment.daemons[0]

    async def is_held():
        return daemon.status()["duties"][0]["is_held"]

    context.loop.run_until_complete(context.deployment.until(is_held))


@when("the store falls silent and the daemon is told to leave")
def step_silent_store(context):
    deployment = context.deployment
    client = client_of(context)

    async def play():
        deployment.store.freeze()
        started_seconds = time.monotonic()
        drain = asyncio.ensure_future(deployment.daemons[0].drain())
        context.refused_seconds = None
        while context.refused_seconds is None:
            headers = deployment.headers("")
            ending = await client.ask(encode("GET", "/none/", headers), 1.0)
            if b"daemon is leaving" in ending.body:
                context.refused_seconds = time.monotonic() - started_seconds
            await asyncio.sleep(0.02)
        await drain
        context.drain_seconds = time.monotonic() - started_seconds

    context.loop.run_until_complete(asyncio.wait_for(play(), GIVE_UP_SECONDS))


@then("it refuses new requests within {seconds:g} s")
def step_refuses(context, seconds):
    assert context.refused_seconds < seconds, context.refused_seconds


@then("its drain ends within {seconds:g} s")
def step_drain_ends(context, seconds):
    assert context.drain_seconds < seconds, context.drain_seconds


@given('a deployment with 1 daemon and one server that adds the header "{header}"')
def step_raw_server(context, header):
    start(context, n_plain=0)
    deployment = context.deployment
    extra = header.replace("\\x01", "\x01")

    async def serve(reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = [line.partition(": ") for line in head.split("\r\n")]
                found = {name.lower(): value for name, _, value in lines}
                answer = {
                    names.ATTEMPT_ID: found[names.ATTEMPT_ID.lower()],
                    names.SEAL: "seal",
                    "Content-Length": "5",
                }
                text = "".join(f"{name}: {value}\r\n" for name, value in answer.items())
                text = f"HTTP/1.1 200 OK\r\n{text}{extra}\r\n\r\nhello"
                writer.write(text.encode("latin-1"))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def open_server():
        server = await asyncio.start_server(serve, HOST, 0)
        described = PlatformServer("plain")
        await described.start()
        entry = msgspec.json.decode(described.entry(ZONE))
        await described.stop()
        port = server.sockets[0].getsockname()[1]
        entry["address"] = f"{HOST}:{port}"
        encoded = msgspec.json.encode(entry)
        deployment.store.store.put("servers", described.name, encoded)

        async def is_listed():
            return described.name in deployment.daemons[0].status()["targets"]

        await deployment.until(is_listed)
        return server

    server = context.loop.run_until_complete(open_server())

    async def close():
        server.close()

    context.closers.append(close)


@when("a look-up is sent over a socket")
def step_look(context):
    send(context, encode("GET", "/look/1", context.deployment.headers()))


@when("a look-up with the byte {byte} in a header is sent over a socket")
def step_byte(context, byte):
    headers = context.deployment.headers(**{"X-Note": f"a{chr(int(byte, 16))}b"})
    send(context, encode("GET", "/look/1", headers))


@when("a client of HTTP/1.0 sends a request for a resumable stream")
def step_old_client(context):
    headers = context.deployment.prompt_headers()
    send(context, encode("POST", "/title/3", headers, BODY, version="1.0"))


@when("an order whose body waits for 100 (Continue) is sent over a socket")
def step_expect(context):
    deployment = context.deployment
    headers = deployment.headers(**{"Expect": "100-continue"})
    data = encode("POST", "/order/1", headers, BODY)
    host, _, port = str(deployment.nodes[0].clients).partition(":")

    async def play():
        reader, writer = await asyncio.open_connection(host, int(port))
        client = KeptConnections(host, int(port), [(reader, writer)])
        writer.write(data.removesuffix(BODY))
        async with asyncio.timeout(1.0):
            told = await reader.readuntil(b"\r\n\r\n")
        assert told.startswith(b"HTTP/1.1 100 "), told
        context.ending = await client.ask(BODY, GIVE_UP_SECONDS)
        client.close()

    context.loop.run_until_complete(play())


@when("a look-up with a deadline of {deadline} is sent over a socket")
def step_deadline(context, deadline):
    headers = context.deployment.headers()
    del headers[names.DEADLINE]
    value = DEADLINES.get(deadline, deadline)
    if value is not None:
        headers[names.DEADLINE] = value
    send(context, encode("GET", "/look/1", headers))


@then("it gets status {status:d} with a whole body")
def step_status(context, status):
    assert context.ending.is_whole, context.ending
    assert context.ending.status == status, context.ending
