"""Steps of requests.feature."""

import asyncio
from dataclasses import replace
from functools import partial

import msgspec
from behave import given, then, when
from deployment import BOUNDS, HOST, KEYS, SITE, Deployment, make_configuration

from lycheepost.app.platformfleet import ENGINES, MODEL, ZONE
from lycheepost.core.ids import TargetGroupId
from lycheepost.platform import headers as names
from lycheepost.platform.models.serverstandin import (
    PlatformServer,
    answer_text,
    event_bytes,
    seal_of,
)

N_EVENTS = 6
KV_STORE = "127.0.0.1:9"
BODY = b"a body of some bytes"
FORGED = {
    names.CACHE_SCOPE: "other",
    names.CUSTOMER: "other",
    names.EXPECTED_TARGET: "i-other",
    names.RANK: "0",
    names.EXPECTED_WEIGHTS: "77",
    names.STORE_TO: "1.2.3.4:5",
    "X-Lycheepost-Hold": "h1",
    "X-Lycheepost-Pin-Ms": "4000",
    "X-Lycheepost-Kv-Backup": "1.2.3.4:5",
    "Kv-From": "1.2.3.4:5/h",
}
REQUESTS = {
    "look-up": ("GET", "/look/1?a=%2F&b=c%20d", b""),
    "order": ("POST", "/order/2%41/x", BODY),
    "resumable stream": ("POST", "/title/3", BODY),
    "album stream": ("POST", "/album/4", BODY),
}
LARGE_REQUESTS = {
    "order of 300 kB": ("POST", "/order/5", b"b" * 300_000),
    "order of 3 MB": ("POST", "/order/6", b"b" * 3_000_000),
    "look-up of 3 MB": ("POST", "/look/7", b"b" * 3_000_000),
    "album stream of 3 MB": ("POST", "/album/8", b"b" * 3_000_000),
}
ALL_REQUESTS = REQUESTS | LARGE_REQUESTS


def start(context, **options):
    bounds = options.pop("bounds", BOUNDS)
    context.deployment = Deployment(bounds)
    context.loop.run_until_complete(context.deployment.start(**options))


def ask(context, what, **more):
    deployment = context.deployment
    method, path, body = ALL_REQUESTS[what]
    is_stream = "stream" in what
    make = deployment.prompt_headers if is_stream else deployment.headers
    headers = make(**more)
    context.what = what
    context.answer = context.loop.run_until_complete(
        deployment.ask(method, path, headers, body)
    )
    return context.answer


@given("a deployment with {n:d} daemon")
@given("a deployment with {n:d} daemons")
def step_deployment(context, n):
    start(context, n_daemons=n)


@given("a deployment with 1 daemon and no configuration")
def step_unconfigured(context):
    start(context, is_configured=False)


@given("a deployment with 1 daemon whose keys must be out of use after {seconds:g} s")
def step_short_keys(context, seconds):
    start(context, bounds=replace(BOUNDS, revoke_seconds=seconds))


@given(
    "a deployment with 1 daemon and a KV store, whose engines' entries name {weights}"
)
def step_kv_store(context, weights):
    start(context, n_engines=0)
    deployment = context.deployment
    for _ in range(2):
        engine = PlatformServer(ENGINES, MODEL)
        if weights == "no weights":
            engine.entry = partial(entry_without_weights, engine.entry)
        context.loop.run_until_complete(deployment.add_server(engine))
    configuration = make_configuration(version=2)
    store = {"name": "keep", "kv_store_addr": KV_STORE, "zone": ZONE}
    configuration["services"].append(store)
    deployment.configure(configuration)
    traffic = deployment.daemons[0]._components.traffic

    async def is_known():
        n_engines = len(traffic.targets.listed(TargetGroupId(ENGINES)))
        return traffic.routing.table.version == 2 and n_engines == 2

    context.loop.run_until_complete(deployment.until(is_known))


def entry_without_weights(make_entry, zone):
    entry = msgspec.json.decode(make_entry(zone))
    return msgspec.json.encode(entry | {"models": []})


@then("its server was told {store}")
def step_told_store(context, store):
    [run] = context.deployment.runs(context.deployment.attempt_id)
    expected = KV_STORE if store == "the store" else None
    told = [
        run.headers.get(name.lower()) for name in (names.FETCH_FROM, names.STORE_TO)
    ]
    assert told == [expected, expected], told


@when("a client asks for a {what}")
def step_send(context, what):
    ask(context, what)


@then("it gets the server's complete response with its seal")
def step_whole(context):
    method, path, body = ALL_REQUESTS[context.what]
    answer = context.answer
    assert answer.status == 200 and answer.is_whole, answer
    expected = answer_text(path, body)
    seal = seal_of(expected)
    if "stream" in context.what:
        expected = b"".join(event_bytes(n, body) for n in range(1, N_EVENTS + 1))
        seal = seal_of(body)
    assert answer.body == expected, answer.body
    assert answer.headers[names.SEAL] == seal, answer.headers


@then("it ran once, with its method, path, query and body")
def step_ran(context):
    runs = context.deployment.runs(context.deployment.attempt_id)
    assert len(runs) == 1, runs
    assert (runs[0].method, runs[0].path, runs[0].body) == ALL_REQUESTS[context.what]


@then("the server received its customer and not its key")
def step_customer(context):
    run = context.deployment.runs()[-1]
    assert run.headers[names.CUSTOMER.lower()] == KEYS["k-one"]
    assert "k-one" not in str(run.headers)
    assert run.headers[names.EXPECTED_TARGET.lower()].startswith("i-")
    assert 0 < int(run.headers[names.DEADLINE.lower()]) <= 3000


@when("a client forges system headers")
def step_forged(context):
    ask(context, "album stream", **FORGED)


@then("the server got none of the forged values")
def step_not_forged(context):
    assert context.answer.status == 200, context.answer
    run = context.deployment.runs()[-1]
    for name, value in FORGED.items():
        if name != names.RANK:
            assert run.headers.get(name.lower()) != value, name


@when("both customers send the same prompt")
def step_both(context):
    context.runs = []
    for key in KEYS:
        ask(context, "album stream", key=key)
        deployment = context.deployment
        context.runs += deployment.runs(deployment.attempt_id)


@then("the isolated customer's cache scope is its own")
def step_scopes(context):
    scopes = [run.headers[names.CACHE_SCOPE.lower()] for run in context.runs]
    assert len(set(scopes)) == 2, scopes
    assert KEYS["k-two"] in scopes[1] and KEYS["k-two"] not in scopes[0]


@then("both requests state the weights version that they expect")
def step_weights(context):
    for run in context.deployment.runs():
        assert run.headers[names.EXPECTED_WEIGHTS.lower()] == "1"


@when("a client sends {what}")
def step_send_odd(context, what):
    deployment = context.deployment
    headers = deployment.headers()
    method, path, body = "GET", "/look/1", b""
    match what:
        case "a path without route":
            path = "/nowhere/1"
        case "an unknown host":
            headers["Host"] = "other.example"
        case "a wrong key":
            headers[names.AUTHORIZATION] = "Token k-wrong"
        case "no key":
            del headers[names.AUTHORIZATION]
        case "a key of another scheme":
            headers[names.AUTHORIZATION] = "Bearer k-one"
        case "a body that is too large":
            method, body = "POST", bytes(5 * 1024 * 1024)
        case "a prompt of minus 5 tokens":
            path = "/title/1"
            headers = deployment.prompt_headers(**{names.TOKENS: "-5,6"})
        case 'a prompt of "many" tokens':
            path = "/title/1"
            headers = deployment.prompt_headers(**{names.TOKENS: "many,6"})
        case "a part of minus 5 tokens":
            path, headers = "/title/1", deployment.prompt_headers(parts="aa:-5")
        case "a part without tokens":
            path, headers = "/title/1", deployment.prompt_headers(parts="aa")
        case "heads above the limit":
            # Each header is short enough by itself; the limit is on their sum.
            headers |= {f"X-Own-{n}": "a" * 4000 for n in range(5)}
        case "a path with a fragment":
            context.raw = send_raw(context, b"GET /look/1#x HTTP/1.1\r\n")
            context.answer = None
            return
        case _:
            raise ValueError(what)
    context.answer = context.loop.run_until_complete(
        deployment.ask(method, path, headers, body)
    )


@given("a deployment with 1 daemon whose clients may be idle for {ms:d} ms")
def step_idle(context, ms):
    start(context)
    deployment = context.deployment
    limits = {"idle_timeout_ms": ms}
    deployment.configure(make_configuration(version=2) | {"limits": limits})

    async def is_applied():
        return deployment.daemons[0].routing.table.version == 2

    context.loop.run_until_complete(deployment.until(is_applied))


@when("half of a body arrives and no more")
def step_half_body(context):
    context.answer = None
    context.raw = send_raw(
        context,
        b"POST /order/1 HTTP/1.1\r\n",
        b"Content-Length: 1000\r\n",
        b"a" * 500,
        is_closed=False,
    )


@then("the connection is closed")
def step_ended(context):
    assert context.raw.count(b"HTTP/1.1") == 1, context.raw


def send_raw(context, start_line, headers=b"", rest=b"", is_closed=True):
    """Send bytes over a new connection and return the response.

    If a body follows the headers, the client half-closes the connection by default: the
    server continues to read for a while after it has refused a request.
    """
    deployment = context.deployment

    async def talk():
        port = deployment.nodes[0].clients.port
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(
            start_line
            + f"Host: {SITE}\r\n{names.ATTEMPT_ID}: raw\r\n".encode()
            + f"{names.AUTHORIZATION}: Token k-one\r\n".encode()
            + b"Connection: close\r\n"
            + headers
            + b"\r\n"
            + rest
        )
        if rest and is_closed:
            writer.write_eof()
        async with asyncio.timeout(10):
            data = await reader.read()
        writer.close()
        return data

    return context.loop.run_until_complete(talk())


@when("a raw request with {what} arrives")
def step_raw(context, what):
    inner = b"GET /look/2 HTTP/1.1\r\nHost: x\r\n\r\n"
    headers = {
        "two lengths": b"Content-Length: 4\r\nContent-Length: 40\r\n",
        "a length and chunks": b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "a chunk of no number": b"Transfer-Encoding: chunked\r\n",
        "a bare line feed in a name": b"X-A: 1\nX-\nB: 2\r\n",
        "a very long header": b"X-A: "
        + bytes(100 * 1024).replace(b"\0", b"a")
        + b"\r\n",
    }
    rest = b"zz\r\n" + inner
    context.raw = send_raw(context, b"POST /order/1 HTTP/1.1\r\n", headers[what], rest)


@then("the response is an error and the connection is closed")
def step_raw_error(context):
    assert context.raw.startswith(b"HTTP/1.1 400") or not context.raw, context.raw[:80]
    assert context.raw.count(b"HTTP/1.1") <= 1, context.raw


@then("it gets status {status:d} without a seal")
def step_status(context, status):
    if context.answer is None:
        assert context.raw.startswith(b"HTTP/1.1 %d" % status), context.raw[:80]
        return
    assert context.answer.status == status, context.answer
    assert names.SEAL not in context.answer.headers


@then("the response has a Retry-After")
def step_retry_after(context):
    assert float(context.answer.headers[names.RETRY_AFTER]) > 0


@then("nothing ran")
def step_nothing(context):
    assert context.deployment.runs() == []


@when("the configuration is replaced by one that cannot be decoded")
def step_unreadable(context):
    deployment = context.deployment
    daemon = deployment.daemons[0]
    context.confirmed = daemon.routing.confirmed_seconds
    deployment.store.store.put("op", "config", b'{"version": "x"}')
    n_before = daemon.watches[0].n_answers

    async def is_applied():
        return daemon.watches[0].n_answers > n_before

    context.loop.run_until_complete(deployment.until(is_applied))
    context.confirmed = daemon.routing.confirmed_seconds


@then("keys are no longer confirmed")
def step_unconfirmed(context):
    daemon = context.deployment.daemons[0]
    n_before = daemon.watches[0].n_answers

    async def is_asked():
        return daemon.watches[0].n_answers > n_before

    context.deployment.store.store.put("op", "other", b"{}")
    context.loop.run_until_complete(context.deployment.until(is_asked))
    assert daemon.routing.confirmed_seconds == context.confirmed


@when("the key of customer one is revoked")
def step_revoke(context):
    context.deployment.configure(make_configuration(5, keys=("k-two",)))


@then("a look-up with that key soon gets status {status:d}")
@then("a look-up soon gets status {status:d}")
def step_soon(context, status):
    deployment = context.deployment

    async def has_status():
        method, path, body = REQUESTS["look-up"]
        answer = await deployment.ask(method, path, deployment.headers(), body)
        return answer.status == status

    context.loop.run_until_complete(deployment.until(has_status))


@then("the other customer is still served")
def step_other(context):
    assert ask(context, "look-up", key="k-two").status == 200


@when("the store refuses every call")
def step_store_down(context):
    context.deployment.store.store.faults.is_down = True


@when("the store answers again")
def step_store_up(context):
    context.deployment.store.store.faults.is_down = False


@when("one plain server announces that it leaves")
def step_leaving(context):
    server = context.deployment.group("plain")[0]
    server.is_leaving = True
    context.deployment.register(server)
    settle(context)


@when("one plain server is removed from the store")
def step_removed(context):
    server = context.deployment.group("plain")[0]
    context.deployment.store.store.put("servers", server.name, None)
    settle(context)


def settle(context):
    """Wait until the daemon has applied the newest version of the store."""
    deployment = context.deployment
    watch = deployment.daemons[0].watches[1]

    async def is_current():
        return watch.status()["version"] == deployment.store.store.version

    context.loop.run_until_complete(deployment.until(is_current))


@then("{n:d} look-ups run on the other one")
def step_others(context, n):
    deployment = context.deployment
    for _ in range(n):
        assert ask(context, "look-up").status == 200
    first, second = deployment.group("plain")
    assert (len(first.runs), len(second.runs)) == (0, n), (first.runs, second.runs)


@then("a look-up is served at once")
def step_served(context):
    assert ask(context, "look-up").status == 200


@when("the store drops its history and the key of customer one is revoked")
def step_history(context):
    store = context.deployment.store.store
    store.put("op", "other", b"{}")
    context.deployment.configure(make_configuration(5, keys=("k-two",)))
    store.drop_history()


@given("a deployment whose store takes {seconds:g} s for each answer")
def step_slow_store(context, seconds):
    context.deployment = Deployment()
    context.loop.run_until_complete(context.deployment.start(1))
    context.deployment.store.store.faults.delay_seconds = seconds


@when("a new daemon gets a request as it starts")
def step_first_request(context):
    deployment = context.deployment
    method, path, body = REQUESTS["look-up"]

    async def ask_at_once():
        await deployment.add_daemon()
        headers = deployment.headers()
        return await deployment.ask(method, path, headers, body, index=1)

    context.answer = context.loop.run_until_complete(ask_at_once())


@then("it is served")
def step_first_served(context):
    assert context.answer.status == 200, context.answer


@then("it is refused as not run")
def step_first_refused(context):
    assert context.answer.status == 503, context.answer
    assert context.answer.headers["Retry-After"]
