"""Steps of failures.feature."""

import asyncio
from collections import defaultdict
from dataclasses import replace

import aiohttp
from behave import then, when
from request_steps import BODY, REQUESTS, ask, step_whole
from softwareversion_steps import replace_all

from lycheepost.app.platformfleet import KEYS
from lycheepost.callers import forwarderrors
from lycheepost.callers.errors import Executed
from lycheepost.platform import headers as names
from lycheepost.platform.models.pathcuts import PathCut
from lycheepost.platform.models.serverfaults import (
    Encoded,
    ExtraAnswer,
    ServerFailure,
    Unsealed,
)
from lycheepost.platform.models.serverstandin import PlatformServer, event_bytes
from lycheepost.standin.faults import (
    CrashAt,
    FaultPlan,
    LostAnswer,
    Refused,
    Swallowed,
    Truncated,
)

SCOPE = names.CACHE_SCOPE.lower()
CRASH_MOMENTS = {"at once": 0, "in its answer": 1}

FAULTS = {
    "lost answer": LostAnswer(),
    "own failure": ServerFailure(),
    "own 404": ServerFailure(404),
    "own 408": ServerFailure(408),
    "own 429": ServerFailure(429),
    "own 503": ServerFailure(503),
    "broken answer": Truncated(0),
    "no seal": Unsealed(),
    "encoding": Encoded(),
    "silence": Swallowed(),
    "refusal": Refused(503),
    "break": Truncated(3),
    "crash": CrashAt(3),
    "extra answer": ExtraAnswer(),
}


@when("the next {n:d} servers that get a {what} show {fault}")
def step_faults(context, n, what, fault):
    plan = FaultPlan()
    plan.add(FAULTS[fault], n)
    service = "llm" if "stream" in what else "plain"
    for server in context.deployment.group(service):
        server.faults = plan


@when("a request that did not run is refused as {code}")
def step_refused_as(context, code):
    given = {"too_late": (Executed.NO,), "not_run": (0.2,)}
    context.error = getattr(forwarderrors, code)(*given.get(code, ()))


@then("it has status 503 and a Retry-After")
def step_wait_for(context):
    error = context.error
    assert error.status == 503 and error.executed is Executed.NO
    assert error.retry_after_seconds is not None and error.retry_after_seconds > 0


@when("a client waits {ms:d} ms for a {what}")
def step_short(context, what, ms):
    ask(context, what, **{names.DEADLINE: str(ms)})


@then("the outcome is {outcome}")
def step_outcome(context, outcome):
    answer = context.answer
    match outcome:
        case "answer":
            step_whole(context)
        case "server's failure":
            assert answer.status == 500 and names.SEAL in answer.headers, answer
        case text if text.startswith("server's "):
            assert answer.status == int(text.split()[1]), answer
            assert names.SEAL in answer.headers, answer
        case "cut":
            assert not answer.is_whole, answer
        case "503 and come back":
            assert answer.status == 503 and names.SEAL not in answer.headers, answer
            assert float(answer.headers[names.RETRY_AFTER]) > 0
        case status:
            assert answer.status == int(status), answer
            assert names.SEAL not in answer.headers


@then("it ran {n:d} times")
def step_runs(context, n):
    runs = context.deployment.runs(context.deployment.attempt_id)
    assert len(runs) == n, runs
    assert len({run.body for run in runs}) <= 1


@when("a client asks {n:d} times for a {what}")
def step_many(context, n, what):
    context.answers = []
    for _ in range(n):
        ask(context, what)
        context.answers.append(context.answer)


@then("each time it gets the server's complete response with its seal")
def step_each(context):
    for answer in context.answers:
        context.answer = answer
        step_whole(context)


@then("at most one request for each server was lost on a pooled connection")
def step_lost_on_pooled(context):
    deployment = context.deployment
    [sends] = [daemon.status()["sends"] for daemon in deployment.daemons]
    n_servers = len(deployment.group("plain"))
    n_lost = sends["n_calls"] - sum(len(server.runs) for server in deployment.servers)
    assert n_lost <= n_servers, (n_lost, sends)


@when("all connections to the servers stop responding")
def step_silent(context):
    for server in context.deployment.servers:
        server.freeze()


@when("a client disconnects in the middle of a long stream")
def step_leave(context):
    deployment = context.deployment
    for server in deployment.group("llm"):
        server.n_events = 10_000
    _method, path, _body = REQUESTS["album stream"]
    headers = deployment.prompt_headers(**{names.TOKENS: "150,10000"})

    async def leave():
        async with aiohttp.ClientSession() as session:
            url = f"http://{deployment.nodes[0].clients}{path}"
            async with session.post(url, headers=headers, data=BODY) as response:
                await response.content.readany()
                response.close()

    context.loop.run_until_complete(leave())


@then("the server soon runs nothing")
def step_idle(context):
    deployment = context.deployment
    assert len(deployment.runs()) == 1

    async def is_idle():
        await asyncio.sleep(0)
        return all(server.n_running == 0 for server in deployment.servers)

    context.loop.run_until_complete(deployment.until(is_idle))


@when("the address of one plain server belongs to a server of another service")
def step_taken_over(context):
    deployment = context.deployment
    old = deployment.group("plain")[0]
    context.new = PlatformServer("other")
    port = int(old.address.rpartition(":")[2])

    async def take_over():
        await old.stop()
        context.new.use_port(port)
        await context.new.start()

    context.loop.run_until_complete(take_over())
    deployment.servers.append(context.new)


@then("the new server ran nothing")
def step_new(context):
    assert context.new.runs == []


def break_off_as(context, change):
    """Let a stream break off as the configuration changes."""
    deployment = context.deployment
    routing = deployment.daemons[0].routing
    step_faults(context, 1, "resumable stream", "break")
    for server in deployment.group("llm"):
        server.on_fault = lambda: routing.adopt(change(routing.table), "test")
    ask(context, "resumable stream")


@when("a resumable stream breaks off just as its key is revoked")
def step_key_gone(context):
    break_off_as(context, without_key)


def without_key(table):
    return replace(table, version=table.version + 1, key_holders={})


@when("a resumable stream breaks off just as its customer becomes isolated")
def step_isolated(context):
    break_off_as(context, isolated)


def isolated(table):
    """Return the next configuration, in which all customers are isolated."""
    holders = {
        key: replace(holder, is_isolated=True)
        for key, holder in table.key_holders.items()
    }
    return replace(table, version=table.version + 1, key_holders=holders)


@then("its second run has the cache scope of its isolated customer")
def step_second_scope(context):
    runs = context.deployment.runs(context.deployment.attempt_id)
    goes_on = names.LAST_EVENT.lower()
    scopes = {goes_on in run.headers: run.headers[SCOPE] for run in runs}
    assert len(runs) == 2 and set(scopes) == {False, True}, runs
    assert KEYS["k-one"] not in scopes[False] and KEYS["k-one"] in scopes[True], scopes


@then("the client received the beginning of the response")
def step_beginning(context):
    expected = b"".join(event_bytes(n, BODY) for n in range(1, 4))
    assert context.answer.body == expected, context.answer.body


@when("clients ask {n:d} times at once for a look-up")
def step_at_once(context, n):
    deployment = context.deployment

    async def ask_all():
        for server in deployment.group("plain"):
            server.run_seconds = 0.1
        asked = [
            deployment.ask("GET", "/look/1", deployment.headers("k-one"))
            for _ in range(n)
        ]
        answers = await asyncio.gather(*asked)
        assert {answer.status for answer in answers} == {200}

    context.loop.run_until_complete(ask_all())
    used = [server.name for server in deployment.group("plain") if server.runs]
    assert len(used) == 2, used


@when("each plain server that gets a {what} crashes and is back after {seconds:g} s")
def step_crashing(context, what, seconds):
    step_crashing_when(context, what, "at once", seconds)


@when(
    "each plain server that gets a {what} crashes {moment} and is back after"
    " {seconds:g} s"
)
def step_crashing_when(context, what, moment, seconds):
    deployment = context.deployment
    plan = FaultPlan()
    plan.add(CrashAt(CRASH_MOMENTS[moment]), 1_000)
    context.n_crashes = 0
    revivals = {}

    def revive(server):
        if server in revivals:
            # Another request has crashed it in the same moment.
            return
        context.n_crashes += 1
        work = deployment.replace_crashed(server, seconds)
        revivals[server] = context.loop.create_task(work)
        revivals[server].add_done_callback(lambda _: revivals.pop(server))

    async def end_revivals():
        await asyncio.gather(*revivals.values())

    for server in deployment.group("plain"):
        server.faults = plan
        server.on_crash = lambda server=server: revive(server)
    context.closers.append(end_revivals)


def send_again(context, what, bodies, n, seconds, indices):
    """Send each body again and again, each time through the next of some daemons."""
    deployment = context.deployment
    method, path, _body = REQUESTS[what]

    async def send(body, first):
        for number in range(n):
            index = indices[(first + number) % len(indices)]
            headers = deployment.headers()
            await deployment.ask(method, path, headers, body, index)
            await asyncio.sleep(seconds)

    async def send_all():
        await asyncio.gather(*(send(body, at) for at, body in enumerate(bodies)))

    context.loop.run_until_complete(send_all())


def both(deployment):
    """Return the indices of the daemons that started last."""
    n_daemons = len(deployment.daemons)
    return [n_daemons - 2, n_daemons - 1]


@when(
    "clients send one {what} {n:d} times, {seconds:g} s apart, to both daemons by turns"
)
def step_send_again(context, what, n, seconds):
    body = REQUESTS[what][2]
    send_again(context, what, [body], n, seconds, both(context.deployment))


@when("clients send one order {n:d} times, {seconds:g} s apart, to the first daemon")
def step_send_first(context, n, seconds):
    send_again(context, "order", [BODY], n, seconds, [0])


@when(
    "clients send {n_orders:d} different orders {n:d} times, {seconds:g} s apart, to"
    " both daemons by turns"
)
def step_send_orders(context, n_orders, n, seconds):
    context.n_orders = n_orders
    bodies = [f"order {number}".encode() for number in range(n_orders)]
    send_again(context, "order", bodies, n, seconds, both(context.deployment))


@when("nothing happens")
def step_nothing(context):
    pass


@when("all daemons are killed and others run")
def step_all_killed(context):
    context.loop.run_until_complete(replace_all(context.deployment, 2))


@when("one daemon is killed and another runs")
def step_one_killed(context):
    context.loop.run_until_complete(replace_all(context.deployment, 1))


@when("the first daemon loses its paths")
def step_paths_lost(context):
    deployment = context.deployment
    deployment.networks[0].cut(PathCut.RESET)

    async def are_lost():
        await deployment.ask("GET", "/look/1", deployment.headers())
        groups = deployment.daemons[0].status()["own_paths"]["groups"]
        return groups.get("plain", {}).get("state") == "reaches_none"

    # The servers run look-ups meanwhile.
    plans = [server.faults for server in deployment.servers]
    for server in deployment.servers:
        server.faults = FaultPlan()
    context.loop.run_until_complete(deployment.until(are_lost))
    for server, plan in zip(deployment.servers, plans, strict=True):
        server.faults = plan


@then(
    "each order arrives at most {n:d} times later than {seconds:g} s after its third"
    " arrival"
)
def step_late_arrivals(context, n, seconds):
    deployment = context.deployment
    arrived_seconds = {
        attempt_id: at_seconds
        for server in deployment.servers
        for attempt_id, at_seconds in server.arrivals
    }
    arrivals = defaultdict(list)
    for run in deployment.runs():
        arrivals[run.body].append(arrived_seconds[run.attempt_id])
    assert len(arrivals) == context.n_orders, arrivals
    for body, times in arrivals.items():
        times.sort()
        late = [time for time in times[3:] if time > times[2] + seconds]
        assert len(late) <= n, (body, times)


@then("at most {n:d} servers crash")
def step_crashes(context, n):
    assert 1 <= context.n_crashes <= n, context.n_crashes
